package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server starts a listener and passes each accepted connection to serve with its number, starting at 1. It returns the address.
func server(t *testing.T, serve func(number int, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(number, conn)
		}
	}()
	return listener.Addr().String()
}

func readRequest(conn net.Conn) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

func request(t *testing.T, method, address, body string) *http.Request {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+address+"/", reader)
	require.NoError(t, err)
	return r
}

func requireFailure(t *testing.T, err error, written bool) {
	t.Helper()
	var failed *Error
	require.True(t, errors.As(err, &failed), "%v", err)
	require.Equal(t, written, failed.Written, "%v", err)
}

func TestDo_DialFailureIsNotWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = New(Options{}).Do(request(t, "POST", listener.Addr().String(), "x"))
	requireFailure(t, err, false)
}

func TestDo_CancelledBeforeDialIsNotWritten(t *testing.T) {
	address := server(t, func(int, net.Conn) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New(Options{}).Do(request(t, "POST", address, "x").WithContext(ctx))
	requireFailure(t, err, false)
}

// Guards against reporting "not-run" for a request that the peer has read.
func TestDo_ConnectionClosedAfterRequestIsWritten(t *testing.T) {
	address := server(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		conn.Close()
	})
	_, err := New(Options{}).Do(request(t, "POST", address, "x"))
	requireFailure(t, err, true)
}

// Guards against net/http silently resending a request after a reused connection fails, for each kind of request that it
// considers replayable.
func TestDo_DoesNotResend(t *testing.T) {
	for _, test := range []struct {
		name, method string
		key          bool
	}{{"GET", "GET", false}, {"HEAD", "HEAD", false}, {"OPTIONS", "OPTIONS", false}, {"POST with Idempotency-Key", "POST", true}} {
		t.Run(test.name, func(t *testing.T) {
			seen := make(chan int, 10)
			address := server(t, func(number int, conn net.Conn) {
				defer conn.Close()
				for i := 0; readRequest(conn) != nil; i++ {
					seen <- number
					if i > 0 {
						return // the second request on the connection gets no response
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			transport := New(Options{})
			send := func() error {
				r := request(t, test.method, address, "")
				if test.key {
					r.Header.Set("Idempotency-Key", "k")
				}
				response, err := transport.Do(r)
				if err == nil {
					response.Body.Close()
				}
				return err
			}
			require.NoError(t, send())
			requireFailure(t, send(), true)
			require.Equal(t, 1, <-seen)
			require.Equal(t, 1, <-seen)
			require.Empty(t, seen, "the request must not be resent")
		})
	}
}

func TestDo_ReusesConnections(t *testing.T) {
	var last atomic.Int64
	address := server(t, func(number int, conn net.Conn) {
		for readRequest(conn) != nil {
			last.Store(int64(number))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	transport := New(Options{})
	for range 10 {
		response, err := transport.Do(request(t, "POST", address, "x"))
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
	}
	require.Equal(t, int64(1), last.Load())
}

// Guards against writes after the request was reported as not written.
func TestTrackedConn_SealedRejectsWrites(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn, err := track(local, nil)
	require.NoError(t, err)
	tracked := conn.(*trackedConn)
	require.Zero(t, tracked.seal())
	_, err = conn.Write([]byte("x"))
	require.ErrorIs(t, err, errSealed)
	require.Zero(t, tracked.offered())
}

// Guards against reporting a request as not written if it is cancelled after it was sent.
func TestDo_CancelledAfterWriteIsWritten(t *testing.T) {
	received := make(chan struct{})
	address := server(t, func(_ int, conn net.Conn) {
		readRequest(conn)
		close(received)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() {
		<-received
		cancel()
	}()
	_, err := New(Options{}).Do(request(t, "POST", address, "x").WithContext(ctx))
	requireFailure(t, err, true)
}

// Guards against a status that does not exist being passed on, where writing it ends the caller's connection, and against a next request that
// fails because of it.
func TestDo_InvalidStatus(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 \r\n", "HTTP/1.1 600 \r\n", "HTTP/1.1 102 \r\n\r\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK\r\n"} {
		var requests atomic.Int64
		address := server(t, func(_ int, conn net.Conn) {
			defer conn.Close()
			for readRequest(conn) != nil {
				if requests.Add(1) == 1 {
					_, _ = io.WriteString(conn, head+"Content-Length: 0\r\n\r\n")
				} else {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
		})
		transport := New(Options{})
		defer transport.Close()
		_, err := transport.Do(request(t, "POST", address, "x"))
		requireFailure(t, err, true)
		require.ErrorIs(t, err, ErrInvalidStatus)
		response, err := transport.Do(request(t, "POST", address, "x"))
		require.NoError(t, err, "the next request")
		require.NoError(t, response.Body.Close())
	}
}
