package admission

import (
	"math"
	"slices"
	"time"
)

// pacer is a token bucket that limits how many calls are granted a second. Its zero value does not limit them.
type pacer struct {
	rate   float64 // tokens a second; 0: no limit
	burst  float64 // most tokens that are kept
	tokens float64 // at the time at
	at     time.Time
}

// tokenTolerance absorbs rounding, so that a token is available at the time that wait returns.
const tokenTolerance = 1e-6

// limited reports whether there is a limit.
func (p *pacer) limited() bool { return p.rate > 0 }

// set changes the limit. A new limit starts without tokens: it begins while calls are running that it did not count.
func (p *pacer) set(now time.Time, rate, burst float64) {
	tokens := 0.0
	if p.limited() {
		tokens = min(burst, p.available(now))
	}
	*p = pacer{rate: rate, burst: burst, tokens: tokens, at: now}
}

// available returns the tokens at a time.
func (p *pacer) available(now time.Time) float64 {
	if !p.limited() {
		return math.Inf(1)
	}
	return min(p.burst, p.tokens+p.rate*max(0, now.Sub(p.at).Seconds()))
}

// allows reports whether a call may be granted now.
func (p *pacer) allows(now time.Time) bool { return p.available(now) >= 1-tokenTolerance }

// add adds n tokens, or takes them if n is negative.
func (p *pacer) add(now time.Time, n float64) {
	if p.limited() {
		p.tokens, p.at = min(p.burst, p.available(now)+n), now
	}
}

// wait returns the time until n tokens have been available.
func (p *pacer) wait(now time.Time, n int) time.Duration {
	if missing := float64(n) - p.available(now); missing > tokenTolerance {
		return time.Duration(missing / p.rate * float64(time.Second))
	}
	return 0
}

// SetRateLimit limits how many calls are granted a second. A rate below Policy.MinRate counts as that rate, since only the responses to calls
// show when the limit ends.
func (s *Scheduler) SetRateLimit(now time.Time, rate float64) {
	rate = max(rate, s.policy.MinRate)
	s.pace.set(now, rate, max(1, rate*s.policy.RateBurst.Seconds()))
	s.dispatch(now)
	s.prune(now)
}

// LiftRateLimit ends the limit of SetRateLimit.
func (s *Scheduler) LiftRateLimit(now time.Time) {
	s.pace = pacer{}
	s.dispatch(now)
}

// NextGrant returns when a queued call can be granted that waits for the rate limit only. It returns false if there is none.
func (s *Scheduler) NextGrant(now time.Time) (time.Time, bool) {
	if !s.pace.limited() || !s.hasWaiting(now) {
		return time.Time{}, false
	}
	return now.Add(s.pace.wait(now, 1)), true
}

// hasWaiting reports whether a call waits that may have a free slot.
func (s *Scheduler) hasWaiting(now time.Time) bool {
	return slices.ContainsFunc(s.queue, func(c *Ticket) bool { return s.mayTakeSlot(now, c) }) ||
		slices.ContainsFunc(s.late.calls, func(c *Ticket) bool { return s.mayTakeSlot(now, c) })
}

// Tick grants queued calls that the rate limit allows, and refuses those that have waited too long. Call it at the time of NextGrant.
func (s *Scheduler) Tick(now time.Time) {
	s.dispatch(now)
	s.prune(now)
}

// paced reports whether the rate limit, and not the slots, decides when a call with the given number of calls ahead is granted.
func (s *Scheduler) paced(now time.Time, ahead int) bool {
	return s.pace.limited() && s.pace.wait(now, ahead+1) > s.estimateSlotWait(now, ahead)
}

// shortage returns the reason to refuse a call that would be granted too late with the given number of calls ahead.
func (s *Scheduler) shortage(now time.Time, ahead int) Reason {
	if s.paced(now, ahead) {
		return RateLimited
	}
	return Overloaded
}

// applyPace makes a load report show the rate limit as a smaller number of slots, which are all in use while no call may be granted: callers then
// expect the queue to move at the rate of the limit.
func (s *Scheduler) applyPace(now time.Time, l *Load) {
	slotTime := s.slotTime.value(initialSlotTime)
	slots := int(math.Ceil(s.pace.rate * slotTime.Seconds()))
	if !s.pace.limited() || slots > l.Limit {
		return
	}
	l.Limit = max(1, slots)
	l.SlotTime = time.Duration(float64(l.Limit) / s.pace.rate * float64(time.Second))
	if !s.pace.allows(now) {
		l.Running = max(l.Running, l.Limit)
	}
}
