package inbound

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
)

// forwarding is a granted call on its way through the backend server.
type forwarding struct {
	handler  *Handler
	backend  *backend
	call     *call
	in       *incoming
	entry    *execution.Entry // nil for an idempotent call
	out      *outgoing
	released bool
}

// run sends the call to the backend server and its response to the caller.
func (f *forwarding) run(w http.ResponseWriter, r *http.Request) {
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
	data, complete, failed := readHead(ctx, exchange.response)
	switch {
	case failed != nil:
		exchange.abort()
		f.fail(w, failed)
	case complete:
		f.answer(w, r, exchange.response, data)
	default:
		f.stream(ctx, w, exchange, data)
	}
}

// release frees the slot. It comes after the connection of a failed call is closed, and before the caller gets the
// response, whose transfer needs no slot.
func (f *forwarding) release(r result) {
	f.released = true
	f.backend.admission.release(f.call, r)
}

// abandon frees the slot and ends the entry if a panic of the response writer kept the call from ending regularly.
func (f *forwarding) abandon() {
	if !f.released {
		f.release(result{})
	}
	if f.entry != nil {
		f.entry.Finish(nil)
	}
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
func (f *forwarding) stream(ctx context.Context, w http.ResponseWriter, e *exchange, data []byte) {
	if f.entry != nil {
		defer f.entry.Finish(nil) // too long to be kept
	}
	// A caller that does not read must not hold the slot beyond the deadline. The deadline is removed afterwards, because
	// net/http keeps it for the next request on the connection. In-process writers may not support it.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(f.in.deadline)
	f.handler.writeHead(w, e.response.StatusCode, answerHeader(e.response, f.in.id), e.response.ContentLength)
	_, err := w.Write(data)
	if err == nil {
		_, err = io.Copy(w, e.response.Body)
	}
	if err != nil {
		e.abort()
		f.release(result{timedOut: ctx.Err() != nil})
		f.handler.count(callctx.Unknown, interrupted(ctx, callctx.ResponseTruncated).reason)
		panic(http.ErrAbortHandler)
	}
	f.release(result{answered: true})
	_ = control.SetWriteDeadline(time.Time{})
	f.handler.options.Metrics.Inc("inbound_answered")
}
