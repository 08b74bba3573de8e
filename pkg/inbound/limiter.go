package inbound

import "time"

const (
	shedFactor       = 0.8 // of the limit after the backend server shed a call
	slowFactor       = 0.9 // of the limit when latency is inflated
	slowInflation    = 2.0 // latency relative to the baseline above which the limit shrinks
	steadyInflation  = 1.5 // latency relative to the baseline above which the limit does not grow
	minLimitInterval = 100 * time.Millisecond
	slowFloor        = 3.0 // latency alone lowers the limit to no less than the slots divided by this
	firstShedHold    = 5 * time.Second
	maxShedHold      = time.Minute
)

// limiter adapts the in-flight limit of one backend server between 1 and its announced slots. It follows what the calls
// themselves show: latency, shed calls and refused connections.
type limiter struct {
	limit   float64
	slots   int
	initial int
	warming bool

	decreased time.Time // of the latest decrease

	// After a shed the limit stays below the level that was shed until holdUntil. Without this an additive increase
	// would sacrifice a call every few service times to find the same level again.
	shedLevel int
	holdUntil time.Time
	hold      time.Duration
}

func newLimiter(slots, initial int) *limiter {
	l := &limiter{slots: slots, initial: initial}
	l.limit = float64(min(initial, slots))
	return l
}

// setSlots takes over a new announcement. A backend server that is warming again has restarted and starts low.
func (l *limiter) setSlots(slots int, warming bool) {
	if warming && !l.warming {
		l.limit = float64(l.initial)
	}
	l.slots = slots
	l.warming = warming
	l.limit = l.clamp(l.limit)
}

// current returns the limit in calls.
func (l *limiter) current() int {
	limit := int(l.clamp(l.limit))
	if l.warming {
		limit = min(limit, l.initial)
	}
	return limit
}

func (l *limiter) clamp(limit float64) float64 {
	return max(1, min(limit, float64(l.slots)))
}

// succeeded raises the limit by one for each round of calls that used it fully, or lowers it when latency is inflated.
// Latency alone does not prove that these calls overload the backend server: it may wait for something else. Therefore it
// lowers the limit only to a part of the slots.
func (l *limiter) succeeded(now time.Time, saturated bool, latency time.Duration, inflation float64) {
	if inflation > slowInflation {
		if l.limit > max(1, float64(l.slots)/slowFloor) {
			l.decrease(now, slowFactor, latency)
		}
		return
	}
	if !saturated || inflation > steadyInflation || l.warming {
		return
	}
	raised := l.clamp(l.limit + 1/l.limit)
	if l.shedLevel > 0 && int(raised) >= l.shedLevel {
		if now.Before(l.holdUntil) {
			return
		}
		l.shedLevel = 0
	}
	l.limit = raised
}

// shed lowers the limit after the backend server shed a call or refused a connection with inFlight calls in flight.
func (l *limiter) shed(now time.Time, inFlight int) {
	if !l.decrease(now, shedFactor, 0) {
		return
	}
	if l.hold > 0 && now.Before(l.holdUntil.Add(l.hold)) {
		l.hold = min(2*l.hold, maxShedHold)
	} else {
		l.hold = firstShedHold
	}
	l.shedLevel = max(2, inFlight)
	l.holdUntil = now.Add(l.hold)
}

// decrease applies at most one decrease for each interval and service time, because the calls of one round report the
// same event and the effect of a decrease shows only after a round.
func (l *limiter) decrease(now time.Time, factor float64, latency time.Duration) bool {
	if now.Sub(l.decreased) < max(minLimitInterval, latency) {
		return false
	}
	l.decreased = now
	l.limit = l.clamp(l.limit * factor)
	return true
}
