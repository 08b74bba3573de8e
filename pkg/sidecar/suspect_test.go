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
	n.inbound.suspects.Crashed(time.Now(), "earlier", []quarantine.Run{{Request: fingerprintOfPath(path)}})
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
	m.keepCalling(popularPath, 6, callers...)
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

// Guards against a popular request that is refused for minutes because all backend servers that were running it crashed at the same moment.
func TestFrequentRequest_NotBlockedByCrashesAtOnce(t *testing.T) {
	m := newMesh(t, 3)
	var running [3]atomic.Int64
	for i, n := range m.nodes {
		n.backend.setHandler(func(http.ResponseWriter, *http.Request, string) {
			running[i].Add(1)
			defer running[i].Add(-1)
			time.Sleep(100 * time.Millisecond)
		})
	}
	stop := m.keepCalling(popularPath, 4, m.nodes...)
	m.eventually("all backend servers run it", func() bool { return running[0].Load() > 0 && running[1].Load() > 0 && running[2].Load() > 0 })
	var crashes sync.WaitGroup
	for _, n := range m.nodes {
		crashes.Go(n.backend.crash)
	}
	crashes.Wait()
	for _, n := range m.nodes {
		m.eventually("the crash is noticed", func() bool { return n.metrics.Counter("backend_crashed").Count() > 0 })
	}
	stop()
	m.reviveBackends()
	for _, n := range m.nodes {
		assert.NotEqual(t, quarantine.Blocked, n.verdictOn(popularPath))
		a, _ := m.call(n, "GET", popularPath, "")
		assert.Equal(t, http.StatusOK, a.status)
		assert.Equal(t, quarantine.Clear, n.verdictOn(popularPath))
	}
}

// Guards against more crashes than necessary by copies of one request that are sent at the same moment: those that were sent before the first crash, and
// one that runs alone.
func TestDeadlyRequest_ConcurrentFirstAttempts(t *testing.T) {
	m := newMesh(t, 4)
	var crashes, arrived atomic.Int64
	both := make(chan struct{})
	for _, n := range m.nodes {
		b := n.backend
		b.setHandler(func(http.ResponseWriter, *http.Request, string) {
			if arrived.Add(1) == 2 {
				close(both)
			}
			<-both
			crashes.Add(1)
			b.crash()
		})
	}
	var attempts sync.WaitGroup
	for range 2 {
		for _, n := range m.nodes {
			attempts.Go(func() {
				r, _ := m.request(context.Background(), n, "GET", deadlyPath, "")
				send(r)
			})
		}
		attempts.Wait()
		m.reviveBackends()
	}
	assert.LessOrEqual(t, crashes.Load(), int64(len(m.nodes)+1))
	for _, n := range m.nodes {
		assert.Equal(t, quarantine.Blocked, n.verdictOn(deadlyPath))
	}
}

// Guards against a suspect that is not served for minutes because the one endpoint that all nodes send it to does not answer.
func TestSuspect_ServedBesideAnEndpointThatDoesNotAnswer(t *testing.T) {
	const path = "/short/popular"
	m := newMesh(t, 3)
	var hanging atomic.Pointer[testNode]
	for _, n := range m.nodes {
		n.suspect(path)
		n.backend.setHandler(func(_ http.ResponseWriter, r *http.Request, _ string) {
			hanging.CompareAndSwap(nil, n)
			if hanging.Load() == n {
				<-r.Context().Done()
			}
		})
	}
	a, _ := m.call(m.nodes[0], "GET", path, "")
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
	m.eventually("another endpoint serves it", func() bool {
		a, _ := m.call(m.nodes[0], "GET", path, "")
		return a.status == http.StatusOK
	})
}
