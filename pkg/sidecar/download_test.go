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

	"github.com/laburnumcleat/laburnumcleat/pkg/link"
)

const downloadBytes = 700_000

func downloads(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", downloadBytes))
}

// viaOther makes the first of two nodes send its requests to the second one's backend server.
func viaOther(t testing.TB) (m *mesh, first, second *testNode) {
	m = newMesh(t, 2)
	first, second = m.nodes[0], m.nodes[1]
	first.announce(true)
	m.eventually("one backend server is left", func() bool { return len(first.endpoints("s")) == 1 })
	return m, first, second
}

func (n *testNode) running() int { return n.inbound.instance.Load().admission.Load("safe").Running }

func TestDownloadIsDeliveredWhole(t *testing.T) {
	m, first, second := viaOther(t)
	second.backend.on(downloads)
	for _, n := range m.nodes {
		a, _ := m.call(n, "GET", "/safe/", "")
		assert.Equal(t, http.StatusOK, a.status)
		assert.Len(t, a.body, downloadBytes)
		assert.Equal(t, strconv.Itoa(downloadBytes), a.header.Get("Content-Length"))
	}
	assert.EqualValues(t, downloadBytes, first.outbound.history.answerLength("safe"))
	assert.EqualValues(t, defaultBufferBytes, second.buffers.Left())
}

// A caller that does not read holds neither the slot nor, after it has gone, the memory.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	m, first, second := viaOther(t)
	second.backend.on(downloads)
	conn, err := net.Dial("tcp", first.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: slow\r\n\r\n")
	require.NoError(t, err)
	m.eventually("the backend server has answered", func() bool { return len(second.backend.requests()) == 1 })
	m.eventually("the slot is free", func() bool { return second.running() == 0 })
	conn.Close()
	m.eventually("the memory is free", func() bool { return second.buffers.Left() == defaultBufferBytes })
}

// A download that breaks off at the backend server after its beginning was passed on ends as a cut, and is not sent again.
func TestDownloadThatBreaksOff(t *testing.T) {
	m, first, second := viaOther(t)
	const stated = 3 * maxBufferedAnswer // longer than what is taken whole
	second.backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Length", strconv.Itoa(stated))
		_, _ = io.WriteString(w, strings.Repeat("x", stated/2))
		panic(http.ErrAbortHandler)
	})
	r, _ := m.request(context.Background(), first, "GET", "/safe/", "")
	a := send(r)
	assert.ErrorIs(t, a.err, io.ErrUnexpectedEOF)
	assert.Len(t, second.backend.requests(), 1)
	m.eventually("the slot is free", func() bool { return second.running() == 0 })
}

// One that is taken whole is not begun, and may be sent again.
func TestShorterDownloadThatBreaksOff(t *testing.T) {
	m, first, second := viaOther(t)
	second.backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", downloadBytes/2))
		panic(http.ErrAbortHandler)
	})
	a, _ := m.call(first, "GET", "/safe/", "")
	assert.Equal(t, http.StatusBadGateway, a.status)
	assert.EqualValues(t, defaultBufferBytes, second.buffers.Left())
}

// An answer without end is cut at the deadline. The node's memory does not grow with it.
func TestAnswerWithoutEnd(t *testing.T) {
	m, first, second := viaOther(t)
	second.backend.on(func(w http.ResponseWriter, r *http.Request, _ string) {
		piece := strings.Repeat("x", 32<<10)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
	})
	r, _ := m.request(context.Background(), first, "GET", "/short/", "")
	began := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err, "it is not complete")
	assert.Less(t, time.Since(began), 2*time.Second, "the route's time limit is 200 ms")
	m.eventually("the slot is free", func() bool { return second.running() == 0 })
	assert.EqualValues(t, defaultBufferBytes, second.buffers.Left())
	second.backend.on(nil)
	a, _ := m.call(first, "GET", "/safe/mine", "")
	assert.Equal(t, "GET /safe/mine ", a.body)
}

// Pattern: long answers queue for a thin link. A call whose answer could not be in time is refused at once, unsent, with a time to come
// back; short answers go on.
func TestFullLinkRefusesLongAnswers(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	thin := link.New(1)
	n.link, n.inbound.link, n.outbound.link = thin, thin, thin
	n.inbound.history.answered("safe", 100_000)
	thin.Reserve(1_000_000) // 8 s at 1 Mbit/s
	began := time.Now()
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Less(t, time.Since(began), time.Second)
	assert.Contains(t, a.body, string(reasonLink))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Positive(t, after)
	assert.Empty(t, n.backend.requests())
	a, _ = m.call(n, "GET", "/short/", "")
	assert.Equal(t, http.StatusOK, a.status)
}

// BenchmarkDownload measures downloads of 90 KB through two nodes, and the most heap that was in use. Clients, nodes and backend server
// run in this process.
func BenchmarkDownload(b *testing.B) {
	const length = 90_000
	_, first, second := viaOther(b)
	body := strings.Repeat("x", length)
	second.backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = io.WriteString(w, body)
	})
	conn, err := net.Dial("tcp", first.settings.Listen.Callers)
	require.NoError(b, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.SetBytes(length)
	b.ReportAllocs()
	var most uint64
	for i := 0; b.Loop(); i++ {
		oneRequest(b, conn, reader)
		if i%64 == 0 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
		}
	}
	b.ReportMetric(float64(most)/1e6, "peak-heap-MB")
	require.EqualValues(b, defaultBufferBytes, second.buffers.Left(), "memory is given back")
}
