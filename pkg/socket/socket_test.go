package socket

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func connPair(t *testing.T) (client, server net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

func TestIsClosedByPeer(t *testing.T) {
	for name, unread := range map[string]string{"nothing unread": "", "a pipelined request is unread": "GET / HTTP/1.1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			client, server := connPair(t)
			_, err := client.Write([]byte(unread))
			require.NoError(t, err)
			assert.False(t, IsClosedByPeer(server))
			assert.False(t, CallerLeft(WithConn(t.Context(), server)))
			require.NoError(t, client.Close())
			require.Eventually(t, func() bool { return IsClosedByPeer(server) }, 10*time.Second, time.Millisecond)
			assert.True(t, CallerLeft(WithConn(t.Context(), server)))
			assert.True(t, CallerLeft(context.WithoutCancel(WithConn(t.Context(), server))))
			assert.Equal(t, unread != "", HasUnread(server))
		})
	}
	_, server := connPair(t)
	require.NoError(t, server.Close())
	assert.False(t, IsClosedByPeer(server), "the descriptor may belong to another connection")
	assert.False(t, CallerLeft(t.Context()))
}

// Guards against a peer that has only closed its side and is taken for a lost connection, and the reverse.
func TestIsReset(t *testing.T) {
	client, server := connPair(t)
	assert.False(t, IsReset(server))
	require.NoError(t, client.(*net.TCPConn).CloseWrite())
	require.Eventually(t, func() bool { return IsClosedByPeer(server) }, 10*time.Second, time.Millisecond)
	assert.False(t, IsReset(server))

	client, server = connPair(t)
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { return IsReset(server) }, 10*time.Second, time.Millisecond)
	n, err := server.Write([]byte("x")) // takes the error
	assert.Zero(t, n)
	assert.Error(t, err)
	assert.True(t, IsReset(server))
}
