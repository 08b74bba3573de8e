package outbound

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

const (
	defaultRetryAfter = time.Second
	// writeTimeout limits the write of each chunk to a slow caller.
	writeTimeout    = 30 * time.Second
	writeChunkBytes = 64 << 10
)

// reply is the result of an attempt or of the complete call.
type reply struct {
	outcome    callctx.Outcome
	reason     callctx.Reason
	remedy     string
	retryAfter time.Duration // 0 means no Retry-After
	noRetry    bool          // callers earlier in the chain must not retry
	node       string        // member id of the inbound node

	// The following fields are set for answered calls.
	status    int
	header    http.Header
	body      []byte
	remainder io.ReadCloser // unread part of a long response; nil if body is complete
	length    int64         // length of the complete body; -1 if unknown

	notSent    bool // the request provably did not reach the other node
	noResponse bool // the other node sent no response
}

// refusal returns the reply to a call that this node does not forward. The outcome is NotRun, or Unknown for a resend,
// since an earlier attempt of the id may have run.
func (h *Handler) refusal(c *call, reason callctx.Reason) *reply {
	r := &reply{outcome: callctx.NotRun, reason: reason}
	if c.resend {
		r.outcome = callctx.Unknown
	}
	if isRetryable(reason) {
		r.retryAfter = defaultRetryAfter
	}
	return r
}

// isRetryable reports whether the same call can succeed later.
func isRetryable(reason callctx.Reason) bool {
	switch reason {
	case callctx.UnknownRoute, callctx.BadRequest, callctx.BodyTooLarge, callctx.TooDeep, callctx.IDTooOld,
		callctx.IDInFuture, callctx.DeadlineExpired, callctx.CancelledBeforeForward, callctx.AlreadyDone:
		return false
	}
	return true
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// writeReply sends a reply to the caller and returns the outcome to count. If abort is true, the caller has received an
// incomplete response and the connection must be closed.
func (h *Handler) writeReply(w http.ResponseWriter, c *call, r *reply) (result callResult, abort bool) {
	control := http.NewResponseController(w)
	// Not every ResponseWriter supports write deadlines; without support the server's own timeouts apply.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if h.limiter.isDraining() {
		// Prevents the caller from reusing a connection that this node is about to close.
		w.Header().Set("Connection", "close")
	}
	if r.outcome != callctx.Answered {
		h.writeRefusal(w, c, r)
		return callResult{r.outcome, r.reason}, false
	}
	copyHeader(w.Header(), r.header)
	h.setHeaders(w.Header(), c, r)
	if r.length >= 0 && c.request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	w.WriteHeader(r.status)
	if err := writeChunks(w, control, r.body); err != nil {
		closeRemainder(r)
		return callResult{callctx.Unknown, callctx.CancelledInBackend}, true
	}
	if r.remainder == nil {
		return callResult{callctx.Answered, ""}, false
	}
	return h.stream(w, control, r)
}

// writeChunks writes data in chunks, with writeTimeout for each.
func writeChunks(w http.ResponseWriter, control *http.ResponseController, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), writeChunkBytes)
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

func closeRemainder(r *reply) {
	if r.remainder != nil {
		r.remainder.Close()
	}
}

// stream forwards the remainder of a long response. If that fails, it returns abort, so that the caller sees a closed
// connection instead of a truncated success.
func (h *Handler) stream(w http.ResponseWriter, control *http.ResponseController, r *reply) (result callResult, abort bool) {
	defer r.remainder.Close()
	buffer := make([]byte, writeChunkBytes)
	for {
		n, readErr := r.remainder.Read(buffer)
		if err := writeChunks(w, control, buffer[:n]); err != nil {
			return callResult{callctx.Unknown, callctx.CancelledInBackend}, true
		}
		if readErr == io.EOF {
			return callResult{callctx.Answered, ""}, false
		}
		if readErr != nil {
			return callResult{callctx.Unknown, callctx.ResponseTruncated}, true
		}
	}
}

// refusalBody is the JSON body of a reply without a response of the backend server.
type refusalBody struct {
	Outcome   callctx.Outcome `json:"outcome"`
	Reason    callctx.Reason  `json:"reason"`
	Remedy    string          `json:"remedy"`
	RequestID string          `json:"request_id"`
}

func (h *Handler) writeRefusal(w http.ResponseWriter, c *call, r *reply) {
	if r.remedy == "" {
		r.remedy = remedyFor(r.outcome, r.reason)
	}
	body, err := json.Marshal(refusalBody{r.outcome, r.reason, r.remedy, c.id})
	if err != nil {
		body = []byte("{}")
	}
	h.setHeaders(w.Header(), c, r)
	w.Header().Set(callctx.HeaderReason, string(r.reason))
	if r.retryAfter > 0 {
		seconds := max(1, int(math.Ceil(r.retryAfter.Seconds())))
		w.Header().Set(callctx.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(callctx.Status(r.outcome, r.reason))
	// An error means that the caller has disconnected and does not need the refusal.
	_, _ = w.Write(body)
	h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Refused, Subject: c.id, Cause: string(r.outcome) + ": " + string(r.reason)})
	h.options.Logger.Debug("call refused", zap.String("request_id", c.id), zap.String("outcome", string(r.outcome)), zap.String("reason", string(r.reason)))
}

func (h *Handler) setHeaders(header http.Header, c *call, r *reply) {
	header.Del(callctx.HeaderRequestID)
	if c.id != "" {
		header.Set(callctx.HeaderRequestID, c.id)
	}
	header.Set(callctx.HeaderOutcome, string(r.outcome))
	if r.node != "" {
		header.Set(callctx.HeaderNode, r.node)
	}
	if r.noRetry {
		header.Set(callctx.HeaderNoRetry, "true")
	}
}

// remedyFor returns advice for the caller on how to proceed.
func remedyFor(outcome callctx.Outcome, reason callctx.Reason) string {
	if outcome == callctx.Unknown {
		switch reason {
		case callctx.AlreadyDone:
			return "the call has run, but its response is no longer stored; check the result in the application"
		case callctx.BadRequest, callctx.UnknownRoute, callctx.BodyTooLarge, callctx.TooDeep, callctx.IDInFuture:
			return "an earlier attempt may have run; correct the request and send it again with the same id and the next attempt number"
		}
		return "the call may have run; send it again with the same id and the next attempt number"
	}
	switch reason {
	case callctx.UnknownRoute:
		return "correct the path or publish a route for it"
	case callctx.BadRequest:
		return "correct the request headers, path or body"
	case callctx.BodyTooLarge:
		return "send at most 64 MiB"
	case callctx.TooDeep:
		return "shorten the call chain to at most 10 calls"
	case callctx.IDTooOld, callctx.IDInFuture:
		return "create a new request id; check the clock"
	case callctx.DeadlineExpired, callctx.DeadlineUnreachable:
		return "send the call again under a new request id with more time"
	default:
		return "send the call again under a new request id after Retry-After"
	}
}

// reasonLabel maps a reason to a metric label from a fixed set, since nodes of a later version may send other reasons.
func reasonLabel(reason callctx.Reason) string {
	if reason == "" {
		return "none"
	}
	if knownReasons[reason] {
		return string(reason)
	}
	return "other"
}

var knownReasons = map[callctx.Reason]bool{
	callctx.UnknownRoute: true, callctx.UnknownService: true, callctx.NotReady: true, callctx.RankOverShare: true,
	callctx.Overloaded: true, callctx.Draining: true, callctx.NoEndpoint: true, callctx.BackendUnreachable: true,
	callctx.DeadlineUnreachable: true, callctx.DeadlineExpired: true, callctx.CancelledBeforeForward: true,
	callctx.BadRequest: true, callctx.BodyTooLarge: true, callctx.TooDeep: true, callctx.RetryBudget: true,
	callctx.WrongIncarnation: true, callctx.PresenceUnconfirmed: true, callctx.IDBeforePresence: true,
	callctx.IDTooOld: true, callctx.IDInFuture: true, callctx.PresenceExpiring: true, callctx.TableFull: true,
	callctx.AlreadyRunning: true, callctx.AlreadyDone: true, callctx.Fenced: true, callctx.Superseded: true,
	callctx.Unresolved: true, callctx.ConnectionLost: true, callctx.ResponseTruncated: true,
	callctx.ResponseUnchecked: true, callctx.ResponseMismatch: true, callctx.DeadlineInBackend: true,
	callctx.CancelledInBackend: true,
}
