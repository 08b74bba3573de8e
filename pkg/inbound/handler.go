// Package inbound implements admission control for the backend server of its VM. All calls to that backend server pass through
// one Handler, so its count of calls in flight is exact and a refusal with "not-run" is reliable.
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
	Window    func() (established, renewed time.Time, ok bool) // window of the presence record, on the clock of the log
	Retention time.Duration                                    // retention of the presence stream
	Signer    *callctx.Signer
	Metrics   *metrics.Registry
	Logger    *zap.Logger
	Explain   func(explain.Event) // may be nil
	Now       func() time.Time    // defaults to time.Now
}

// Handler is the inbound side of a node. It serves calls from other nodes and, in-process, from the node's own outbound side.
// If a response longer than 1 MiB is truncated, ServeHTTP panics with http.ErrAbortHandler, as net/http expects; an in-process
// caller must recover from it.
type Handler struct {
	options  Options
	log      *zap.Logger
	table    *execution.Table
	refusals refusalCounter

	mu          sync.Mutex
	backend     *backend // nil if there is none
	draining    bool
	activeCalls int           // admitted calls between beginCall and endCall
	idle        chan struct{} // closed when draining and activeCalls is 0
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
// is recorded before any other check, so that each later refusal also holds for resends.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := h.beginCall()
	defer h.endCall(admitted)
	if !admitted {
		// The caller must not send its next call on this connection, because the node is about to close it.
		w.Header().Set("Connection", "close")
	}
	in, refused := parseIdentity(r)
	if refused != nil {
		h.refuse(w, nil, refused)
		return
	}
	entry, refused := h.beginExecution(in)
	if refused != nil {
		h.refuse(w, nil, refused)
		return
	}
	snapshot := h.options.Snapshot()
	switch {
	case !admitted:
		h.refuse(w, entry, newNotRunRefusal(callctx.Draining))
	case snapshot == nil:
		h.refuse(w, entry, newNotRunRefusal(callctx.NotReady))
	default:
		h.serve(w, r, in, entry, snapshot)
	}
}

// newNotRunRefusal returns a refusal for a reason that is temporary or does not apply to other nodes.
func newNotRunRefusal(reason callctx.Reason) *refusal {
	return &refusal{outcome: callctx.NotRun, reason: reason, retryAfter: minRetryAfter}
}

// beginExecution records the id of a non-idempotent call. The entry is nil for an idempotent call.
func (h *Handler) beginExecution(in *incoming) (*execution.Entry, *refusal) {
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
		h.refuse(w, entry, newNotRunRefusal(callctx.NoEndpoint))
		return
	case service != in.service:
		h.refuse(w, entry, newNotRunRefusal(callctx.UnknownService))
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
	f := &forwardedCall{handler: h, backend: b, call: c, in: in, entry: entry, out: out}
	defer f.cleanUp()
	f.run(w, r)
}

// refuse updates the entry, if there is one, and then sends the refusal. The order matters: once the caller has read
// "not-run", no look-up may find the id running.
func (h *Handler) refuse(w http.ResponseWriter, entry *execution.Entry, refused *refusal) {
	response := refusalResponse(refused)
	if entry != nil {
		entry.Refuse(response)
	}
	h.countRefusal(refused.outcome, refused.reason)
	h.writeResponse(w, response)
}

func (h *Handler) load() callctx.Load {
	if b, _ := h.currentBackend(); b != nil {
		return b.admission.load()
	}
	return callctx.Load{}
}

// beginCall counts a call as active. While draining it returns false and does not count the call.
func (h *Handler) beginCall() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.activeCalls++
	return true
}

func (h *Handler) endCall(admitted bool) {
	if !admitted {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeCalls--
	if h.draining && h.activeCalls == 0 {
		close(h.idle)
	}
}

// Drain immediately refuses new and waiting calls. It returns nil when no call is active, or the error of ctx if ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.activeCalls == 0 {
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

// Tick withdraws a backend server whose announcement has expired, expires entries, decays stale estimates, refuses calls that can
// no longer meet their deadline or target, and updates the metrics.
func (h *Handler) Tick(now time.Time) {
	h.table.Tick(now)
	h.withdrawExpired(now)
	if b, service := h.currentBackend(); b != nil {
		if snapshot := h.options.Snapshot(); snapshot != nil {
			b.configure(snapshot, service)
		}
		b.admission.tick(now)
	}
	h.reportMetrics(now)
}

// LookupParams holds the parameters of the RPC method call.lookup. Its result is an execution.LookupResult.
type LookupParams struct {
	// Member is the id of the queried node. Another node that now has the same address must not respond for it.
	Member    string           `json:"member"`
	RequestID string           `json:"request_id"`
	Ballot    execution.Ballot `json:"ballot"`
}

// LookupMethod is the RPC method that a node calls before a resend.
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

// Lookup executes call.lookup in-process.
func (h *Handler) Lookup(p LookupParams) execution.LookupResult {
	result := h.table.Lookup(p.RequestID, p.Ballot)
	h.options.Metrics.Inc("inbound_lookups", "state", string(result.State))
	if result.State == execution.Fencing && h.options.Explain != nil {
		h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Fenced, Subject: p.RequestID, Cause: "resend " + p.Ballot.String()})
	}
	return result
}
