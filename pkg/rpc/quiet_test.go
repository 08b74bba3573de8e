package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// silencingListener accepts connections that go silent without a reset when silence is closed. Those that are accepted later work.
type silencingListener struct {
	net.Listener
	silence chan struct{}
}

func (l *silencingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	select {
	case <-l.silence:
		return conn, err
	default:
		return &silencedConn{Conn: conn, silence: l.silence, closed: make(chan struct{})}, err
	}
}

type silencedConn struct {
	net.Conn
	silence chan struct{}
	close   sync.Once
	closed  chan struct{}
}

func (c *silencedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silence:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silencedConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against calls that time out one after the other after a network has silently dropped all connections: each would be the first on its
// connection.
func TestCall_ReplacesConnectionsThatWentSilentTogether(t *testing.T) {
	silence := make(chan struct{})
	var addresses []string
	for range 3 {
		server := NewServer(&Counters{})
		server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
		listener := listen(t)
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(&silencingListener{listener, silence}, nil) })
		t.Cleanup(func() { server.Close(); serving.Wait() })
		addresses = append(addresses, listener.Addr().String())
	}
	client := startClient(t, nil)
	for _, address := range addresses {
		require.NoError(t, echo(testContext(t), client, address, "before"))
	}
	close(silence)
	ctx, cancel := context.WithTimeout(context.Background(), 2*minSilence)
	defer cancel()
	require.Equal(t, apierror.Unavailable, apierror.KindOf(echo(ctx, client, addresses[0], "lost")))
	for _, address := range addresses {
		ctx, cancel := context.WithTimeout(context.Background(), minSilence)
		defer cancel()
		assert.NoError(t, echo(ctx, client, address, "found"))
	}
}

// Guards against a client that reconnects to all nodes again and again since one of them does not respond.
func TestCall_UnresponsiveNodeDoesNotReplaceConnectionsAgain(t *testing.T) {
	_, healthy := startServer(t, nil)
	client := startClient(t, nil)
	unresponsive := listen(t) // accepts no connection
	var conns []*peer
	for range 3 {
		require.NoError(t, echo(testContext(t), client, healthy, "hello"))
		conns = append(conns, client.cached(healthy))
		ctx, cancel := context.WithTimeout(context.Background(), 2*minSilence)
		defer cancel()
		require.Error(t, echo(ctx, client, unresponsive.Addr().String(), "lost"))
	}
	assert.NotSame(t, conns[0], conns[1], "the healthy connection was quiet meanwhile")
	assert.Same(t, conns[1], conns[2])
}
