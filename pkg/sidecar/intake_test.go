package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

// arrivalLog records when a backend server got requests.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *arrivalLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// most returns the largest number of arrivals in any window of the given length that begins at from or later.
func (l *arrivalLog) most(from time.Time, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for last, t := range l.times {
		for l.times[first].Before(from) || t.Sub(l.times[first]) > window {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
		if first > last {
			first = last
		}
	}
	return most
}

// nameLimit makes the backend server of a node name a limit in its responses from now on; "": none. Each request takes the given time.
func (n *testNode) nameLimit(limit string, work time.Duration) *arrivalLog {
	l := &arrivalLog{}
	n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		l.add()
		time.Sleep(work)
		if limit != "" {
			w.Header().Set(testLimitHeader, limit)
		}
	})
	return l
}

// isLimited reports whether the node applies a limit of its backend server.
func (n *testNode) isLimited() bool {
	s := n.inbound.instance.Load().intake
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limited
}

// keepCalling sends calls for a path to nodes from a number of callers each, until the test ends or the returned function is called.
func (m *mesh) keepCalling(path string, callersPerNode int, nodes ...*testNode) (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range nodes {
		for range callersPerNode {
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
						m.call(n, "GET", path, "")
					}
				}
			})
		}
	}
	stop = sync.OnceFunc(func() { close(done); callers.Wait() })
	m.t.Cleanup(stop)
	return stop
}

const (
	namedLimit   = 20 // requests a second
	limitWindow  = 2 * time.Second
	limitBurst   = 5 // requests that may exceed the limit in a window
	limitSettles = 200 * time.Millisecond
)

// Guards against a backend server in need that gets more requests than the limit that it names: all nodes together must keep to it, and serve as
// much as it allows.
func TestNamedLimit_HoldsForAllNodes(t *testing.T) {
	m := newMesh(t, 3)
	var logs []*arrivalLog
	for _, n := range m.nodes {
		logs = append(logs, n.nameLimit("20", 5*time.Millisecond))
	}
	m.keepCalling("/safe/", 20, m.nodes...)
	time.Sleep(limitSettles)
	from := time.Now()
	time.Sleep(2 * limitWindow)
	for _, l := range logs {
		assert.LessOrEqual(t, l.most(from, limitWindow), int(namedLimit*limitWindow.Seconds())+limitBurst)
		assert.GreaterOrEqual(t, l.most(from, limitWindow), int(namedLimit*limitWindow.Seconds()/2), "the limit is used")
	}
	assert.Positive(t, m.nodes[0].metrics.Counter("outbound", "verdict", "not-run", "reason", "backend_limit").Count())
}

// Guards against a limit that stays in force when the backend server no longer names it.
func TestNamedLimit_EndsWithTheFirstResponseWithoutIt(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.nameLimit("1", 0)
	m.call(n, "GET", "/safe/", "")
	require.True(t, n.isLimited())
	n.nameLimit("", 0)
	m.eventually("the limit has ended", func() bool { m.call(n, "GET", "/safe/", ""); return !n.isLimited() })
	begin := time.Now()
	for range 10 {
		a, _ := m.call(n, "GET", "/safe/", "")
		assert.Equal(t, http.StatusOK, a.status)
	}
	assert.Less(t, time.Since(begin), 5*time.Second, "ten requests at one a second take longer")
}

// Guards against a backend server that is never used again after it named a limit of 0, since only responses show that the limit has ended.
func TestNamedLimit_Zero(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	l := n.nameLimit("0", 0)
	m.call(n, "GET", "/safe/", "")
	from := time.Now()
	m.keepCalling("/safe/", 2, m.nodes...)
	m.eventually("a request is forwarded", func() bool { return l.most(from, testLimit) > 0 })
	assert.LessOrEqual(t, l.most(from, 4*time.Second), limitBurst)
}

// Guards against a limit that is lifted by a response that was overtaken, or by one with a malformed limit.
func TestIntakeState_OrderOfResponses(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := newInstance(&announce.Announcement{Slots: 4}).intake
	require.NotNil(t, s.observe(at(100), at(50), Intake{Limited: true, Limit: 5}))
	assert.Nil(t, s.observe(at(110), at(60), Intake{}), "its request is older than the response with the limit")
	assert.True(t, s.limited)
	assert.Nil(t, s.observe(at(200), at(120), Intake{Limited: true, Limit: 5}))
	assert.NotNil(t, s.observe(at(300), at(210), Intake{}))
	assert.False(t, s.limited)
}

// Guards against a log line for each response of a backend server whose limit changes all the time; the latest limit is in force.
func TestIntakeState_LogsChangesAtIntervals(t *testing.T) {
	start := time.Now()
	s := newInstance(&announce.Announcement{Slots: 4}).intake
	reports := 0
	const responses = 1000
	for i := range responses {
		at := start.Add(time.Duration(i) * 20 * time.Millisecond)
		if s.observe(at, at, Intake{Limited: true, Limit: float64(10 + i%5)}) != nil {
			reports++
		}
	}
	assert.LessOrEqual(t, reports, 1+int(responses*20*time.Millisecond/limitLogInterval))
	assert.Positive(t, reports)
	assert.InDelta(t, 10+(responses-1)%5, s.limit, 0)
}

// A malformed limit is counted and logged; the limit in force stays, and the response is delivered.
func TestNamedLimit_MalformedIsIgnored(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.nameLimit("20", 0)
	m.call(n, "GET", "/safe/", "")
	n.nameLimit("some", 0)
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.True(t, n.isLimited())
	assert.EqualValues(t, 1, n.metrics.Counter("backend_limit_unreadable").Count())
}

// sayLeaving makes the backend server of a node say in its responses that it is leaving. It announces nothing.
func (n *testNode) sayLeaving() {
	n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) { w.Header().Set(testLeavingHeader, "1") })
}

// Guards against new requests to a backend server that says in its responses that it is leaving, before its announcement or without any, and
// against a delayed announcement that brings it back.
func TestLeavingResponse_StopsRequests(t *testing.T) {
	m := newMesh(t, 2)
	leaving, other := m.nodes[0], m.nodes[1]
	leaving.sayLeaving()
	m.call(leaving, "GET", "/safe/", "")
	got := len(leaving.backend.requests())
	require.Positive(t, got)
	callAll := func() {
		for range 10 {
			for _, n := range m.nodes {
				a, _ := m.call(n, "GET", "/safe/", "")
				assert.Equal(t, http.StatusOK, a.status)
			}
		}
	}
	callAll()
	assert.Equal(t, announce.Accepted, leaving.announce(false), "it was sent before the response")
	callAll()
	assert.Len(t, leaving.backend.requests(), got)
	assert.Len(t, other.backend.requests(), 40)
	m.eventually("the other node knows it", func() bool { return len(other.endpoints("s")) == 1 })

	leaving.backend.setHandler(nil)
	leaving.announcements, leaving.backendStart = 0, time.Now().Add(time.Second).UnixMilli()
	assert.Equal(t, announce.Accepted, leaving.announce(false))
	m.eventually("the next process is used", func() bool { return len(other.endpoints("s")) == 2 })
}

// Guards against a restarted node that uses a backend server whose liveness check succeeds but says that it is leaving, and against one whose
// first announcement after such a response brings it back.
func TestLeavingResponse_AfterRestart(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK, freeSlots, time.Minute)
	n.sayLeaving()
	m.call(n, "GET", "/safe/", "")
	assert.Equal(t, announce.Accepted, n.announce(false))
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Len(t, n.backend.requests(), 1)

	m, n = newRestartedNode(t, http.StatusOK, freeSlots, time.Minute)
	id := n.backend.id
	n.backend.setHealth(func(w http.ResponseWriter) {
		w.Header().Set(testHeaders.Instance, id)
		w.Header().Set(testLoadHeader, freeSlots)
		w.Header().Set(testLeavingHeader, "1")
	})
	n = m.restart(n)
	<-n.found
	assert.Equal(t, announce.Unconfirmed, n.announce(false))
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Empty(t, n.backend.requests())
}

// Guards against a burst of requests to a backend server in need when the node beside it is restarted and has not had a response of it yet.
func TestNamedLimit_KnownAfterRestart(t *testing.T) {
	m, n := newRestartedNode(t, http.StatusOK, "0 0 100 1", time.Minute)
	id := n.backend.id
	n.backend.setHealth(func(w http.ResponseWriter) {
		w.Header().Set(testHeaders.Instance, id)
		w.Header().Set(testLoadHeader, "0 0 100 1")
		w.Header().Set(testLimitHeader, "20")
	})
	n = m.restart(n)
	m.nodes[0] = n
	<-n.found
	l := n.nameLimit("20", 100*time.Millisecond)
	begin := time.Now()
	m.keepCalling("/safe/", 50, m.nodes...)
	time.Sleep(limitWindow)
	assert.LessOrEqual(t, l.most(begin, limitWindow), int(namedLimit*limitWindow.Seconds())+limitBurst)
}
