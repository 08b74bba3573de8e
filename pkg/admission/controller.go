package admission

import (
	"context"
	"sync"
	"time"
)

// Controller admits calls to one backend server and blocks their callers until the scheduler decides. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	scheduler *Scheduler
	now       func() time.Time
	timer     *time.Timer // calls tick when the rate limit allows the next queued call
}

// New returns a controller for a backend server with the given number of slots.
func New(slots int) *Controller {
	return &Controller{scheduler: NewScheduler(slots, DefaultPolicy()), now: time.Now}
}

// SetSlots changes the number of slots, as announced by the backend server.
func (c *Controller) SetSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.scheduler.SetSlots(now, slots)
	c.setTimer(now)
}

// SetRateLimit limits how many calls are granted a second.
func (c *Controller) SetRateLimit(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.scheduler.SetRateLimit(now, rate)
	c.setTimer(now)
}

// LiftRateLimit ends the limit of SetRateLimit.
func (c *Controller) LiftRateLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.LiftRateLimit(c.now())
}

// setTimer arranges the call of tick for the next queued call that waits for the rate limit. The caller must hold mu.
func (c *Controller) setTimer(now time.Time) {
	at, ok := c.scheduler.NextGrant(now)
	switch {
	case !ok:
	case c.timer == nil:
		c.timer = time.AfterFunc(at.Sub(now), c.tick)
	default:
		c.timer.Reset(at.Sub(now))
	}
}

// tick grants queued calls that the rate limit allows.
func (c *Controller) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.scheduler.Tick(now)
	c.setTimer(now)
}

// SetColdUntil says until when the backend server is slow after its start.
func (c *Controller) SetColdUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.SetColdUntil(t)
}

// ObserveSlowness records how long work takes at the backend server now, relative to an average machine. slowness is above 0. Call it
// before the Release of the call whose response reported it.
func (c *Controller) ObserveSlowness(slowness float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.ObserveSlowness(c.now(), slowness)
}

// Grant is a slot held by an admitted call. Its holder must call Release exactly once.
type Grant struct {
	controller *Controller
	ticket     *Ticket
}

// Delay says which rule put the call behind others before it was granted, or is empty.
func (g *Grant) Delay() Delay { return g.ticket.delay }

// Release frees the slot and records the result of the call.
func (g *Grant) Release(r Result) {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	now := g.controller.now()
	g.controller.scheduler.Finish(now, g.ticket, r)
	g.controller.setTimer(now)
}

// Acquire blocks until the call gets a slot or is refused. If ctx ends first, the call is refused with reason Cancelled. A queued call that
// can no longer end before its deadline is refused with reason DeadlineUnreachable.
func (c *Controller) Acquire(ctx context.Context, call Call) (*Grant, *Refusal) {
	decided := make(chan *Refusal, 1)
	ticket := &Ticket{Call: call, Decide: func(r *Refusal) { decided <- r }}
	c.mu.Lock()
	now := c.now()
	c.scheduler.Offer(now, ticket)
	c.setTimer(now)
	maxQueueTime := c.scheduler.MaxQueueTime(now, call)
	c.mu.Unlock()
	select {
	case refused := <-decided:
		return c.result(ticket, refused)
	default:
	}
	timer := time.NewTimer(maxQueueTime)
	defer timer.Stop()
	select {
	case refused := <-decided:
		return c.result(ticket, refused)
	case <-ctx.Done():
		c.withdraw(ticket, Cancelled)
	case <-timer.C:
		c.withdraw(ticket, DeadlineUnreachable)
	}
	return c.result(ticket, <-decided)
}

func (c *Controller) withdraw(ticket *Ticket, reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.Withdraw(c.now(), ticket, reason)
}

func (c *Controller) result(ticket *Ticket, refused *Refusal) (*Grant, *Refusal) {
	if refused != nil {
		return nil, refused
	}
	return &Grant{controller: c, ticket: ticket}, nil
}

// Close refuses all queued and all later calls. Granted calls continue.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.Close(c.now())
}

// Load returns the current load, with the times of the class.
func (c *Controller) Load(class string) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Load(c.now(), class)
}
