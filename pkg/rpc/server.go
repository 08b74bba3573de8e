package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// maxServerConns bounds the connections that a node accepts, so that a reconnect storm cannot exhaust its memory.
const maxServerConns = 1024

// Server answers control messages. Register handlers before Serve.
type Server struct {
	bytes    *Bytes
	handlers map[string]Handler

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
	listen net.Listener
}

// NewServer returns a server that counts into bytes.
func NewServer(bytes *Bytes) *Server {
	return &Server{bytes: bytes, handlers: make(map[string]Handler), conns: make(map[*jsonrpc2.Conn]struct{})}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, handler Handler) {
	s.handlers[method] = handler
}

// Serve accepts connections until Close. A nil tlsConfig means plain TCP.
func (s *Server) Serve(listener net.Listener, tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	s.mu.Lock()
	s.listen = listener
	s.mu.Unlock()
	for {
		socket, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		s.accept(socket)
	}
}

func (s *Server) accept(socket net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxServerConns {
		socket.Close()
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed())
	conn := newConn(socket, s.bytes, handler)
	s.conns[conn] = struct{}{}
	go s.forgetWhenClosed(conn)
}

func (s *Server) forgetWhenClosed(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler, ok := s.handlers[request.Method]
	if !ok {
		return nil, toWire(apierror.New(apierror.NotFound, "unknown method "+request.Method, "run the same version on all nodes"))
	}
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	result, err := handler(ctx, params)
	if err != nil {
		return nil, toWire(err)
	}
	return result, nil
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = make(map[*jsonrpc2.Conn]struct{})
	if s.listen != nil {
		s.listen.Close()
	}
	s.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
}
