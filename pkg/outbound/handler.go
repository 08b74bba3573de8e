// Package outbound implements the side of a node that accepts calls from clients and from the local backend server and
// routes them to inbound nodes.
//
// Each call uses a single configuration snapshot, ends with exactly one outcome, and is counted once in outbound_outcome.
// A call is retried only if the previous request provably did not run or if its route is idempotent. Before a resend of a
// non-idempotent call may run, all nodes that could have run an earlier attempt are queried.
package outbound

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	"github.com/laburnumcleat/laburnumcleat/pkg/transport"
)

// Options configures a Handler.
type Options struct {
	Self     membership.Member
	Snapshot func() *config.Snapshot // returns nil while the node is not ready
	// Endpoints returns the inbound nodes of a service that the membership table lists.
	Endpoints func(service string) []membership.Member
	// Roster returns the incarnations that have served a service, ended ones included. It includes all presence records up to readAfter
	// (log clock).
	Roster func(ctx context.Context, service string, readAfter time.Time) ([]presence.Incarnation, error)
	Local  http.Handler // inbound handler of this node; nil sends calls to this node over the network
	Client *rpc.Client
	TLS    *tls.Config // for calls to other nodes; nil means plain HTTP
	// DialOverrides maps addresses of other nodes to the addresses to dial instead.
	DialOverrides map[string]string
	Signer        *callctx.Signer
	Metrics       *metrics.Registry
	Logger        *zap.Logger         // nil disables logging
	Explain       func(explain.Event) // nil discards events
}

// Handler serves calls from callers. It is safe for concurrent use. Create it with New.
type Handler struct {
	options         Options
	transport       *transport.Transport
	scheme          string
	endpoints       *endpoints
	retryBudgets    *rankBudgets
	hedgeBudgets    *rankBudgets
	latencies       *routeLatencies
	ejectionMu      sync.Mutex    // serialises ejections to enforce the cap
	resolutionSlots chan struct{} // semaphore; one element per resolution in progress
	limiter         callLimiter
	buffered        atomic.Int64 // bytes reserved for request bodies

	now    func() time.Time
	random func(n int) int
	lookup func(ctx context.Context, address string, params inbound.LookupParams) (execution.LookupResult, error)
}

// New returns a Handler. Call Tick about once a second, and Drain before the process exits.
func New(o Options) *Handler {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Explain == nil {
		o.Explain = func(explain.Event) {}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	h := &Handler{
		options:         o,
		transport:       transport.New(transport.Options{TLS: o.TLS, DialOverrides: o.DialOverrides}),
		scheme:          "http",
		endpoints:       newEndpoints(),
		retryBudgets:    newRankBudgets(newRetryBudget),
		hedgeBudgets:    newRankBudgets(newHedgeBudget),
		latencies:       newRouteLatencies(),
		resolutionSlots: make(chan struct{}, maxResolutions),
		now:             time.Now,
		random:          rand.IntN,
	}
	if o.TLS != nil {
		h.scheme = "https"
	}
	h.lookup = h.lookupRPC
	return h
}

// ServeHTTP routes one call. If a streamed response fails after its first bytes were forwarded, it panics with
// http.ErrAbortHandler to close the connection; the server of net/http recovers from that panic.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.options.Metrics.Inc("outbound_calls")
	result, abort := callResult{outcome: callctx.Unknown, reason: callctx.ConnectionLost}, false
	c := &call{started: h.now(), request: r, control: http.NewResponseController(w)}
	defer func() { h.count(c, result) }()
	refused := h.limiter.acquire()
	if refused == "" {
		defer h.limiter.release()
	}
	defer h.release(c)
	result, abort = h.writeReply(w, c, h.serve(c, refused))
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// serve handles a call and returns its reply. It refuses the call if the limiter returned a reason.
func (h *Handler) serve(c *call, refused callctx.Reason) *reply {
	if !h.readID(c) {
		return h.refusal(c, callctx.BadRequest)
	}
	if refused != "" {
		return h.refusal(c, refused)
	}
	if reason, ok := h.admit(c); !ok {
		return h.refusal(c, reason)
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline.Add(deadlineGrace))
	c.cancel = cancel
	if reason, ok := h.readBody(c); !ok {
		return h.refusal(c, reason)
	}
	if c.resend && !c.route.Idempotent {
		return h.resend(ctx, c)
	}
	return h.run(ctx, c)
}

// callResult is the outcome of a call that is counted in the metrics.
type callResult struct {
	outcome callctx.Outcome
	reason  callctx.Reason
}

// count increments the counters of a call: by outcome and reason, and by rank if its route is known.
func (h *Handler) count(c *call, result callResult) {
	h.options.Metrics.Inc("outbound_outcome", "outcome", string(result.outcome), "reason", reasonLabel(result.reason))
	if c.rank != "" {
		h.options.Metrics.Inc("outbound_rank", "rank", c.rank, "outcome", string(result.outcome))
	}
}

// Drain refuses new calls with "not-run" and reason draining, and waits until no call is in flight. It returns the error
// of ctx if ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	select {
	case <-h.limiter.drain():
		h.transport.Close()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Tick refills budgets, deletes idle endpoints and reports the end of ejections.
func (h *Handler) Tick(now time.Time) {
	snapshot := h.options.Snapshot()
	keep := func(rank string) bool {
		if snapshot == nil {
			return true
		}
		_, ok := snapshot.RankIndex(rank)
		return ok
	}
	h.retryBudgets.refill(now, keep)
	h.hedgeBudgets.refill(now, keep)
	h.latencies.expire(func(route string) bool { return snapshot == nil || hasRoute(snapshot, route) })
	ejected, readmitted := h.endpoints.expire(now)
	h.options.Metrics.Gauge("outbound_ejected").Update(int64(ejected))
	for _, key := range readmitted {
		h.options.Explain(explain.Event{Time: now, Kind: explain.Readmitted, Subject: key.id, Cause: "ejection ended; readmitted with a slow start"})
	}
}

func hasRoute(snapshot *config.Snapshot, name string) bool {
	for i := range snapshot.Routes {
		if snapshot.Routes[i].Name == name {
			return true
		}
	}
	return false
}

// maxCalls is the maximum number of calls in flight. At about 20 KB each, without bodies, they use 80 MB.
const maxCalls = 4096

// callLimiter limits the calls in flight and refuses new calls while the node drains.
type callLimiter struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	drained  chan struct{}
}

// acquire counts a call and returns an empty reason, or returns the reason for refusing it. The caller must call release
// if the reason is empty.
func (l *callLimiter) acquire() callctx.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.draining:
		return callctx.Draining
	case l.inFlight >= maxCalls:
		return callctx.Overloaded
	}
	l.inFlight++
	return ""
}

func (l *callLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.draining && l.inFlight == 0 {
		close(l.drained)
	}
}

func (l *callLimiter) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// drain refuses further calls. The returned channel is closed when no call is in flight.
func (l *callLimiter) drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		l.draining = true
		l.drained = make(chan struct{})
		if l.inFlight == 0 {
			close(l.drained)
		}
	}
	return l.drained
}
