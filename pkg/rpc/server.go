package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const (
	// maxServerConns limits open connections, so that a reconnect storm cannot exhaust the memory of a node.
	maxServerConns = 1024
	// maxServerRequests limits concurrent requests.
	maxServerRequests = 1024
	// acceptBackoff is the pause after a failed accept, for example when the process has no free file descriptor.
	acceptBackoff = 50 * time.Millisecond
)

// Server serves control messages. Handlers must be registered before Serve is called.
type Server struct {
	counters *Counters
	handlers map[string]Handler
	requests chan struct{} // one token per request in flight

	mu       sync.Mutex
	accepted map[net.Conn]struct{} // open sockets, including those in the TLS handshake
	closed   bool
	listener net.Listener
}

// NewServer returns a server that updates counters.
func NewServer(counters *Counters) *Server {
	return &Server{
		counters: counters, handlers: make(map[string]Handler), requests: make(chan struct{}, maxServerRequests),
		accepted: make(map[net.Conn]struct{}),
	}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, handler Handler) {
	s.handlers[method] = handler
}

// Serve accepts connections until Close is called. A nil tlsConfig means plain TCP.
func (s *Server) Serve(listener net.Listener, tlsConfig *tls.Config) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(socket, tlsConfig)
		case s.isClosed():
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptBackoff)
		}
	}
}

func (s *Server) accept(socket net.Conn, tlsConfig *tls.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.accepted) >= maxServerConns {
		socket.Close()
		return
	}
	s.accepted[socket] = struct{}{}
	go s.serveSocket(socket, tlsConfig)
}

// serveSocket starts to serve a socket.
func (s *Server) serveSocket(socket net.Conn, tlsConfig *tls.Config) {
	ready, err := acceptSocket(socket, s.counters, tlsConfig)
	if err != nil {
		s.forget(socket)
		return
	}
	handler := jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed()
	newConn(ready, jsonrpc2.AsyncHandler(handler), func() { s.forget(socket) })
}

// forget closes a socket and stops counting it.
func (s *Server) forget(socket net.Conn) {
	socket.Close()
	s.mu.Lock()
	delete(s.accepted, socket)
	s.mu.Unlock()
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler, ok := s.handlers[request.Method]
	if !ok {
		return nil, toWire(apierror.New(apierror.NotFound, "unknown method "+request.Method, "run the same version on all nodes"))
	}
	select {
	case s.requests <- struct{}{}:
		defer func() { <-s.requests }()
	default:
		return nil, toWire(apierror.New(apierror.Overloaded, "too many control requests", "retry later"))
	}
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	result, err := handler(ctx, params)
	if err != nil {
		return nil, toWire(err)
	}
	encoded, err := encode(result)
	if err != nil {
		return nil, toWire(err)
	}
	return encoded, nil
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops accepting connections and closes open ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for socket := range s.accepted {
		socket.Close()
	}
}
