package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
)

// Client calls other nodes. It keeps one connection per address and is safe for concurrent use.
type Client struct {
	bytes     *Bytes
	tlsConfig *tls.Config
	dialer    dial.Dialer

	mu     sync.Mutex
	conns  map[string]*jsonrpc2.Conn
	closed bool
}

// NewClient returns a client that counts into bytes. A nil tlsConfig means plain TCP.
func NewClient(bytes *Bytes, tlsConfig *tls.Config) *Client {
	return &Client{
		bytes: bytes, tlsConfig: tlsConfig, dialer: dial.Dialer{Timeout: dialTimeout}, conns: make(map[string]*jsonrpc2.Conn),
	}
}

// OverrideAddresses sets the addresses to connect to instead of others. It must be called before the first Call.
func (c *Client) OverrideAddresses(overrides map[string]string) {
	c.dialer.Overrides = overrides
}

// Call sends one request and waits for its result. Without a deadline in ctx it gives up after 3 s. Errors are of type
// *apierror.Error; kind Unavailable means that the node could not be reached or did not answer in time.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fromWire(address, err)
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		return fromWire(address, err)
	}
	return nil
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if conn := c.cached(address); conn != nil {
		return conn, nil
	}
	socket, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		socket.Close()
		return nil, jsonrpc2.ErrClosed
	}
	if existing, ok := c.conns[address]; ok {
		socket.Close()
		return existing, nil
	}
	conn := newConn(socket, c.bytes, jsonrpc2.HandlerWithError(refuseRequests))
	c.conns[address] = conn
	go c.forgetWhenClosed(address, conn)
	return conn, nil
}

func (c *Client) cached(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[address]
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	socket, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil || c.tlsConfig == nil {
		return socket, err
	}
	secure := tls.Client(socket, c.tlsConfig)
	if err := secure.HandshakeContext(ctx); err != nil {
		socket.Close()
		return nil, err
	}
	return secure, nil
}

func (c *Client) forgetWhenClosed(address string, conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
}

// refuseRequests answers requests that arrive on a connection which this node opened for its own calls.
func refuseRequests(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, toWire(apierror.New(apierror.Forbidden, "this connection carries calls in one direction only", ""))
}

// Close closes all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = make(map[string]*jsonrpc2.Conn)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}
