package graceful

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func serve(t *testing.T, handler http.HandlerFunc) (*Server, string, *errgroup.Group) {
	listener, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(&http.Server{Handler: handler}, listener)
	group := &errgroup.Group{}
	group.Go(func() error { return s.Serve(nil) })
	return s, listener.Addr().String(), group
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testLimit)))
	return c
}

const payment = "POST /payment HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"

// Guards against dropping a request that is read after Stop was called, as http.Server.Shutdown does: it returns without a
// response if c.server.shuttingDown().
func TestServer_AnswersRequestReadDuringStop(t *testing.T) {
	serving, release := make(chan struct{}), make(chan struct{})
	s, address, group := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(serving)
			<-release
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	slow := dial(t, address)
	_, err := slow.Write([]byte("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, err)
	<-serving
	late := dial(t, address)

	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	<-s.listener.drained
	_, err = late.Write([]byte(payment))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err, "request read during Stop")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.True(t, response.Close, "the connection must not be reused")

	close(release)
	_, err = http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	require.NoError(t, <-stopped)
	require.NoError(t, group.Wait())
}

func TestServer_StopClosesIdleAndUnusedConnections(t *testing.T) {
	s, address, group := serve(t, func(w http.ResponseWriter, _ *http.Request) {})
	kept := dial(t, address)
	_, err := kept.Write([]byte(payment))
	require.NoError(t, err)
	reader := bufio.NewReader(kept)
	_, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	silent := dial(t, address)
	require.NoError(t, s.Stop(t.Context()))
	require.NoError(t, group.Wait())
	_, err = reader.ReadByte()
	assert.Error(t, err)
	_, err = silent.Read(make([]byte, 1))
	assert.Error(t, err)
}

func TestServer_StopReturnsWhenContextEnds(t *testing.T) {
	serving, release := make(chan struct{}), make(chan struct{})
	s, address, group := serve(t, func(http.ResponseWriter, *http.Request) {
		close(serving)
		<-release
	})
	defer close(release)
	c := dial(t, address)
	_, err := c.Write([]byte(payment))
	require.NoError(t, err)
	<-serving
	ctx, cancel := shortContext(t)
	defer cancel()
	assert.Error(t, s.Stop(ctx))
	require.NoError(t, group.Wait())
}

func shortContext(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 100*time.Millisecond)
}
