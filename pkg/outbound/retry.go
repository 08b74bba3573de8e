package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// maxAttempts is the maximum number of endpoints that one call is sent to, excluding hedges.
const maxAttempts = 3

// run sends a call to one endpoint after another until one answers or no retry is allowed.
func (h *Handler) run(ctx context.Context, c *call) *reply {
	members := h.options.Endpoints(c.route.Service)
	tried := make(map[endpointKey]bool, maxAttempts)
	mayHaveRun := c.resend
	var last *reply
	for to := h.pick(c, members, tried); to != nil; to = h.retryTarget(ctx, c, last, members, tried) {
		tried[keyOf(to.member)] = true
		c.attempts++
		last = h.attemptOrHedge(ctx, c, to, members, tried)
		if last.outcome == callctx.Answered {
			h.recordResponse(c, last)
			return last
		}
		mayHaveRun = mayHaveRun || last.outcome == callctx.Unknown
	}
	return h.finalReply(c, last, mayHaveRun)
}

func (h *Handler) recordResponse(c *call, r *reply) {
	if r.status < http.StatusInternalServerError {
		h.retryBudgets.forRank(c.rank).deposit()
	}
	if c.route.Hedge {
		h.latencies.add(c.route.Name, h.now().Sub(c.started))
		h.hedgeBudgets.forRank(c.rank).deposit()
	}
}

// finalReply derives the reply to the caller from the last attempt. A "not-run" must hold for all attempts of the id.
func (h *Handler) finalReply(c *call, last *reply, mayHaveRun bool) *reply {
	if last == nil {
		last = &reply{outcome: callctx.NotRun, reason: callctx.NoEndpoint}
	}
	if mayHaveRun {
		last.outcome = callctx.Unknown
	}
	if last.retryAfter == 0 && isRetryable(last.reason) {
		last.retryAfter = defaultRetryAfter
	}
	if c.attempts > 1 {
		last.noRetry = true
	}
	return last
}

// retryTarget returns the endpoint for a retry after a reply, or nil if there must be no retry.
func (h *Handler) retryTarget(ctx context.Context, c *call, r *reply, members []membership.Member, tried map[endpointKey]bool) *candidate {
	denyReason := h.retryDenialReason(ctx, c, r)
	var to *candidate
	if denyReason == "" {
		if to = h.pick(c, members, tried); to == nil {
			denyReason = "no_endpoint"
		}
	}
	// Retrying a request that was not sent causes no extra load and needs no budget.
	if denyReason == "" && !r.notSent && !h.retryBudgets.forRank(c.rank).tryWithdraw() {
		denyReason = "budget"
		r.noRetry = true
	}
	if denyReason != "" {
		h.options.Metrics.Inc("outbound_retry_denied", "reason", denyReason)
		return nil
	}
	h.options.Metrics.Inc("outbound_retry", "reason", reasonLabel(r.reason))
	return to
}

// retryDenialReason returns the reason against a retry as a metric label, or "" if a retry is allowed. In that case, the body has
// been reclaimed from earlier attempts.
func (h *Handler) retryDenialReason(ctx context.Context, c *call, r *reply) string {
	switch {
	case c.request.Context().Err() != nil:
		return "caller_gone"
	case ctx.Err() != nil || !h.now().Before(c.deadline):
		return "deadline"
	case r.noRetry:
		return "no_retry"
	case !mayRetryOnOther(c, r):
		return "final"
	case c.attempts >= maxAttempts:
		return "attempts"
	case !c.reclaimBody():
		return "body_sent"
	}
	return ""
}

// mayRetryOnOther reports whether the call may be sent to another endpoint after this reply.
func mayRetryOnOther(c *call, r *reply) bool {
	if r.outcome == callctx.NotRun {
		return isRetryable(r.reason)
	}
	if !c.route.Idempotent {
		return false
	}
	switch r.reason {
	case callctx.DeadlineInBackend, callctx.CancelledInBackend:
		return false
	}
	return true
}

// attemptOrHedge sends the call to one endpoint. On a route with hedging it also sends the call to a second endpoint if
// the first is slow, and returns the first complete response.
func (h *Handler) attemptOrHedge(ctx context.Context, c *call, first *candidate, members []membership.Member, tried map[endpointKey]bool) *reply {
	delay, hasDelay := time.Duration(0), false
	if c.route.Hedge && c.route.Idempotent && c.remainder == nil {
		delay, hasDelay = h.latencies.hedgeDelay(c.route.Name)
	}
	if !hasDelay {
		return h.attempt(ctx, c, first, "")
	}
	race := &hedgeRace{h: h, c: c, results: make(chan hedgeResult, 2)}
	race.start(ctx, 0, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case result := <-race.results:
		return result.reply
	case <-timer.C:
	}
	if second := h.hedgeTarget(c, members, tried); second != nil {
		tried[keyOf(second.member)] = true
		h.options.Metrics.Inc("outbound_hedge")
		race.start(ctx, 1, second)
	}
	return race.winner()
}

// hedgeTarget returns an endpoint with spare capacity for a hedge, or nil if there is none or the hedge budget is exhausted.
func (h *Handler) hedgeTarget(c *call, members []membership.Member, tried map[endpointKey]bool) *candidate {
	second := h.pick(c, members, tried)
	if second == nil || !second.hasSpareCapacity {
		h.options.Metrics.Inc("outbound_hedge_denied", "reason", "capacity")
		return nil
	}
	if !h.hedgeBudgets.forRank(c.rank).tryWithdraw() {
		h.options.Metrics.Inc("outbound_hedge_denied", "reason", "budget")
		return nil
	}
	return second
}

type hedgeResult struct {
	index int
	reply *reply
}

// hedgeRace runs up to two concurrent attempts of one call.
type hedgeRace struct {
	h       *Handler
	c       *call
	results chan hedgeResult
	cancels []context.CancelFunc
}

func (r *hedgeRace) start(ctx context.Context, index int, to *candidate) {
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	go func() {
		r.results <- hedgeResult{index, r.h.attempt(attemptCtx, r.c, to, "")}
	}()
}

// winner returns the first answered reply and cancels the other attempt. If no attempt is answered, it prefers a reply
// with outcome Unknown over NotRun.
func (r *hedgeRace) winner() *reply {
	var worst *reply
	for pending := len(r.cancels); pending > 0; pending-- {
		result := <-r.results
		if result.reply.outcome == callctx.Answered {
			r.cancelOther(result.index, pending-1)
			return result.reply
		}
		if worst == nil || result.reply.outcome == callctx.Unknown {
			worst = result.reply
		}
	}
	return worst
}

// cancelOther cancels the losing attempt. The context of the winner stays active until the call ends, since its body may
// still be streamed.
func (r *hedgeRace) cancelOther(winner, pending int) {
	for i, cancel := range r.cancels {
		if i != winner {
			cancel()
		}
	}
	if pending > 0 {
		go func() { closeRemainder((<-r.results).reply) }()
	}
}
