package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/singleflight"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
)

// sessionCacheSize is the number of TLS sessions cached for resumption, which makes reconnects cheaper for both sides.
const sessionCacheSize = 256

// minSilence is the minimum duration of a timed-out call after which a connection that received nothing is considered dead.
const minSilence = 500 * time.Millisecond

// Client sends calls to other nodes. It keeps one connection per address and is safe for concurrent use.
type Client struct {
	counters  *Counters
	tlsConfig *tls.Config
	dialer    dial.Dialer
	dials     singleflight.Group // at most one dial per address at a time
	ctx       context.Context    // cancelled by Close
	cancel    context.CancelFunc

	mu        sync.Mutex
	conns     map[string]*peer
	retired   map[*peer]struct{} // serve pending calls only, until they are idle
	retiredAt time.Time          // when connections were last retired
}

// peer is the connection to one address.
type peer struct {
	*jsonrpc2.Conn
	socket *timedConn
	opened time.Duration // clock.Now
}

// NewClient returns a client that updates counters. A nil tlsConfig means plain TCP.
func NewClient(counters *Counters, tlsConfig *tls.Config) *Client {
	if tlsConfig != nil && tlsConfig.ClientSessionCache == nil {
		tlsConfig = tlsConfig.Clone()
		tlsConfig.ClientSessionCache = tls.NewLRUClientSessionCache(sessionCacheSize)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		counters: counters, tlsConfig: tlsConfig, dialer: dial.Dialer{Timeout: dialTimeout}, ctx: ctx, cancel: cancel,
		conns: make(map[string]*peer), retired: make(map[*peer]struct{}),
	}
}

// OverrideAddresses maps addresses to the addresses to connect to instead. It must be called before the first Call.
func (c *Client) OverrideAddresses(overrides map[string]string) {
	c.dialer.Overrides = overrides
}

// Call sends a request and waits for its result. If ctx has no deadline, the timeout is 3 s. Errors are of type
// *apierror.Error; kind Unavailable means that the node could not be reached or did not respond in time. A request is
// sent at most once, and not if ctx has ended. If the existing connection is closed before the request is sent, Call opens a new one.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return fromWire(address, err)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	encoded, err := encode(params)
	if err != nil {
		return err
	}
	start := time.Now()
	c.counters.Requests.Add(1)
	conn, waiter, err := c.dispatch(ctx, address, method, encoded)
	if err == nil {
		err = waiter.Wait(ctx, result)
	}
	if conn != nil && ctx.Err() != nil {
		c.closeIfUnresponsive(address, conn, start)
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

// closeIfUnresponsive closes a connection on which nothing was received during a call that timed out. After a network partition, or
// when the VM behind the address was replaced, TCP would retransmit on the connection for much longer.
func (c *Client) closeIfUnresponsive(address string, conn *peer, start time.Time) {
	silence := time.Since(start)
	if silence >= minSilence && conn.socket.lastRead.Load() < int64(clock.SinceStart(start)) {
		c.removeConn(address, conn)
		conn.Close()
		c.retireQuiet(start)
	}
}

// retireInterval is the minimum time between two retirements, so that an unresponsive node does not make the client reconnect to all others
// again and again.
const retireInterval = 5 * time.Second

// retireQuiet makes further calls use new connections to the addresses from which nothing was received since a time. A network that has
// dropped one connection silently may have dropped others at the same moment, and each would otherwise be noticed only by a call that
// times out.
func (c *Client) retireQuiet(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retiredAt.IsZero() && time.Since(c.retiredAt) < retireInterval {
		return
	}
	c.retiredAt = time.Now()
	for address, conn := range c.conns {
		if max(conn.opened, time.Duration(conn.socket.lastRead.Load())) < clock.SinceStart(since) {
			delete(c.conns, address)
			c.retired[conn] = struct{}{}
		}
	}
}

// dispatch sends the request on the existing connection. If there is none, or it fails before the request is sent, dispatch uses a
// new one.
func (c *Client) dispatch(ctx context.Context, address, method string, params json.RawMessage) (*peer, jsonrpc2.Waiter, error) {
	if conn := c.cached(address); conn != nil {
		waiter, err := send(ctx, conn, method, params)
		if err == nil || ctx.Err() != nil {
			return conn, waiter, err
		}
		c.removeConn(address, conn)
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

// send writes the request in a separate goroutine and returns when ctx ends. The library ignores ctx while it writes, so a
// peer that does not read would otherwise block the caller until the write times out.
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

// connect starts a dial to the address or joins one in progress. The dial is shared, so it does not end with the context of a caller.
func (c *Client) connect(ctx context.Context, address string) (*peer, error) {
	dialed := c.dials.DoChan(address, func() (any, error) {
		if conn := c.cached(address); conn != nil {
			return conn, nil
		}
		socket, err := c.dial(address)
		if err != nil {
			return nil, err
		}
		return c.addConn(address, socket)
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

// dial connects and, if TLS is configured, completes the handshake.
func (c *Client) dial(address string) (*timedConn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := CountBytes(raw, c.counters)
	if c.tlsConfig == nil {
		return &timedConn{Conn: counted, idleTimeout: clientIdleTimeout}, nil
	}
	secure := tls.Client(counted, withServerName(c.tlsConfig, address))
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return &timedConn{Conn: secure, idleTimeout: clientIdleTimeout}, nil
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

func (c *Client) addConn(address string, socket *timedConn) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		socket.Close()
		return nil, errors.New("the client is closed")
	}
	conn := &peer{socket: socket, opened: clock.Now()}
	conn.Conn = newConn(socket, jsonrpc2.HandlerWithError(refuseRequests), func() { c.removeConn(address, conn) })
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) removeConn(address string, conn *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.retired, conn)
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// refuseRequests rejects requests that the peer sends on a connection opened by this client.
func refuseRequests(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, toWire(apierror.New(apierror.Forbidden, "this connection carries calls in one direction only", ""))
}

// Close closes all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	conns := slices.AppendSeq(slices.Collect(maps.Values(c.conns)), maps.Keys(c.retired))
	c.conns, c.retired = make(map[string]*peer), make(map[*peer]struct{})
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}
