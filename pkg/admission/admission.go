package admission

import (
	"context"
	"sync"
	"time"
)

// Controller lets calls wait for the decisions of the scheduler. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	scheduler *scheduler
	now       func() time.Time
}

// New returns an admission for a backend server with so many slots.
func New(slots int) *Controller {
	return &Controller{scheduler: newScheduler(slots), now: time.Now}
}

// SetSlots takes over an announcement of the backend server.
func (a *Controller) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.slots = slots
	a.scheduler.dispatch(a.now())
}

// ObserveSlowness takes in how long work takes at the backend server now, relative to an average machine: above 0. Call it before the
// Release of the call whose answer says it.
func (a *Controller) ObserveSlowness(slowness float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.observe(a.now(), slowness)
}

// Grant is a slot. Its holder must call Release once.
type Grant struct {
	admission *Controller
	call      *waiting
}

// Release frees the slot.
func (g *Grant) Release(r Result) {
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	g.admission.scheduler.finish(g.admission.now(), g.call, r)
}

// minWait keeps the timer of a waiting call from firing again before it can have become hopeless.
const minWait = time.Millisecond

// Acquire waits until the call gets a slot or is refused. If ctx ends first, the call is withdrawn with reason Gone.
func (a *Controller) Acquire(ctx context.Context, call Call) (*Grant, *Refusal) {
	c := &waiting{Call: call, decided: make(chan *Refusal, 1)}
	a.mu.Lock()
	now := a.now()
	a.scheduler.offer(now, c)
	latest := c.Deadline.Sub(now) - a.scheduler.estimate(now, c.Class)
	a.mu.Unlock()
	select {
	case refused := <-c.decided:
		return a.result(c, refused)
	default:
	}
	timer := time.NewTimer(max(latest, minWait))
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

func (a *Controller) withdraw(c *waiting, reason Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.withdraw(a.now(), c, reason)
}

func (a *Controller) result(c *waiting, refused *Refusal) (*Grant, *Refusal) {
	if refused != nil {
		return nil, refused
	}
	return &Grant{admission: a, call: c}, nil
}

// Close refuses all waiting and all later calls. Granted calls go on.
func (a *Controller) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.close(a.now())
}

// Load returns the present load, as callers of a class may weigh it.
func (a *Controller) Load(class string) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.load(a.now(), class)
}
