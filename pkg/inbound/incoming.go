package inbound

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
)

const (
	maxTimeout          = 10 * time.Minute // equals the longest timeout of a route
	maxBufferedRequest  = 1 << 20          // a longer request body is streamed while the call holds its slot
	maxRequestBodyBytes = 64 << 20         // a longer request body is refused, or truncated if its length is not declared
)

// incoming is a parsed call.
type incoming struct {
	id          string
	service     string
	rank        string
	deadline    time.Time
	depth       int
	parent      string
	idempotent  bool
	resend      bool // not attempt 1, or attempt number unknown
	ballot      execution.Ballot
	incarnation uint64
}

// parseIdentity parses the headers that the execution table needs. A malformed id is refused with "not-run", because such an
// id never runs. Other malformed headers are refused with "unknown", because an earlier attempt may have run.
func parseIdentity(r *http.Request) (*incoming, *refusal) {
	in := &incoming{
		id:         r.Header.Get(callctx.HeaderRequestID),
		service:    r.Header.Get(callctx.HeaderService),
		idempotent: r.Header.Get(callctx.HeaderIdempotent) == "true",
		resend:     r.Header.Get(callctx.HeaderAttempt) != "1",
	}
	if in.id == "" && in.idempotent {
		in.id = callctx.NewRequestID()
	}
	if _, err := callctx.IDTime(in.id); err != nil {
		return nil, &refusal{outcome: callctx.NotRun, reason: callctx.BadRequest}
	}
	var err error
	if in.ballot, err = execution.ParseBallot(r.Header.Get(callctx.HeaderBallot)); err != nil {
		return nil, &refusal{outcome: callctx.Unknown, reason: callctx.BadRequest}
	}
	if text := r.Header.Get(callctx.HeaderIncarnation); text != "" {
		if in.incarnation, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, &refusal{outcome: callctx.Unknown, reason: callctx.BadRequest}
		}
	}
	return in, nil
}

// parseContext determines rank, depth and deadline. A context without a valid signature is ignored and counted; rank and timeout
// then come from the matching route of this node's snapshot.
func (h *Handler) parseContext(r *http.Request, snapshot *config.Snapshot, in *incoming) callctx.Reason {
	if r.ContentLength > maxRequestBodyBytes {
		return callctx.BodyTooLarge
	}
	now := h.now()
	in.depth = 1
	timeout := time.Duration(0)
	callContext, err := h.options.Signer.Decode(r.Header.Get(callctx.HeaderContext))
	if err == nil {
		in.rank, in.depth, in.parent = callContext.Rank, callContext.Depth, callContext.Parent
		timeout = callContext.Deadline.Sub(now)
	} else {
		h.options.Metrics.Inc("inbound_context_ignored")
		route, ok := snapshot.Match(r.Method, r.URL.Path)
		if !ok {
			return callctx.UnknownRoute
		}
		in.rank = route.Rank
		timeout = route.Timeout()
	}
	if in.depth > callctx.MaxDepth {
		return callctx.TooDeep
	}
	// The timeout header takes precedence over the deadline in the context, which is a time on another node's clock.
	if text := r.Header.Get(callctx.HeaderTimeoutMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return callctx.BadRequest
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	in.deadline = now.Add(min(timeout, maxTimeout))
	return ""
}

// hopByHopHeaders concern one connection or the inbound node only, and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
	callctx.HeaderService, callctx.HeaderIncarnation, callctx.HeaderIdempotent, callctx.HeaderBallot,
}

// newBackendRequest returns the request to send to the backend server, without its body.
func (h *Handler) newBackendRequest(r *http.Request, in *incoming) *http.Request {
	out := r.Clone(r.Context())
	out.Body = nil
	out.TransferEncoding = nil
	out.Close = false
	for _, name := range hopByHopHeaders {
		out.Header.Del(name)
	}
	out.Header.Set(callctx.HeaderRequestID, in.id)
	out.Header.Set(callctx.HeaderTimeoutMS, strconv.FormatInt(max(1, in.deadline.Sub(h.now()).Milliseconds()), 10))
	out.Header.Set(callctx.HeaderContext, h.options.Signer.Encode(callctx.Context{
		RequestID: in.id,
		Rank:      in.rank,
		Deadline:  in.deadline,
		Depth:     in.depth,
		Parent:    in.parent,
	}))
	return out
}

// readRequest buffers a short body before the call waits for a slot, so that a slow caller does not occupy a slot.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, in *incoming) (*outgoing, callctx.Reason) {
	out := &outgoing{template: h.newBackendRequest(r, in)}
	if r.Body == nil || r.Body == http.NoBody {
		return out, ""
	}
	if r.ContentLength > maxBufferedRequest {
		out.stream, out.length = r.Body, r.ContentLength
		return out, ""
	}
	limited := http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)
	body, err := io.ReadAll(io.LimitReader(limited, maxBufferedRequest+1))
	if err != nil {
		return nil, callctx.BadRequest
	}
	if len(body) > maxBufferedRequest {
		out.stream, out.length = io.MultiReader(bytes.NewReader(body), limited), -1
		return out, ""
	}
	out.body = body
	return out, ""
}
