package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
)

const downloadBytes = 700_000

func serveDownload(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", downloadBytes))
}

// newForwardingMesh starts two nodes of which the first forwards its requests to the second one's backend server.
func newForwardingMesh(t testing.TB) (m *mesh, first, second *testNode) {
	m = newMesh(t, 2)
	first, second = m.nodes[0], m.nodes[1]
	first.announce(true)
	m.eventually("one backend server remains", func() bool { return len(first.endpoints("s")) == 1 })
	return m, first, second
}

func (n *testNode) running() int { return n.inbound.instance.Load().admission.Load("safe").Running }

func TestDownload_DeliveredCompletely(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	second.backend.setHandler(serveDownload)
	for _, n := range m.nodes {
		a, _ := m.call(n, "GET", "/safe/", "")
		assert.Equal(t, http.StatusOK, a.status)
		assert.Len(t, a.body, downloadBytes)
		assert.Equal(t, strconv.Itoa(downloadBytes), a.header.Get("Content-Length"))
	}
	assert.EqualValues(t, downloadBytes, first.outbound.stats.meanResponseBytes("safe"))
	assert.EqualValues(t, defaultBufferBytes, second.buffers.Available())
}

// A caller that does not read must not occupy the slot, nor buffer memory after it has disconnected.
func TestDownload_SlowReaderHoldsNoSlot(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	second.backend.setHandler(serveDownload)
	conn, err := net.Dial("tcp", first.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: slow\r\n\r\n")
	require.NoError(t, err)
	m.eventually("the backend server has received the request", func() bool { return len(second.backend.requests()) == 1 })
	m.eventually("the slot is free", func() bool { return second.running() == 0 })
	conn.Close()
	m.eventually("the buffer memory is released", func() bool { return second.buffers.Available() == defaultBufferBytes })
}

// If the backend server breaks off a streamed download, the caller sees a truncated response, and the request is not retried.
func TestDownload_TruncatedWhileStreaming(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	const declared = 3 * maxBufferedResponse // too long to be buffered
	second.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Length", strconv.Itoa(declared))
		_, _ = io.WriteString(w, strings.Repeat("x", declared/2))
		panic(http.ErrAbortHandler)
	})
	r, _ := m.request(context.Background(), first, "GET", "/safe/", "")
	a := send(r)
	assert.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
	assert.Len(t, second.backend.requests(), 1)
	m.eventually("the slot is free", func() bool { return second.running() == 0 })
}

// A truncated download that fits the buffer has not been started towards the caller, so the node can still retry it or return 502.
func TestDownload_TruncatedWhileBuffered(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	second.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", downloadBytes/2))
		panic(http.ErrAbortHandler)
	})
	a, _ := m.call(first, "GET", "/safe/", "")
	assert.Equal(t, http.StatusBadGateway, a.status)
	assert.EqualValues(t, defaultBufferBytes, second.buffers.Available())
}

// An endless response is cut off at the deadline and must not grow the node's memory.
func TestDownload_EndlessResponse(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	second.backend.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
		piece := strings.Repeat("x", 32<<10)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
	})
	r, _ := m.request(context.Background(), first, "GET", "/short/", "")
	start := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err, "the response is incomplete")
	assert.Less(t, time.Since(start), 2*time.Second, "the download must be cut off at the route timeout of 200 ms")
	m.eventually("the slot is free", func() bool { return second.running() == 0 })
	assert.EqualValues(t, defaultBufferBytes, second.buffers.Available())
	second.backend.setHandler(nil)
	a, _ := m.call(first, "GET", "/safe/mine", "")
	assert.Equal(t, "GET /safe/mine ", a.body)
}

// Long responses queue for a low-bandwidth link. A call whose response would be late is rejected immediately, unsent, with Retry-After;
// calls with short responses are still served.
func TestFullLink_RejectsLongResponses(t *testing.T) {
	slowLink := link.New(1)
	m := &mesh{t: t, platform: newFakePlatform(), adjust: func(n *Node) { n.link, n.inbound.link, n.outbound.link = slowLink, slowLink, slowLink }}
	m.platform.publish(testDocument(1))
	n := m.start(0)
	m.waitReady()
	n.inbound.stats.observeResponse("safe", 100_000)
	slowLink.CountShort(1_000_000) // 8 s at 1 Mbit/s
	start := time.Now()
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Less(t, time.Since(start), time.Second)
	assert.Contains(t, a.body, string(reasonLinkFull))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Positive(t, after)
	assert.Empty(t, n.backend.requests())
	a, _ = m.call(n, "GET", "/short/", "")
	assert.Equal(t, http.StatusOK, a.status)
}

// Pattern: a burst of downloads that no node can send in time, on links that idle otherwise. Guards against refusing what can still be served late, and against
// accepting it where the response comes after the deadline.
func TestFullLink_LateResponseIsAcceptedLast(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	const megabits, target = 4, time.Second
	slowLink := link.New(megabits)
	second.inbound.link = slowLink
	second.inbound.stats.observeResponse("safe", 100_000)
	second.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		_, _ = io.WriteString(w, "ok")
	})
	slowLink.CountShort(int64(target.Seconds() * megabits * 1e6 / 8)) // more than can be sent until the target
	a, _ := m.call(first, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.EqualValues(t, 1, second.metrics.Counter("link_late_accepted").Count())
	assert.EqualValues(t, 1, first.metrics.Counter("outbound_late_attempt").Count())
	slowLink.CountShort(20_000_000) // more than until the deadline
	a, _ = m.call(first, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
}

// Guards against news of a full link that does not reach the node that chooses, and against a malformed value that makes a reply unreadable.
func TestReply_TellsLinkBacklog(t *testing.T) {
	sent := callReply{verdict: verdictNotRun, reason: reasonLinkFull, hasLoad: true}
	sent.load.LinkBacklog = 250 * time.Millisecond
	header := http.Header{}
	header.Set(headerReply, sent.encode())
	setExtension(header, sent.extension())
	got, ok := decodeReply(header)
	require.True(t, ok)
	assert.Equal(t, sent.load.LinkBacklog, got.load.LinkBacklog)
	header.Set(headerExtension, extensionLinkBacklog+"=soon")
	got, ok = decodeReply(header)
	require.True(t, ok)
	assert.Zero(t, got.load.LinkBacklog)
	assert.Nil(t, (&callReply{hasLoad: true}).extension(), "nothing is sent while the link is idle")
}

// BenchmarkDownload measures 90 KB downloads through two nodes, and the peak heap in use. Client, nodes and backend server run in this
// process.
func BenchmarkDownload(b *testing.B) {
	const length = 90_000
	_, first, second := newForwardingMesh(b)
	body := strings.Repeat("x", length)
	second.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = io.WriteString(w, body)
	})
	conn, err := net.Dial("tcp", first.settings.Listen.Callers)
	require.NoError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.SetBytes(length)
	b.ReportAllocs()
	var peakHeap uint64
	for i := 0; b.Loop(); i++ {
		oneRequest(b, conn, reader)
		if i%64 == 0 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peakHeap = max(peakHeap, m.HeapInuse)
		}
	}
	b.ReportMetric(float64(peakHeap)/1e6, "peak-heap-MB")
	require.EqualValues(b, defaultBufferBytes, second.buffers.Available(), "buffers are released")
}

// Guards against a request that is offered as a late one and then refused because it may not wait for a slot.
func TestFullLink_LateRequestMayWaitForASlot(t *testing.T) {
	_, first, second := newForwardingMesh(t)
	o := first.outbound
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/safe/x", nil)
	require.NoError(t, err)
	q := &request{Request: r, route: o.table().Match("h.example", "/safe/x"), service: "s", out: &hop.Request{}, deadline: time.Now().Add(time.Second)}
	attempts := o.budget.Attempts(retry.Call{Service: "s"})
	links := linkRefusals{roomiest: second.settings.ID, backlog: 100 * time.Millisecond}
	choice := o.pickForLateResponse(q, refuse(0, reasonLinkFull), attempts, &links)
	require.NotNil(t, choice)
	defer choice.Done(placement.Healthy, nil)
	assert.False(t, choice.NoQueue)
	links.backlog = 2 * time.Second
	assert.Nil(t, o.pickForLateResponse(q, refuse(0, reasonLinkFull), attempts, &links), "it would end after the deadline")
}
