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
	// minFailureTimeout is the shortest attempt whose time-out counts against the endpoint. Callers choose short time limits
	// themselves, and these say nothing about the endpoint.
	minFailureTimeout = 250 * time.Millisecond
	// maxRefusalBytes is read of the body of a refusal, so that the connection can be used again.
	maxRefusalBytes = 16 << 10
)

// attempt sends the call to one endpoint, reads the response and counts what it says about the endpoint. The ballot is
// empty unless the call is a resend.
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

// newRequest builds the request to an inbound node. Headers that only nodes may set are removed from what the caller
// sent.
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

// attemptNumber is 1 except for a resend. Further endpoints that this node tries belong to the same attempt: the first
// one provably did not run it.
func attemptNumber(c *call, ballot string) string {
	if ballot != "" || c.resend {
		return "2"
	}
	return "1"
}

// failedReply classifies a request without a response.
func failedReply(ctx context.Context, c *call, err error) *reply {
	var failed *transport.Error
	sent := !errors.As(err, &failed) || failed.Written
	callerCancelled := c.request.Context().Err() != nil
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case sent && callerCancelled:
		return &reply{outcome: callctx.Unknown, reason: callctx.CancelledInBackend}
	case sent && deadlineExceeded:
		return &reply{outcome: callctx.Unknown, reason: callctx.DeadlineInBackend, notAnswered: true}
	case sent && ctx.Err() != nil:
		return &reply{outcome: callctx.Unknown, reason: callctx.CancelledInBackend}
	case sent:
		return &reply{outcome: callctx.Unknown, reason: callctx.ConnectionLost, notAnswered: true}
	case callerCancelled:
		return &reply{outcome: callctx.NotRun, reason: callctx.CancelledBeforeForward, notSent: true}
	case deadlineExceeded:
		return &reply{outcome: callctx.NotRun, reason: callctx.DeadlineExpired, notSent: true, notAnswered: true}
	case ctx.Err() != nil:
		return &reply{outcome: callctx.NotRun, reason: callctx.CancelledBeforeForward, notSent: true}
	default:
		return &reply{outcome: callctx.NotRun, reason: callctx.BackendUnreachable, notSent: true, notAnswered: true, retryAfter: defaultRetryAfter}
	}
}

// classifyHealth says what a reply means for its endpoint. A refusal is no failure: an overloaded or leaving node that says
// so works as it should.
func (h *Handler) classifyHealth(r *reply, startedAt time.Time) healthSignal {
	switch r.reason {
	case callctx.DeadlineInBackend, callctx.DeadlineExpired:
		if r.notAnswered && h.now().Sub(startedAt) >= minFailureTimeout {
			return failure
		}
		return neutral
	case callctx.ConnectionLost, callctx.BackendUnreachable, callctx.ResponseTruncated, callctx.ResponseMismatch, callctx.ResponseUnchecked:
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

// read checks a response and buffers its body up to callctx.MaxBufferedResponse.
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
		return readAnswer(ctx, c, response)
	case callctx.NotRun, callctx.Unknown:
		return readRefusal(outcome, response)
	default:
		response.Body.Close()
		return &reply{outcome: callctx.Unknown, reason: callctx.ResponseUnchecked}
	}
}

// matchesCall reports whether a response is that of the addressed node to this call. An answer must carry the request id; a
// refusal need not, but no other id.
func matchesCall(c *call, to *candidate, outcome callctx.Outcome, header http.Header) bool {
	id := header.Get(callctx.HeaderRequestID)
	if outcome == callctx.Answered {
		return id == c.id
	}
	return (id == "" || id == c.id) && header.Get(callctx.HeaderNode) == to.member.ID
}

func readRefusal(outcome callctx.Outcome, response *http.Response) *reply {
	// The body only repeats the headers for people; it is read so that the connection can be used again.
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

func readAnswer(ctx context.Context, c *call, response *http.Response) *reply {
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

// bufferBody reads the body up to the limit. A short body is complete and checked when it returns.
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
	switch {
	case c.request.Context().Err() != nil:
		reason = callctx.CancelledInBackend
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = callctx.DeadlineInBackend
	case ctx.Err() != nil:
		reason = callctx.CancelledInBackend
	}
	return &reply{outcome: callctx.Unknown, reason: reason}
}

// closeHook runs a function when a streamed body is closed.
type closeHook struct {
	io.ReadCloser
	hook func()
}

// Close must be called once.
func (c *closeHook) Close() error {
	c.hook()
	return c.ReadCloser.Close()
}
