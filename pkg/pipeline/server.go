// Package pipeline implements an HTTP/1.1 server that serves pipelined requests of a connection concurrently and sends the responses
// in request order.
//
// net/http serves the requests of a connection one at a time, which causes head-of-line blocking, and it does not detect that a
// client has disconnected while the client's next request is unread. Requests are parsed by net/http.
//
// A request that has a body or an unsafe method is not served concurrently with others of its connection. The context of a request
// is cancelled when the client closes the connection.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are the timeouts and sizes for client connections. They are read again for each request.
type Limits struct {
	IdleTimeout    time.Duration // for a connection without a request in progress
	HeaderTimeout  time.Duration // for receiving a request header
	MaxHeaderBytes int64         // per request; 0 or less: no limit. Reads are 4 KiB, so a lower limit has little effect
}

// receivedAtKey is the context key of the time at which the request was received.
type receivedAtKey struct{}

// ReceivedAt returns when the first byte of a request was read from the connection. It is earlier than the call of the handler if
// the request waited for earlier ones. For a request of another server it returns the current time.
func ReceivedAt(r *http.Request) time.Time {
	if at, ok := r.Context().Value(receivedAtKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

const (
	maxPipelinedRequests = 16                     // requests of one connection in flight
	writeTimeout         = 10 * time.Second       // for one write to the client
	lingerTimeout        = 500 * time.Millisecond // for the client to read the last response before the socket is closed
	pollInterval         = 20 * time.Millisecond  // of Wait; also the delay after a failed Accept
	// During a shutdown, a connection without a request is closed after one of these times.
	stopFirstRequestTimeout = time.Second            // before the first request: clients open some connections in advance
	stopIdleTimeout         = 200 * time.Millisecond // after a response: the client may have sent the next request already
	maxUnreadBodyBytes      = 64 << 10               // the longest unread body that is discarded to keep the connection open
	unreadBodyTimeout       = 50 * time.Millisecond  // for discarding it
	closeCheckInterval      = 100 * time.Millisecond // between checks whether the client has disconnected, while nothing is read
)

// Server serves connections. Create it with New.
type Server struct {
	handler http.Handler
	limits  func() Limits
	onPanic func(value any)

	mu          sync.Mutex
	conns       map[*conn]struct{}
	stopping    bool
	baseContext context.Context
	cancel      context.CancelFunc
}

// New returns a server. A panic in the handler closes the connection; onPanic is called with its value unless that is
// http.ErrAbortHandler.
func New(handler http.Handler, limits func() Limits, onPanic func(value any)) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handler: handler, limits: limits, onPanic: onPanic, conns: make(map[*conn]struct{}), baseContext: ctx, cancel: cancel}
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.start(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			time.Sleep(pollInterval)
		default:
			return err
		}
	}
}

// isTemporary reports whether a later Accept may succeed, for example after a client aborted its connection attempt or when the
// process is out of file descriptors.
func isTemporary(err error) bool {
	var networkErr net.Error
	return errors.As(err, &networkErr)
}

func (s *Server) start(socket net.Conn) {
	c := newConn(s, socket)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// CloseAfterResponses starts a graceful shutdown. The next response on each connection announces the close. A connection that stays
// without a request is closed after a short time.
func (s *Server) CloseAfterResponses() {
	s.mu.Lock()
	s.stopping = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.applyStop()
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Wait returns nil when no connection is open. If ctx ends first, Wait closes the remaining connections and returns the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			s.closeConns()
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (s *Server) closeConns() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.socket.Close()
	}
}
