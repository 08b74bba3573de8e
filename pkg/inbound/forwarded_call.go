package inbound

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
)

// forwardedCall is a call that holds a slot and is forwarded to the backend server.
type forwardedCall struct {
	handler  *Handler
	backend  *backend
	call     *call
	in       *incoming
	entry    *execution.Entry // nil for an idempotent call
	out      *outgoing
	released bool
}

// run sends the call to the backend server and its response to the caller.
func (f *forwardedCall) run(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithDeadline(r.Context(), f.in.deadline)
	defer cancel()
	exchange, failed := f.backend.client.Load().send(ctx, f.out)
	if failed != nil {
		f.fail(w, failed)
		return
	}
	defer exchange.close()
	if failed := checkResponse(exchange.response, f.in.id); failed != nil {
		exchange.abort()
		f.fail(w, failed)
		return
	}
	data, complete, failed := readBodyPrefix(ctx, exchange.response)
	switch {
	case failed != nil:
		exchange.abort()
		f.fail(w, failed)
	case complete:
		f.respond(w, r, exchange.response, data)
	default:
		f.stream(ctx, w, exchange, data)
	}
}

// release frees the slot. It must be called after the connection of a failed call is closed, and before a buffered response
// is sent to the caller, because that transfer needs no slot.
func (f *forwardedCall) release(r result) {
	f.released = true
	f.backend.admission.release(f.call, r)
}

// cleanUp frees the slot and finishes the entry if a panic, for example of the response writer, ended the call early.
func (f *forwardedCall) cleanUp() {
	if !f.released {
		f.release(result{})
	}
	if f.entry != nil {
		f.entry.Finish(nil)
	}
}

// fail finishes a call that has no complete response.
func (f *forwardedCall) fail(w http.ResponseWriter, failed *failure) {
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
	f.handler.countRefusal(refused.outcome, refused.reason)
	f.handler.writeResponse(w, refusalResponse(refused))
}

// respond finishes a call whose response is complete and in memory.
func (f *forwardedCall) respond(w http.ResponseWriter, r *http.Request, response *http.Response, data []byte) {
	shed := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	f.release(result{answered: !shed, shed: shed})
	kept := &execution.Response{Status: response.StatusCode, Header: responseHeader(response, f.in.id), Body: data}
	if f.entry != nil {
		f.entry.Finish(kept)
	}
	f.handler.options.Metrics.Inc("inbound_answered")
	if r.Method == http.MethodHead {
		f.handler.writeHeader(w, kept.Status, kept.Header, response.ContentLength)
		return
	}
	f.handler.writeResponse(w, kept)
}

// stream forwards a long response while it arrives. If the response is truncated, the connection to the caller is aborted, so
// that the caller cannot mistake it for a complete one.
func (f *forwardedCall) stream(ctx context.Context, w http.ResponseWriter, e *exchange, data []byte) {
	if f.entry != nil {
		defer f.entry.Finish(nil) // too long to keep
	}
	// A caller that does not read must not hold the slot beyond the deadline. The write deadline is cleared afterwards,
	// because net/http keeps it for the next request on the connection. In-process writers may not support it.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(f.in.deadline)
	f.handler.writeHeader(w, e.response.StatusCode, responseHeader(e.response, f.in.id), e.response.ContentLength)
	_, err := w.Write(data)
	if err == nil {
		_, err = io.Copy(w, e.response.Body)
	}
	if err != nil {
		e.abort()
		f.release(result{timedOut: ctx.Err() != nil})
		f.handler.countRefusal(callctx.Unknown, classifyInterrupted(ctx, callctx.ResponseTruncated).reason)
		panic(http.ErrAbortHandler)
	}
	f.release(result{answered: true})
	_ = control.SetWriteDeadline(time.Time{})
	f.handler.options.Metrics.Inc("inbound_answered")
}
