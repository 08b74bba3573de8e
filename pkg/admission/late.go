package admission

import (
	"math"
	"slices"
	"time"
)

// lateQueue holds calls that can no longer be in time but can end before their deadline. Their callers are served late rather than not at all,
// with slots that no call needs to be in time: behind all others, by deadline.
//
// A caller that can return and be in time is refused instead, and so is a call that another node may still serve. A call is refused at once
// if the slots that calls in time leave over are not expected to reach it before its deadline.
type lateQueue struct {
	calls  []*Ticket // by deadline
	recent load      // of the calls admitted to be in time
	usual  load
}

// recentLoadWindow is the averaging time of the load that a burst of callers has left.
const recentLoadWindow = time.Second

// load measures how many slots calls need.
type load struct {
	decayingSum           // slot time, in seconds
	since       time.Time // of the first call
}

func (l *load) add(now time.Time, slotTime time.Duration) {
	if l.since.IsZero() {
		l.since = now
	}
	l.decayingSum.add(now, slotTime.Seconds())
}

// slots returns the mean number of slots.
func (l *load) slots(now time.Time) float64 {
	observed := 1 - math.Exp(-now.Sub(l.since).Seconds()/l.window.Seconds()) // part of the window
	if l.since.IsZero() || observed <= 0 {
		return 0
	}
	return l.value(now) / (observed * l.window.Seconds())
}

func newLateQueue(window time.Duration) lateQueue {
	return lateQueue{recent: load{decayingSum: decayingSum{window: recentLoadWindow}}, usual: load{decayingSum: decayingSum{window: window}}}
}

// minSpareShare is the least share of the slots that calls in time must leave over for others to wait. Below it, the estimate of what
// they leave over consists of its error.
const minSpareShare = 0.05

// addLoad counts the slot time of a call admitted to be in time.
func (l *lateQueue) addLoad(now time.Time, slotTime time.Duration) {
	l.recent.add(now, slotTime)
	l.usual.add(now, slotTime)
}

// slotsInTime returns how many slots calls in time are expected to need while a late one waits: what they need usually, because a burst of callers
// ends, or what they need now if that is less.
func (l *lateQueue) slotsInTime(now time.Time) float64 {
	return min(l.recent.slots(now), l.usual.slots(now))
}

// remove removes and returns a call.
func (l *lateQueue) remove(i int) *Ticket {
	c := l.calls[i]
	c.state = undecided
	l.calls = slices.Delete(l.calls, i, i+1)
	return c
}

// position returns the number of calls with a deadline that is not later.
func (l *lateQueue) position(c *Ticket) int {
	i, _ := slices.BinarySearchFunc(l.calls, c, func(a, b *Ticket) int {
		if a.Deadline.After(b.Deadline) {
			return 1
		}
		return -1
	})
	return i
}

// refuseOrDefer refuses a call that would be granted too late to be in time, or lets it wait beyond its target.
func (s *Scheduler) refuseOrDefer(now time.Time, c *Ticket, reason Reason) {
	if reason != Overloaded || !s.mayWaitLate(now, c) {
		s.refuse(now, c, reason)
		return
	}
	c.state, c.delay = queuedLate, DelayLate
	s.late.calls = slices.Insert(s.late.calls, s.late.position(c), c)
}

// mayWaitLate reports whether a call that cannot be in time here may wait for a slot that no call in time needs.
func (s *Scheduler) mayWaitLate(now time.Time, c *Ticket) bool {
	if !c.LastNode || c.Nested || c.MaxWait > 0 || len(s.late.calls) >= s.policy.LatePerSlot*s.limit(now) {
		return false
	}
	duration := s.estimateDuration(now, c.Class)
	if !c.IsRetry && c.Target.Sub(now)-duration >= minRetryAfter {
		return false // its caller can return and be in time
	}
	wait, ok := s.estimateLateWait(now, s.late.position(c))
	return ok && !now.Add(wait+duration+s.estimateMargin(now, c.Class)).After(c.Deadline)
}

// estimateLateWait estimates when the call at a position of the late queue gets a slot, from the work ahead of it and the slots that calls in time
// leave over. It returns false if they leave none.
func (s *Scheduler) estimateLateWait(now time.Time, position int) (time.Duration, bool) {
	limit := float64(s.limit(now))
	spare := limit - s.late.slotsInTime(now)
	if spare < minSpareShare*limit {
		return 0, false
	}
	return scale(s.workAhead(now, position), 1/spare), true
}

// workAhead returns the slot time of the calls that go before the given position of the late queue.
func (s *Scheduler) workAhead(now time.Time, position int) time.Duration {
	work := time.Duration(0)
	for _, c := range s.queue {
		work += s.estimateDuration(now, c.Class)
	}
	for _, c := range s.late.calls[:position] {
		work += s.estimateDuration(now, c.Class)
	}
	return work
}

// dispatchLate grants slots that no other call may take now to calls that wait beyond their target.
func (s *Scheduler) dispatchLate(now time.Time) {
	for i := 0; i < len(s.late.calls) && s.canGrant(now); {
		c := s.late.calls[i]
		switch {
		case now.Add(s.estimateDuration(now, c.Class)).After(c.Deadline):
			s.refuse(now, s.late.remove(i), DeadlineUnreachable)
		case s.canGrantTo(now, c):
			s.grant(now, s.late.remove(i))
		default:
			i++
		}
	}
}

// pruneLate refuses calls that cannot end before their deadline even if all slots were theirs.
func (s *Scheduler) pruneLate(now time.Time) {
	if len(s.late.calls) == 0 {
		return
	}
	work := s.workAhead(now, 0)
	for i := 0; i < len(s.late.calls); {
		c := s.late.calls[i]
		duration := s.estimateDuration(now, c.Class)
		if now.Add(scale(work, 1/float64(s.limit(now))) + duration).After(c.Deadline) {
			s.refuse(now, s.late.remove(i), DeadlineUnreachable)
			continue
		}
		work += duration
		i++
	}
}
