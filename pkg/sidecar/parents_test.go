package sidecar

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Pattern: a backend server's calls to another service are refused for lack of room. Guards against calls that hold slots and fail one after the other, and
// against holding calls back because nested calls failed for another reason, which fewer calls would not change.
func TestParents_HeldBackWhileTheirCallsFindNoRoom(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	refusedFor := reasonFull
	n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		n.outbound.countFailedCall(refusedFor)
		w.WriteHeader(http.StatusInternalServerError)
	})
	calls := func(path string) (heldBack int) {
		for range 60 {
			if a, _ := m.call(n, "GET", path, ""); a.status == http.StatusServiceUnavailable {
				assert.Contains(t, a.body, string(reasonCallsNoRoom))
				assert.NotEmpty(t, a.header.Get("Retry-After"))
				heldBack++
			}
		}
		return heldBack
	}
	assert.Greater(t, calls("/safe/"), 30)
	assert.Less(t, n.inbound.instance.Load().load("safe").Answered, 1.0)
	refusedFor = reasonBackendShed
	assert.Zero(t, calls("/unsafe/"))
}
