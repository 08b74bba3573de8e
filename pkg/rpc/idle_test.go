package rpc

import (
	"context"
	"encoding/json"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Pattern: a node exchanges few messages with dozens of others. Guards against connections that hold large buffers and many goroutines while idle.
func TestIdleConnections_NeedLittleMemory(t *testing.T) {
	const servers, maxBytes, goroutines = 100, 4 << 10, 4
	client := NewClient(&Counters{}, nil)
	defer client.Close()
	var addresses []string
	for range servers {
		server := NewServer(&Counters{})
		server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go server.Serve(listener, nil)
		defer server.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	heapBefore, goroutinesBefore := heapBytes(), runtime.NumGoroutine()
	for _, address := range addresses {
		var echoed string
		require.NoError(t, client.Call(t.Context(), address, "echo", "hello", &echoed))
		require.Equal(t, "hello", echoed)
	}
	assert.Less(t, (heapBytes()-heapBefore)/(2*servers), maxBytes, "bytes for each side of a connection")
	assert.LessOrEqual(t, runtime.NumGoroutine()-goroutinesBefore, servers*goroutines, "two for each side of a connection")
}

func heapBytes() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one only moves pooled objects aside
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
