package quota

import "time"

const (
	// calmShare is the part of a limit up to which the use of all nodes counts as calm.
	calmShare = 0.85
	// baselineMargin covers the scatter of a node's requests. Even with it, the baselines of all nodes together stay within a limit.
	baselineMargin = 1.15
	// baselineSlackShare is the part of the slack by which all nodes together may exceed their baselines: those of most teams are below one request.
	baselineSlackShare = 0.25
	// baselineTime is the averaging time of a baseline; learnInterval the time between its samples.
	baselineTime  = 10 * time.Second
	learnInterval = 500 * time.Millisecond
)

// baseline is what a node admits of a team in a window while the use of all nodes is calm. A node may always admit that much: if every node does,
// the limit holds without any news of others. Otherwise, on machines short of processor time, whose reports are late, so much would be set aside
// for others that callers below the limit are refused, return, and add to the load.
type baseline struct {
	requests float64 // in a window
	learnt   time.Duration
	samples  int
}

// add takes in what the node has admitted in a window.
func (b *baseline) add(now time.Duration, admitted float64) {
	weight := max(float64(min(now-b.learnt, baselineTime))/float64(baselineTime), 1/float64(b.samples+1))
	b.requests += (admitted - b.requests) * min(1, weight)
	b.learnt, b.samples = now, b.samples+1
}

// learnBaselines samples the teams whose use is calm.
func (l *Ledger) learnBaselines(now time.Duration) {
	if now-l.learnt < learnInterval {
		return
	}
	l.learnt = now
	for name, t := range l.teams {
		t.advance(l.clock.sequence(now))
		v := l.viewOf(now, name, t)
		own, _ := l.own(now, t)
		if !v.alone && now-t.began >= l.options.Bound.Window && own+v.used <= calmShare*l.options.Bound.target(t.limit) {
			t.baseline.add(now, t.admitted.sum)
		}
	}
}

// baselineChance returns the probability with which the baseline alone grants a request.
func (l *Ledger) baselineChance(t *team) float64 {
	if t.baseline.samples == 0 {
		return 0
	}
	slack := baselineSlackShare * l.options.Bound.Slack * l.nodeShare(1)
	return baselineMargin*t.baseline.requests + slack - t.admitted.sum
}

// scaleBaseline keeps the baselines of all nodes within a limit that is lowered.
func (t *team) scaleBaseline(before, after float64) {
	if after < before {
		t.baseline.requests *= after / before
	}
}
