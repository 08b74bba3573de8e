// Package transport is an HTTP/1.1 client transport that reports reliably whether a failed request may have reached the
// peer.
//
// A caller that retries must know whether the first attempt may run. net/http does not report this: it hides the
// connection and silently resends some requests. This package counts the bytes handed to each connection, seals the
// connection after a failure so that no write can follow, and prevents silent resends.
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
	"net/textproto"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
)

// Options configures a Transport. Zero values select the defaults.
type Options struct {
	TLS               *tls.Config       // nil: plain TCP
	DialTimeout       time.Duration     // default 1 s
	DialOverrides     map[string]string // "ip:port" to the "ip:port" to connect to instead
	MaxIdlePerAddress int               // idle connections kept per address; default 128
	MaxIdle           int               // idle connections kept in total; default 1024
	MaxHeaderBytes    int64             // of a response; default 64 KiB
	IdleConnTimeout   time.Duration     // default callctx.ConnectionIdleTimeout
}

const (
	defaultDialTimeout = time.Second
	// During a surge the calls queued at an inbound node each hold a connection. With a lower limit, connections would be opened
	// and closed all the time.
	defaultMaxIdlePerAddress = 128
	// An idle connection costs about 20 KB in buffers and goroutines, so this bounds them to about 20 MB.
	defaultMaxIdle        = 1024
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
		MaxIdleConnsPerHost:    cmp.Or(o.MaxIdlePerAddress, defaultMaxIdlePerAddress),
		MaxIdleConns:           cmp.Or(o.MaxIdle, defaultMaxIdle),
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
	Written bool // false: no byte of the request was, or will be, written to a connection
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
	trace := &connTrace{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: trace.gotConn, Got1xxResponse: RefuseSecondInterim()})
	request = preventResend(request.WithContext(ctx))
	response, err := t.http.RoundTrip(request)
	switch {
	case err != nil:
		return nil, &Error{Written: trace.seal(), Cause: err}
	case !hop.IsFinalStatus(response.StatusCode):
		// net/http has closed the connection, unless the response is complete and its status is above 599.
		response.Body.Close()
		return nil, &Error{Written: true, Cause: ErrInvalidStatus}
	}
	return response, nil
}

// ErrInvalidStatus is the cause of the failure of a request whose response has a status that does not exist, or more than one interim response
// before it.
var ErrInvalidStatus = errors.New("invalid status of a response")

// RefuseSecondInterim returns an httptrace.ClientTrace.Got1xxResponse that ends a request after its second interim response.
func RefuseSecondInterim() func(int, textproto.MIMEHeader) error {
	interim := 0
	return func(int, textproto.MIMEHeader) error {
		if interim++; interim > 1 {
			return ErrInvalidStatus
		}
		return nil
	}
}

// preventResend gives the request a body that net/http cannot rewind. Without that, net/http sends GET requests and
// requests with an Idempotency-Key header again when a reused connection fails, even if the first copy may have run.
func preventResend(request *http.Request) *http.Request {
	request.GetBody = nil
	if request.Body != nil && request.Body != http.NoBody {
		return request
	}
	if !isResentByNetHTTP(request) {
		return request
	}
	request.Body = io.NopCloser(bytes.NewReader(nil))
	request.ContentLength = 0
	return request
}

func isResentByNetHTTP(request *http.Request) bool {
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	_, hasKey := request.Header["Idempotency-Key"]
	_, hasXKey := request.Header["X-Idempotency-Key"]
	return hasKey || hasXKey
}

// connTrace records the connections that net/http assigned to a request.
type connTrace struct {
	mu          sync.Mutex
	conns       []*trackedConn
	bytesBefore []int64 // bytes offered to each connection before the request
}

func (c *connTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	c.bytesBefore = append(c.bytesBefore, conn.offered())
}

// seal rejects all further writes and reports whether any byte of the request was handed to a connection.
func (c *connTrace) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := false
	for i, conn := range c.conns {
		if conn.seal() != c.bytesBefore[i] {
			written = true
		}
	}
	return written
}

var errSealed = errors.New("connection is sealed after a failed request")

// trackedConn counts the bytes offered to the connection. Bytes are counted before the write, so an unchanged count
// proves that nothing was sent.
type trackedConn struct {
	net.Conn
	mu           sync.Mutex
	offeredBytes int64
	sealed       bool
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
	c.offeredBytes += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) offered() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offeredBytes
}

func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.offeredBytes
}
