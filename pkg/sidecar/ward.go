package sidecar

import (
	"context"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// suspectRetryAfter is the Retry-After value of a suspect that found another one running for too long.
const suspectRetryAfter = 100 * time.Millisecond

// ward lets an instance run one suspect at a time, so that a crash shows which one caused it.
type ward chan struct{}

func newWard() ward { return make(ward, 1) }

// enter waits until no other suspect runs, for a time at most, and reports whether that is so. The caller must call leave then.
func (w ward) enter(ctx context.Context, most time.Duration) bool {
	select {
	case w <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case w <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (w ward) leave() { <-w }

// enterWard admits a call to the instance as far as crashes of backend servers are concerned that ran its request. It returns a refusal, or a
// function to call at the end of the call. A call that must not queue does not wait for other suspects either.
func (in *inbound) enterWard(ctx context.Context, i *instance, c *call, r *hop.Request) (leave func(), refused *callReply) {
	verdict, left := in.verdict(c, r)
	switch verdict {
	case quarantine.Blocked:
		return nil, &callReply{verdict: verdictNotRun, reason: reasonRequestBlocked, retryAfter: left}
	case quarantine.Clear:
		return func() {}, nil
	}
	most := c.deadlineRemaining / 2
	if c.noQueue {
		most = 0
	}
	if i.ward.enter(ctx, most) {
		return i.ward.leave, nil
	}
	if c.noQueue {
		return nil, &callReply{verdict: verdictNotRun, reason: reasonBusy}
	}
	return nil, &callReply{verdict: verdictNotRun, reason: reasonSuspectWaits, retryAfter: suspectRetryAfter}
}

// verdict returns what may be done with the request of a call, and how long it stays blocked.
func (in *inbound) verdict(c *call, r *hop.Request) (quarantine.Verdict, time.Duration) {
	if in.suspects.IsEmpty() {
		return quarantine.Clear, 0
	}
	return in.suspects.Verdict(time.Now(), c.identify(r))
}

// recordAnswer clears a suspect that the backend server has answered.
func (in *inbound) recordAnswer(c *call, r *hop.Request, reply *callReply) {
	if reply.verdict != verdictAnswered || in.suspects.IsEmpty() {
		return
	}
	if request := c.identify(r); in.suspects.Answered(time.Now(), request) {
		in.metrics.Inc("suspect_cleared")
		in.onCleared(request)
	}
}
