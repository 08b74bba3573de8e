package sidecar

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

// newRestartedNode returns a node that was restarted beside a running backend server whose liveness check returns the given status.
func newRestartedNode(t *testing.T, status int) (*mesh, *testNode) {
	m := newMesh(t, 1)
	document := testDocument(2)
	document.Services[0].HealthPath = "/health"
	m.platform.publish(document)
	n := m.nodes[0]
	m.eventually("the new version is in force", func() bool { return n.follower.version() == 2 })
	n.backend.health = func(w http.ResponseWriter) {
		w.Header().Set(testHeaders.Instance, n.backend.id)
		w.WriteHeader(status)
	}
	n = m.restart(n)
	m.eventually("the node has a configuration", func() bool { return n.follower.Table() != nil })
	return m, n
}

// After a restart, a node cannot know whether its previous process acknowledged that the instance leaves. The first announcement, which may
// be a late one, and a duplicate of it must stay unconfirmed; a newer one that reports draining is accepted, but brings no requests.
func TestRestart_LateAnnouncementRejected(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusServiceUnavailable)
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	n.announcements-- // a duplicate of the first announcement
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, announce.Accepted, n.announce(true))
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Empty(t, n.backend.requests())
}

// A backend server that keeps running is used again immediately, or after its second announcement if its liveness check fails.
func TestRestart_RunningBackendAccepted(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK)
	assert.Equal(t, announce.Accepted, n.announce(false))
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.EqualValues(t, 1, n.metrics.Counter("liveness_check").Count())

	m, n = newRestartedNode(t, http.StatusInternalServerError)
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	assert.Equal(t, announce.Accepted, n.announce(false))
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
}
