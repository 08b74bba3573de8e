// Package inbound admits calls to the backend server of its VM. All work for that backend server passes through one
// Handler, so that its count of calls in flight is exact and a refusal that says "not-run" is true.
package inbound

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// Options configures a Handler.
type Options struct {
	Self      membership.Member
	Snapshot  func() *config.Snapshot                          // active configuration; nil while not ready
	Window    func() (established, renewed time.Time, ok bool) // of the presence record, on the clock of the log
	Retention time.Duration                                    // of the presence stream
	Signer    *callctx.Signer
	Metrics   *metrics.Registry
	Logger    *zap.Logger
	Explain   func(explain.Event) // may be nil
	Now       func() time.Time    // nil: time.Now
}

// Handler is the inbound side of a node. It serves calls from other nodes and, called in-process, from the node's own
// outbound side. A response longer than 1 MiB that is cut off ends in a panic with http.ErrAbortHandler, as net/http
// expects; an in-process caller must recover it.
type Handler struct {
	options  Options
	log      *zap.Logger
	table    *execution.Table
	refusals refusalCounter

	mu       sync.Mutex
	backend  *backend // nil while there is none
	draining bool
	active   int           // calls between enter and leave
	idle     chan struct{} // closed when draining and active is 0
}

// New returns a Handler without a backend server.
func New(o Options) *Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	h := &Handler{options: o, log: o.Logger, idle: make(chan struct{})}
	h.refusals.counts = make(map[callctx.Reason]int)
	h.table = execution.New(execution.Options{
		Incarnation: o.Self.Incarnation,
		Window:      o.Window,
		Retention:   o.Retention,
		Now:         o.Now,
	})
	return h
}

func (h *Handler) now() time.Time {
	return h.options.Now()
}

// ServeHTTP admits one call, forwards it to the backend server and returns the outcome. The id of a non-idempotent call
// is recorded before anything else is decided, so that each later refusal is true for resends as well.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := h.enter()
	defer h.leave(admitted)
	if !admitted {
		// The caller must not send its next call on a connection that this node is about to close.
		w.Header().Set("Connection", "close")
	}
	in, refused := parseIdentity(r)
	if refused != nil {
		h.refuse(w, nil, refused)
		return
	}
	entry, refused := h.begin(in)
	if refused != nil {
		h.refuse(w, nil, refused)
		return
	}
	snapshot := h.options.Snapshot()
	switch {
	case !admitted:
		h.refuse(w, entry, notRun(callctx.Draining))
	case snapshot == nil:
		h.refuse(w, entry, notRun(callctx.NotReady))
	default:
		h.serve(w, r, in, entry, snapshot)
	}
}

// notRun refuses a call for a reason that may soon be over here or does not apply elsewhere.
func notRun(reason callctx.Reason) *refusal {
	return &refusal{outcome: callctx.NotRun, reason: reason, retryAfter: minRetryAfter}
}

// begin records a non-idempotent call. The entry is nil for an idempotent one.
func (h *Handler) begin(in *incoming) (*execution.Entry, *refusal) {
	if in.idempotent {
		return nil, nil
	}
	if in.resend && in.ballot.IsZero() {
		return nil, &refusal{outcome: callctx.Unknown, reason: callctx.Unresolved}
	}
	entry, refused := h.table.Begin(in.id, in.ballot, in.incarnation)
	if refused != nil {
		return nil, &refusal{outcome: refused.Outcome, reason: refused.Reason, retryAfter: minRetryAfter}
	}
	return entry, nil
}

// serve waits for a slot and forwards the call.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, in *incoming, entry *execution.Entry, snapshot *config.Snapshot) {
	b, service := h.currentBackend()
	switch {
	case b == nil:
		h.refuse(w, entry, notRun(callctx.NoEndpoint))
		return
	case service != in.service:
		h.refuse(w, entry, notRun(callctx.UnknownService))
		return
	}
	b.configure(snapshot, service)
	if reason := h.parseContext(r, snapshot, in); reason != "" {
		h.refuse(w, entry, &refusal{outcome: callctx.NotRun, reason: reason})
		return
	}
	out, reason := h.readRequest(w, r, in)
	if reason != "" {
		h.refuse(w, entry, &refusal{outcome: callctx.NotRun, reason: reason})
		return
	}
	c, refused := b.admission.acquire(r.Context(), in.rank, in.deadline)
	if refused != nil {
		h.refuse(w, entry, refused)
		return
	}
	f := &forwarding{handler: h, backend: b, call: c, in: in, entry: entry, out: out}
	defer f.abandon()
	f.run(w, r)
}

// refuse ends the entry, if there is one, and sends the refusal. The entry ends first: once the caller has read
// "not-run", no look-up may find the id running.
func (h *Handler) refuse(w http.ResponseWriter, entry *execution.Entry, refused *refusal) {
	response := refusalBody(refused)
	if entry != nil {
		entry.Refuse(response)
	}
	h.count(refused.outcome, refused.reason)
	h.write(w, response)
}

func (h *Handler) load() callctx.Load {
	if b, _ := h.currentBackend(); b != nil {
		return b.admission.load()
	}
	return callctx.Load{}
}

// enter counts a call as active. It reports false while draining; the call is counted all the same, so that Drain waits
// for its refusal.
func (h *Handler) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.active++
	return true
}

func (h *Handler) leave(admitted bool) {
	if !admitted {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	if h.draining && h.active == 0 {
		close(h.idle)
	}
}

// Drain refuses new and waiting calls at once and returns when no call is in flight, or with the error of ctx.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.active == 0 {
			close(h.idle)
		}
	}
	if h.backend != nil {
		h.backend.admission.close(callctx.Draining)
	}
	h.mu.Unlock()
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Tick withdraws a silent backend server, expires entries, ages estimates and refuses calls that became hopeless.
func (h *Handler) Tick(now time.Time) {
	h.table.Tick(now)
	h.withdrawSilent(now)
	if b, service := h.currentBackend(); b != nil {
		if snapshot := h.options.Snapshot(); snapshot != nil {
			b.configure(snapshot, service)
		}
		b.admission.tick(now)
	}
	h.publish(now)
}

// LookupParams are the parameters of the method call.lookup; its result is an execution.LookupResult.
type LookupParams struct {
	// Member is the id of the node that is asked. Another node that has taken over the address must not answer for it.
	Member    string           `json:"member"`
	RequestID string           `json:"request_id"`
	Ballot    execution.Ballot `json:"ballot"`
}

// LookupMethod is the RPC method with which a resend is resolved.
const LookupMethod = "call.lookup"

// RegisterRPC registers call.lookup.
func (h *Handler) RegisterRPC(s *rpc.Server) {
	s.Handle(LookupMethod, func(_ context.Context, params json.RawMessage) (any, error) {
		var lookup LookupParams
		if err := json.Unmarshal(params, &lookup); err != nil {
			return nil, apierror.InvalidField("params", err.Error(), "send request_id and ballot")
		}
		if lookup.Member != h.options.Self.ID {
			return nil, apierror.New(apierror.NotFound, "this is node "+h.options.Self.ID+", not "+lookup.Member, "read the presence stream again")
		}
		return h.Lookup(lookup), nil
	})
}

// Lookup answers call.lookup in-process.
func (h *Handler) Lookup(p LookupParams) execution.LookupResult {
	result := h.table.Lookup(p.RequestID, p.Ballot)
	h.options.Metrics.Inc("inbound_lookups", "state", string(result.State))
	if result.State == execution.Fencing && h.options.Explain != nil {
		h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Fenced, Subject: p.RequestID, Cause: "resend " + p.Ballot.String()})
	}
	return result
}
