package graceful

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/socket"
)

// Server is an HTTP server whose Stop method responds to every request that was received.
//
// http.Server.Shutdown does not: it drops a request that is read after Shutdown was called and closes the connection, so the
// client cannot tell whether the request has run. It also closes idle connections without a look at what has arrived on them.
type Server struct {
	http     *http.Server
	listener *Listener
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the state of a connection. Server.mu guards it.
type connState struct {
	socket         *countingConn
	state          http.ConnState
	readByResponse int64 // bytes that were read when the latest response ended
	readByPoll     int64 // bytes that were read at the previous poll of Stop
	quietPolls     int   // consecutive polls of Stop between which nothing arrived and no request was served
}

const (
	// pollInterval is the interval at which Stop examines the connections.
	pollInterval = 50 * time.Millisecond
	// Quiet connections are closed after a number of polls, not after a time: a process that was paused finds the requests that arrived
	// meanwhile before it counts further.
	maxQuietPollsFirst = 20 // before the end of the first request header: clients open some connections in advance
	maxQuietPollsIdle  = 4  // after a response: the client may have sent the next request before it learnt of the stop
	// backlogDrainTimeout bounds the wait until the accept loop has accepted the connections in the backlog.
	backlogDrainTimeout = time.Second
)

// NewServer returns a server for the listener. It replaces the handler and the ConnState hook of server with ones that also call the
// previous ones.
func NewServer(server *http.Server, listener *Listener) *Server {
	s := &Server{http: server, listener: listener, conns: make(map[net.Conn]*connState)}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.track(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	return s
}

func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = &connState{socket: countingConnOf(conn)}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	default:
		c := s.conns[conn]
		c.state, c.readByResponse, c.quietPolls = state, c.socket.read.Load(), 0
	}
}

// Serve accepts connections until Stop is called, and then returns nil. If wrap is not nil, it is applied to the listener, for example
// for TLS.
func (s *Server) Serve(wrap func(net.Listener) net.Listener) error {
	var listener net.Listener = &countingListener{s.listener}
	if wrap != nil {
		listener = wrap(listener)
	}
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop accepts the connections of the backlog, responds to every received request, and closes connections that remain without one.
// If ctx ends first, Stop closes the remaining connections and returns the error of ctx. ErrHandshakesNotBlocked is as for Listener.Drain.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	drainErr := s.listener.Drain(DrainTimeout(ctx))
	for s.closeQuietConns() > 0 {
		select {
		case <-ctx.Done():
			s.http.Close()
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	if err := s.http.Close(); err != nil {
		return err
	}
	return drainErr
}

// DrainTimeout returns the time for Listener.Drain within a shutdown that ctx bounds.
func DrainTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(backlogDrainTimeout, time.Until(deadline))
	}
	return backlogDrainTimeout
}

// closeQuietConns closes the connections that have been without a request for long enough, and returns the number of those left.
func (s *Server) closeQuietConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.poll() {
			c.quietPolls = 0
			continue
		}
		c.quietPolls++
		limit := maxQuietPollsFirst
		if c.state == http.StateIdle && c.socket.read.Load() == c.readByResponse {
			limit = maxQuietPollsIdle
		}
		if c.quietPolls > limit {
			c.socket.Close() // the HTTP server notices, and track removes the connection
		}
	}
	return len(s.conns)
}

// poll reports whether nothing arrived since the previous call and no request is being served.
func (c *connState) poll() (quiet bool) {
	read := c.socket.read.Load()
	quiet = c.state != http.StateActive && read == c.readByPoll && !socket.HasUnread(c.socket.TCPConn)
	c.readByPoll = read
	return quiet
}

// countingListener returns connections that count what is read.
type countingListener struct{ *Listener }

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: conn.(*net.TCPConn)}, nil
}

// countingConn counts the bytes that are read.
type countingConn struct {
	*net.TCPConn
	read atomic.Int64
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func countingConnOf(conn net.Conn) *countingConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	return conn.(*countingConn)
}
