// Package transport is an HTTP/1.1 client transport that reports truthfully whether a request can have reached the
// other side.
//
// A caller that retries must know whether the first request may run. net/http alone does not tell: it hides the
// connection, and it silently sends some requests again. This package counts the bytes handed to each connection, seals
// the connection after a failure so that no later write can follow, and prevents the silent retries.
package transport

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
)

// Options configures a Transport. Zero values select the defaults.
type Options struct {
	TLS               *tls.Config       // nil: plain TCP
	DialTimeout       time.Duration     // default 1 s
	DialOverrides     map[string]string // "ip:port" to the "ip:port" to connect to instead
	MaxIdlePerAddress int               // idle connections kept for each address; default 128
	MaxIdle           int               // idle connections kept in all; default 1024
	MaxHeaderBytes    int64             // of a response; default 64 KiB
	IdleConnTimeout   time.Duration     // default callctx.ConnectionIdleTimeout
}

const (
	defaultDialTimeout = time.Second
	// A surge fills the queues of an inbound node. With fewer idle connections its calls would open and close connections
	// all the time.
	defaultIdlePerHost = 128
	// An idle connection costs about 20 KB in buffers and goroutines, so this bounds them to about 20 MB.
	defaultIdleTotal      = 1024
	defaultMaxHeaderBytes = 64 << 10
)

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	http *http.Transport
}

// New returns a transport.
func New(o Options) *Transport {
	dialer := &dial.Dialer{Timeout: cmp.Or(o.DialTimeout, defaultDialTimeout), Overrides: o.DialOverrides}
	t := &http.Transport{
		MaxIdleConnsPerHost:    cmp.Or(o.MaxIdlePerAddress, defaultIdlePerHost),
		MaxIdleConns:           cmp.Or(o.MaxIdle, defaultIdleTotal),
		IdleConnTimeout:        cmp.Or(o.IdleConnTimeout, callctx.ConnectionIdleTimeout),
		MaxResponseHeaderBytes: cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes),
		DisableCompression:     true,
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return track(dialer.DialContext(ctx, network, address))
	}
	if o.TLS != nil {
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return track(dialTLS(ctx, dialer, o.TLS, network, address))
		}
	}
	return &Transport{http: t}
}

func dialTLS(ctx context.Context, dialer *dial.Dialer, config *tls.Config, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// Close closes idle connections.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

// Error is the failure of a request before its response headers arrived.
type Error struct {
	Written bool // false: provably no byte of the request was written to a connection, and none will be
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Written {
		return "request may have been received: " + e.Cause.Error()
	}
	return "request not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Do sends a request once and returns its response, or an *Error. The request is never sent twice.
func (t *Transport) Do(request *http.Request) (*http.Response, error) {
	seen := &connTrace{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: seen.gotConn})
	request = preventResend(request.WithContext(ctx))
	response, err := t.http.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	return nil, &Error{Written: seen.seal(), Cause: err}
}

// preventResend gives the request a body that net/http cannot rewind. Without that, net/http sends GET requests and
// requests with an Idempotency-Key header again when a reused connection fails, even if the first copy may have run.
func preventResend(request *http.Request) *http.Request {
	request.GetBody = nil
	if request.Body != nil && request.Body != http.NoBody {
		return request
	}
	if !resendableByLibrary(request) {
		return request
	}
	request.Body = io.NopCloser(bytes.NewReader(nil))
	request.ContentLength = 0
	return request
}

func resendableByLibrary(request *http.Request) bool {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	_, first := request.Header["Idempotency-Key"]
	_, second := request.Header["X-Idempotency-Key"]
	return first || second
}

// connTrace remembers the connections that were assigned to one request.
type connTrace struct {
	mu    sync.Mutex
	conns []*trackedConn
	marks []int64 // bytes written on the connection before the request
}

func (c *connTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	c.marks = append(c.marks, conn.offered())
}

// seal stops all further writes and reports whether any byte of the request was handed to a connection.
func (c *connTrace) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := false
	for i, conn := range c.conns {
		if conn.seal() != c.marks[i] {
			written = true
		}
	}
	return written
}

var errSealed = errors.New("the request on this connection was given up")

// trackedConn counts the bytes offered to the connection. They count before the write, so that a count of zero proves
// that nothing was sent.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	bytes  int64
	sealed bool
}

func track(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.bytes += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) offered() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.bytes
}
