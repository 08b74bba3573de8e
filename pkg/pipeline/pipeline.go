// Package pipeline is an HTTP/1.1 server that serves the requests which a client sends ahead on one connection at the same time, and
// answers them in their order.
//
// net/http serves one request of a connection at a time, so that a request waits for those that were sent before it, and it does
// not notice that a client has left while the client's next request lies unread. Parsing is that of net/http.
//
// Requests with a method that is not safe are served alone. The context of a request ends when the client closes its connection.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound what a client may send. They are read again for each request.
type Limits struct {
	IdleTimeout    time.Duration // of a connection without a request
	HeaderTimeout  time.Duration // to send the header of a request
	MaxHeaderBytes int64         // of a request; 4 KiB are read at a time, so that a lower limit has little effect
}

// receivedKey is the key of a context's value with the time at which the request arrived.
type receivedKey struct{}

// ReceivedAt is when the first byte of a request was read from the connection. A request may then wait for the answers to those
// before it. For a request of another server it is now.
func ReceivedAt(r *http.Request) time.Time {
	if at, ok := r.Context().Value(receivedKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

const (
	maxAhead        = 16                     // requests of one connection served at a time
	writeTimeout    = 10 * time.Second       // for one write to a client that does not read
	lingerTimeout   = 500 * time.Millisecond // for a client to read the last answer before its connection is closed
	checkInterval   = 20 * time.Millisecond  // of Stop
	maxUnreadBody   = 64 << 10               // of a body that the handler did not read, to keep the connection
	unreadBodyWait  = 50 * time.Millisecond  // for the same
	readBufferBytes = 4 << 10
)

// Server serves connections. Create it with New.
type Server struct {
	handler  http.Handler
	limits   func() Limits
	panicked func(value any)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
	base     context.Context
	cancel   context.CancelFunc
}

// New returns a server. panicked is told of a panic in the handler, which ends its connection; http.ErrAbortHandler is none.
func New(handler http.Handler, limits func() Limits, panicked func(value any)) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handler: handler, limits: limits, panicked: panicked, conns: make(map[*conn]struct{}), base: ctx, cancel: cancel}
}

// Serve accepts connections until the listener is closed. Closing it is no error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.start(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			time.Sleep(checkInterval)
		default:
			return err
		}
	}
}

// isTemporary reports whether a later Accept may succeed, as after a client has given up, or when descriptors are short.
func isTemporary(err error) bool {
	var failed net.Error
	return errors.As(err, &failed)
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

// CloseAfterResponses ends connections with their next answer, and those that are idle at once. Requests that have been read are
// answered.
func (s *Server) CloseAfterResponses() {
	s.mu.Lock()
	s.stopping = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.endAfterAnswers()
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Wait returns when no connection is left. When ctx ends first, the remaining ones are cut off, and its error is returned.
func (s *Server) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		left := len(s.conns)
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			s.cut()
			return ctx.Err()
		case <-time.After(checkInterval):
		}
	}
}

func (s *Server) cut() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.socket.Close()
	}
}
