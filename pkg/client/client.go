// Package client calls services through the nodes of laburnumcleat.
//
// Client.Do guarantees the following:
//
//   - Each call has a request id (UUIDv7) and an attempt number. A call on a non-idempotent route runs at most once for
//     each id, however often it is sent.
//   - A returned Response is complete and belongs to this call: its length and its request id have been verified.
//   - An *Error with Outcome callctx.NotRun means that no id used for this call has run or will run. It is safe to call
//     Do again.
//   - An *Error with Outcome callctx.Unknown means that the call may have run. Do not call Do again for a
//     non-idempotent call, since a new call has a new id; Remedy says what to do.
//   - After a lost connection the client resends the same id through another node with the next attempt number.
//   - The client retries with a new id only after a final "not-run", after the node's Retry-After with jitter, within the
//     deadline and the retry budget, and only if the response does not carry Laburnum-No-Retry. The second and later
//     resends of an id draw on the same budget.
//   - If a node refuses because it is itself draining or not ready, the call fails over to another node immediately and
//     without using the budget, so that a graceful shutdown of a node does not affect its callers.
//   - Do returns by the deadline of its context, or after Options.Timeout if the context has none.
//
// Callers that use plain HTTP get weaker guarantees. Without Laburnum-Request-Id the first node creates the id; after a
// lost connection such a caller cannot determine whether its call has run, and must not resend a non-idempotent call.
// With an id and correct attempt numbers a plain HTTP caller gets the same guarantees as this package. Sending an id
// twice as attempt 1 voids the guarantee for that id. An id without an attempt number is handled as a resend, which is
// safe but slower.
package client

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/transport"
)

// Options configures a Client.
type Options struct {
	Nodes            []string      // "host:port" of the nodes' caller interface; at least one
	TLS              *tls.Config   // nil means plain HTTP
	Timeout          time.Duration // for calls whose context has no deadline; default 10 s
	MaxSends         int           // maximum requests for one call, over all ids; default 4
	MaxResponseBytes int64         // maximum response body; default 64 MiB
}

const (
	defaultTimeout          = 10 * time.Second
	defaultMaxSends         = 4
	defaultMaxResponseBytes = 64 << 20
	minRetryDelay           = 20 * time.Millisecond // backoff between dial rounds, and minimum jitter range
	nodeAvoidDuration       = time.Second           // after a node was unreachable or not ready
	// drainingNodeAvoidDuration exceeds DrainLinger: a draining node closes its sockets DrainLinger after its last call,
	// and a connection that the kernel accepts at that moment is reset.
	drainingNodeAvoidDuration = 2 * callctx.DrainLinger
)

// Client sends calls. It is safe for concurrent use.
type Client struct {
	options    Options
	transport  *transport.Transport
	scheme     string
	roundRobin atomic.Uint64
	avoidUntil []atomic.Int64 // for each node; other nodes are preferred until this clock.Now
	budget     retryBudget

	random func() float64                                      // returns a value in [0, 1)
	sleep  func(ctx context.Context, wait time.Duration) error // returns early with an error if ctx is done
}

// New returns a Client. Errors are of kind apierror.Invalid.
func New(o Options) (*Client, error) {
	if len(o.Nodes) == 0 {
		return nil, apierror.InvalidField("nodes", "empty", "specify at least one node as host:port")
	}
	for _, node := range o.Nodes {
		if !strings.Contains(node, ":") || strings.Contains(node, "/") {
			return nil, apierror.InvalidField("nodes", "not an address: "+node, "use host:port")
		}
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxSends <= 0 {
		o.MaxSends = defaultMaxSends
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	c := &Client{options: o, scheme: "http", transport: transport.New(transport.Options{TLS: o.TLS})}
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.avoidUntil = make([]atomic.Int64, len(o.Nodes))
	c.budget.tokens = budgetFloorTokens
	c.random = rand.Float64
	c.sleep = clock.Sleep
	c.roundRobin.Store(rand.Uint64())
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// Request is one call.
type Request struct {
	Method string // default GET
	Path   string // with query, e.g. "/bookings?day=3"
	Header http.Header
	Body   []byte
	// Context is the Laburnum-Context header of the call on whose behalf this one is made. It propagates rank, deadline
	// and depth. It is empty for a top-level call.
	Context string
}

// Response is the complete response of the backend server.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID string // id of the answered request
	Sends     []Send
}

// Send describes one request sent for a call.
type Send struct {
	RequestID string          `json:"request_id"`
	Attempt   int             `json:"attempt"`
	Node      string          `json:"node"`
	Outcome   callctx.Outcome `json:"outcome"`
	Reason    callctx.Reason  `json:"reason,omitempty"`
	NotSent   bool            `json:"not_sent,omitempty"` // no byte of the request reached the node
}

// Error is returned by Client.Do for a call without a response.
type Error struct {
	Outcome    callctx.Outcome // NotRun or Unknown; see the package comment
	Reason     callctx.Reason
	RetryAfter time.Duration // 0 if the node sent none
	Remedy     string
	RequestID  string // id of the last request
	Sends      []Send
	Cause      error // transport or context error; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	text := "call " + e.RequestID + ": " + string(e.Outcome) + " (" + string(e.Reason) + "); " + e.Remedy
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Do sends a call, with retries, and waits for its response. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	state := &callState{client: c, request: request, id: callctx.NewRequestID(), attempt: 1, nodeIndex: c.chooseNode(-1)}
	for {
		result := state.send(ctx)
		if result.outcome == callctx.Answered {
			c.budget.deposit()
			return state.response(result), nil
		}
		if !state.prepareRetry(ctx, result) {
			return nil, state.failure(ctx, result)
		}
	}
}

func (c *Client) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// chooseNode returns the index of the next node in round-robin order that is neither excluded nor currently avoided. If
// there is none, it returns an avoided node or, if there is only one node, that node.
func (c *Client) chooseNode(excluded int) int {
	now := int64(clock.Now())
	n := len(c.options.Nodes)
	first := int(c.roundRobin.Add(1) % uint64(n))
	fallback := first
	for i := range n {
		node := (first + i) % n
		if node == excluded {
			continue
		}
		if c.avoidUntil[node].Load() <= now {
			return node
		}
		fallback = node
	}
	return fallback
}

// avoidNode makes calls prefer other nodes for the given duration.
func (c *Client) avoidNode(node int, duration time.Duration) {
	c.avoidUntil[node].Store(int64(clock.Now() + duration))
}

// sendResult is the result of one request.
type sendResult struct {
	outcome         callctx.Outcome
	reason          callctx.Reason
	notSent         bool
	switchNode      bool // a resend goes through another node
	nodeUnavailable bool // this node currently refuses all calls; other nodes may accept them
	noRetry         bool
	retryAfter      time.Duration
	remedy          string
	cause           error
	status          int
	header          http.Header
	body            []byte
}

// send sends one request to a node and reads the response.
func (c *Client) send(ctx context.Context, node, id string, attempt int, in *Request) sendResult {
	request, err := c.newRequest(ctx, node, id, attempt, in)
	if err != nil {
		return sendResult{outcome: callctx.NotRun, reason: callctx.BadRequest, remedy: "correct the method or path", cause: err}
	}
	response, err := c.transport.Do(request)
	if err != nil {
		return transportErrorResult(ctx, err)
	}
	defer response.Body.Close()
	return c.read(ctx, id, request.Method, response)
}

func (c *Client) newRequest(ctx context.Context, node, id string, attempt int, in *Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(in.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = c.scheme, node
	request, err := http.NewRequestWithContext(ctx, in.Method, target.String(), newBodyReader(in.Body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(in.Body))
	for name, values := range in.Header {
		request.Header[http.CanonicalHeaderKey(name)] = slices.Clone(values)
	}
	request.Header.Set(callctx.HeaderRequestID, id)
	request.Header.Set(callctx.HeaderAttempt, strconv.Itoa(attempt))
	if in.Context != "" {
		request.Header.Set(callctx.HeaderContext, in.Context)
	}
	if deadline, ok := ctx.Deadline(); ok {
		ms := max(time.Until(deadline).Milliseconds(), 0)
		request.Header.Set(callctx.HeaderTimeoutMS, strconv.FormatInt(ms, 10))
	}
	return request, nil
}

// transportErrorResult classifies a call without a response.
func transportErrorResult(ctx context.Context, err error) sendResult {
	var transportErr *transport.Error
	notSent := errors.As(err, &transportErr) && !transportErr.Written
	switch {
	case notSent && ctx.Err() != nil:
		return sendResult{outcome: callctx.NotRun, reason: callctx.DeadlineExpired, notSent: true, cause: err}
	case notSent:
		return sendResult{outcome: callctx.NotRun, reason: callctx.NoEndpoint, notSent: true, cause: err}
	case ctx.Err() != nil:
		return endedInBackend(ctx, err)
	default:
		return sendResult{outcome: callctx.Unknown, reason: callctx.ConnectionLost, switchNode: true, cause: err}
	}
}

// endedInBackend is the result of a call whose ctx ended after some of the request was written.
func endedInBackend(ctx context.Context, err error) sendResult {
	reason := callctx.DeadlineInBackend
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = callctx.CancelledInBackend
	}
	return sendResult{outcome: callctx.Unknown, reason: reason, cause: err}
}

// read verifies the request id and length of a response and reads its body.
func (c *Client) read(ctx context.Context, id, method string, response *http.Response) sendResult {
	r := sendResult{status: response.StatusCode, header: response.Header}
	r.outcome = callctx.Outcome(response.Header.Get(callctx.HeaderOutcome))
	r.reason = callctx.Reason(response.Header.Get(callctx.HeaderReason))
	r.noRetry = response.Header.Get(callctx.HeaderNoRetry) == "true"
	if seconds, err := strconv.Atoi(response.Header.Get(callctx.HeaderRetryAfter)); err == nil && seconds > 0 {
		r.retryAfter = min(time.Duration(seconds)*time.Second, time.Hour)
	}
	if response.Header.Get(callctx.HeaderRequestID) != id {
		return sendResult{outcome: callctx.Unknown, reason: callctx.ResponseMismatch, switchNode: true}
	}
	noBody := method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if !noBody && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return sendResult{outcome: callctx.Unknown, reason: callctx.ResponseUnchecked, switchNode: true}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return endedInBackend(ctx, err)
	case err != nil:
		return sendResult{outcome: callctx.Unknown, reason: callctx.ResponseTruncated, switchNode: true, cause: err}
	case int64(len(body)) > c.options.MaxResponseBytes:
		return sendResult{outcome: callctx.Unknown, reason: callctx.AlreadyDone, remedy: "the response exceeds MaxResponseBytes; increase the limit"}
	}
	r.body = body
	return c.checkOutcome(r)
}

func (c *Client) checkOutcome(r sendResult) sendResult {
	switch r.outcome {
	case callctx.Answered:
		return r
	case callctx.NotRun, callctx.Unknown:
		r.remedy = parseRemedy(r.body)
		// A refusal by an inbound node carries that node's id; without one, the contacted node itself refused.
		r.nodeUnavailable = r.header.Get(callctx.HeaderNode) == "" && (r.reason == callctx.Draining || r.reason == callctx.NotReady)
		return r
	default:
		return sendResult{outcome: callctx.Unknown, reason: callctx.ResponseUnchecked, switchNode: true, remedy: "check that the address belongs to a node"}
	}
}
