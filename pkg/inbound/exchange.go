package inbound

import (
	"context"
	"io"
	"net/http"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
)

// forwarding is a granted call on its way through the backend server.
type forwarding struct {
	handler *Handler
	backend *backend
	call    *call
	in      *incoming
	entry   *execution.Entry // nil for an idempotent call
	out     *outgoing
}

// forward sends a granted call to the backend server and its response to the caller.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, f *forwarding) {
	ctx, cancel := context.WithDeadline(r.Context(), f.in.deadline)
	defer cancel()
	response, failed := f.backend.client.Load().send(ctx, f.out)
	if failed == nil {
		defer response.Body.Close()
		failed = checkResponse(response, f.in.id)
	}
	if failed != nil {
		f.fail(w, failed)
		return
	}
	data, complete, failed := readHead(ctx, response)
	switch {
	case failed != nil:
		f.fail(w, failed)
	case complete:
		f.answer(w, r, response, data)
	default:
		f.stream(ctx, w, response, data)
	}
}

// release frees the slot. It comes before the caller gets the response, whose transfer needs no slot.
func (f *forwarding) release(r result) {
	f.backend.admission.release(f.call, r)
}

// fail ends a call without a complete response.
func (f *forwarding) fail(w http.ResponseWriter, failed *failure) {
	f.release(result{shed: failed.shed, timedOut: failed.timedOut})
	refused := &refusal{outcome: failed.outcome, reason: failed.reason}
	if failed.outcome == callctx.NotRun {
		refused.retryAfter = minRetryAfter
		f.handler.refuse(w, f.entry, refused)
		return
	}
	if f.entry != nil {
		f.entry.Finish(nil)
	}
	f.handler.count(refused.outcome, refused.reason)
	f.handler.write(w, refusalBody(refused))
}

// answer sends a response that is complete and in memory.
func (f *forwarding) answer(w http.ResponseWriter, r *http.Request, response *http.Response, data []byte) {
	shed := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	f.release(result{answered: !shed, shed: shed})
	kept := &execution.Response{Status: response.StatusCode, Header: answerHeader(response, f.in.id), Body: data}
	if f.entry != nil {
		f.entry.Finish(kept)
	}
	f.handler.options.Metrics.Inc("inbound_answered")
	if r.Method == http.MethodHead {
		f.handler.writeHead(w, kept.Status, kept.Header, response.ContentLength)
		return
	}
	f.handler.write(w, kept)
}

// stream passes on a long response while it arrives. If it is cut off, the connection to the caller is aborted, so that
// the caller cannot take it for complete.
func (f *forwarding) stream(ctx context.Context, w http.ResponseWriter, response *http.Response, data []byte) {
	if f.entry != nil {
		defer f.entry.Finish(nil) // too long to be kept
	}
	f.handler.writeHead(w, response.StatusCode, answerHeader(response, f.in.id), response.ContentLength)
	_, err := w.Write(data)
	if err == nil {
		_, err = io.Copy(w, response.Body)
	}
	response.Body.Close()
	f.release(result{answered: err == nil})
	if err != nil {
		f.handler.count(callctx.Unknown, interrupted(ctx, callctx.ResponseTruncated).reason)
		panic(http.ErrAbortHandler)
	}
	f.handler.options.Metrics.Inc("inbound_answered")
}
