package membership

import "time"

const (
	// maxHealthScore limits how far a slow member extends its own probe timeouts, in multiples of Timing.ProbeTimeout.
	maxHealthScore = 4
	// lateTickThreshold is the gap between two ticks above which the process is considered short of CPU.
	lateTickThreshold = 250 * time.Millisecond
)

// The health score is 0 for a healthy member. A member that is short of CPU sees timeouts from many others. Suspecting them causes
// messages and refutations that increase the load further; with 192 members on one overloaded machine this feedback loop did not
// end. Each sign of overload (a late tick, a failed probe, a suspicion of this member) increments the score, each answered probe
// decrements it, and probe timeouts grow by Timing.ProbeTimeout per point.

func (s *system) degradeHealth() {
	s.healthScore = min(s.healthScore+1, maxHealthScore)
}

func (s *system) improveHealth() {
	s.healthScore = max(s.healthScore-1, 0)
}

// probeTimeout returns the timeout of a direct probe at the current health score.
func (s *system) probeTimeout() time.Duration {
	return s.timing.ProbeTimeout * time.Duration(1+s.healthScore)
}
