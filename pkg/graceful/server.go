package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server whose Stop method responds to every request that was received.
//
// http.Server.Shutdown does not: it drops a request that is read after Shutdown was called and closes the connection, so the
// client cannot tell whether the request has run.
type Server struct {
	http     *http.Server
	listener *Listener

	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

const (
	// newConnTimeout is how long a new connection may stay without a request before Stop closes it. Clients open
	// some connections in advance.
	newConnTimeout = time.Second
	// pollInterval is the interval at which Stop checks for pending requests.
	pollInterval = 50 * time.Millisecond
)

// NewServer returns a server for the listener. It replaces the ConnState hook of server with one that also calls the previous hook.
func NewServer(server *http.Server, listener *Listener) *Server {
	s := &Server{http: server, listener: listener, conns: make(map[net.Conn]connState)}
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
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	default:
		s.conns[conn] = connState{state, time.Now()}
	}
}

// Serve accepts connections until Stop is called, and then returns nil. If wrap is not nil, it is applied to the listener, for example
// for TLS.
func (s *Server) Serve(wrap func(net.Listener) net.Listener) error {
	var listener net.Listener = s.listener
	if wrap != nil {
		listener = wrap(listener)
	}
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop accepts the connections of the backlog, closes idle connections, and returns when every received request has its response.
// If ctx ends first, Stop closes the remaining connections and returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	drainTimeout := newConnTimeout
	if deadline, ok := ctx.Deadline(); ok {
		drainTimeout = min(drainTimeout, time.Until(deadline))
	}
	s.http.SetKeepAlivesEnabled(false) // closes idle connections now and others after their next response
	s.listener.Drain(drainTimeout)
	for s.hasPendingRequests() {
		select {
		case <-ctx.Done():
			s.http.Close()
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return s.http.Close()
}

// hasPendingRequests reports whether any connection has a request in flight, or is so new that its first request may still arrive.
func (s *Server) hasPendingRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && time.Since(c.since) < newConnTimeout {
			return true
		}
	}
	return false
}
