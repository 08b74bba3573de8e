package quota

import "time"

const (
	// calmShare is the part of a limit up to which the use of all nodes counts as calm. The baselines of all nodes add up to no more.
	calmShare = 0.85
	// maxGrowth bounds a baseline to a multiple of what the node has admitted.
	maxGrowth = 2.0
	// minBaseline is the least baseline, in requests in a window, that is used: parts of a request or two at each of many nodes would add up to more
	// than the limit.
	minBaseline = 2
	// baselineTime is the averaging time of a baseline; learnInterval the time between its samples.
	baselineTime  = 10 * time.Second
	learnInterval = 500 * time.Millisecond
)

// baseline is a node's part of a team's limit by what it admits while the use of all nodes is calm. A node may always admit that much: if every node does,
// the limit holds without any news of others. Otherwise, on machines short of processor time, whose reports are late, so much would be set aside
// for others that callers below the limit are refused, return, and add to the load.
type baseline struct {
	requests float64 // in a window
	samples  int
}

// add takes in a sample of the node's part, in requests in a window.
func (b *baseline) add(part float64) {
	b.samples++
	b.requests += (part - b.requests) * max(1/float64(b.samples), float64(learnInterval)/float64(baselineTime))
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
		used, calm := own+v.used, calmShare*l.options.Bound.target(t.limit)
		if !v.alone && now-t.began >= l.options.Bound.Window && used <= calm {
			t.baseline.add(t.admitted.sum * min(maxGrowth, calm/max(1, used)))
		}
	}
}

// baselineChance returns the probability with which the baseline alone grants a request. A node that is alone keeps to its share
// instead.
func (t *team) baselineChance(v *view) float64 {
	if t.baseline.requests < minBaseline || v.alone {
		return 0
	}
	return t.baseline.requests - t.admitted.sum
}

// scaleBaseline keeps the baselines of all nodes within a limit that is lowered.
func (t *team) scaleBaseline(before, after float64) {
	if after < before {
		t.baseline.requests *= after / before
	}
}
