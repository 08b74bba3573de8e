package outbound

import (
	"sync"
	"time"
)

const (
	hedgeQuantile   = 0.95 // calls slower than this quantile of recent calls may be hedged
	quantileStep    = 0.05 // relative change of the estimate per sample
	minHedgeSamples = 20
	minHedgeDelay   = time.Millisecond
)

// quantileEstimator estimates the hedgeQuantile of a stream of durations in constant space. Samples above the estimate
// raise it and samples below lower it, with step sizes that balance at the quantile.
type quantileEstimator struct {
	estimate float64 // seconds
	samples  int
}

func (q *quantileEstimator) add(d time.Duration) {
	x := d.Seconds()
	q.samples++
	if q.samples == 1 {
		q.estimate = x
		return
	}
	step := max(q.estimate*quantileStep, 1e-6)
	if x > q.estimate {
		q.estimate += step * hedgeQuantile
	} else {
		q.estimate -= step * (1 - hedgeQuantile)
	}
}

// routeLatencies holds a latency estimate per route. It is safe for concurrent use.
type routeLatencies struct {
	mu      sync.Mutex
	byRoute map[string]*quantileEstimator
}

func newRouteLatencies() *routeLatencies {
	return &routeLatencies{byRoute: make(map[string]*quantileEstimator)}
}

func (l *routeLatencies) add(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.byRoute[route]
	if q == nil {
		q = &quantileEstimator{}
		l.byRoute[route] = q
	}
	q.add(d)
}

// hedgeDelay returns the time after which a call on the route may be hedged, or false if there are fewer than
// minHedgeSamples samples.
func (l *routeLatencies) hedgeDelay(route string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.byRoute[route]
	if q == nil || q.samples < minHedgeSamples {
		return 0, false
	}
	return max(time.Duration(q.estimate*float64(time.Second)), minHedgeDelay), true
}

// expire deletes the estimates of routes for which keep returns false.
func (l *routeLatencies) expire(keep func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route := range l.byRoute {
		if !keep(route) {
			delete(l.byRoute, route)
		}
	}
}
