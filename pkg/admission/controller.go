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
func (a *Controller) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.slots = slots
	a.scheduler.dispatch(a.now())
}

// ObserveSlowness records how long work takes at the backend server now, relative to an average machine. slowness is above 0. Call it
// before the Release of the call whose answer reported it.
func (a *Controller) ObserveSlowness(slowness float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.observe(a.now(), slowness)
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
func (a *Controller) Acquire(ctx context.Context, call Call) (*Grant, *Refusal) {
	c := &trackedCall{Call: call, decided: make(chan *Refusal, 1)}
	a.mu.Lock()
	now := a.now()
	a.scheduler.offer(now, c)
	maxQueueTime := c.Deadline.Sub(now) - a.scheduler.estimateDuration(now, c.Class)
	a.mu.Unlock()
	select {
	case refused := <-c.decided:
		return a.result(c, refused)
	default:
	}
	timer := time.NewTimer(max(maxQueueTime, minWait))
	defer timer.Stop()
	select {
	case refused := <-c.decided:
		return a.result(c, refused)
	case <-ctx.Done():
		a.withdraw(c, Cancelled)
	case <-timer.C:
		a.withdraw(c, DeadlineUnreachable)
	}
	return a.result(c, <-c.decided)
}

func (a *Controller) withdraw(c *trackedCall, reason Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.withdraw(a.now(), c, reason)
}

func (a *Controller) result(c *trackedCall, refused *Refusal) (*Grant, *Refusal) {
	if refused != nil {
		return nil, refused
	}
	return &Grant{controller: a, call: c}, nil
}

// Close refuses all queued and all later calls. Granted calls continue.
func (a *Controller) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.close(a.now())
}

// Load returns the present load, with the times of the class.
func (a *Controller) Load(class string) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.load(a.now(), class)
}
