package admission

import (
	"context"
	"sync"
	"time"
)

// Controller admits calls to one backend server and blocks their callers until the scheduler decides. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	scheduler *scheduler
	now       func() time.Time
}

// New returns a controller for a backend server with the given number of slots.
func New(slots int) *Controller {
	return &Controller{scheduler: newScheduler(slots), now: time.Now}
}

// SetSlots changes the number of slots, as announced by the backend server.
func (c *Controller) SetSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.slots = slots
	c.scheduler.dispatch(c.now())
}

// ObserveSlowness records how long work takes at the backend server now, relative to an average machine. slowness is above 0. Call it
// before the Release of the call whose response reported it.
func (c *Controller) ObserveSlowness(slowness float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.observe(c.now(), slowness)
}

// Grant is a slot held by an admitted call. Its holder must call Release exactly once.
type Grant struct {
	controller *Controller
	call       *trackedCall
}

// Release frees the slot and records the result of the call.
func (g *Grant) Release(r Result) {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	g.controller.scheduler.finish(g.controller.now(), g.call, r)
}

// minWait is the shortest timeout of a queued call, so that its timer does not fire before the deadline can have become unreachable.
const minWait = time.Millisecond

// Acquire blocks until the call gets a slot or is refused. If ctx ends first, the call is refused with reason Cancelled. A queued call that
// can no longer end before its deadline is refused with reason DeadlineUnreachable.
func (c *Controller) Acquire(ctx context.Context, call Call) (*Grant, *Refusal) {
	tracked := &trackedCall{Call: call, decided: make(chan *Refusal, 1)}
	c.mu.Lock()
	now := c.now()
	c.scheduler.offer(now, tracked)
	maxQueueTime := tracked.Deadline.Sub(now) - c.scheduler.estimateDuration(now, tracked.Class)
	c.mu.Unlock()
	select {
	case refused := <-tracked.decided:
		return c.result(tracked, refused)
	default:
	}
	timer := time.NewTimer(max(maxQueueTime, minWait))
	defer timer.Stop()
	select {
	case refused := <-tracked.decided:
		return c.result(tracked, refused)
	case <-ctx.Done():
		c.withdraw(tracked, Cancelled)
	case <-timer.C:
		c.withdraw(tracked, DeadlineUnreachable)
	}
	return c.result(tracked, <-tracked.decided)
}

func (c *Controller) withdraw(tracked *trackedCall, reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.withdraw(c.now(), tracked, reason)
}

func (c *Controller) result(tracked *trackedCall, refused *Refusal) (*Grant, *Refusal) {
	if refused != nil {
		return nil, refused
	}
	return &Grant{controller: c, call: tracked}, nil
}

// Close refuses all queued and all later calls. Granted calls continue.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.close(c.now())
}

// Load returns the current load, with the times of the class.
func (c *Controller) Load(class string) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.load(c.now(), class)
}
