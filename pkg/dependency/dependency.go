// Package dependency admits calls of a backend server as far as the calls that the backend server makes for them can be served.
//
// A call holds a slot while its nested calls are made. If the called service has no room for them, the call fails after it has held the slot, and
// those of its nested calls that were served are lost as well: with n nested calls, of which a share p is served, only the share p^n of the calls
// succeeds. With fewer calls admitted, p rises, and as many succeed as the called service has room for.
//
// Only nested calls that were refused for lack of room count. A called service that turns away a share of the calls for another reason does so for
// fewer calls, too; refusing their parents would serve nobody.
package dependency

import (
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Policy holds the parameters of the decisions.
type Policy struct {
	Window time.Duration // time over which calls count
	// Margin is the number of calls admitted for each one that succeeded lately. What is above 1 finds out when there is more room.
	Margin float64
	// MinLost is the number of calls lost in the window up to which all calls are admitted.
	MinLost float64
	// MinShare of the calls is admitted always.
	MinShare float64
}

// DefaultPolicy returns the parameters that the nodes use.
func DefaultPolicy() Policy {
	return Policy{Window: 2 * time.Second, Margin: 1.25, MinLost: 3, MinShare: 0.1}
}

// RetryAfter is when a refused caller may return: by then, a quarter of the default window is new.
const RetryAfter = 500 * time.Millisecond

// maxClasses bounds the number of tracked classes. Beyond it, all records are reset.
const maxClasses = 256

// Admission decides which calls of a backend server are admitted. It is safe for concurrent use.
type Admission struct {
	policy Policy
	now    func() time.Duration // time since a fixed origin
	random func() float64       // from 0 to 1

	mu      sync.Mutex
	classes map[string]*class
}

// class counts the calls of a class, decayed over the window.
type class struct {
	succeeded  float64
	lost       float64 // because nested calls were refused
	turnedAway float64
	at         time.Duration
}

// Options configure an Admission.
type Options struct {
	Policy Policy
	Now    func() time.Duration // nil: clock.Now
	Random func() float64
}

// New returns an admission that has seen no calls.
func New(o Options) *Admission {
	if o.Now == nil {
		o.Now = clock.Now
	}
	return &Admission{policy: o.Policy, now: o.Now, random: o.Random, classes: make(map[string]*class)}
}

// Admit reports whether a call of the class that has arrived may have a slot.
func (a *Admission) Admit(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.classes[name]
	if c == nil {
		return true // none of its calls was lost
	}
	a.decay(c)
	if a.random() < a.share(c) {
		return true
	}
	c.turnedAway++
	return false
}

// Share returns the share of the calls of the class that is admitted now.
func (a *Admission) Share(name string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.classes[name]
	if c == nil {
		return 1
	}
	a.decay(c)
	return a.share(c)
}

// share returns the share of the calls of the class that is admitted: as many as succeeded lately, and the margin.
func (a *Admission) share(c *class) float64 {
	if c.lost < a.policy.MinLost {
		return 1
	}
	return max(a.policy.MinShare, min(1, a.policy.Margin*c.succeeded/(c.succeeded+c.lost+c.turnedAway)))
}

// Succeeded counts an admitted call of the class that a backend server answered with a success.
func (a *Admission) Succeeded(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.classes[name]; c != nil {
		a.decay(c)
		c.succeeded++
	}
}

// Lost counts an admitted call of the class that failed because a nested call was refused for lack of room.
func (a *Admission) Lost(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.classes[name]
	if c == nil {
		if len(a.classes) >= maxClasses {
			clear(a.classes)
		}
		c = &class{at: a.now()}
		a.classes[name] = c
	}
	a.decay(c)
	c.lost++
}

// decay reduces the counts of a class by the time that has passed. Counts from before the window have no weight.
func (a *Admission) decay(c *class) {
	now := a.now()
	factor := max(0, 1-(now-c.at).Seconds()/a.policy.Window.Seconds())
	c.succeeded, c.lost, c.turnedAway, c.at = c.succeeded*factor, c.lost*factor, c.turnedAway*factor, now
}
