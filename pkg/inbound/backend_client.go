package inbound

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/transport"
)

const (
	maxStaleRetries = 2 // retries after a reused connection was closed before any byte was written
	// If the backend server closes an idle connection while a request is sent on it, the outcome is unknown. Common servers
	// keep idle connections for 5 s or longer.
	backendIdleTimeout     = 4 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// failure describes why a forwarded call has no complete response.
type failure struct {
	outcome  callctx.Outcome
	reason   callctx.Reason
	shed     bool // the backend server refused the connection
	timedOut bool // the deadline expired while the backend server processed the call
}

// backendClient forwards requests to one backend server over pooled connections.
type backendClient struct {
	address   string
	transport *http.Transport
}

// newBackendClient returns a client that opens at most the given number of connections.
func newBackendClient(address string, connections int) *backendClient {
	return &backendClient{
		address: address,
		transport: &http.Transport{
			DialContext:            dialBackend,
			MaxConnsPerHost:        connections,
			MaxIdleConns:           connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        backendIdleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DisableCompression:     true,
		},
	}
}

func (c *backendClient) close() {
	c.transport.CloseIdleConnections()
}

// outgoing is a request to the backend server. Body is nil when stream is used.
type outgoing struct {
	template *http.Request
	body     []byte
	stream   io.Reader
	length   int64 // of stream; -1 if unknown
}

// build returns a new request that net/http does not retry by itself once a byte of it has been written.
func (o *outgoing) build(ctx context.Context, address string) *http.Request {
	r := o.template.Clone(ctx)
	r.URL.Scheme = "http"
	r.URL.Host = address
	r.RequestURI = ""
	r.GetBody = nil
	switch {
	case o.stream != nil:
		r.Body = io.NopCloser(o.stream)
		r.ContentLength = o.length
	case len(o.body) == 0 && !isReplayable(r):
		r.Body = http.NoBody
		r.ContentLength = 0
	default:
		// The wrapped reader hides that the body can be read again: net/http retries a request without a body, or with
		// GetBody, if its method or headers suggest that it is idempotent.
		r.Body = io.NopCloser(bytes.NewReader(o.body))
		r.ContentLength = int64(len(o.body))
	}
	return r
}

// isReplayable reports whether net/http would retry the request after a failure if it had no body.
func isReplayable(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// exchange is a response with unread body, and its connection.
type exchange struct {
	response *http.Response
	conn     *trackedConn
}

// close closes the body. The connection is reused for other calls if the body was read to its end.
func (e *exchange) close() {
	e.response.Body.Close()
}

// abort closes the connection, which signals to the backend server that the call is cancelled.
func (e *exchange) abort() {
	if e.conn != nil {
		e.conn.seal()
		e.conn.Close()
	}
	e.response.Body.Close()
}

// send forwards the request and returns the response with its body unread. It retries on another connection if a reused one was
// closed before any byte was written, unless the body is streamed.
func (c *backendClient) send(ctx context.Context, o *outgoing) (*exchange, *failure) {
	for retries := 0; ; retries++ {
		sent, stale, failed := c.sendOnce(ctx, o)
		if failed == nil {
			return sent, nil
		}
		if !stale || retries == maxStaleRetries || o.stream != nil {
			return nil, failed
		}
	}
}

// sendOnce makes one attempt. It also reports whether it failed because a reused connection was closed before a byte of the
// request was written.
func (c *backendClient) sendOnce(ctx context.Context, o *outgoing) (*exchange, bool, *failure) {
	var usedConn atomic.Pointer[trackedConn]
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*trackedConn)
		if !ok {
			return
		}
		conn.beginRequest()
		reused.Store(info.Reused)
		usedConn.Store(conn)
	}, Got1xxResponse: transport.RefuseSecondInterim()}
	response, err := c.transport.RoundTrip(o.build(httptrace.WithClientTrace(ctx, trace), c.address))
	conn := usedConn.Load()
	if err == nil {
		return &exchange{response: response, conn: conn}, false, nil
	}
	if conn == nil {
		return nil, false, classifyUnsent(ctx, err)
	}
	written := conn.seal()
	conn.Close()
	if written {
		reason := callctx.ConnectionLost
		if errors.Is(err, transport.ErrInvalidStatus) {
			reason = callctx.ResponseStatus
		}
		return nil, false, classifyInterrupted(ctx, reason)
	}
	return nil, reused.Load() && ctx.Err() == nil, classifyUnsent(ctx, err)
}

// classifyUnsent returns the failure for an error before any byte of the request was written.
func classifyUnsent(ctx context.Context, err error) *failure {
	f := &failure{outcome: callctx.NotRun, reason: callctx.BackendUnreachable}
	switch ended := ctx.Err(); {
	case errors.Is(ended, context.DeadlineExceeded):
		f.reason = callctx.DeadlineExpired
	case ended != nil:
		f.reason = callctx.CancelledBeforeForward
	default:
		f.shed = errors.Is(err, syscall.ECONNREFUSED)
	}
	return f
}

// classifyInterrupted returns the failure for an error after the request may have been written.
func classifyInterrupted(ctx context.Context, reason callctx.Reason) *failure {
	f := &failure{outcome: callctx.Unknown, reason: reason}
	switch ended := ctx.Err(); {
	case errors.Is(ended, context.DeadlineExceeded):
		f.reason = callctx.DeadlineInBackend
		f.timedOut = true
	case ended != nil:
		f.reason = callctx.CancelledInBackend
	}
	return f
}

// checkResponse rejects a response whose completeness cannot be verified, or that belongs to another request.
func checkResponse(response *http.Response, requestID string) *failure {
	if !hop.IsFinalStatus(response.StatusCode) {
		return &failure{outcome: callctx.Unknown, reason: callctx.ResponseStatus}
	}
	if echoed := response.Header.Get(callctx.HeaderRequestID); echoed != "" && echoed != requestID {
		return &failure{outcome: callctx.Unknown, reason: callctx.ResponseMismatch}
	}
	if response.ContentLength < 0 && !isChunked(response) && response.Body != http.NoBody {
		return &failure{outcome: callctx.Unknown, reason: callctx.ResponseUnchecked}
	}
	return nil
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// readBodyPrefix reads the body if it has up to MaxBufferedResponse bytes. If the body is longer, complete is false, data holds
// its beginning and the rest is unread.
func readBodyPrefix(ctx context.Context, response *http.Response) (data []byte, complete bool, failed *failure) {
	var buffer bytes.Buffer
	if response.ContentLength > 0 && response.ContentLength <= callctx.MaxBufferedResponse {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(response.Body, callctx.MaxBufferedResponse+1))
	if err != nil {
		return nil, false, classifyInterrupted(ctx, callctx.ResponseTruncated)
	}
	return buffer.Bytes(), n <= callctx.MaxBufferedResponse, nil
}
