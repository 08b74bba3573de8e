package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
)

// invalidStatusLines begin responses that no client can interpret.
var invalidStatusLines = []string{
	"HTTP/1.1 000 \r\n", "HTTP/1.1 099 Low\r\n", "HTTP/1.1 600 High\r\n", "HTTP/1.1 999 \r\n",
	"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// connections records the connections that requests arrive on.
type connections struct {
	mu    sync.Mutex
	peers []string
}

func (c *connections) add(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = append(c.peers, r.RemoteAddr)
}

// writeRaw writes a response with a status line of its own and keeps the connection open.
func writeRaw(w http.ResponseWriter, statusLine string) {
	head := statusLine
	for name := range w.Header() {
		head += name + ": " + w.Header().Get(name) + "\r\n"
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	go func() {
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 4\r\n\r\nbody", head)
		_, _ = conn.Read(make([]byte, 1)) // until the node closes the connection
	}()
}

// requireInvalidStatus checks that a caller got a failure that promises nothing, and that it is counted.
func requireInvalidStatus(t *testing.T, n *testNode, a callerResponse, line string) {
	t.Helper()
	require.Equal(t, http.StatusBadGateway, a.status, "%q: %s", line, a.body)
	require.Contains(t, a.body, `"outcome":"unknown","reason":"response_status"`, line)
	require.Positive(t, n.metrics.Values()[metrics.Name("outbound", "verdict", "unknown", "reason", string(reasonInvalidStatus))])
}

// Guards against a status of the backend server that no client can interpret: it is passed on, or the body is taken for the next response.
func TestResponseStatus_OfBackendServer(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	for _, line := range invalidStatusLines {
		var seen connections
		n.backend.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
			seen.add(r)
			if strings.HasSuffix(r.URL.Path, "/good") {
				fmt.Fprint(w, "good")
				return
			}
			writeRaw(w, line)
		})
		a, _ := m.call(n, "POST", "/unsafe/bad", "")
		requireInvalidStatus(t, n, a, line)
		a, _ = m.call(n, "GET", "/safe/good", "")
		assert.Equal(t, "good", a.body)
		require.Len(t, seen.peers, 2, "a request that may have run is not repeated")
		assert.NotEqual(t, seen.peers[0], seen.peers[1], "the connection is not used again")
	}
}

// Idempotent requests are repeated at another backend server, as after any response that cannot be used.
func TestResponseStatus_IdempotentRequestIsRepeated(t *testing.T) {
	m := newMesh(t, 2)
	var bad atomic.Int64
	for _, n := range m.nodes {
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
			if bad.Add(1) == 1 {
				writeRaw(w, invalidStatusLines[0])
				return
			}
			fmt.Fprint(w, "good")
		})
	}
	a, _ := m.call(m.nodes[0], "GET", "/safe/x", "")
	assert.Equal(t, "good", a.body)
	assert.EqualValues(t, 1, m.nodes[0].metrics.Values()[metrics.Name("outbound_retry", "reason", string(reasonInvalidStatus))])
}

// The same for a response of another node.
func TestResponseStatus_OfNode(t *testing.T) {
	var faulty atomic.Pointer[placement.Endpoint]
	m := &mesh{t: t, platform: newFakePlatform(), adjust: func(n *Node) {
		known := n.outbound.endpoints
		n.outbound.endpoints = func(service string) []placement.Endpoint {
			if e := faulty.Load(); e != nil {
				return []placement.Endpoint{*e}
			}
			return known(service)
		}
	}}
	m.startNodes(1)
	n := m.nodes[0]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var line atomic.Value
	var seen connections
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.add(r)
		reply := &callReply{verdict: verdictAnswered, arrived: true}
		w.Header().Set(headerReply, reply.encode())
		w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
		if strings.HasSuffix(r.URL.Path, "/good") {
			fmt.Fprint(w, "good")
			return
		}
		writeRaw(w, line.Load().(string))
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	for i, text := range invalidStatusLines {
		faulty.Store(&placement.Endpoint{ID: fmt.Sprint("other-", i), Address: listener.Addr().String(), DataCentre: "dc-0", Slots: 4})
		line.Store(text)
		seen.peers = nil
		a, _ := m.call(n, "POST", "/unsafe/bad", "")
		requireInvalidStatus(t, n, a, text)
		a, _ = m.call(n, "POST", "/unsafe/good", "")
		require.Equal(t, "good", a.body)
		require.Len(t, seen.peers, 2, "a request that may have run is not repeated")
		assert.NotEqual(t, seen.peers[0], seen.peers[1], "the connection is not used again")
	}
}
