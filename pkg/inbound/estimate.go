package inbound

import (
	"math"
	"time"
)

const (
	sampleWeight     = 0.1                    // weight of a new service time in its moving average
	usageWindow      = 500 * time.Millisecond // time constant of the moving average of used slots
	staleEstimate    = time.Second            // without a sample for this time an estimate is halved
	baselineWindow   = 10 * time.Second       // the baseline is the least average of the last one to two windows
	minServiceTime   = time.Millisecond       // used in place of smaller estimates
	minInflation     = 5 * time.Millisecond   // smaller increases of latency are noise of the machine
	deviationMargins = 2                      // deviations added to the mean to cover most calls
)

// serviceEstimate follows the service time of one rank.
type serviceEstimate struct {
	mean, deviation time.Duration // moving averages; 0 before the first sample
	sampled         time.Time     // of the latest sample or halving

	windowStart       time.Time
	current, previous time.Duration // least mean of this and the previous window; 0 if none
}

func (e *serviceEstimate) add(now time.Time, sample time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = sample, sample/4
	} else {
		difference := sample - e.mean
		e.mean += time.Duration(sampleWeight * float64(difference))
		e.deviation += time.Duration(sampleWeight * (math.Abs(float64(difference)) - float64(e.deviation)))
	}
	e.sampled = now
	e.updateBaseline(now)
}

func (e *serviceEstimate) updateBaseline(now time.Time) {
	if now.Sub(e.windowStart) >= baselineWindow {
		e.previous, e.current = e.current, e.mean
		e.windowStart = now
	}
	if e.current == 0 || e.mean < e.current {
		e.current = e.mean
	}
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
	baseline := e.current
	if e.previous > 0 {
		baseline = min(baseline, e.previous)
	}
	if baseline == 0 || e.mean-baseline < minInflation {
		return 1
	}
	return float64(e.mean) / float64(baseline)
}
