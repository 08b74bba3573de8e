package outbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/transport"
)

const (
	headerPrefix = "Laburnum-"
	// minFailureTimeout is the minimum duration of a timed-out attempt that counts as a failure of the endpoint. Shorter
	// timeouts are chosen by callers and do not indicate an unhealthy endpoint.
	minFailureTimeout = 250 * time.Millisecond
	// maxRefusalBytes is how much of a refusal's body is read to make the connection reusable.
	maxRefusalBytes = 16 << 10
)

// attempt sends the call to one endpoint, reads the response and records the health signal for the endpoint. The ballot
// is empty unless the call is a resend.
func (h *Handler) attempt(ctx context.Context, c *call, to *candidate, ballot string) *reply {
	startedAt := h.now()
	to.state.inFlight.Add(1)
	done := func() { to.state.inFlight.Add(-1) }
	response, err := h.send(ctx, c, to, ballot)
	var r *reply
	if err != nil {
		r = failedReply(ctx, c, err)
	} else {
		r = h.read(ctx, c, to, response)
	}
	if r.remainder != nil {
		r.remainder = &closeHook{ReadCloser: r.remainder, hook: done}
	} else {
		done()
	}
	h.recordHealth(c.route.Service, to, h.classifyHealth(r, startedAt))
	to.state.recordRefusal(r, h.now())
	return r
}

func (h *Handler) send(ctx context.Context, c *call, to *candidate, ballot string) (*http.Response, error) {
	request := h.newRequest(ctx, c, to, ballot)
	if h.options.Local != nil && to.member.ID == h.options.Self.ID {
		return serveLocal(h.options.Local, request)
	}
	return h.transport.Do(request)
}

// newRequest builds the request to an inbound node. It removes headers of the caller that only nodes may set.
func (h *Handler) newRequest(ctx context.Context, c *call, to *candidate, ballot string) *http.Request {
	body, length := c.newBody()
	header := c.request.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Expect")
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
	remaining := max(c.deadline.Sub(h.now()).Milliseconds(), 0)
	header.Set(callctx.HeaderRequestID, c.id)
	header.Set(callctx.HeaderAttempt, attemptNumber(c, ballot))
	header.Set(callctx.HeaderTimeoutMS, strconv.FormatInt(remaining, 10))
	header.Set(callctx.HeaderContext, h.options.Signer.Encode(callctx.Context{
		RequestID: c.id, Rank: c.rank, Deadline: c.deadline, Depth: c.depth, Parent: c.parent,
	}))
	header.Set(callctx.HeaderService, c.route.Service)
	header.Set(callctx.HeaderIncarnation, strconv.FormatUint(to.member.Incarnation, 10))
	header.Set(callctx.HeaderIdempotent, strconv.FormatBool(c.route.Idempotent))
	if ballot != "" {
		header.Set(callctx.HeaderBallot, ballot)
	}
	in := c.request.URL
	request := &http.Request{
		Method:        c.request.Method,
		URL:           &url.URL{Scheme: h.scheme, Host: to.member.CallAddress, Path: in.Path, RawPath: in.RawPath, RawQuery: in.RawQuery},
		Host:          c.request.Host,
		Header:        header,
		ContentLength: length,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if length != 0 {
		request.Body = io.NopCloser(body)
	}
	return request.WithContext(ctx)
}

// attemptNumber returns "2" for a resend and "1" otherwise. Retries on other endpoints belong to the same attempt, since
// the earlier endpoints provably did not run the call.
func attemptNumber(c *call, ballot string) string {
	if ballot != "" || c.resend {
		return "2"
	}
	return "1"
}

// failedReply returns the reply for a request that received no response.
func failedReply(ctx context.Context, c *call, err error) *reply {
	var transportErr *transport.Error
	sent := !errors.As(err, &transportErr) || transportErr.Written
	callerCancelled := c.request.Context().Err() != nil
	ended := ctx.Err() // read once: the deadline may pass between two reads
	deadlineExceeded := errors.Is(ended, context.DeadlineExceeded)
	switch {
	case sent && callerCancelled:
		return &reply{outcome: callctx.Unknown, reason: callctx.CancelledInBackend}
	case sent && deadlineExceeded:
		return &reply{outcome: callctx.Unknown, reason: callctx.DeadlineInBackend, noResponse: true}
	case sent && ended != nil:
		return &reply{outcome: callctx.Unknown, reason: callctx.CancelledInBackend}
	case errors.Is(err, transport.ErrInvalidStatus):
		return &reply{outcome: callctx.Unknown, reason: callctx.ResponseStatus}
	case sent:
		return &reply{outcome: callctx.Unknown, reason: callctx.ConnectionLost, noResponse: true}
	case callerCancelled:
		return &reply{outcome: callctx.NotRun, reason: callctx.CancelledBeforeForward, notSent: true}
	case deadlineExceeded:
		return &reply{outcome: callctx.NotRun, reason: callctx.DeadlineExpired, notSent: true, noResponse: true}
	case ended != nil:
		return &reply{outcome: callctx.NotRun, reason: callctx.CancelledBeforeForward, notSent: true}
	default:
		return &reply{outcome: callctx.NotRun, reason: callctx.BackendUnreachable, notSent: true, noResponse: true, retryAfter: defaultRetryAfter}
	}
}

// classifyHealth returns the health signal of a reply. A refusal is not a failure: a node that reports overload or
// draining works correctly.
func (h *Handler) classifyHealth(r *reply, startedAt time.Time) healthSignal {
	switch r.reason {
	case callctx.DeadlineInBackend, callctx.DeadlineExpired:
		if r.noResponse && h.now().Sub(startedAt) >= minFailureTimeout {
			return failure
		}
		return neutral
	case callctx.ConnectionLost, callctx.BackendUnreachable, callctx.ResponseTruncated, callctx.ResponseMismatch, callctx.ResponseUnchecked,
		callctx.ResponseStatus:
		return failure
	}
	if r.outcome != callctx.Answered {
		return neutral
	}
	if r.status == http.StatusInternalServerError || r.status == http.StatusBadGateway {
		return backendError
	}
	return success
}

// read verifies a response and buffers its body up to callctx.MaxBufferedResponse.
func (h *Handler) read(ctx context.Context, c *call, to *candidate, response *http.Response) *reply {
	if load, err := callctx.ParseLoad(response.Header.Get(callctx.HeaderLoad)); err == nil {
		to.state.recordLoad(load, h.now())
	}
	outcome := callctx.Outcome(response.Header.Get(callctx.HeaderOutcome))
	if !matchesCall(c, to, outcome, response.Header) {
		response.Body.Close()
		return &reply{outcome: callctx.Unknown, reason: callctx.ResponseMismatch}
	}
	switch outcome {
	case callctx.Answered:
		return readResponse(ctx, c, response)
	case callctx.NotRun, callctx.Unknown:
		return readRefusal(outcome, response)
	default:
		response.Body.Close()
		return &reply{outcome: callctx.Unknown, reason: callctx.ResponseUnchecked}
	}
}

// matchesCall reports whether a response was sent by the addressed node for this call. The response of a backend server
// must carry the request id. A refusal may omit it, but must not carry another one.
func matchesCall(c *call, to *candidate, outcome callctx.Outcome, header http.Header) bool {
	id := header.Get(callctx.HeaderRequestID)
	if outcome == callctx.Answered {
		return id == c.id
	}
	return (id == "" || id == c.id) && header.Get(callctx.HeaderNode) == to.member.ID
}

func readRefusal(outcome callctx.Outcome, response *http.Response) *reply {
	// The body duplicates the headers in readable form. It is read only to make the connection reusable.
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	response.Body.Close()
	return refusalFromHeader(outcome, response.Header)
}

func refusalFromHeader(outcome callctx.Outcome, header http.Header) *reply {
	r := &reply{
		outcome: outcome,
		reason:  callctx.Reason(header.Get(callctx.HeaderReason)),
		noRetry: header.Get(callctx.HeaderNoRetry) == "true",
		node:    header.Get(callctx.HeaderNode),
	}
	if seconds, err := strconv.Atoi(header.Get(callctx.HeaderRetryAfter)); err == nil && seconds > 0 {
		r.retryAfter = min(time.Duration(seconds)*time.Second, time.Hour)
	}
	return r
}

func readResponse(ctx context.Context, c *call, response *http.Response) *reply {
	r := &reply{outcome: callctx.Answered, status: response.StatusCode, header: response.Header, length: response.ContentLength}
	r.node = r.header.Get(callctx.HeaderNode)
	r.noRetry = r.header.Get(callctx.HeaderNoRetry) == "true"
	for _, name := range []string{callctx.HeaderLoad, callctx.HeaderContext, callctx.HeaderReason, "Content-Length"} {
		r.header.Del(name)
	}
	removeHopByHopHeaders(r.header)
	if c.request.Method == http.MethodHead {
		response.Body.Close()
		if response.ContentLength >= 0 {
			r.header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
		}
		return r
	}
	if !bodyAllowed(response.StatusCode) {
		response.Body.Close()
		r.length = -1
		return r
	}
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		response.Body.Close()
		return &reply{outcome: callctx.Unknown, reason: callctx.ResponseUnchecked}
	}
	return bufferBody(ctx, c, response, r)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// bufferBody reads the body up to callctx.MaxBufferedResponse. A body within the limit is complete and verified when
// bufferBody returns; otherwise the remainder is streamed.
func bufferBody(ctx context.Context, c *call, response *http.Response, r *reply) *reply {
	var err error
	if r.length >= 0 {
		r.body = make([]byte, min(r.length, callctx.MaxBufferedResponse))
		_, err = io.ReadFull(response.Body, r.body)
	} else {
		r.body, err = io.ReadAll(io.LimitReader(response.Body, callctx.MaxBufferedResponse))
	}
	if err != nil {
		response.Body.Close()
		return truncatedReply(ctx, c)
	}
	if r.length > int64(len(r.body)) || r.length < 0 && len(r.body) == callctx.MaxBufferedResponse {
		r.remainder = response.Body
		return r
	}
	response.Body.Close()
	r.length = int64(len(r.body))
	return r
}

func truncatedReply(ctx context.Context, c *call) *reply {
	reason := callctx.ResponseTruncated
	switch ended := ctx.Err(); {
	case c.request.Context().Err() != nil:
		reason = callctx.CancelledInBackend
	case errors.Is(ended, context.DeadlineExceeded):
		reason = callctx.DeadlineInBackend
	case ended != nil:
		reason = callctx.CancelledInBackend
	}
	return &reply{outcome: callctx.Unknown, reason: reason}
}

// closeHook runs a function when a streamed body is closed.
type closeHook struct {
	io.ReadCloser
	hook func()
}

// Close runs the hook and closes the stream. It must be called exactly once.
func (c *closeHook) Close() error {
	c.hook()
	return c.ReadCloser.Close()
}
