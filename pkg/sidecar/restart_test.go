package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

// freeSlots is a load report of a backend server with four slots.
const freeSlots = "0 0 4 1"

// newRestartedNode returns a node that was restarted beside a running backend server whose liveness check returns the given status and, if
// it is not "", load report.
func newRestartedNode(t *testing.T, status int, loadReport string, announcementInterval time.Duration) (*mesh, *testNode) {
	m := newMesh(t, 1)
	document := testDocument(2)
	document.Services[0].HealthPath = "/health"
	m.platform.publish(document)
	n := m.nodes[0]
	m.eventually("the new version is in force", func() bool { return n.follower.version() == 2 })
	id := n.backend.id
	n.backend.setHealth(func(w http.ResponseWriter) {
		w.Header().Set(testHeaders.Instance, id)
		if loadReport != "" {
			w.Header().Set(testLoadHeader, loadReport)
		}
		w.WriteHeader(status)
	})
	m.stop(n)
	n.settings.Backend.AnnouncementInterval = Duration(announcementInterval) // a running node reads it
	n = m.startAgain(n)
	<-n.found
	return m, n
}

// After a restart, a node cannot know whether its previous process acknowledged that the instance leaves. Guards against late announcements, which
// may be several, and duplicates of them that bring it back; one that reports draining is accepted, but brings no requests.
func TestRestart_LateAnnouncementsRejected(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusServiceUnavailable, "", time.Minute)
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	n.announcements-- // a duplicate of the first announcement
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	for range 3 {
		assert.Equal(t, announce.Unconfirmed, n.announce(false), "a newer one")
	}
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, announce.Accepted, n.announce(true))
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Empty(t, n.backend.requests())
}

// Guards against late announcements of an instance that left before the restart and are taken because another one was accepted meanwhile, which has
// ended as well.
func TestRestart_LateAnnouncementsAfterThoseOfAnother(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK, "", time.Minute)
	assert.Equal(t, announce.Accepted, n.announce(false))
	n.Leave(n.backend.id, 0)
	for sequence := range 3 {
		assert.Equal(t, announce.Unconfirmed, n.Announce(announce.Announcement{
			ID: "i-earlier", Service: "s", Address: n.backend.address, Slots: 4, Sequence: int64(sequence), StartTimeMS: n.backendStart - 1000,
		}))
	}
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Empty(t, n.backend.requests())
}

// A backend server that keeps running is used again immediately, or as soon as its liveness check succeeds. If the check is not executed, it is used
// when the announcement cannot be a late one.
func TestRestart_RunningBackendAccepted(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK, "", time.Minute)
	assert.Equal(t, announce.Accepted, n.announce(false))
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.EqualValues(t, 1, n.metrics.Counter("liveness_check").Count())

	m, n = newRestartedNode(t, http.StatusInternalServerError, "", time.Minute)
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	id := n.backend.id
	n.backend.setHealth(func(w http.ResponseWriter) { w.Header().Set(testHeaders.Instance, id) })
	assert.Equal(t, announce.Accepted, n.announce(false))
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, announce.Accepted, n.announce(false))
	assert.EqualValues(t, 3, n.metrics.Counter("liveness_check").Count(), "one at the start, one for each announcement until one is accepted")

	_, n = newRestartedNode(t, http.StatusServiceUnavailable, "", 500*time.Millisecond)
	n.backend.setHealth(func(w http.ResponseWriter) {
		w.Header().Set(testHeaders.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	m.eventually("it is used", func() bool { return n.announce(false) == announce.Accepted })
	assert.GreaterOrEqual(t, time.Since(n.started), n.announcementTimeout())
}

// Cold start of all nodes: a node that waited for the next announcement would have no endpoint for up to an interval. Guards also against
// a second liveness check for the announcement, and against the loss of calls when it arrives.
func TestRestart_FindsBackendBeforeItsAnnouncement(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK, freeSlots, time.Minute)
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	entered, release := make(chan struct{}), make(chan struct{})
	n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) { close(entered); <-release })
	answered := make(chan int, 1)
	go func() { a, _ := m.call(n, "GET", "/safe/", ""); answered <- a.status }()
	<-entered
	assert.Equal(t, announce.Accepted, n.announce(false))
	close(release)
	assert.Equal(t, http.StatusOK, <-answered)
	assert.EqualValues(t, 1, n.metrics.Counter("liveness_check").Count())
	assert.Equal(t, 4, n.limit())
}

// Guards against the use of a backend server that has left: the previous process may have acknowledged that, and the liveness check may be
// wrong. One that does not announce itself is dropped, and one that leaves is dropped at once.
func TestRestart_DropsBackendThatDoesNotAnnounceItself(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK, freeSlots, 10*time.Millisecond)
	require.Len(t, n.endpoints("s"), 1)
	m.eventually("it is dropped", func() bool { return len(n.endpoints("s")) == 0 })

	m, n = newRestartedNode(t, http.StatusOK, freeSlots, time.Minute)
	n.Leave(n.backend.id, 0)
	assert.Equal(t, announce.Ended, n.announce(false))
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)

	m, n = newRestartedNode(t, http.StatusServiceUnavailable, freeSlots, time.Minute)
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status, "its liveness check says that it leaves")
}

// Pattern: many nodes lose power and start again. Guards against calls to the store for contacts that are still right, and against contacts
// with the addresses of an earlier process.
func TestRestart_RegistersOnlyIfItsContactDiffers(t *testing.T) {
	m := newMesh(t, 2)
	n := m.nodes[0]
	contact := n.contact()
	count := func() int {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return len(m.platform.registers)
	}
	require.Equal(t, 2, count())
	// crash stops the node and leaves its contact in the directory, as a loss of power does.
	crash := func() {
		m.stop(n)
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		m.platform.contacts = append(m.platform.contacts, contact)
	}
	start := func() {
		n = m.startNode(n.settings, n.backend)
		m.eventually("the node knows the other one", func() bool { return len(n.membership.SharedMembers()) == 2 })
	}
	crash()
	start()
	m.eventually("the contact was read", func() bool { return strings.Contains(m.log.String(), "event=joined") })
	assert.Equal(t, 2, count())

	crash()
	n.settings.Listen.Nodes = freeAddress(t)
	start()
	m.eventually("the new address is registered", func() bool { return count() == 3 })
}
