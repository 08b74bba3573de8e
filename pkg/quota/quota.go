// Package quota decides which requests of a team run, so that all nodes together keep to the team's limit.
//
// Each node counts what it admits. Nodes exchange sums along a tree: leaves with a collector, collectors with the first node of the data centre,
// and those among each other. A node therefore knows the use of all nodes with a delay of some exchanges. While a team is far from its limit,
// all of its requests are admitted at once; near it, with a common probability. A part of the tree without news of another part leaves it the
// share of the limit that its demand was of all demand at their last exchange; these shares add up to one on both sides of a cut.
//
// The package has neither a network nor a clock: callers pass the time since a fixed origin of their process.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// nearShare is the share of the bound from which nodes exchange their counts often.
	nearShare = 0.75
	// planned is the part of the window, in buckets, for which requests are admitted ahead: it outlasts the delay of the counts.
	planned = 5
	// recent is the number of buckets from which a surge of demand is recognised.
	recent = 2
	// steadyShare is the part of a limit that a starting node takes to have been used evenly over the window before; it takes the rest to have
	// been used at its end, as by a burst. A team that had just used its burst when all nodes restarted stays within an overage of a tenth.
	steadyShare = 0.6
	// unreportedShare is the part of this node's share of the room after which it reports early.
	unreportedShare = 0.25
	// viewAge is how long the sums of other nodes are used before they are computed again.
	viewAge = 20 * time.Millisecond
)

// Bound is the tolerance of the limits.
type Bound struct {
	Window  time.Duration // length of the sliding window
	Overage float64       // part of a limit by which it may be exceeded in a window
	Slack   float64       // requests by which it may be exceeded in addition
}

// Limit bounds the requests of a team that run in any window: RatePerS times its length in seconds, plus Burst.
type Limit struct{ RatePerS, Burst float64 }

// Owed returns the number of requests that a limit grants in a window.
func (b Bound) Owed(l Limit) float64 { return l.RatePerS*b.Window.Seconds() + l.Burst }

// Max returns the largest number of requests that may run in a window.
func (b Bound) Max(l Limit) float64 { return b.Owed(l)*(1+b.Overage) + b.Slack }

// target returns the number of requests at which nodes aim. A part of the slack covers teams of a few requests, whose counts scatter most; the
// rest of it and the overage cover the delay of the counts.
func (b Bound) target(l Limit) float64 { return b.Owed(l) + b.Slack/4 }

// Timing is how often nodes exchange counts.
type Timing struct {
	Rest time.Duration // while no team is near its limit
	Near time.Duration // while one is
	// Grace is how long a report may be overdue before its sender counts as out of touch.
	Grace time.Duration
}

// DefaultTiming is the timing of the nodes. Near is short against the time in which a team that sends five times its limit exceeds the overage
// of a tenth (0.6 s in a window of 5 s); Rest is what a node can spend all day.
func DefaultTiming() Timing {
	return Timing{Rest: time.Second, Near: 200 * time.Millisecond, Grace: 300 * time.Millisecond}
}

// Options configure a Ledger.
type Options struct {
	Bound  Bound
	Timing Timing
	Nodes  func() int     // size of the fleet, including this node
	Random func() float64 // in [0, 1)
}

// Decision is the answer to a request.
type Decision struct {
	Granted bool
	Used    float64 // estimate of the requests that run in the window
	Allowed float64 // at which nodes aim
	// RetryAfter is the time after which a refused caller may return.
	RetryAfter time.Duration
}

// Ledger counts the requests of each team and what other nodes report of them. It is safe for concurrent use.
type Ledger struct {
	options Options
	clock   clockOf

	mu      sync.Mutex
	teams   map[string]*team
	sources []*source
	near    bool          // a team was near its limit since the latest exchange
	learnt  time.Duration // when baselines were last sampled
}

// team is what a node counts itself.
type team struct {
	limit    Limit
	began    time.Duration // when counting began
	admitted history
	refused  history
	since    float64 // admitted and not reported, as far as is known
	reported float64 // part of since that the latest report to an upper node holds
	baseline baseline
	view     view
	refusals int64 // since the start
}

// asked returns the number of requests in the window.
func (t *team) asked() float64 { return t.admitted.sum + t.refused.sum }

func (t *team) advance(sequence int64) {
	t.admitted.advance(sequence)
	t.refused.advance(sequence)
}

// view is what is known of the other nodes.
type view struct {
	at     time.Duration
	valid  bool
	used   float64 // in the window
	ending float64 // part of used that leaves the window within the planned time
	asked  float64 // of those in touch, in the window
	surge  float64 // of those in touch, in the recent buckets
	recent float64 // admitted in the recent buckets, as far as it was reported or extrapolated
	total  float64 // asked of all, in touch or not
	equal  float64 // share of one node, if all are equal
	alone  bool    // no other node is in touch
}

// New returns a ledger without limits.
func New(o Options) *Ledger {
	return &Ledger{options: o, clock: clockOf{o.Bound.Window / buckets}, teams: make(map[string]*team)}
}

// SetLimits replaces the limits. Counts of teams that stay are kept, so that a lowered limit counts what ran before. For a new team, the window
// before counts as used: an earlier process of this node may have used it.
func (l *Ledger) SetLimits(now time.Duration, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.teams {
		if _, ok := limits[name]; !ok {
			l.forgetTeam(name)
		}
	}
	sequence := l.clock.sequence(now)
	for name, limit := range limits {
		t, ok := l.teams[name]
		if !ok {
			t = &team{admitted: history{newest: sequence}, refused: history{newest: sequence}}
			t.began = now
			l.teams[name] = t
		}
		t.scaleBaseline(l.options.Bound.target(t.limit), l.options.Bound.target(limit))
		t.limit, t.view.valid = limit, false
	}
}

func (l *Ledger) forgetTeam(name string) {
	delete(l.teams, name)
	for _, s := range l.sources {
		delete(s.teams, name)
	}
}

// Admit decides on a request of a team. Teams without a limit are always granted.
func (l *Ledger) Admit(now time.Duration, name string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.teams[name]
	if !ok {
		return Decision{Granted: true}
	}
	sequence := l.clock.sequence(now)
	t.advance(sequence)
	v := l.viewOf(now, name, t)
	own, ending := l.own(now, t)
	d := Decision{Allowed: l.options.Bound.target(t.limit), Used: own + v.used + t.unseen(v)}
	t.refused.add(sequence, 1) // until it is granted
	demand := t.demand(v)
	l.near = l.near || l.isNear(t, d.Used, demand)
	if chance := max(t.chance(v, d, own, ending, demand), t.baselineChance(v)); chance < 1 && l.options.Random() >= chance {
		t.refusals++
		d.RetryAfter = l.retryAfter(t, v, d, demand)
		return d
	}
	d.Granted = true
	t.refused.add(sequence, -1)
	t.admitted.add(sequence, 1)
	t.since++
	l.near = l.near || t.since > 1+(d.Allowed-d.Used)*t.share(v)*unreportedShare
	return d
}

// own returns what this node is taken to have used in the window, and how much of it leaves the window within the planned time.
func (l *Ledger) own(now time.Duration, t *team) (used, ending float64) {
	used, ending = t.admitted.sum, t.admitted.ending(planned)
	if before := l.before(now, t); before > 0 {
		used += before
		ending += l.options.Bound.target(t.limit) * l.nodeShare(1) * steadyShare * planned / buckets
	}
	return used, ending
}

// before returns what an earlier process of this node is taken to have used in the window: an equal share of the limit.
func (l *Ledger) before(now time.Duration, t *team) float64 {
	age := float64(now-t.began) / float64(l.options.Bound.Window)
	if age >= 1 {
		return 0
	}
	return l.options.Bound.target(t.limit) * l.nodeShare(1) * (1 - steadyShare*age)
}

// chance returns the probability with which a request is granted, so that the requests of the planned time fit into the room that there is by then.
func (t *team) chance(v *view, d Decision, own, ending, demand float64) float64 {
	coming := demand * planned / buckets
	if v.alone {
		// The share of one node may be less than a request, so that only the mean over windows and nodes can keep to it.
		share := max(0, d.Allowed-v.used)
		if own >= max(1, share) {
			return 0
		}
		return min(share/demand, (max(1, share)-own+ending)/coming)
	}
	room := d.Allowed - d.Used + ending + v.ending
	if d.Used > d.Allowed || t.since > 2+t.share(v)*(room+t.since) {
		return 0 // beyond the room, or this node's share of it until others know of its requests
	}
	return room / coming
}

// unseen estimates what other nodes have admitted lately and not reported. If this node gets significantly more requests than its share,
// others probably do as well.
func (t *team) unseen(v *view) float64 {
	own := t.admitted.latest(recent)
	sure := own - math.Sqrt(own) - 1
	if sure <= 0 || v.alone {
		return 0
	}
	earlier := max(0, t.asked()-own)
	share := mixedShare(earlier, earlier+v.total, v.equal)
	return max(0, sure*(1-share)/share-v.recent)
}

// demand returns the number of requests that the nodes in touch get in a window, at the present rate.
func (t *team) demand(v *view) float64 {
	latest := t.admitted.latest(recent) + t.refused.latest(recent) + v.surge + t.unseen(v)
	latest -= 2 * math.Sqrt(latest) // what is certain of it
	return max(t.asked()+v.asked, latest*buckets/(recent+1))
}

// isNear reports whether a team may come to its limit within the planned time.
func (l *Ledger) isNear(t *team, used, demand float64) bool {
	return used+demand*planned/buckets > nearShare*l.options.Bound.Max(t.limit)
}

// share returns the share of this node in the demand.
func (t *team) share(v *view) float64 { return mixedShare(t.asked(), t.asked()+v.total, v.equal) }

// retryAfter returns when a refused caller may return: when the window has room again, and then spread over the time in which the limit serves what is
// refused in a window.
func (l *Ledger) retryAfter(t *team, v *view, d Decision, demand float64) time.Duration {
	wait := 0
	for room := d.Allowed - d.Used; room < 1 && wait < buckets; wait++ {
		room = d.Allowed - d.Used + t.admitted.ending(wait+1) + v.ending*min(1, float64(wait+1)/planned)
	}
	spread := float64(l.options.Bound.Window) * min(1, max(0, 1-d.Allowed/max(1, demand)))
	return max(time.Duration(wait), 1)*l.clock.bucket + time.Duration(l.options.Random()*spread)
}

// Return takes back a request that was granted and that no backend server has received.
func (l *Ledger) Return(now, granted time.Duration, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.teams[name]
	if !ok {
		return
	}
	t.advance(l.clock.sequence(now))
	t.admitted.add(l.clock.sequence(granted), -1)
	t.since = max(0, t.since-1)
}

// Usage is the state of a team, for operators.
type Usage struct {
	Team          string
	Used, Allowed float64 // in the window, by all nodes
	Refused       int64   // by this node
}

// Usage returns the teams with the highest use of their limits, at most n.
func (l *Ledger) Usage(now time.Duration, n int) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Usage
	for name, t := range l.teams {
		all = append(all, l.usageOf(now, name, t))
	}
	return highest(all, n)
}

// UsageOf returns the state of a team. It reports false for one without a limit.
func (l *Ledger) UsageOf(now time.Duration, name string) (Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.teams[name]
	if !ok {
		return Usage{}, false
	}
	return l.usageOf(now, name, t), true
}

// usageOf returns the state of a team. The caller must hold mu.
func (l *Ledger) usageOf(now time.Duration, name string, t *team) Usage {
	t.advance(l.clock.sequence(now))
	v := l.viewOf(now, name, t)
	own, _ := l.own(now, t)
	return Usage{name, own + v.used, l.options.Bound.Owed(t.limit), t.refusals}
}
