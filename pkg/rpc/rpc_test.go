package rpc

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// startServer serves the methods "echo", "fail", "large" and "wait". "wait" returns when its context ends.
func startServer(t *testing.T, tlsConfig *tls.Config) (*Server, string) {
	t.Helper()
	server := NewServer(&Counters{})
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	server.Handle("fail", func(context.Context, json.RawMessage) (any, error) {
		return nil, &apierror.Error{Kind: apierror.Conflict, Field: "base", Message: "is stale", Remedy: "read again"}
	})
	server.Handle("large", func(context.Context, json.RawMessage) (any, error) {
		return strings.Repeat("x", MaxMessageBytes), nil
	})
	server.Handle("wait", func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	listener := listen(t)
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener, tlsConfig) })
	t.Cleanup(func() { server.Close(); serving.Wait() })
	return server, listener.Addr().String()
}

func startClient(t *testing.T, tlsConfig *tls.Config) *Client {
	t.Helper()
	client := NewClient(&Counters{}, tlsConfig)
	t.Cleanup(client.Close)
	return client
}

// testContext has a long timeout that only ends calls that hang; no test result depends on the duration of a call.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func echo(ctx context.Context, c *Client, address, text string) error {
	var got string
	if err := c.Call(ctx, address, "echo", text, &got); err != nil {
		return err
	}
	if got != text {
		return errors.New("got the response to another call: " + got)
	}
	return nil
}

// Guards against errors that lose their kind or remedy on the wire, and against calls to unknown methods that hang.
func TestCall_ReturnsTypedErrors(t *testing.T) {
	_, address := startServer(t, nil)
	client := startClient(t, nil)
	ctx := testContext(t)
	err := client.Call(ctx, address, "fail", nil, nil)
	require.Equal(t, &apierror.Error{Kind: apierror.Conflict, Field: "base", Message: "is stale", Remedy: "read again"}, err)
	require.Equal(t, apierror.NotFound, apierror.KindOf(client.Call(ctx, address, "unknown", nil, nil)))
	require.Equal(t, apierror.TooLarge, apierror.KindOf(client.Call(ctx, address, "large", nil, nil)))

	oversized := strings.Repeat("x", MaxMessageBytes)
	require.Equal(t, apierror.TooLarge, apierror.KindOf(client.Call(ctx, address, "echo", oversized, nil)))
	require.NoError(t, echo(ctx, client, address, "still usable"))

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, apierror.Unavailable, apierror.KindOf(echo(ended, client, address, "late")))
	closed := listen(t)
	closed.Close()
	require.Equal(t, apierror.Unavailable, apierror.KindOf(echo(testContext(t), client, closed.Addr().String(), "x")))
}

// Guards against requests that are sent, and may succeed, although their caller no longer waits.
func TestCall_EndedContextSendsNothing(t *testing.T) {
	_, address := startServer(t, nil)
	client := startClient(t, nil)
	require.NoError(t, echo(testContext(t), client, address, "connect"))
	sent := client.counters.Sent.Load()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		require.Equal(t, apierror.Unavailable, apierror.KindOf(echo(ended, client, address, "late")))
	}
	require.Equal(t, sent, client.counters.Sent.Load())
}

// Guards against responses that reach the wrong caller and against one connection per caller.
func TestCall_ConcurrentCallersShareConnection(t *testing.T) {
	server, address := startServer(t, nil)
	client := startClient(t, nil)
	ctx := testContext(t)
	failures := make(chan error, 300)
	for i := range cap(failures) {
		go func() { failures <- echo(ctx, client, address, strconv.Itoa(i)) }()
	}
	for range cap(failures) {
		require.NoError(t, <-failures)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	require.Len(t, server.accepted, 1)
}

// Guards against a call that fails because the existing connection was closed as idle before the request was sent.
func TestCall_ReconnectsAfterIdleClose(t *testing.T) {
	_, address := startServer(t, nil)
	client := startClient(t, nil)
	require.NoError(t, echo(testContext(t), client, address, "first"))
	closed := client.cached(address)
	closed.Close()
	client.mu.Lock()
	client.conns[address] = closed
	client.mu.Unlock()
	require.NoError(t, echo(testContext(t), client, address, "second"))
	require.NotSame(t, closed, client.cached(address))
}

// Guards against idle connections that stay open, and against the idle timeout closing a connection with a call in flight.
func TestTimedConn_IdleTimeout(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	idle := &timedConn{Conn: local, idleTimeout: time.Millisecond}
	_, err := idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)

	idle.idleTimeout = time.Hour
	read := make(chan error, 1)
	_, err = idle.Write([]byte("request"))
	require.NoError(t, err)
	go func() {
		_, err := idle.Read(make([]byte, 1))
		read <- err
	}()
	_, err = remote.Write([]byte("a"))
	require.NoError(t, err)
	require.NoError(t, <-read, "a write extends the idle timeout")
}

// Guards against a peer that does not read and blocks its callers, or the callers of other nodes, beyond their deadline.
func TestCall_PeerDoesNotRead(t *testing.T) {
	stuck := listen(t)
	_, address := startServer(t, nil)
	client := startClient(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	large := strings.Repeat("x", MaxMessageBytes/2)
	err := client.Call(ctx, stuck.Addr().String(), "echo", large, nil)
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
	require.NoError(t, echo(testContext(t), client, address, "another node"))
}

// Guards against a call without a response that outlives its deadline, and against a handler that continues after the
// connection is closed.
func TestCall_PeerDoesNotAnswer(t *testing.T) {
	_, address := startServer(t, nil)
	client := startClient(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, apierror.Unavailable, apierror.KindOf(client.Call(ctx, address, "wait", nil, nil)))
	require.NoError(t, echo(testContext(t), client, address, "same connection"))
}

// Guards against calls that reuse a connection whose peer disappeared without closing it, as after a network partition.
func TestCall_ReplacesUnresponsiveConnection(t *testing.T) {
	listener := listen(t)
	first := make(chan net.Conn, 1)
	server := NewServer(&Counters{})
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	go func() {
		if socket, err := listener.Accept(); err == nil {
			first <- socket // never gets a response
			_ = server.Serve(listener, nil)
		}
	}()
	t.Cleanup(server.Close)
	client := startClient(t, nil)
	address := listener.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 2*minSilence)
	defer cancel()
	require.Equal(t, apierror.Unavailable, apierror.KindOf(echo(ctx, client, address, "lost")))
	require.NoError(t, echo(testContext(t), client, address, "found"))
	(<-first).Close()
}

// Guards against malformed frames that stop the server or hang the client.
func TestMalformedFrames(t *testing.T) {
	_, address := startServer(t, nil)
	for name, raw := range map[string]string{
		"truncated header":     "\x00\x00",
		"truncated body":       "\x00\x00\x00\x10{}",
		"over the limit":       "\xff\xff\xff\xff",
		"empty":                "\x00\x00\x00\x00",
		"not JSON":             "\x00\x00\x00\x03abc",
		"not JSON-RPC":         "\x00\x00\x00\x02{}",
		"neither":              "\x00\x00\x00\x04null",
		"unsolicited response": frameOf(`{"id":7,"result":1,"jsonrpc":"2.0"}`),
		"batch request":        frameOf(`[{"id":7,"method":"echo","jsonrpc":"2.0"}]`),
	} {
		socket, err := net.Dial("tcp", address)
		require.NoError(t, err, name)
		_, err = socket.Write([]byte(raw))
		require.NoError(t, err, name)
		require.NoError(t, socket.(*net.TCPConn).CloseWrite(), name)
		_, err = io.ReadAll(socket)
		require.True(t, err == nil || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "reset"), "%s: %v", name, err)
		socket.Close()
	}
	require.NoError(t, echo(testContext(t), startClient(t, nil), address, "the server still responds"))

	broken := listen(t)
	go func() {
		socket, err := broken.Accept()
		if err == nil {
			_, _ = socket.Write([]byte("\x00\x00\x00\x10{"))
			socket.Close()
		}
	}()
	err := echo(testContext(t), startClient(t, nil), broken.Addr().String(), "x")
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
}

func frameOf(body string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + body
}

// Guards against a request flood that exhausts the memory of a node.
func TestServer_RejectsRequestsOverLimit(t *testing.T) {
	server, address := startServer(t, nil)
	for range maxServerRequests {
		server.requests <- struct{}{}
	}
	client := startClient(t, nil)
	require.Equal(t, apierror.Overloaded, apierror.KindOf(echo(testContext(t), client, address, "x")))
	<-server.requests
	require.NoError(t, echo(testContext(t), client, address, "x"))
}

// Guards against a server that accepts connections although Close was called before Serve, and against calls on a closed client.
func TestServe_AfterClose(t *testing.T) {
	server := NewServer(&Counters{})
	server.Close()
	require.NoError(t, server.Serve(listen(t), nil))
	client := NewClient(&Counters{}, nil)
	_, address := startServer(t, nil)
	client.Close()
	require.Equal(t, apierror.Unavailable, apierror.KindOf(echo(testContext(t), client, address, "x")))
}
