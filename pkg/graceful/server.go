package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server whose Stop answers every request that was received.
//
// http.Server.Shutdown does not: a request that is read after Shutdown has begun is dropped and its connection closed, so that
// its sender cannot tell whether it has run.
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
	// silentNew is how long a new connection may send nothing before Stop closes it. Callers open some in advance.
	silentNew = time.Second
	// checkInterval is the time between looks at connections that send nothing.
	checkInterval = 50 * time.Millisecond
)

// NewServer returns a server on a listener. It takes over the ConnState hook of the http.Server and calls the one that was set.
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

// Serve accepts connections until Stop. wrap may be nil; it is applied to the listener, for example for TLS.
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

// Stop accepts what waits in the backlog, closes idle connections, and returns when every request that was received is answered.
// When ctx ends first, the remaining connections are cut off, and its error is returned.
func (s *Server) Stop(ctx context.Context) error {
	limit := silentNew
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	s.http.SetKeepAlivesEnabled(false) // closes idle connections, and others after their next answer
	s.listener.Drain(limit)
	for s.inUse() {
		select {
		case <-ctx.Done():
			s.http.Close()
			return ctx.Err()
		case <-time.After(checkInterval):
		}
	}
	return s.http.Close()
}

// inUse reports whether a connection has a request, or is so new that one may be on its way.
func (s *Server) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && time.Since(c.since) < silentNew {
			return true
		}
	}
	return false
}
