package admission

import (
	"math"
	"time"
)

// room keeps slots free for short urgent calls beside calls that hold a slot for long: while long calls hold all slots, one becomes free so seldom
// that a call with little slack misses its target, even at the head of the queue.
//
// A call is more urgent than another if its rank is, or if it has the same rank and a fraction of the slack. The slots kept are those that the
// more urgent classes are expected to need at once, from their arrival rates and slot times, less those that they hold already. Nothing is
// kept for classes that have not called lately, nor if slots become free often enough.
type room struct {
	classes map[demandKey]*classDemand
}

// demandKey identifies calls of one class and urgency. The rank of a class differs between teams.
type demandKey struct {
	class  string
	rank   int
	nested bool
}

// classDemand holds the demand of one class.
type classDemand struct {
	demandKey
	arrivals     decayingSum   // calls
	timeToTarget time.Duration // moving average at arrival
	running      int

	moreUrgent []*classDemand // classes for which room is kept from this one; valid until refreshAt
	need       int            // slots that they need at once
	refreshAt  time.Time
}

const (
	// demandWindow is the averaging time of arrival rates. Bursts of callers last for seconds.
	demandWindow = time.Second
	// roomRefresh is how long the computed need of the more urgent classes is used.
	roomRefresh = 50 * time.Millisecond
	// shortTimeShare is the slot time of a short class, as a share of that of a long one, at most. Classes that hold slots about as long as
	// each other need no room beside each other: the queue order decides.
	shortTimeShare = 0.5
	// urgentSlackShare is the slack of a more urgent class of the same rank, as a share of that of the other class, at most.
	urgentSlackShare = 0.25
)

// demandOf returns the demand of the call's class.
func (r *room) demandOf(c *Ticket) *classDemand {
	key := demandKey{c.Class, c.Rank, c.Nested}
	d := r.classes[key]
	if d == nil {
		if r.classes == nil || len(r.classes) >= maxClasses {
			r.classes = make(map[demandKey]*classDemand)
		}
		d = &classDemand{demandKey: key, arrivals: decayingSum{window: demandWindow}}
		r.classes[key] = d
	}
	return d
}

// arrived counts a call that is not sent on to another node.
func (r *room) arrived(now time.Time, c *Ticket) {
	d := c.demand
	d.arrivals.add(now, 1)
	if c.IsRetry {
		return
	}
	left := c.Target.Sub(now)
	if c.Nested {
		left = c.Deadline.Sub(now) // it is late only if its parent is
	}
	if d.timeToTarget == 0 {
		d.timeToTarget = left
	}
	d.timeToTarget += time.Duration(float64(left-d.timeToTarget) * targetWeight)
}

// canGrantTo reports whether a slot is free that the call may take.
func (s *Scheduler) canGrantTo(now time.Time, c *Ticket) bool {
	return s.pace.allows(now) && s.mayTakeSlot(now, c)
}

// mayTakeSlot is canGrantTo without the rate limit.
func (s *Scheduler) mayTakeSlot(now time.Time, c *Ticket) bool {
	return s.running+s.reservedFrom(now, c.demand) < s.limit(now)
}

// reservedFrom returns the number of free slots that calls of the class must leave to more urgent ones.
func (s *Scheduler) reservedFrom(now time.Time, d *classDemand) int {
	if !now.Before(d.refreshAt) {
		s.refreshRoom(now, d)
	}
	free := d.need
	for _, other := range d.moreUrgent {
		free -= other.running
	}
	return max(0, free)
}

// refreshRoom computes which classes are more urgent than one, and how many slots they need at once.
func (s *Scheduler) refreshRoom(now time.Time, d *classDemand) {
	d.refreshAt, d.need, d.moreUrgent = now.Add(roomRefresh), 0, d.moreUrgent[:0]
	limit := s.limit(now)
	most := int(s.policy.MaxRoomShare * float64(limit))
	slotTime := s.classTime(d.class)
	if most == 0 || slotTime == 0 {
		return
	}
	gap := slotTime / time.Duration(limit)
	expected := 0.0
	for _, other := range s.room.classes {
		rate := other.arrivals.value(now) / demandWindow.Seconds()
		if other == d || rate == 0 || !s.isMoreUrgent(other, d) {
			continue
		}
		short := s.classTime(other.class)
		if slack := s.slackOf(other); slack > 0 && float64(short) <= shortTimeShare*float64(slotTime) && float64(gap) >= s.policy.RoomGapShare*float64(slack) {
			expected += rate * short.Seconds()
			d.moreUrgent = append(d.moreUrgent, other)
		}
	}
	d.need = min(most, int(math.Round(expected+s.policy.RoomDeviations*math.Sqrt(expected))))
}

// isMoreUrgent reports whether calls of class a are more urgent than those of class b.
func (s *Scheduler) isMoreUrgent(a, b *classDemand) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return !b.nested && (a.nested || float64(s.slackOf(a)) <= urgentSlackShare*float64(s.slackOf(b)))
}

// slackOf returns how long calls of the class may usually wait and still meet their target.
func (s *Scheduler) slackOf(d *classDemand) time.Duration {
	m := s.slotTimes[d.class]
	if m == nil {
		return max(0, d.timeToTarget)
	}
	return max(0, d.timeToTarget-m.average-scale(m.spread, s.policy.MarginDeviations))
}

// classTime returns how long calls of the class usually hold a slot; 0: unknown.
func (s *Scheduler) classTime(class string) time.Duration {
	if m := s.slotTimes[class]; m != nil {
		return m.value(0)
	}
	return 0
}

// decayingSum is a sum whose parts lose their weight exponentially with the averaging time window.
type decayingSum struct {
	window time.Duration
	sum    float64
	at     time.Time
}

func (d *decayingSum) add(now time.Time, n float64) { d.sum, d.at = d.value(now)+n, now }

func (d *decayingSum) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/d.window.Seconds())
}
