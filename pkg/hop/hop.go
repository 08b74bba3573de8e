// Package hop sends a single HTTP/1.1 request over a single connection and reports whether the request may have been received.
//
// The net/http client is unsuitable for this: it hides the connection, silently resends some requests, and matches responses to
// requests by order alone, so a late duplicate response to an earlier request is returned for the next one. A node must not run
// a request twice, and must not report "not run" for a request that has run. It therefore needs to know whether any byte of a
// request was handed to the network, and which request a response belongs to. Messages are parsed with net/http.
package hop

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
)

// Request is an HTTP request. Header must not contain hop-by-hop fields, Content-Length or Transfer-Encoding.
type Request struct {
	Method string
	Target string // request target of the request line: path and query
	Host   string
	Header http.Header
	ID     string // request ID; compared with Options.EchoHeader of the response

	Body   []byte    // the entire body, or a prefix of it if Stream is set
	Stream io.Reader // the rest of the body; nil if Body is the entire body
	Length int64     // of the entire body, used only if Stream is set; -1: unknown, sent with chunked encoding

	// FreshOnly restricts the request to new connections and those idle for at most Options.FreshIdleTimeout. If the peer closes an
	// idle connection while the request is in transit, it is unknown whether the request has run.
	FreshOnly bool
}

// Response is the response to a Request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte // the entire body if Rest is nil, otherwise a prefix of it

	// Rest is the remainder of a long body. The caller must read it to the end or close it. An error other than io.EOF means
	// that the body is incomplete.
	Rest     io.ReadCloser
	Length   int64 // of the entire body; -1: unknown
	Buffered bool  // Rest is already in memory; reading it does not wait for the peer
}

// Cause is the reason why a request has no complete response.
type Cause string

// The causes of a failure.
const (
	Unreachable       Cause = "unreachable" // no connection could be made
	DeadlineExceeded  Cause = "deadline"    // the context reached its deadline
	Cancelled         Cause = "cancelled"   // the context was cancelled
	ConnectionLost    Cause = "lost"        // the connection failed before a response arrived
	InvalidResponse   Cause = "garbled"     // malformed response, or a response to another request
	InvalidStatus     Cause = "status"      // the status of the response is not between 100 and 599, or a second interim response
	Truncated         Cause = "truncated"   // the response body is incomplete
	RequestBodyFailed Cause = "body_failed" // reading Request.Stream failed
)

// Failure is the error of a request that has no complete response.
type Failure struct {
	// Sent is false only if no byte of the request was, or will be, handed to the network.
	Sent  bool
	Cause Cause
	Err   error
}

// Error implements error.
func (f *Failure) Error() string {
	sent := "not sent"
	if f.Sent {
		sent = "may have been received"
	}
	return fmt.Sprintf("request %s: %s: %v", sent, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Options configures a Client. Zero values select the defaults.
type Options struct {
	EchoHeader string // canonical name of the response header that echoes Request.ID; empty: not checked
	// RequireEcho rejects responses without EchoHeader to requests with an ID on connections that carried another request before: it cannot be
	// told which of the two they belong to.
	RequireEcho bool
	DialTimeout time.Duration // default 500 ms, which allows for one lost packet
	// UserTimeout is how long sent data may stay unacknowledged, for example during a network partition, before the connection is
	// closed (TCP_USER_TIMEOUT). Default 1 s.
	UserTimeout time.Duration
	// DialOverrides maps "ip:port" of a node to the "ip:port" to connect to instead.
	DialOverrides     map[string]string
	IdleTimeout       time.Duration // connections idle for longer are not reused; default 4 s
	FreshIdleTimeout  time.Duration // the same limit for requests with FreshOnly; default 1 s
	MaxIdlePerAddress int           // idle connections kept per address; default 16
	MaxBufferedBytes  int64         // longer response bodies are streamed; default 256 KiB
	BufferBudget      *BufferBudget // limits the memory of buffered response bodies across all requests; nil: no limit
}

const (
	defaultDialTimeout       = 500 * time.Millisecond
	defaultUserTimeout       = time.Second
	defaultIdleTimeout       = 4 * time.Second
	defaultFreshIdleTimeout  = time.Second
	defaultMaxIdlePerAddress = 16
	defaultMaxBufferedBytes  = 256 << 10
)

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.UserTimeout = cmp.Or(o.UserTimeout, defaultUserTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.FreshIdleTimeout = cmp.Or(o.FreshIdleTimeout, defaultFreshIdleTimeout)
	o.MaxIdlePerAddress = cmp.Or(o.MaxIdlePerAddress, defaultMaxIdlePerAddress)
	o.MaxBufferedBytes = cmp.Or(o.MaxBufferedBytes, defaultMaxBufferedBytes)
	return o
}

// BufferBudget limits the memory for response bodies that have arrived and are not yet consumed. A body that exceeds the available
// budget is streamed instead. It is safe for concurrent use.
type BufferBudget struct{ available atomic.Int64 }

// NewBufferBudget returns a budget of the given size.
func NewBufferBudget(bytes int64) *BufferBudget {
	b := &BufferBudget{}
	b.available.Store(bytes)
	return b
}

// Available returns the number of unreserved bytes.
func (b *BufferBudget) Available() int64 { return b.available.Load() }

func (b *BufferBudget) reserve(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.available.Add(-bytes) >= 0 {
		return true
	}
	b.available.Add(bytes)
	return false
}

func (b *BufferBudget) release(bytes int64) {
	if b != nil {
		b.available.Add(bytes)
	}
}

// Client sends requests and pools idle connections. It is safe for concurrent use.
type Client struct {
	options Options
	pool    pool
}

// New returns a client.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := &dial.Dialer{
		Timeout: o.DialTimeout, Overrides: o.DialOverrides,
		DeadPeerDetection: &dial.DeadPeerDetection{UserTimeout: o.UserTimeout, ProbeInterval: keepAliveProbeInterval},
	}
	return &Client{options: o, pool: pool{options: o, dialer: dialer, idle: make(map[string][]*conn)}}
}

// Close closes idle connections. The client remains usable; later requests open new connections.
func (c *Client) Close() { c.pool.closeIdle() }

// CloseIdleTo closes the idle connections to an address, for example after the process behind it was replaced.
func (c *Client) CloseIdleTo(address string) { c.pool.closeIdleTo(address) }

// maxStaleRetries limits the retries after reused connections that turn out to be closed before any byte was written.
const maxStaleRetries = 2

// Do sends the request at most once and returns its response. Exactly one of the results is nil.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	for retries := 0; ; retries++ {
		cn, reused, err := c.pool.get(ctx, address, r.FreshOnly)
		if err != nil {
			return nil, dialFailure(ctx, err)
		}
		response, failed := c.exchange(ctx, cn, r)
		if failed == nil {
			return response, nil
		}
		retry := reused && !failed.Sent && failed.Cause == ConnectionLost && retries < maxStaleRetries && r.Stream == nil
		if !retry {
			return nil, failed
		}
	}
}

func dialFailure(ctx context.Context, err error) *Failure {
	return &Failure{Cause: causeOf(ctx, err, Unreachable), Err: err}
}

// causeOf returns DeadlineExceeded or Cancelled if the context has ended, since err is then only a consequence; otherwise fallback.
func causeOf(ctx context.Context, err error, fallback Cause) Cause {
	switch ended := ctx.Err(); { // read once: the deadline may pass between two reads
	case errors.Is(ended, context.DeadlineExceeded):
		return DeadlineExceeded
	case ended != nil:
		return Cancelled
	}
	if deadline, ok := ctx.Deadline(); ok && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline) {
		return DeadlineExceeded
	}
	return fallback
}
