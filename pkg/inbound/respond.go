package inbound

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
)

// nodeHeaders are set by nodes only, so that a backend server cannot claim an outcome. Laburnum-No-Retry is not among them,
// because a backend server propagates it from calls that it made itself.
var nodeHeaders = []string{
	callctx.HeaderOutcome, callctx.HeaderReason, callctx.HeaderNode, callctx.HeaderLoad,
}

// refusalResponse returns the response for a refused or failed call.
func refusalResponse(refused *refusal) *execution.Response {
	header := http.Header{}
	header.Set(callctx.HeaderOutcome, string(refused.outcome))
	header.Set(callctx.HeaderReason, string(refused.reason))
	header.Set("Content-Type", "application/json")
	if refused.outcome == callctx.NotRun && refused.retryAfter > 0 {
		header.Set(callctx.HeaderRetryAfter, retryAfterSeconds(refused.retryAfter))
	}
	body, err := json.Marshal(refusalError(refused))
	if err != nil {
		body = nil
	}
	return &execution.Response{Status: callctx.Status(refused.outcome, refused.reason), Header: header, Body: body}
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

func refusalError(refused *refusal) *apierror.Error {
	if refused.outcome == callctx.Unknown {
		return apierror.New(apierror.Unknown, "the request may have run: "+string(refused.reason), unknownRemedy(refused.reason))
	}
	kind := apierror.Unavailable
	remedy := "send the request again under a new id"
	switch refused.reason {
	case callctx.RankOverShare, callctx.Overloaded:
		kind, remedy = apierror.Overloaded, "send the request again under a new id after Retry-After"
	case callctx.BadRequest, callctx.TooDeep, callctx.IDInFuture, callctx.IDTooOld:
		kind, remedy = apierror.Invalid, "correct the request and send it under a new id"
	case callctx.BodyTooLarge:
		kind, remedy = apierror.TooLarge, "send a shorter body"
	case callctx.UnknownRoute:
		kind, remedy = apierror.NotFound, "publish a route for this path or correct the path"
	}
	return apierror.New(kind, "the request has not run and will not run: "+string(refused.reason), remedy)
}

func unknownRemedy(reason callctx.Reason) string {
	switch reason {
	case callctx.AlreadyRunning, callctx.Fenced, callctx.Superseded, callctx.Unresolved:
		return "send the same id again as a later attempt after a second"
	default:
		return "send the same id again as a later attempt to learn whether it has run"
	}
}

// writeResponse sends a complete response.
func (h *Handler) writeResponse(w http.ResponseWriter, response *execution.Response) {
	h.writeHeader(w, response.Status, response.Header, int64(len(response.Body)))
	// A failed write means that the caller has disconnected; the table keeps the outcome for a resend.
	_, _ = w.Write(response.Body)
}

// writeHeader sends status and headers. A negative length selects chunked encoding.
func (h *Handler) writeHeader(w http.ResponseWriter, status int, header http.Header, length int64) {
	target := w.Header()
	for name, values := range header {
		target[name] = values
	}
	target.Set(callctx.HeaderNode, h.options.Self.ID)
	target.Set(callctx.HeaderLoad, h.load().String())
	if length >= 0 && bodyAllowed(status) {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// responseHeader returns the headers of the backend server's response without hop-by-hop and node headers, with the outcome added.
func responseHeader(response *http.Response, requestID string) http.Header {
	header := response.Header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	for _, name := range nodeHeaders {
		header.Del(name)
	}
	header.Del("Content-Length")
	header.Set(callctx.HeaderOutcome, string(callctx.Answered))
	header.Set(callctx.HeaderRequestID, requestID)
	return header
}
