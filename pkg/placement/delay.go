package placement

import "time"

// delayWindow is the time over which the shortest call to a data centre stands for the way there: long enough for some calls that end at
// once, such as probes for a free slot, and short enough to follow a changed route of the network.
const delayWindow = 10 * time.Second

// delay holds the shortest calls to a data centre in the current window and in the one before it.
type delay struct {
	current, previous time.Duration // 0: none
	since             time.Time     // start of the current window
}

func (d *delay) observe(now time.Time, elapsed time.Duration) {
	if now.Sub(d.since) >= delayWindow {
		d.previous, d.current, d.since = d.current, 0, now
	}
	if d.current == 0 || elapsed < d.current {
		d.current = elapsed
	}
}

// shortest returns the shortest call of the last windows, or 0 if there was none.
func (d *delay) shortest(now time.Time) time.Duration {
	switch {
	case d == nil || now.Sub(d.since) >= 2*delayWindow:
		return 0
	case d.previous == 0 || d.current != 0 && d.current < d.previous:
		return d.current
	}
	return d.previous
}

// observeDelay records how long a call to the data centre took.
func (c *Chooser) observeDelay(now time.Time, dataCentre string, elapsed time.Duration) {
	d := c.delays[dataCentre]
	if d == nil {
		d = &delay{since: now}
		c.delays[dataCentre] = d
	}
	d.observe(now, elapsed)
}

// extraDelay returns how much longer the shortest calls to the data centre take than those within the own one.
func (c *Chooser) extraDelay(now time.Time, dataCentre string) time.Duration {
	return max(0, c.delays[dataCentre].shortest(now)-c.delays[c.dataCentre].shortest(now))
}
