package graceful

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const testLimit = 30 * time.Second // only reached when the test fails

// Guards against resets of connections in the accept backlog, on which requests have already been sent. The server starts only
// after Drain has started, so that all connections are in the backlog at that time.
func TestListener_DrainAcceptsBacklog(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner.(*net.TCPListener))
	clients := make([]net.Conn, 5)
	for i := range clients {
		clients[i], err = net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer clients[i].Close()
		_, err = clients[i].Write([]byte("POST /payment HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"))
		require.NoError(t, err)
	}

	stopped := make(chan struct{})
	go func() { listener.Drain(testLimit); close(stopped) }()
	<-listener.draining
	var group errgroup.Group
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	server := &http.Server{Handler: refuse}
	group.Go(func() error { return server.Serve(listener) })

	<-stopped
	for _, c := range clients {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(testLimit)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "request sent before the socket was closed")
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	require.NoError(t, server.Shutdown(t.Context()))
	require.ErrorIs(t, group.Wait(), net.ErrClosed)
	_, err = net.Dial("tcp", inner.Addr().String())
	assert.Error(t, err, "the socket is closed")
}

func TestListener_DrainUnblocksAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner.(*net.TCPListener))
	result := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		result <- err
	}()
	listener.Drain(testLimit)
	assert.ErrorIs(t, <-result, net.ErrClosed)
	listener.Drain(testLimit) // a second call returns immediately
}
