// Package outbound is the side of a node that takes calls from clients and from the local backend server and routes
// them to inbound nodes.
//
// Each call uses one configuration snapshot from beginning to end, ends in exactly one outcome, and is counted once in
// outbound_outcome. A call is sent a second time only when the first request provably did not run, or when its route is
// idempotent. A resend of a non-idempotent call is resolved with all nodes that could have run it before it may run.
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

// Options are the collaborators of a Handler.
type Options struct {
	Self      membership.Member
	Snapshot  func() *config.Snapshot // nil while the node is not ready
	Endpoints func(service string) []membership.Member
	Roster    func(ctx context.Context, service string, readAfter time.Time) ([]presence.Incarnation, error)
	Local     http.Handler // inbound handler of this node; nil: calls to this node go over the network
	Client    *rpc.Client
	TLS       *tls.Config // for calls to other nodes; nil: plain HTTP
	// DialOverrides maps addresses of other nodes to the addresses to connect to instead.
	DialOverrides map[string]string
	Signer        *callctx.Signer
	Metrics       *metrics.Registry
	Logger        *zap.Logger         // nil: no log
	Explain       func(explain.Event) // nil: not recorded
}

// Handler serves callers. It is safe for concurrent use. Create it with New.
type Handler struct {
	options         Options
	transport       *transport.Transport
	scheme          string
	endpoints       *endpoints
	retries         *rankBudgets
	hedges          *rankBudgets
	latencies       *routeLatencies
	ejectionMu      sync.Mutex    // serialises ejections, so that the cap holds
	resolutionSlots chan struct{} // one element for each resolution in progress
	limiter         callLimiter
	buffered        atomic.Int64 // bytes reserved for request bodies

	now    func() time.Time
	random func(n int) int
	lookup func(ctx context.Context, address string, params inbound.LookupParams) (execution.LookupResult, error)
}

// New returns a handler. Call Tick about once a second, and Drain before the process ends.
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
		retries:         newRankBudgets(newRetryBudget),
		hedges:          newRankBudgets(newHedgeBudget),
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

// ServeHTTP routes one call. It panics with http.ErrAbortHandler to close the connection when a long response breaks
// off after its first bytes were sent on; the server recovers from that panic.
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

// serve runs a call to its reply. It refuses the call if the gate gave a reason.
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

// callResult is the outcome of a call as counted.
type callResult struct {
	outcome callctx.Outcome
	reason  callctx.Reason
}

// count counts a call once by outcome and reason, and once more by rank if its route is known.
func (h *Handler) count(c *call, result callResult) {
	h.options.Metrics.Inc("outbound_outcome", "outcome", string(result.outcome), "reason", reasonLabel(result.reason))
	if c.rank != "" {
		h.options.Metrics.Inc("outbound_rank", "rank", c.rank, "outcome", string(result.outcome))
	}
}

// Drain refuses new calls with "not-run" and reason draining, and returns when no call is in flight or ctx ends.
func (h *Handler) Drain(ctx context.Context) error {
	select {
	case <-h.limiter.drain():
		h.transport.Close()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Tick refills budgets, forgets endpoints that have left and reports ended ejections.
func (h *Handler) Tick(now time.Time) {
	snapshot := h.options.Snapshot()
	keep := func(rank string) bool {
		if snapshot == nil {
			return true
		}
		_, ok := snapshot.RankIndex(rank)
		return ok
	}
	h.retries.refill(now, keep)
	h.hedges.refill(now, keep)
	h.latencies.expire(func(route string) bool { return snapshot == nil || hasRoute(snapshot, route) })
	ejected, readmitted := h.endpoints.expire(now)
	h.options.Metrics.Gauge("outbound_ejected").Update(int64(ejected))
	for _, key := range readmitted {
		h.options.Explain(explain.Event{Time: now, Kind: explain.Readmit, Subject: key.id, Cause: "the ejection has ended; used again with a slow start"})
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

// maxCalls bounds the calls in flight. At about 20 KB each without bodies they take 80 MB.
const maxCalls = 4096

// callLimiter counts the calls in flight and closes when the node drains.
type callLimiter struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	drained  chan struct{}
}

// acquire counts a call, or returns the reason for which it is refused. A call that entered must leave.
func (g *callLimiter) acquire() callctx.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining:
		return callctx.Draining
	case g.inFlight >= maxCalls:
		return callctx.Overloaded
	}
	g.inFlight++
	return ""
}

func (g *callLimiter) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.draining && g.inFlight == 0 {
		close(g.drained)
	}
}

func (g *callLimiter) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// drain refuses further calls. The result is closed when no call is in flight.
func (g *callLimiter) drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.drained = make(chan struct{})
		if g.inFlight == 0 {
			close(g.drained)
		}
	}
	return g.drained
}
