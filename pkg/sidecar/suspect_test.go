package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

const popularPath = "/safe/popular"

// fingerprintOfPath returns the fingerprint of a GET request for a path.
func fingerprintOfPath(path string) quarantine.Fingerprint {
	return quarantine.Request{Method: "GET", Host: "h.example", Target: path, Caller: "s"}.Fingerprint()
}

func (n *testNode) verdictOn(path string) quarantine.Verdict {
	verdict, _ := n.inbound.suspects.Verdict(time.Now(), fingerprintOfPath(path))
	return verdict
}

// suspect makes one node suspect the requests for a path without telling the others.
func (n *testNode) suspect(path string) {
	n.inbound.suspects.Crashed(time.Now(), "earlier", []quarantine.Fingerprint{fingerprintOfPath(path)})
}

// callAlways sends requests for a path from each of the nodes, a number at a time, until the returned function is called.
func (m *mesh) callAlways(path string, atATime int, nodes ...*testNode) (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range nodes {
		for range atATime {
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						r, _ := m.request(context.Background(), n, "GET", path, "")
						send(r)
					}
				}
			})
		}
	}
	return sync.OnceFunc(func() { close(done); callers.Wait() })
}

// Guards against a frequent request that all nodes send to a single endpoint for minutes, because it was running when a backend server crashed and
// only the node beside the one that answered it next knows of the answer.
func TestFrequentSuspect_ClearedOnAllNodes(t *testing.T) {
	const soon = 5 * time.Second
	m := newMesh(t, 6)
	serving, others := m.nodes[:3], m.nodes[3:]
	for _, n := range others {
		n.announce(true) // no request reaches their backend servers, whose answers would clear it there
	}
	m.eventually("they are drained", func() bool {
		return len(m.nodes[5].endpoints("s")) == len(serving) && len(m.nodes[4].endpoints("s")) == len(serving)
	})
	victim, callers := serving[0], others[:2]
	var running atomic.Int64
	for _, n := range serving {
		n.backend.setHandler(func(http.ResponseWriter, *http.Request, string) {
			if n == victim {
				running.Add(1)
				defer running.Add(-1)
			}
			time.Sleep(50 * time.Millisecond)
		})
	}
	stop := m.callAlways(popularPath, 6, callers...)
	defer stop()
	m.eventually("it runs there", func() bool { return running.Load() > 0 })
	victim.backend.crash()
	m.eventually("the crash is noticed", func() bool { return victim.metrics.Counter("backend_crashed").Count() > 0 })
	for _, n := range others {
		m.eventually("the node was told of the crash", func() bool { return !n.inbound.suspects.IsEmpty() })
		assert.Eventually(t, func() bool { return n.verdictOn(popularPath) == quarantine.Clear }, soon, 5*time.Millisecond, n.settings.ID)
	}
	for _, n := range serving[1:] {
		before := len(n.backend.requests())
		assert.Eventually(t, func() bool { return len(n.backend.requests()) > before }, soon, 5*time.Millisecond, "%s serves it", n.settings.ID)
	}
}

// Guards against a node that keeps a request from all endpoints but one although it has received an answer to it: what the others tell was lost on
// the way, or the node beside the backend server did not know that the request was a suspect.
func TestSuspect_ClearedByOwnAnswer(t *testing.T) {
	m := newMesh(t, 3)
	for _, n := range m.nodes {
		path := "/safe/" + n.settings.ID
		n.suspect(path)
		a, _ := m.call(n, "GET", path, "")
		require.Equal(t, http.StatusOK, a.status)
		assert.Equal(t, quarantine.Clear, n.verdictOn(path))
	}
}

// Guards against a message to all nodes for each request that was running at a crash: only one that other nodes send as well matters to them.
func TestSuspect_InfrequentClearedWithoutMessages(t *testing.T) {
	m := newMesh(t, 3)
	for _, n := range m.nodes {
		n.suspect(popularPath)
	}
	a, _ := m.call(m.nodes[0], "GET", popularPath, "")
	require.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, quarantine.Clear, m.nodes[0].verdictOn(popularPath))
	for _, n := range m.nodes {
		assert.Zero(t, n.metrics.Counter("suspect_cleared_shared").Count())
	}
}

// Guards against a request that counts as harmless because a backend server gave it up at the deadline, before it could crash.
func TestSuspect_NotClearedByGatewayTimeout(t *testing.T) {
	m := newMesh(t, 2)
	for _, n := range m.nodes {
		n.suspect(popularPath)
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusGatewayTimeout) })
	}
	a, _ := m.call(m.nodes[0], "GET", popularPath, "")
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	for _, n := range m.nodes {
		assert.Equal(t, quarantine.Suspect, n.verdictOn(popularPath))
	}
}

// Guards against copies of a suspect that go unnoticed because they waited or were refused, and against a ward that remembers requests for ever.
func TestWard_NoticesSeveralCopies(t *testing.T) {
	w := newWard()
	a, b := fingerprintOfPath("/a"), fingerprintOfPath("/b")
	require.True(t, w.enter(context.Background(), a, 0))
	assert.False(t, w.enter(context.Background(), b, 0))
	assert.False(t, w.hadSeveral(a))
	assert.False(t, w.enter(context.Background(), a, 0))
	assert.True(t, w.hadSeveral(a))
	w.leave(a)
	assert.Empty(t, w.copies)
	require.True(t, w.enter(context.Background(), b, 0))
	assert.False(t, w.hadSeveral(b))
	w.leave(b)
	assert.Empty(t, w.copies)
}
