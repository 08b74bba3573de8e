package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRequestReachesABackendServerUnchanged(t *testing.T) {
	m := newMesh(t, 2)
	r, id := m.request(context.Background(), m.nodes[0], "POST", "/unsafe/a%2Fb?x=1&y=%20", "the body")
	r.Header.Set(testHeaders.DeadlineMS, "700")
	r.Header.Set(testHeaders.Caller, "forged")
	r.Header.Set("X-Own", "kept")
	a := send(r)
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, "POST /unsafe/a%2Fb?x=1&y=%20 the body", a.body)
	assert.Equal(t, "signed by i-0", a.header.Get(testHeaders.Signature))
	assert.Equal(t, id, a.header.Get(testHeaders.RequestID))
	assert.Empty(t, a.header.Get(headerReply), "what nodes tell each other stays between them")
	seen := m.nodes[0].backend.headers
	assert.Equal(t, "s", seen.Get(testHeaders.Caller))
	assert.Equal(t, "kept", seen.Get("X-Own"))
	assert.Empty(t, seen.Get(headerCall))
	left, err := strconv.Atoi(seen.Get(testHeaders.DeadlineMS))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 700)
	assert.Positive(t, left)
}

func TestAnswersOfTheNodesOwn(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	a, _ := m.call(n, "GET", "/unknown/", "")
	assert.Equal(t, http.StatusNotFound, a.status)
	a, _ = m.call(n, "POST", "/unsafe/", strings.Repeat("x", 2<<20))
	assert.Equal(t, http.StatusRequestEntityTooLarge, a.status)
	r, _ := m.request(context.Background(), n, "GET", "/safe/", "")
	r.Header.Set(testHeaders.DeadlineMS, "soon")
	assert.Equal(t, http.StatusBadRequest, send(r).status)
	n.announce(true)
	a, _ = m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Positive(t, after)
	assert.Empty(t, n.backend.requests())
}

// A body that is sent in chunks states no length, so that its size is only known once it was read.
func TestLimitHoldsForBodiesOfUnstatedLength(t *testing.T) {
	m := newMesh(t, 1)
	document := testDocument(2)
	document.Limits.BodyBytes = 1000
	m.platform.publish(document)
	n := m.nodes[0]
	m.eventually("the limit is in force", func() bool { return n.follower.Table().Document.Version == 2 })
	for size, status := range map[int]int{1000: http.StatusOK, 1001: http.StatusRequestEntityTooLarge, bufferedBody + 1: http.StatusRequestEntityTooLarge} {
		r, _ := m.request(context.Background(), n, "POST", "/unsafe/", strings.Repeat("x", size))
		r.ContentLength = -1
		a := send(r)
		require.NoError(t, a.err)
		assert.Equal(t, status, a.status, "%d bytes", size)
	}
	assert.Len(t, n.backend.requests(), 1)
}

// Pattern: a caller sends a request behind one that takes long. What the backend server may still take is what the caller has left.
func TestWaitBehindAnotherRequestIsTakenOffTheDeadline(t *testing.T) {
	const work, patience = 300 * time.Millisecond, 1000
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.backend.on(func(http.ResponseWriter, *http.Request, string) { time.Sleep(work) })
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	for range 2 {
		_, err = fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
			testHeaders.RequestID, m.newID(), testHeaders.DeadlineMS, patience)
		require.NoError(t, err)
	}
	m.eventually("both ran", func() bool { return len(n.backend.requests()) == 2 })
	n.backend.mu.Lock()
	defer n.backend.mu.Unlock()
	left, err := strconv.Atoi(n.backend.headers.Get(testHeaders.DeadlineMS))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, patience-int(work.Milliseconds()))
}

// Pattern: everything restarts, and the operators' configuration takes long on thin links. Nodes start with the copy; where it is older
// than the operators' own, the readers find out and all come to the newer one.
func TestStartWithTheCopyOfTheConfiguration(t *testing.T) {
	m := newMesh(t, 2)
	m.eventually("a copy is left", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return m.platform.copied != nil
	})
	old := m.platform.copied
	m.platform.publish(testDocument(2))
	m.eventually("the copy is renewed", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return !bytes.Equal(m.platform.copied, old)
	})
	m.platform.mu.Lock()
	m.platform.copied = old
	m.platform.mu.Unlock()
	n := m.start(2)
	m.eventually("starts with the copy", func() bool { return strings.Contains(m.log.String(), "before=0 from=copy") })
	m.eventually("comes to the newer one", func() bool { return n.follower.Table().Document.Version == 2 })

	m.platform.mu.Lock()
	m.platform.copied = []byte("not a copy")
	m.platform.mu.Unlock()
	n = m.start(3)
	m.eventually("a copy that cannot be read does no harm", func() bool { return n.follower.Table() != nil })
}

// Pattern: hundreds of nodes start for the first time, and each call to the store has its price. Nothing can be in it yet: one call that
// waits for the first configuration is enough.
func TestFirstStartOnlyWaits(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform(), first: true}
	n := m.start(0)
	m.eventually("it waits", func() bool { m.platform.mu.Lock(); defer m.platform.mu.Unlock(); return len(m.platform.calls) > 0 })
	m.platform.publish(testDocument(1))
	m.eventually("it has the configuration", func() bool { return n.follower.Table() != nil })
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	assert.Equal(t, "next", m.platform.calls[0])
	assert.NotContains(t, m.platform.calls, "copy")
	assert.NotContains(t, m.platform.calls, "newest")
}

func TestNoConfigurationIsNotNotFound(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform()}
	n := m.start(0)
	m.eventually("listens", func() bool {
		r, _ := m.request(context.Background(), n, "GET", "/unknown/", "")
		a := send(r)
		return a.err == nil && a.status == http.StatusServiceUnavailable
	})
	assert.False(t, n.isReady())
}

// The backend server runs the request and its connection breaks off: an unsafe request runs once and promises nothing; a safe one is
// sent to another backend server.
func TestLostAnswer(t *testing.T) {
	m := newMesh(t, 2)
	m.nodes[0].backend.on(func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) })
	a, id := m.call(m.nodes[0], "POST", "/unsafe/", "order")
	assert.Equal(t, http.StatusBadGateway, a.status)
	assert.Equal(t, []string{id}, m.nodes[0].backend.requests())
	assert.Empty(t, m.nodes[1].backend.requests())

	a, id = m.call(m.nodes[0], "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, []string{id}, m.nodes[1].backend.requests())
}

// A backend server that says that it did not run the request: also an unsafe one goes elsewhere, within the attempts of the route,
// and "not run" stays true.
func TestShedRequestGoesElsewhere(t *testing.T) {
	m := newMesh(t, 3)
	shed := func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set(testHeaders.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	m.nodes[0].backend.on(shed)
	a, _ := m.call(m.nodes[0], "POST", "/unsafe/", "order")
	assert.Equal(t, http.StatusOK, a.status)

	for _, n := range m.nodes {
		n.backend.on(shed)
	}
	before := m.arrivals()
	a, _ = m.call(m.nodes[0], "POST", "/unsafe/", "order")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, 2, m.arrivals()-before, "max_attempts")
}

func (m *mesh) arrivals() int {
	n := 0
	for _, node := range m.nodes {
		n += len(node.backend.requests())
	}
	return n
}

func TestFaultyAnswersOfABackendServer(t *testing.T) {
	m := newMesh(t, 1)
	b := m.nodes[0].backend
	for name, c := range map[string]struct {
		handle func(w http.ResponseWriter, r *http.Request, body string)
		want   int
	}{
		"unsigned success": {func(w http.ResponseWriter, _ *http.Request, _ string) { w.Header().Del(testHeaders.Signature) }, http.StatusBadGateway},
		"own failure":      {func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError},
		"cut": {func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set("Content-Length", "10")
			w.Write([]byte("12345"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
	} {
		b.on(c.handle)
		a, _ := m.call(m.nodes[0], "POST", "/unsafe/", "order")
		assert.Equal(t, c.want, a.status, name)
		if c.want == http.StatusBadGateway {
			assert.Empty(t, a.header.Get(testHeaders.Signature), name)
		}
	}
}

// A late answer to another request is passed over; the request's own may follow until its time is up.
func TestAnswerToAnotherRequestIsNotDelivered(t *testing.T) {
	m := newMesh(t, 1)
	m.nodes[0].backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set(testHeaders.RequestID, "other")
		w.Write([]byte("foreign"))
	})
	a, _ := m.call(m.nodes[0], "GET", "/short/", "")
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
	assert.NotContains(t, a.body, "foreign")
}

// When Announce has returned, nothing more reaches a backend server that leaves, whatever other nodes know.
func TestNothingIsHandedOverAfterAnAcknowledgedLeave(t *testing.T) {
	m := newMesh(t, 2)
	var callers sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				r, _ := m.request(context.Background(), m.nodes[1], "GET", "/safe/", "")
				send(r)
			}
		})
	}
	m.eventually("both are used", func() bool {
		r, _ := m.request(context.Background(), m.nodes[0], "GET", "/safe/", "")
		send(r)
		return len(m.nodes[0].backend.requests()) > 0
	})
	leave := m.nodes[0]
	require.Equal(t, announce.Accepted, leave.announce(true))
	m.eventually("what was handed over has been counted", func() bool {
		before := len(leave.backend.requests())
		time.Sleep(50 * time.Millisecond)
		return before == len(leave.backend.requests())
	})
	before := len(leave.backend.requests())
	for range 20 {
		a, _ := m.call(leave, "GET", "/safe/", "")
		assert.Equal(t, http.StatusOK, a.status)
	}
	assert.Len(t, leave.backend.requests(), before)
	stop()
	callers.Wait()
}

func TestCallerLeaves(t *testing.T) {
	m := newMesh(t, 2)
	running, ended := make(chan string, 1), make(chan bool, 1)
	for _, n := range m.nodes {
		n.backend.on(func(_ http.ResponseWriter, r *http.Request, _ string) {
			running <- r.URL.Path
			select {
			case <-r.Context().Done():
				ended <- true
			case <-time.After(300 * time.Millisecond):
				ended <- false
			}
		})
	}
	for path, cancelled := range map[string]bool{"/safe/": true, "/unsafe/": false} {
		ctx, leave := context.WithCancel(context.Background())
		r, _ := m.request(ctx, m.nodes[0], "GET", path, "")
		go send(r)
		assert.Equal(t, path, <-running)
		leave()
		assert.Equal(t, cancelled, <-ended, path)
	}
}

func TestTimeoutOfTheRouteIsAnsweredInTime(t *testing.T) {
	m := newMesh(t, 1)
	release := make(chan struct{})
	m.nodes[0].backend.on(func(http.ResponseWriter, *http.Request, string) { <-release })
	defer close(release)
	a, _ := m.call(m.nodes[0], "GET", "/short/", "")
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
}

// A node that the store turns away gets the configuration from another node, and never goes back to an older one.
func TestConfigurationComesFromOtherNodes(t *testing.T) {
	m := newMesh(t, 3)
	m.platform.mu.Lock()
	m.platform.refusing["node-2"] = true
	m.platform.mu.Unlock()
	m.platform.publish(testDocument(2)) // wakes the reads that wait
	m.eventually("the new version is in force everywhere", func() bool {
		for _, n := range m.nodes {
			if n.follower.version() != 2 {
				return false
			}
		}
		return true
	})
	// What is passed between nodes is the change, or the whole for a node that is too far behind.
	for newer, change := range map[uint64]bool{1: true, 0: false} {
		answered, err := m.nodes[0].follower.serveDocument(context.Background(), []byte(`{"newer":`+strconv.FormatUint(newer, 10)+`}`))
		require.NoError(t, err)
		result := answered.(documentResult)
		assert.Equal(t, change, result.Change != nil)
		assert.Equal(t, !change, result.Whole != nil)
		if !change {
			whole, err := unpack[routing.Document](result.Whole)
			require.NoError(t, err)
			assert.Equal(t, testDocument(2), whole)
		}
	}
	m.nodes[0].follower.offer(testDocument(1), "test")
	assert.EqualValues(t, 2, m.nodes[0].follower.version())
	faulty := testDocument(3)
	faulty.Routes[0].Destinations[0].Service = "nobody"
	m.nodes[0].follower.offer(faulty, "test")
	assert.EqualValues(t, 2, m.nodes[0].follower.version(), "whole or not at all")
}

// A data centre is cut off, so that passing a change on takes as long as its time limit. The next version is read meanwhile.
func TestReadingGoesOnWhileAChangeIsPassedOn(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform()}
	m.platform.publish(testDocument(1))
	passing, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	m.adjust = func(n *Node) {
		n.follower.changed = func(*routing.Document, *routing.Document) {
			once.Do(func() { close(passing) })
			<-release
		}
	}
	defer close(release)
	n := m.start(0)
	m.eventually("the first version", func() bool { return n.follower.version() == 1 })
	m.platform.publish(testDocument(2))
	<-passing
	m.platform.publish(testDocument(3))
	m.eventually("the next version", func() bool { return n.follower.version() == 3 })
}

// A planned stop under load: every request that was sent gets an answer, and none is cut at its backend server.
func TestPlannedStopCutsNothing(t *testing.T) {
	m := newMesh(t, 2)
	for _, n := range m.nodes {
		n.backend.on(func(w http.ResponseWriter, r *http.Request, _ string) {
			select {
			case <-r.Context().Done():
				n.backend.left <- r.Header.Get(testHeaders.RequestID)
			case <-time.After(30 * time.Millisecond):
			}
		})
	}
	stopping := m.nodes[0]
	var callers sync.WaitGroup
	var mu sync.Mutex
	var cut []error
	sent := 0
	for range 4 {
		callers.Go(func() {
			for {
				r, _ := m.request(context.Background(), stopping, "POST", "/unsafe/", "order")
				a := send(r)
				var dialed *net.OpError
				if errors.As(a.err, &dialed) && dialed.Op == "dial" {
					return // the socket is closed: there was no connection to send anything on
				}
				mu.Lock()
				sent++
				if a.err != nil {
					cut = append(cut, a.err)
				}
				mu.Unlock()
			}
		})
	}
	m.eventually("requests are under way", func() bool { mu.Lock(); defer mu.Unlock(); return sent > 20 })
	stopping.stop()
	require.NoError(t, <-stopping.done)
	stopping.done <- nil // for the cleanup
	callers.Wait()
	assert.Empty(t, cut)
	assert.Empty(t, stopping.backend.left)
}

// Every request that was taken is counted once by its outcome.
func TestOutcomesAddUp(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	for _, path := range []string{"/safe/", "/unknown/", "/unsafe/", "/safe/"} {
		m.call(n, "GET", path, "")
	}
	total := int64(0)
	for name, value := range n.metrics.Values() {
		if strings.HasPrefix(name, "outbound{") {
			total += value
		}
	}
	assert.EqualValues(t, 4, total)
}

func TestCallsAndRulingsSurviveTheWire(t *testing.T) {
	c := &call{service: "a;b", class: "r 1", caller: "ü", node: "n", rank: 2, idempotent: true, returned: true, freeOnly: true, targetLeft: -5 * time.Millisecond, deadlineLeft: time.Second}
	decoded, err := decodeCall(c.encode())
	require.NoError(t, err)
	assert.Equal(t, c, decoded)
	for _, text := range []string{"", ";;;;;;;;;", "a;b;c;d;1;1;0;0;5", "a;b;c;d;x;1;0;0;5;5", "%zz;b;c;d;1;1;0;0;5;5"} {
		_, err := decodeCall(text)
		assert.Error(t, err, text)
	}
	r := &ruling{verdict: notRun, reason: reasonFull, inner: true, arrived: true, retryAfter: 20 * time.Millisecond, hasLoad: true}
	r.load.Limit, r.load.Answered = 9, 0.5
	got, ok := decodeRuling(http.Header{headerReply: {r.encode()}})
	require.True(t, ok)
	assert.Equal(t, r, got)
	for _, text := range []string{"", "answered", "maybe;x;0;0", "answered;;0;x"} {
		_, ok := decodeRuling(http.Header{headerReply: {text}})
		assert.False(t, ok, text)
	}
}
