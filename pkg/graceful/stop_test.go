package graceful_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
	"github.com/laburnumcleat/laburnumcleat/pkg/pipeline"
)

const testLimit = 30 * time.Second // only reached when the test fails

// stoppable is a server of either kind: for callers (pipeline) or for everything else (net/http).
type stoppable struct {
	address  string
	listener *graceful.Listener
	serve    func() error
	stop     func(context.Context) error
}

var serverKinds = map[string]func(*graceful.Listener) *stoppable{
	"net/http": func(l *graceful.Listener) *stoppable {
		s := graceful.NewServer(&http.Server{Handler: http.HandlerFunc(refuse)}, l)
		return &stoppable{serve: func() error { return s.Serve(nil) }, stop: s.Stop}
	},
	"pipeline": func(l *graceful.Listener) *stoppable {
		s := pipeline.New(http.HandlerFunc(refuse), func() pipeline.Limits { return pipeline.Limits{} }, nil)
		return &stoppable{serve: func() error { return s.Serve(l) }, stop: func(ctx context.Context) error {
			s.CloseAfterResponses()
			if err := l.Drain(graceful.DrainTimeout(ctx)); err != nil {
				return err
			}
			return s.Wait(ctx)
		}}
	},
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// forEachServer runs a test with a running server of each kind, on IPv4 and IPv6.
func forEachServer(t *testing.T, test func(t *testing.T, s *stoppable)) {
	for kind, start := range serverKinds {
		for _, address := range []string{"127.0.0.1:0", "[::1]:0", ":0"} {
			t.Run(kind+" "+address, func(t *testing.T) {
				listener, err := graceful.Listen(address)
				if err != nil && address == "[::1]:0" {
					t.Skip("no IPv6 on this machine: ", err)
				}
				require.NoError(t, err)
				s := start(listener)
				s.address, s.listener = listener.Addr().String(), listener
				var group errgroup.Group
				group.Go(s.serve)
				test(t, s)
				require.NoError(t, group.Wait())
			})
		}
	}
}

// conn is a client's connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testLimit)))
	return &conn{c, bufio.NewReader(c)}
}

const (
	get  = "GET /balance HTTP/1.1\r\nHost: a\r\n\r\n"
	post = "POST /payment HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
)

// call sends a request and reads the response.
func (c *conn) call(request string) (*http.Response, error) {
	if _, err := c.Write([]byte(request)); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// stopAsync stops the server and returns when the stop has begun.
func (s *stoppable) stopAsync(t *testing.T) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(t.Context()) }()
	<-graceful.Draining(s.listener)
	return stopped
}

// Guards against the reset of a connection that is completed after the last accept and before the socket is closed. The stop is held up
// there, as by a busy machine, while clients connect and send.
func TestStop_ResetsNoConnectionBeforeClose(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *stoppable) {
		results := make(chan error, 4)
		graceful.SetBeforeClose(s.listener, func() {
			for _, request := range []string{get, post, get, post} {
				go func() { results <- connectAndCall(s.address, request) }()
			}
			time.Sleep(300 * time.Millisecond)
		})
		require.NoError(t, s.stop(t.Context()))
		for range cap(results) {
			assert.NoError(t, <-results)
		}
	})
}

// connectAndCall returns nil if the connection was refused before a request could be sent, or if the request was answered.
func connectAndCall(address, request string) error {
	c, err := net.DialTimeout("tcp", address, testLimit)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = (&conn{c, bufio.NewReader(c)}).call(request)
	return err
}

// Guards against a stop that closes connections without a look at the requests that are on their way: on a connection that was just
// accepted, on one that is kept, and in parts.
func TestStop_AnswersRequestsThatArriveAfterItsStart(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *stoppable) {
		fresh, kept, partial := dial(t, s.address), dial(t, s.address), dial(t, s.address)
		response, err := kept.call(post)
		require.NoError(t, err)
		assert.False(t, response.Close)
		_, err = partial.Write([]byte(post[:20]))
		require.NoError(t, err)

		stopped := s.stopAsync(t)
		for _, call := range []struct {
			name    string
			on      *conn
			request string
			after   time.Duration
		}{{"kept", kept, post, 100 * time.Millisecond}, {"partial", partial, post[20:], 0}, {"fresh", fresh, get, 200 * time.Millisecond}} {
			time.Sleep(call.after)
			response, err := call.on.call(call.request)
			require.NoError(t, err, call.name)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.True(t, response.Close, "the client must not send another request")
		}
		require.NoError(t, <-stopped)
		_, err = net.Dial("tcp", s.address)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}

// Guards against connections that inherit the filter of the listening socket: their packets would be dropped.
func TestStop_ServesConnectionsOfBacklogAtOnce(t *testing.T) {
	forEachServer(t, func(t *testing.T, s *stoppable) {
		clients := make([]*conn, 20)
		for i := range clients {
			clients[i] = dial(t, s.address)
		}
		stopped := s.stopAsync(t)
		start := time.Now()
		ends := make([]time.Duration, len(clients))
		for i, c := range clients {
			_, err := c.call(post)
			require.NoError(t, err)
			ends[i] = time.Since(start)
		}
		assert.Less(t, time.Since(start), time.Second, "no packet is sent again; the responses were there after %v", ends)
		require.NoError(t, <-stopped)
	})
}
