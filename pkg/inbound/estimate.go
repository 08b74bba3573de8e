package inbound

import (
	"math"
	"time"
)

const (
	ewmaWeight         = 0.1                    // EWMA weight of a new service time
	usageTimeConstant  = 500 * time.Millisecond // time constant of the EWMA of slots in use
	estimateMaxAge     = time.Second            // time without a sample after which an estimate is halved
	minServiceTime     = time.Millisecond       // lower bound of the estimate
	minLatencyIncrease = 5 * time.Millisecond   // smaller increases of latency are measurement noise
	deviationFactor    = 2                      // deviations above the mean that cover most calls

	// The baseline is the lowest mean of the latest windows. A window has a minimum number of samples, because a low mean of a
	// few short calls would make ordinary latency look inflated.
	baselineWindow  = time.Second
	baselineSamples = 20
	baselineWindows = 8
)

// serviceTimeEstimate estimates the service time of one rank.
type serviceTimeEstimate struct {
	mean, deviation time.Duration // EWMAs; 0 before the first sample
	samples         int
	lastUpdated     time.Time // time of the latest sample or halving

	windowStart time.Time
	windowSum   time.Duration
	windowCount int
	windowMeans [baselineWindows]time.Duration // means of the latest windows; 0 if not filled yet
	nextWindow  int
}

func (e *serviceTimeEstimate) addSample(now time.Time, sample time.Duration) {
	e.samples++
	// The first samples have equal weights, so that the very first one does not dominate the average.
	weight := max(ewmaWeight, 1/float64(e.samples))
	difference := float64(sample - e.mean)
	if e.samples == 1 {
		e.deviation = sample / 4
	} else {
		e.deviation += time.Duration(weight * (math.Abs(difference) - float64(e.deviation)))
	}
	e.mean += time.Duration(weight * difference)
	e.lastUpdated = now
	e.updateBaseline(now, sample)
}

func (e *serviceTimeEstimate) updateBaseline(now time.Time, sample time.Duration) {
	if e.windowCount == 0 {
		e.windowStart = now
	}
	e.windowSum += sample
	e.windowCount++
	if now.Sub(e.windowStart) < baselineWindow || e.windowCount < baselineSamples {
		return
	}
	e.windowMeans[e.nextWindow] = e.windowSum / time.Duration(e.windowCount)
	e.nextWindow = (e.nextWindow + 1) % baselineWindows
	e.windowSum, e.windowCount = 0, 0
}

// decay halves an estimate without recent samples. Otherwise the estimate from a slow period could exceed every deadline: no call
// would be admitted, and no sample would correct the estimate.
func (e *serviceTimeEstimate) decay(now time.Time) {
	if e.mean == 0 || now.Sub(e.lastUpdated) < estimateMaxAge {
		return
	}
	e.mean /= 2
	e.deviation /= 2
	e.lastUpdated = now
}

// expected returns the mean service time, at least minServiceTime.
func (e *serviceTimeEstimate) expected() time.Duration {
	return max(e.mean, minServiceTime)
}

// upperEstimate returns a service time that most calls do not exceed.
func (e *serviceTimeEstimate) upperEstimate() time.Duration {
	return e.expected() + deviationFactor*e.deviation
}

// latencyInflation returns the mean relative to the baseline, at least 1.
func (e *serviceTimeEstimate) latencyInflation() float64 {
	baseline := time.Duration(0)
	for _, window := range e.windowMeans {
		if window > 0 && (baseline == 0 || window < baseline) {
			baseline = window
		}
	}
	if baseline == 0 || e.mean-baseline < minLatencyIncrease {
		return 1
	}
	return float64(e.mean) / float64(baseline)
}
