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
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	clients := make([]net.Conn, 5)
	for i := range clients {
		clients[i], err = net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer clients[i].Close()
		_, err = clients[i].Write([]byte("POST /payment HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"))
		require.NoError(t, err)
	}

	stopped := make(chan struct{})
	go func() { assert.NoError(t, listener.Drain(testLimit)); close(stopped) }()
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
	require.ErrorIs(t, group.Wait(), net.ErrClosed) // before Shutdown, which would replace the error of Accept
	require.NoError(t, server.Shutdown(t.Context()))
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.Error(t, err, "the socket is closed")
}

func TestListener_DrainUnblocksAccept(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	result := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		result <- err
	}()
	require.NoError(t, listener.Drain(testLimit))
	assert.ErrorIs(t, <-result, net.ErrClosed)
	require.NoError(t, listener.Drain(testLimit)) // a second call returns immediately
}

// Guards against a planned stop that reports a failure since the HTTP server closes the listener after Drain has closed it.
func TestListener_CloseAfterDrain(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { _, _ = listener.Accept() }()
	require.NoError(t, listener.Drain(testLimit))
	assert.NoError(t, listener.Close())
}
