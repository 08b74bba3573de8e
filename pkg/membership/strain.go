package membership

import "time"

const (
	// maxStrain bounds how much a member that is slow itself prolongs its probe time-outs.
	maxStrain = 4
	// lateTick is a pause between two ticks that shows a shortage of CPU.
	lateTick = 250 * time.Millisecond
)

// A member that is short of CPU finds many others silent. Their suspicion costs messages and refutations, which load the
// machines further; in a trial with 192 members on one overloaded machine this went on without end. Each sign of
// strain (a late tick, a failed probe, a suspicion of this member) prolongs the probe time-outs by one unit, and each
// answered probe shortens them.

func (s *system) worsen() {
	s.strain = min(s.strain+1, maxStrain)
}

func (s *system) recover() {
	s.strain = max(s.strain-1, 0)
}

// probeTimeout is the time-out of a direct probe at the present strain.
func (s *system) probeTimeout() time.Duration {
	return s.timing.ProbeTimeout * time.Duration(1+s.strain)
}
