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
	"golang.org/x/sync/singleflight"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
)

// sessionCacheSize is the number of TLS sessions kept for resumption, which makes a reconnect cheaper for both sides.
const sessionCacheSize = 256

// silenceLimit is the least duration of a call that timed out after which its connection is taken for dead.
const silenceLimit = 500 * time.Millisecond

// Client calls other nodes. It keeps one connection per address and is safe for concurrent use.
type Client struct {
	bytes     *Counters
	tlsConfig *tls.Config
	dialer    dial.Dialer
	dials     singleflight.Group // one per address at a time
	ctx       context.Context    // ends with Close
	cancel    context.CancelFunc

	mu    sync.Mutex
	conns map[string]*peer
}

// peer is the kept connection to one address.
type peer struct {
	*jsonrpc2.Conn
	socket *timedConn
}

// NewClient returns a client that counts into bytes. A nil tlsConfig means plain TCP.
func NewClient(bytes *Counters, tlsConfig *tls.Config) *Client {
	if tlsConfig != nil && tlsConfig.ClientSessionCache == nil {
		tlsConfig = tlsConfig.Clone()
		tlsConfig.ClientSessionCache = tls.NewLRUClientSessionCache(sessionCacheSize)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		bytes: bytes, tlsConfig: tlsConfig, dialer: dial.Dialer{Timeout: dialTimeout}, ctx: ctx, cancel: cancel,
		conns: make(map[string]*peer),
	}
}

// OverrideAddresses sets the addresses to connect to instead of others. It must be called before the first Call.
func (c *Client) OverrideAddresses(overrides map[string]string) {
	c.dialer.Overrides = overrides
}

// Call sends one request and waits for its result. Without a deadline in ctx it gives up after 3 s. Errors are of type
// *apierror.Error; kind Unavailable means that the node could not be reached or did not answer in time. A request is
// sent once: if the kept connection turns out to be closed before that, a new one is made.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	encoded, err := encode(params)
	if err != nil {
		return err
	}
	begun := time.Now()
	c.bytes.Requests.Add(1)
	conn, waiter, err := c.dispatch(ctx, address, method, encoded)
	if err == nil {
		err = waiter.Wait(ctx, result)
	}
	if conn != nil && ctx.Err() != nil {
		c.closeIfSilent(address, conn, begun)
	}
	if err != nil {
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

// closeIfSilent closes a connection on which nothing was received during a call that timed out. After a partition, or
// when the VM behind the address was replaced, TCP would keep sending on it for much longer.
func (c *Client) closeIfSilent(address string, conn *peer, begun time.Time) {
	quiet := time.Since(begun)
	if quiet >= silenceLimit && conn.socket.lastRead.Load() < int64(clock.SinceStart(begun)) {
		c.forget(address, conn)
		conn.Close()
	}
}

// dispatch sends the request on the kept connection, or on a new one if that fails before the request was sent.
func (c *Client) dispatch(ctx context.Context, address, method string, params json.RawMessage) (*peer, jsonrpc2.Waiter, error) {
	if conn := c.cached(address); conn != nil {
		waiter, err := send(ctx, conn, method, params)
		if err == nil || ctx.Err() != nil {
			return conn, waiter, err
		}
		c.forget(address, conn)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, jsonrpc2.Waiter{}, err
	}
	waiter, err := send(ctx, conn, method, params)
	return conn, waiter, err
}

type sendResult struct {
	waiter jsonrpc2.Waiter
	err    error
}

// send writes the request. The library ignores ctx while it writes, so that a peer that does not read would hold the
// caller until the write times out.
func send(ctx context.Context, conn *peer, method string, params json.RawMessage) (jsonrpc2.Waiter, error) {
	sent := make(chan sendResult, 1)
	go func() {
		waiter, err := conn.DispatchCall(ctx, method, params)
		sent <- sendResult{waiter: waiter, err: err}
	}()
	select {
	case r := <-sent:
		return r.waiter, r.err
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, ctx.Err()
	}
}

func (c *Client) cached(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[address]
}

// connect joins the dial under way to the address or starts one. The dial does not depend on one caller's context.
func (c *Client) connect(ctx context.Context, address string) (*peer, error) {
	dialed := c.dials.DoChan(address, func() (any, error) {
		if conn := c.cached(address); conn != nil {
			return conn, nil
		}
		socket, err := c.dial(address)
		if err != nil {
			return nil, err
		}
		return c.keep(address, socket)
	})
	select {
	case r := <-dialed:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*peer), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial connects and completes the TLS handshake if there is a TLS configuration.
func (c *Client) dial(address string) (*timedConn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := CountBytes(raw, c.bytes)
	if c.tlsConfig == nil {
		return &timedConn{Conn: counted, idle: clientIdleTimeout}, nil
	}
	secure := tls.Client(counted, withServerName(c.tlsConfig, address))
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return &timedConn{Conn: secure, idle: clientIdleTimeout}, nil
}

func withServerName(config *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if config.ServerName != "" || err != nil {
		return config
	}
	named := config.Clone()
	named.ServerName = host
	return named
}

func (c *Client) keep(address string, socket *timedConn) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		socket.Close()
		return nil, errors.New("the client is closed")
	}
	conn := &peer{socket: socket}
	conn.Conn = newConn(socket, jsonrpc2.HandlerWithError(refuseRequests))
	c.conns[address] = conn
	go c.forgetWhenClosed(address, conn)
	return conn, nil
}

func (c *Client) forgetWhenClosed(address string, conn *peer) {
	<-conn.DisconnectNotify()
	c.forget(address, conn)
}

func (c *Client) forget(address string, conn *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// refuseRequests answers requests that arrive on a connection which this node opened for its own calls.
func refuseRequests(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, toWire(apierror.New(apierror.Forbidden, "this connection carries calls in one direction only", ""))
}

// Close closes all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	conns := c.conns
	c.conns = make(map[string]*peer)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}
