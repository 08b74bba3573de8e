// Package hop sends one HTTP/1.1 request over one connection and says truthfully what became of it.
//
// net/http's client hides the connection, repeats some requests by itself and takes the next response on a connection for
// the answer to the next request, also when it is a late second answer to an earlier one. A node that must not run a request
// twice, and must not say "not run" when it has run, needs to know how much of a request was handed to the network and to
// which request a response belongs. Parsing and formatting are those of net/http.
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

// Request is one request. Its header must not hold fields that concern one connection, nor the length of the body.
type Request struct {
	Method string
	Target string // request target as it stands in the request line: path and query
	Host   string
	Header http.Header
	ID     string // of the request; compared with the echo in the response

	Body   []byte    // the whole body, or its beginning
	Stream io.Reader // the rest of the body; nil if Body is the whole
	Length int64     // of the whole body if Stream is set; -1: unknown, sent in chunks

	// FreshOnly restricts the request to connections that were used within Options.FreshIdleTimeout. A kept connection that the
	// other side closes as the request crosses leaves open whether it has run.
	FreshOnly bool
}

// Response is a response that belongs to the request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte // the whole body if Rest is nil, otherwise its beginning

	// Rest is the remainder of a long body. The caller reads it to its end or closes it. An error other than io.EOF means
	// that the body is incomplete.
	Rest     io.ReadCloser
	Length   int64 // of the whole body; -1: unknown
	Buffered bool  // Rest only hands over what is in memory: nothing more is awaited from the other side
}

// Cause says why there is no response.
type Cause string

// The causes of a failure.
const (
	Unreachable       Cause = "unreachable" // no connection could be made
	DeadlineExceeded  Cause = "deadline"    // the context reached its deadline
	Cancelled         Cause = "cancelled"   // the context was cancelled
	ConnectionLost    Cause = "lost"        // the connection ended without a response
	InvalidResponse   Cause = "garbled"     // what arrived is not a response, or belongs to another request
	Truncated         Cause = "truncated"   // the response ended early
	RequestBodyFailed Cause = "body_failed" // the rest of the request's body could not be read
)

// Failure is the end of a request without a complete response.
type Failure struct {
	// Sent is false if provably no byte of the request was handed to the network, and none will be.
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

// Options configure a Client. Zero values select the defaults.
type Options struct {
	EchoHeader  string        // canonical name of the response header that repeats Request.ID; empty: not compared
	DialTimeout time.Duration // default 500 ms, which leaves room for one lost packet
	// UserTimeout ends a connection whose data the other side does not acknowledge for so long (TCP_USER_TIMEOUT), as
	// behind a partition. Default 1 s.
	UserTimeout time.Duration
	// DialOverrides maps "ip:port" of a node to the "ip:port" to connect to instead.
	DialOverrides     map[string]string
	IdleTimeout       time.Duration // a connection that was idle for longer is not used again; default 4 s
	FreshIdleTimeout  time.Duration // the same for requests with FreshOnly; default 1 s
	MaxIdlePerAddress int           // kept connections to one address; default 16
	MaxBufferedBytes  int64         // longer response bodies are streamed; default 256 KiB
	BufferBudget      *BufferBudget // bounds the memory of buffered response bodies, over all requests; nil: not bounded
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultUserTimeout = time.Second
	defaultIdleFor     = 4 * time.Second
	defaultFreshFor    = time.Second
	defaultIdlePerHost = 16
	defaultMaxBuffered = 256 << 10
)

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.UserTimeout = cmp.Or(o.UserTimeout, defaultUserTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleFor)
	o.FreshIdleTimeout = cmp.Or(o.FreshIdleTimeout, defaultFreshFor)
	o.MaxIdlePerAddress = cmp.Or(o.MaxIdlePerAddress, defaultIdlePerHost)
	o.MaxBufferedBytes = cmp.Or(o.MaxBufferedBytes, defaultMaxBuffered)
	return o
}

// BufferBudget is the memory for long response bodies that have arrived and are not handed over yet. A body that finds none left is
// streamed. It is safe for concurrent use.
type BufferBudget struct{ left atomic.Int64 }

// NewBufferBudget returns memory of that many bytes.
func NewBufferBudget(bytes int64) *BufferBudget {
	b := &BufferBudget{}
	b.left.Store(bytes)
	return b
}

// Available is how many bytes are not in use.
func (b *BufferBudget) Available() int64 { return b.left.Load() }

func (b *BufferBudget) take(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.left.Add(-bytes) >= 0 {
		return true
	}
	b.left.Add(bytes)
	return false
}

func (b *BufferBudget) giveBack(bytes int64) {
	if b != nil {
		b.left.Add(bytes)
	}
}

// Client sends requests and keeps connections. It is safe for concurrent use.
type Client struct {
	options Options
	pool    pool
}

// New returns a client.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := &dial.Dialer{
		Timeout: o.DialTimeout, Overrides: o.DialOverrides, DeadPeerDetection: &dial.DeadPeerDetection{UserTimeout: o.UserTimeout, ProbeInterval: keepAliveProbe},
	}
	return &Client{options: o, pool: pool{options: o, dialer: dialer, idle: make(map[string][]*conn)}}
}

// Close closes the connections that are not in use. Later requests open new ones.
func (c *Client) Close() { c.pool.closeIdle() }

// CloseIdleTo closes the unused connections to one address, for example after its process was replaced.
func (c *Client) CloseIdleTo(address string) { c.pool.forget(address) }

// staleTries bounds how many kept connections are tried that turn out to be closed before a byte was written.
const staleTries = 2

// Do sends the request once and returns its response. The failure is nil if and only if the response is not.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	for tries := 0; ; tries++ {
		cn, reused, err := c.pool.get(ctx, address, r.FreshOnly)
		if err != nil {
			return nil, notSent(ctx, err)
		}
		response, failed := c.exchange(ctx, cn, r)
		if failed == nil {
			return response, nil
		}
		retry := reused && !failed.Sent && failed.Cause == ConnectionLost && tries < staleTries && r.Stream == nil
		if !retry {
			return nil, failed
		}
	}
}

func notSent(ctx context.Context, err error) *Failure {
	return &Failure{Cause: causeOf(ctx, err, Unreachable), Err: err}
}

// causeOf prefers the end of the context to the error that it led to.
func causeOf(ctx context.Context, err error, otherwise Cause) Cause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return DeadlineExceeded
	case ctx.Err() != nil:
		return Cancelled
	}
	if deadline, ok := ctx.Deadline(); ok && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline) {
		return DeadlineExceeded
	}
	return otherwise
}
