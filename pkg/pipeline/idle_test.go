package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Pattern: many callers keep connections open on which little happens. Guards against buffers that idle connections hold: with 4 KiB or more
// each, they were half of the heap of a node.
func TestIdleConnections_HoldNoBuffer(t *testing.T) {
	const connections, bufferBytes = 200, 4 << 10
	f := startServer(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	before := heapBytes()
	conns := make([]net.Conn, connections)
	for i := range conns {
		conn, err := net.Dial("tcp", f.address)
		require.NoError(t, err)
		defer conn.Close()
		conns[i] = conn
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	assert.Less(t, (heapBytes()-before)/connections, bufferBytes, "bytes for each connection, with the side of the caller")
}

func heapBytes() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one only moves pooled objects aside
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
