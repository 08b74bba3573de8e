package inbound

import (
	"math"
	"time"
)

const (
	sampleWeight     = 0.1                    // weight of a new service time in its moving average
	usageWindow      = 500 * time.Millisecond // time constant of the moving average of used slots
	staleEstimate    = time.Second            // without a sample for this time an estimate is halved
	minServiceTime   = time.Millisecond       // used in place of smaller estimates
	minInflation     = 5 * time.Millisecond   // smaller increases of latency are noise of the machine
	deviationMargins = 2                      // deviations added to the mean to cover most calls

	// The baseline is the least mean of the latest windows. A window holds enough samples that a few short calls alone
	// do not make a low mean, against which ordinary latency would look inflated.
	baselineWindow  = time.Second
	baselineSamples = 20
	baselineWindows = 8
)

// serviceEstimate follows the service time of one rank.
type serviceEstimate struct {
	mean, deviation time.Duration // moving averages; 0 before the first sample
	samples         int
	sampled         time.Time // of the latest sample or halving

	windowStart time.Time
	windowSum   time.Duration
	windowCount int
	windows     [baselineWindows]time.Duration // means of the latest windows; 0 if not filled yet
	windowNext  int
}

func (e *serviceEstimate) add(now time.Time, sample time.Duration) {
	e.samples++
	// The first samples weigh equally, so that the very first one does not dominate the average.
	weight := max(sampleWeight, 1/float64(e.samples))
	difference := float64(sample - e.mean)
	if e.samples == 1 {
		e.deviation = sample / 4
	} else {
		e.deviation += time.Duration(weight * (math.Abs(difference) - float64(e.deviation)))
	}
	e.mean += time.Duration(weight * difference)
	e.sampled = now
	e.updateBaseline(now, sample)
}

func (e *serviceEstimate) updateBaseline(now time.Time, sample time.Duration) {
	if e.windowCount == 0 {
		e.windowStart = now
	}
	e.windowSum += sample
	e.windowCount++
	if now.Sub(e.windowStart) < baselineWindow || e.windowCount < baselineSamples {
		return
	}
	e.windows[e.windowNext] = e.windowSum / time.Duration(e.windowCount)
	e.windowNext = (e.windowNext + 1) % baselineWindows
	e.windowSum, e.windowCount = 0, 0
}

// age halves an estimate without recent samples. Otherwise one slow period could make every call look hopeless, so that
// none is admitted and no sample ever corrects the estimate.
func (e *serviceEstimate) age(now time.Time) {
	if e.mean == 0 || now.Sub(e.sampled) < staleEstimate {
		return
	}
	e.mean /= 2
	e.deviation /= 2
	e.sampled = now
}

// expected returns the mean service time, at least minServiceTime.
func (e *serviceEstimate) expected() time.Duration {
	return max(e.mean, minServiceTime)
}

// cautious returns a service time that most calls do not exceed.
func (e *serviceEstimate) cautious() time.Duration {
	return e.expected() + deviationMargins*e.deviation
}

// inflation returns the mean relative to the baseline, at least 1.
func (e *serviceEstimate) inflation() float64 {
	baseline := time.Duration(0)
	for _, window := range e.windows {
		if window > 0 && (baseline == 0 || window < baseline) {
			baseline = window
		}
	}
	if baseline == 0 || e.mean-baseline < minInflation {
		return 1
	}
	return float64(e.mean) / float64(baseline)
}
