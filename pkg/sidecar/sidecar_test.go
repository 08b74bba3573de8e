package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
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

func TestRequest_ForwardedUnchanged(t *testing.T) {
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
	assert.Empty(t, a.header.Get(headerReply), "internal header fields must not reach the caller")
	seen := m.nodes[0].backend.headers
	assert.Equal(t, "s", seen.Get(testHeaders.Caller))
	assert.Equal(t, "kept", seen.Get("X-Own"))
	assert.Empty(t, seen.Get(headerCall))
	left, err := strconv.Atoi(seen.Get(testHeaders.DeadlineMS))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 700)
	assert.Positive(t, left)
}

func TestLocalResponses(t *testing.T) {
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

// A chunked body declares no length, so its size is known only after it was read.
func TestBodyLimit_ChunkedBody(t *testing.T) {
	m := newMesh(t, 1)
	document := testDocument(2)
	document.Limits.BodyBytes = 1000
	m.platform.publish(document)
	n := m.nodes[0]
	m.eventually("the limit is in force", func() bool { return n.follower.Table().Document.Version == 2 })
	for size, status := range map[int]int{1000: http.StatusOK, 1001: http.StatusRequestEntityTooLarge, maxBufferedBody + 1: http.StatusRequestEntityTooLarge} {
		r, _ := m.request(context.Background(), n, "POST", "/unsafe/", strings.Repeat("x", size))
		r.ContentLength = -1
		a := send(r)
		require.NoError(t, a.err)
		assert.Equal(t, status, a.status, "%d bytes", size)
	}
	assert.Len(t, n.backend.requests(), 1)
}

// A pipelined request waits behind a slow one. The deadline passed to the backend server must be reduced by that wait.
func TestDeadline_ReducedByPipelineWait(t *testing.T) {
	const serviceTime, deadlineMS = 300 * time.Millisecond, 1000
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.backend.setHandler(func(http.ResponseWriter, *http.Request, string) { time.Sleep(serviceTime) })
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	for range 2 {
		_, err = fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
			testHeaders.RequestID, m.newID(), testHeaders.DeadlineMS, deadlineMS)
		require.NoError(t, err)
	}
	m.eventually("both requests were executed", func() bool { return len(n.backend.requests()) == 2 })
	n.backend.mu.Lock()
	defer n.backend.mu.Unlock()
	left, err := strconv.Atoi(n.backend.headers.Get(testHeaders.DeadlineMS))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, deadlineMS-int(serviceTime.Milliseconds()))
}

// After a full restart, reading the published configuration takes long on low-bandwidth links. Nodes start with the copy; if it is stale,
// the readers detect that and all nodes move to the newer version. A malformed copy must not prevent the start.
func TestStart_FromConfigurationCopy(t *testing.T) {
	m := newMesh(t, 2)
	m.awaitCopy()
	old := m.platform.copy()
	m.platform.publish(testDocument(2))
	m.eventually("the copy is updated", func() bool { return !bytes.Equal(m.platform.copy(), old) })
	m.platform.mu.Lock()
	m.platform.copied = old
	m.platform.mu.Unlock()
	n := m.start(2)
	fromCopy := regexp.MustCompile(`node=` + n.settings.ID + ` .*before=0 from=copy`)
	m.eventually("the node starts with the copy", func() bool { return fromCopy.MatchString(m.log.String()) })
	m.eventually("the node moves to the newer version", func() bool { return n.follower.Table().Document.Version == 2 })

	m.platform.mu.Lock()
	m.platform.copied = []byte("not a copy")
	m.platform.mu.Unlock()
	n = m.start(3)
	m.eventually("the node starts despite a malformed copy", func() bool { return n.follower.Table() != nil })
}

// When hundreds of nodes start for the first time, calls to the store are costly. The store is still empty, so a single long poll for the
// first configuration is enough.
func TestFirstStart_OnlyLongPolls(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform(), firstStart: true}
	n := m.start(0)
	m.eventually("the node polls the store", func() bool { m.platform.mu.Lock(); defer m.platform.mu.Unlock(); return len(m.platform.calls) > 0 })
	m.platform.publish(testDocument(1))
	m.eventually("the node has the configuration", func() bool { return n.follower.Table() != nil })
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	assert.Equal(t, "next", m.platform.calls[0])
	assert.NotContains(t, m.platform.calls, "copy")
	assert.NotContains(t, m.platform.calls, "newest")
}

// Pattern: the whole fleet starts for the first time. Guards against calls to the store of every node for a configuration that a few readers
// can relay.
func TestFirstStart_FewNodesPollTheStore(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform(), firstStart: true, dataCentre: "dc"}
	for i := range 6 {
		m.start(i)
	}
	m.eventually("some nodes poll the store", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return len(m.platform.pollers) == readersPerDataCentre
	})
	m.platform.publish(testDocument(1))
	m.waitReady()
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	assert.Len(t, m.platform.pollers, readersPerDataCentre)
	assert.Contains(t, m.log.String(), "before=0 from=relay")
}

// Pattern: a whole fleet starts for the first time. Guards against a read of the directory by every node: the nodes that have not read it
// are found by the others.
func TestFirstStart_FewNodesReadTheDirectory(t *testing.T) {
	const nodes = 16
	m := &mesh{t: t, platform: newFakePlatform(), firstStart: true, dataCentre: "dc"}
	for i := range nodes {
		m.start(i)
	}
	m.platform.publish(testDocument(1))
	m.waitReady()
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	assert.Less(t, m.platform.directoryReads, nodes/2)
	assert.Len(t, m.platform.registers, nodes)
}

// Guards against polls of the store by all readers of a data centre in the same short intervals: one of them has to notice soon that the store
// drops its requests, the others have to be there when it fails.
func TestReaders_OnlyFirstPollsInShortIntervals(t *testing.T) {
	m := newDataCentre(t, 4)
	m.eventually("both readers poll", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return len(m.platform.pollers) >= readersPerDataCentre
	})
	m.platform.publish(testDocument(2))
	m.eventually("the waits of the polls differ", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return slices.Contains(slices.Collect(maps.Values(m.platform.waits)), standbyPollWait)
	})
}

func TestNoConfiguration_Returns503(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform()}
	n := m.start(0)
	m.eventually("listens", func() bool {
		r, _ := m.request(context.Background(), n, "GET", "/unknown/", "")
		a := send(r)
		return a.err == nil && a.status == http.StatusServiceUnavailable
	})
	assert.False(t, n.isReady())
}

// The backend server executes the request, then its connection breaks. A non-idempotent request runs once and returns 502; an idempotent
// one is retried on another backend server.
func TestConnectionLost_RetriesOnlyIdempotent(t *testing.T) {
	m := newMesh(t, 2)
	m.nodes[0].backend.setHandler(func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) })
	a, id := m.call(m.nodes[0], "POST", "/unsafe/", "order")
	assert.Equal(t, http.StatusBadGateway, a.status)
	assert.Equal(t, []string{id}, m.nodes[0].backend.requests())
	assert.Empty(t, m.nodes[1].backend.requests())

	a, id = m.call(m.nodes[0], "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, []string{id}, m.nodes[1].backend.requests())
}

// A backend server reports that it did not execute the request: even a non-idempotent request is retried on another one, within the route's
// max_attempts, and the final 503 still means not executed.
func TestShedRequest_RetriedElsewhere(t *testing.T) {
	m := newMesh(t, 3)
	shed := func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set(testHeaders.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	m.nodes[0].backend.setHandler(shed)
	a, _ := m.call(m.nodes[0], "POST", "/unsafe/", "order")
	assert.Equal(t, http.StatusOK, a.status)

	for _, n := range m.nodes {
		n.backend.setHandler(shed)
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

func TestFaultyBackendResponses(t *testing.T) {
	m := newMesh(t, 1)
	b := m.nodes[0].backend
	for name, c := range map[string]struct {
		handle func(w http.ResponseWriter, r *http.Request, body string)
		want   int
	}{
		"unsigned success":                   {func(w http.ResponseWriter, _ *http.Request, _ string) { w.Header().Del(testHeaders.Signature) }, http.StatusBadGateway},
		"error status of the backend server": {func(w http.ResponseWriter, _ *http.Request, _ string) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError},
		"truncated body": {func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set("Content-Length", "10")
			w.Write([]byte("12345"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
	} {
		b.setHandler(c.handle)
		a, _ := m.call(m.nodes[0], "POST", "/unsafe/", "order")
		assert.Equal(t, c.want, a.status, name)
		if c.want == http.StatusBadGateway {
			assert.Empty(t, a.header.Get(testHeaders.Signature), name)
		}
	}
}

// A late response to another request must not be delivered; the matching response may follow until the deadline.
func TestMismatchedResponse_NotDelivered(t *testing.T) {
	m := newMesh(t, 1)
	m.nodes[0].backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set(testHeaders.RequestID, "other")
		w.Write([]byte("foreign"))
	})
	a, _ := m.call(m.nodes[0], "GET", "/short/", "")
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
	assert.NotContains(t, a.body, "foreign")
}

// Once Announce has returned, a draining backend server receives no more requests, whatever other nodes know.
func TestAcknowledgedDrain_NoMoreRequests(t *testing.T) {
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
	m.eventually("the first backend server is used", func() bool {
		r, _ := m.request(context.Background(), m.nodes[0], "GET", "/safe/", "")
		send(r)
		return len(m.nodes[0].backend.requests()) > 0
	})
	draining := m.nodes[0]
	require.Equal(t, announce.Accepted, draining.announce(true))
	m.eventually("requests forwarded before the drain have arrived", func() bool {
		before := len(draining.backend.requests())
		time.Sleep(50 * time.Millisecond)
		return before == len(draining.backend.requests())
	})
	before := len(draining.backend.requests())
	for range 20 {
		a, _ := m.call(draining, "GET", "/safe/", "")
		assert.Equal(t, http.StatusOK, a.status)
	}
	assert.Len(t, draining.backend.requests(), before)
	stop()
	callers.Wait()
}

func TestCallerDisconnect_CancelsOnlyIdempotent(t *testing.T) {
	m := newMesh(t, 2)
	running, ended := make(chan string, 1), make(chan bool, 1)
	for _, n := range m.nodes {
		n.backend.setHandler(func(_ http.ResponseWriter, r *http.Request, _ string) {
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
		ctx, disconnect := context.WithCancel(context.Background())
		r, _ := m.request(ctx, m.nodes[0], "GET", path, "")
		go send(r)
		assert.Equal(t, path, <-running)
		disconnect()
		assert.Equal(t, cancelled, <-ended, path)
	}
}

func TestRouteTimeout_Returns504(t *testing.T) {
	m := newMesh(t, 1)
	release := make(chan struct{})
	m.nodes[0].backend.setHandler(func(http.ResponseWriter, *http.Request, string) { <-release })
	defer close(release)
	a, _ := m.call(m.nodes[0], "GET", "/short/", "")
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
}

// A node that the store refuses gets the configuration from another node, and never reverts to an older version.
func TestConfiguration_FromOtherNodes(t *testing.T) {
	m := newMesh(t, 3)
	m.platform.refuse(true, m.nodes[2])
	m.platform.publish(testDocument(2)) // wakes pending long polls
	m.eventually("the new version is in force everywhere", func() bool {
		for _, n := range m.nodes {
			if n.follower.version() != 2 {
				return false
			}
		}
		return true
	})
	// Nodes exchange the change, or the full configuration with a node whose version is no longer kept.
	for newer, change := range map[uint64]bool{1: true, 0: false} {
		served, err := m.nodes[0].follower.serveDocument(context.Background(), []byte(`{"newer":`+strconv.FormatUint(newer, 10)+`}`))
		require.NoError(t, err)
		result := served.(documentResult)
		assert.Equal(t, change, result.Change != nil)
		assert.Equal(t, !change, result.Full != nil)
		if !change {
			full, err := decodeCompressed[routing.Document](result.Full)
			require.NoError(t, err)
			assert.Equal(t, testDocument(2), full)
		}
	}
	m.nodes[0].follower.activate(testDocument(1), nil, "test")
	assert.EqualValues(t, 2, m.nodes[0].follower.version())
	faulty := testDocument(3)
	faulty.Routes[0].Destinations[0].Service = "nobody"
	m.nodes[0].follower.activate(faulty, nil, "test")
	assert.EqualValues(t, 2, m.nodes[0].follower.version(), "an invalid configuration must be rejected entirely")
}

// While a data centre is unreachable, relaying a change takes until its timeout. Meanwhile the next version must be read.
func TestFollower_ReadsDuringSlowRelay(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform()}
	m.platform.publish(testDocument(1))
	relaying, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	m.adjust = func(n *Node) {
		n.follower.onChange = func(*routing.Change) {
			once.Do(func() { close(relaying) })
			<-release
		}
	}
	defer close(release)
	n := m.start(0)
	m.eventually("the first version", func() bool { return n.follower.version() == 1 })
	m.platform.publish(testDocument(2))
	<-relaying
	m.platform.publish(testDocument(3))
	m.eventually("the next version", func() bool { return n.follower.version() == 3 })
}

// During a graceful shutdown under load, every request that was sent gets a response, and none is cancelled at its backend server.
func TestGracefulShutdown_AnswersAllRequests(t *testing.T) {
	m := newMesh(t, 2)
	for _, n := range m.nodes {
		n.backend.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
			select {
			case <-r.Context().Done():
				n.backend.abandoned <- r.Header.Get(testHeaders.RequestID)
			case <-time.After(30 * time.Millisecond):
			}
		})
	}
	stopping := m.nodes[0]
	var callers sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	sent := 0
	for range 4 {
		callers.Go(func() {
			for {
				r, _ := m.request(context.Background(), stopping, "POST", "/unsafe/", "order")
				a := send(r)
				var dialed *net.OpError
				if errors.As(a.err, &dialed) && dialed.Op == "dial" {
					return // the listener is closed; nothing was sent
				}
				mu.Lock()
				sent++
				if a.err != nil {
					failures = append(failures, a.err)
				}
				mu.Unlock()
			}
		})
	}
	m.eventually("requests are in flight", func() bool { mu.Lock(); defer mu.Unlock(); return sent > 20 })
	stopping.stop()
	require.NoError(t, <-stopping.done)
	stopping.done <- nil // for the cleanup
	callers.Wait()
	assert.Empty(t, failures)
	assert.Empty(t, stopping.backend.abandoned)
}

// Guards against a process that outlives its grace period because a step of the shutdown does not end: it would be killed without a word
// on what it waited for.
func TestShutdown_EndsAndReportsBeforeGracePeriod(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	release := make(chan struct{})
	defer close(release)
	m.platform.holdLeave = release
	n.settings.Bounds.GracePeriod = Duration(2 * time.Second)
	start := time.Now()
	n.stop()
	require.ErrorIs(t, <-n.done, errShutdownOverdue)
	n.done <- nil // for the cleanup
	assert.Less(t, time.Since(start), 2*time.Second)
	assert.Contains(t, m.log.String(), "event=shutdown_overdue")
	assert.Contains(t, m.log.String(), "step=leave")
	assert.Contains(t, m.log.String(), "Remove", "the stacks show the step that does not end")
}

// Every request is counted exactly once, by its outcome.
func TestOutboundMetric_CountsEachRequestOnce(t *testing.T) {
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

func TestCallAndReply_EncodeDecode(t *testing.T) {
	c := &call{service: "a;b", class: "r 1", caller: "ü", node: "n", rank: 2, idempotent: true, callerRetry: true, retry: true, noQueue: true, targetRemaining: -5 * time.Millisecond, deadlineRemaining: time.Second}
	decoded, err := decodeCall(c.encode())
	require.NoError(t, err)
	assert.Equal(t, c, decoded)
	for _, text := range []string{"", ";;;;;;;;;", "a;b;c;d;1;1;0;0;5", "a;b;c;d;x;1;0;0;5;5", "%zz;b;c;d;1;1;0;0;5;5"} {
		_, err := decodeCall(text)
		assert.Error(t, err, text)
	}
	r := &callReply{verdict: verdictNotRun, reason: reasonFull, nested: true, arrived: true, retryAfter: 20 * time.Millisecond, hasLoad: true}
	r.load.Limit, r.load.Answered = 9, 0.5
	got, ok := decodeReply(http.Header{headerReply: {r.encode()}})
	require.True(t, ok)
	assert.Equal(t, r, got)
	for _, text := range []string{"", "answered", "maybe;x;0;0", "answered;;0;x"} {
		_, ok := decodeReply(http.Header{headerReply: {text}})
		assert.False(t, ok, text)
	}
}

// Guards against a retry budget that does not count the nested calls which a backend server makes again while it serves a retry.
func TestInbound_RetryShare(t *testing.T) {
	in := &inbound{}
	assert.Zero(t, in.retryShare())
	endFirst, endRetry := in.countRunning(&call{}), in.countRunning(&call{retry: true})
	assert.Equal(t, 0.5, in.retryShare())
	endFirst()
	assert.Equal(t, 1.0, in.retryShare())
	endRetry()
	assert.Zero(t, in.retryShare())
}
