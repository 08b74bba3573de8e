package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

// Guards against a backend server that gets no request any more because the departure of its predecessor, which had the same ID, is processed after its
// first announcement.
func TestLateLeave_OfEarlierProcess(t *testing.T) {
	m := newMesh(t, 2)
	n := m.nodes[0]
	next := announce.Announcement{
		ID: n.backend.id, Service: "s", Address: n.backend.address, Slots: 4, Sequence: 1, StartTimeMS: n.backendStart + 1000, Connection: 8,
	}
	require.Equal(t, announce.Accepted, n.Announce(next))
	n.Leave(n.backend.id, 7)
	next.Sequence++
	assert.Equal(t, announce.Accepted, n.Announce(next))
	assert.Len(t, m.nodes[0].endpoints("s"), 2)
	assert.EqualValues(t, 1, n.metrics.Counter("departure_of_earlier_process").Count())

	n.Leave(n.backend.id, 8)
	next.Sequence++
	assert.Equal(t, announce.Ended, n.Announce(next), "its own departure")
	m.eventually("it is not used", func() bool { return len(m.nodes[1].endpoints("s")) == 1 })
	a, _ := m.call(m.nodes[1], "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
}

// Guards against a process that is never used again because a departure was taken for its own, and against the use of one that has left but goes on
// announcing itself.
func TestLateLeave_OutlivedByProcess(t *testing.T) {
	m := newMesh(t, 1)
	document := testDocument(2)
	document.Services[0].HealthPath = "/health"
	m.platform.publish(document)
	n := m.nodes[0]
	m.eventually("the liveness check is configured", func() bool { return n.follower.version() == 2 })
	status := http.StatusServiceUnavailable
	n.backend.setHealth(func(w http.ResponseWriter) {
		w.Header().Set(testHeaders.Instance, n.backend.id)
		w.WriteHeader(status)
	})
	n.mu.Lock()
	n.tracker.Leave(time.Now().Add(-announce.MaxDelay), n.backend.id, 0)
	n.mu.Unlock()
	assert.Equal(t, announce.Ended, n.announce(false), "its liveness check fails")
	status = http.StatusOK
	assert.Equal(t, announce.Accepted, n.announce(false))
	assert.EqualValues(t, 1, n.metrics.Counter("backend_readmitted").Count())
}
