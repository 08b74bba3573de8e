package inbound

import "time"

const (
	shedDecreaseFactor    = 0.8 // factor for the limit after the backend server shed a call
	latencyDecreaseFactor = 0.9 // factor for the limit when latency is inflated
	decreaseInflation     = 2.0 // latency relative to the baseline above which the limit decreases
	maxGrowthInflation    = 1.5 // latency relative to the baseline above which the limit does not increase
	minDecreaseInterval   = 100 * time.Millisecond
	latencyFloorDivisor   = 3.0 // latency alone does not lower the limit below slots divided by this
	initialShedHold       = 5 * time.Second
	maxShedHold           = time.Minute
)

// limiter adapts the in-flight limit of one backend server between 1 and its announced slots. Its signals come from the calls:
// latency, shed calls and refused connections.
type limiter struct {
	limit        float64
	slots        int
	initialLimit int
	warming      bool

	lastDecrease time.Time // time of the latest decrease

	// After a shed the limit stays below shedLevel until holdUntil. Without this hold the additive increase would have a call
	// shed every few service times to probe the same level again.
	shedLevel    int
	holdUntil    time.Time
	holdDuration time.Duration
}

func newLimiter(slots, initial int) *limiter {
	l := &limiter{slots: slots, initialLimit: initial}
	l.limit = float64(min(initial, slots))
	return l
}

// setSlots applies an announcement. A backend server that is warming again has restarted, so the limit is reset to initialLimit.
func (l *limiter) setSlots(slots int, warming bool) {
	if warming && !l.warming {
		l.limit = float64(l.initialLimit)
	}
	l.slots = slots
	l.warming = warming
	l.limit = l.clamp(l.limit)
}

// current returns the in-flight limit in calls.
func (l *limiter) current() int {
	limit := int(l.clamp(l.limit))
	if l.warming {
		limit = min(limit, l.initialLimit)
	}
	return limit
}

func (l *limiter) clamp(limit float64) float64 {
	return max(1, min(limit, float64(l.slots)))
}

// recordSuccess increases the limit by one for each round of calls that used it fully, or decreases it when latency is inflated.
// Latency alone does not prove that the backend server is overloaded, because it may wait for a dependency. Latency therefore
// lowers the limit no further than slots divided by latencyFloorDivisor.
func (l *limiter) recordSuccess(now time.Time, saturated bool, latency time.Duration, inflation float64) {
	if inflation > decreaseInflation {
		if l.limit > max(1, float64(l.slots)/latencyFloorDivisor) {
			l.decrease(now, latencyDecreaseFactor, latency)
		}
		return
	}
	if !saturated || inflation > maxGrowthInflation || l.warming {
		return
	}
	increased := l.clamp(l.limit + 1/l.limit)
	if l.shedLevel > 0 && int(increased) >= l.shedLevel {
		if now.Before(l.holdUntil) {
			return
		}
		l.shedLevel = 0
	}
	l.limit = increased
}

// recordShed decreases the limit after the backend server shed a call or refused a connection with inFlight calls in flight.
func (l *limiter) recordShed(now time.Time, inFlight int) {
	if !l.decrease(now, shedDecreaseFactor, 0) {
		return
	}
	if l.holdDuration > 0 && now.Before(l.holdUntil.Add(l.holdDuration)) {
		l.holdDuration = min(2*l.holdDuration, maxShedHold)
	} else {
		l.holdDuration = initialShedHold
	}
	l.shedLevel = max(2, inFlight)
	l.holdUntil = now.Add(l.holdDuration)
}

// decrease applies at most one decrease per minDecreaseInterval and per service time, because the calls of one round report the
// same event and a decrease takes effect only after a round. It reports whether it decreased the limit.
func (l *limiter) decrease(now time.Time, factor float64, latency time.Duration) bool {
	if now.Sub(l.lastDecrease) < max(minDecreaseInterval, latency) {
		return false
	}
	l.lastDecrease = now
	l.limit = l.clamp(l.limit * factor)
	return true
}
