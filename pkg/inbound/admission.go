package inbound

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// minExpireInterval keeps the timer of a call from firing again before the call receives a decision that was just made.
const minExpireInterval = time.Millisecond

// admission serialises access to the scheduler of one backend server and blocks calls until their decision.
type admission struct {
	now func() time.Time

	mu        sync.Mutex
	scheduler *scheduler
	closed    callctx.Reason // reason for refusing every call; empty while open
}

func newAdmission(scheduler *scheduler, now func() time.Time) *admission {
	return &admission{now: now, scheduler: scheduler}
}

// acquire waits until the call gets a slot or is refused. If ctx ends first, the call is removed from the queue and refused
// with reason CancelledBeforeForward. If the refusal is nil, the caller must call release.
func (a *admission) acquire(ctx context.Context, rank string, deadline time.Time) (*call, *refusal) {
	c := a.submit(rank, deadline)
	select {
	case d := <-c.decided:
		return c, d.refusal
	default:
	}
	// The timer refuses the call when it can no longer meet its deadline, even if no other event runs the scheduler.
	timer := time.NewTimer(a.expire(c))
	defer timer.Stop()
	for {
		select {
		case d := <-c.decided:
			return c, d.refusal
		case <-ctx.Done():
			if a.cancel(c) {
				return c, &refusal{outcome: callctx.NotRun, reason: callctx.CancelledBeforeForward}
			}
			d := <-c.decided
			return c, d.refusal
		case <-timer.C:
			timer.Reset(a.expire(c))
		}
	}
}

func (a *admission) submit(rank string, deadline time.Time) *call {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &call{rank: a.scheduler.rank(rank), arrivedAt: a.now(), deadline: deadline, decided: make(chan decision, 1)}
	if a.closed != "" {
		c.decided <- decision{refusal: a.scheduler.newRefusal(c.rank, a.closed)}
		return c
	}
	a.scheduler.submit(c.arrivedAt, c)
	return c
}

func (a *admission) cancel(c *call) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.cancel(c)
}

// expire refuses a waiting call that can no longer meet its deadline, and returns the time until the next check.
func (a *admission) expire(c *call) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.scheduler.expire(a.now(), c), minExpireInterval)
}

func (a *admission) release(c *call, r result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.finish(a.now(), c, r)
}

// close refuses all waiting and all future calls with the reason.
func (a *admission) close(reason callctx.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = reason
	a.scheduler.refuseAll(reason)
}

func (a *admission) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.tick(now)
}

// configure applies the ranks and the limits of a snapshot.
func (a *admission) configure(policies []rankPolicy, queueLimit, initialLimit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.setRanks(policies)
	a.scheduler.queueLimit = queueLimit
	a.scheduler.limiter.initialLimit = initialLimit
}

func (a *admission) announce(slots int, warming bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.limiter.setSlots(slots, warming)
	a.scheduler.dispatch(a.now())
}

// load returns the current load. After close its limit is 0.
func (a *admission) load() callctx.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.scheduler.load()
	if a.closed != "" {
		load.Limit = 0
	}
	return load
}
