package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// partitionMinimum is the least number of unreachable members in a data centre that is taken for a partition.
const partitionMinimum = 3

// contactProbes is the number of members of a data centre that are probed before one of them is declared dead without
// recent contact to the others.
const contactProbes = 3

// reminders is how often a suspicion is sent again before the death is declared.
const reminders = 3

// suspicion is the time left for a suspect to refute.
type suspicion struct {
	since    time.Time
	deadline time.Time
	reminder time.Time // when the suspicion is sent again, so that those who know its refutation answer; zero if done
	checked  bool      // contact to the rest of its data centre was checked
	held     time.Time // since when a partition is assumed; zero if none
}

func (s *system) beginSuspicion(now time.Time, e *entry) {
	s.notice.count("membership_suspected")
	span := s.timing.suspicion(s.size())
	waiting := &suspicion{since: now, deadline: now.Add(span), reminder: now.Add(span / 2)}
	s.suspicions[e.ID] = waiting
	if waiting.next().Before(s.nextExpiry) || len(s.suspicions) == 1 {
		s.nextExpiry = waiting.next()
	}
}

// expireSuspicions declares suspects dead whose time is over, except those that seem to be behind a partition.
func (s *system) expireSuspicions(now time.Time, out []message) []message {
	if len(s.suspicions) == 0 || now.Before(s.nextExpiry) {
		return out
	}
	var counts map[string]reach
	for _, id := range slices.Sorted(maps.Keys(s.suspicions)) {
		waiting := s.suspicions[id]
		s.remind(now, id, waiting)
		if now.Before(waiting.deadline) {
			continue
		}
		e := s.table.entries[id]
		if e == nil || e.Status != Suspect {
			delete(s.suspicions, id)
			continue
		}
		if counts == nil {
			counts = s.countReach(now)
		}
		r := counts[e.DataCentre]
		contact := s.hasContact(e, waiting.since, r)
		if !contact && !waiting.checked {
			waiting.checked = true
			waiting.deadline = now.Add(2 * s.timing.ProbeTimeout)
			if now.Sub(s.contactChecks[e.DataCentre]) >= 2*s.timing.ProbeTimeout {
				s.contactChecks[e.DataCentre] = now
				out = s.checkContact(now, e, out)
			}
			continue
		}
		if !s.hold(now, e, waiting, r.partitioned() || !contact) {
			s.declareDead(now, e)
		}
	}
	s.planExpiry(now)
	return out
}

func (s *system) planExpiry(now time.Time) {
	s.nextExpiry = now.Add(s.timing.PartitionHold)
	for _, waiting := range s.suspicions {
		if next := waiting.next(); next.Before(s.nextExpiry) {
			s.nextExpiry = next
		}
	}
}

func (w *suspicion) next() time.Time {
	if w.reminder.IsZero() {
		return w.deadline
	}
	return w.reminder
}

// remind sends the suspicion to a few members again half-way. A member that missed the refutation gets it in the answer.
func (s *system) remind(now time.Time, id string, waiting *suspicion) {
	if waiting.reminder.IsZero() || now.Before(waiting.reminder) {
		return
	}
	waiting.reminder = time.Time{}
	s.enqueueOnce(id, reminders)
}

// hasContact reports whether another member of the suspect's data centre was heard since the suspicion began. Without
// contact the whole data centre, or this member, may be cut off. If the data centre has no other member, contact to
// any member counts, and a fleet of two cannot tell.
func (s *system) hasContact(e *entry, since time.Time, r reach) bool {
	others := r.members - 1
	if e.DataCentre == s.me().DataCentre {
		others--
	}
	if others > 0 {
		return !s.heard[e.DataCentre].Before(since)
	}
	if len(s.ring) <= 2 {
		return true
	}
	for _, at := range s.heard {
		if !at.Before(since) {
			return true
		}
	}
	return false
}

// checkContact probes other members of the suspect's data centre, or any others if there are none.
func (s *system) checkContact(now time.Time, suspect *entry, out []message) []message {
	var near, far []*entry
	for _, i := range s.random.Perm(len(s.ring)) {
		e := s.ring[i]
		switch {
		case e == suspect || e.ID == s.self:
		case e.DataCentre == suspect.DataCentre:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	if len(near) == 0 {
		near = far
	}
	for _, e := range near[:min(len(near), contactProbes)] {
		out = append(out, s.probeMessage(now, e))
	}
	return out
}

// hear notes a message from a member.
func (s *system) hear(now time.Time, id string) {
	if e := s.table.entries[id]; e != nil {
		s.heard[e.DataCentre] = now
	}
}

// reach counts the members of a data centre.
type reach struct {
	members     int // alive, suspect or dead since a short time
	unreachable int // suspect or dead since a short time
}

func (r reach) partitioned() bool {
	return r.unreachable >= partitionMinimum && 2*r.unreachable > r.members
}

func (s *system) countReach(now time.Time) map[string]reach {
	recent := 2 * s.timing.suspicion(s.size())
	counts := make(map[string]reach)
	for _, e := range s.table.entries {
		recentlyDead := e.Status == Dead && now.Sub(e.ended) < recent
		if e.Status.ended() && !recentlyDead {
			continue
		}
		r := counts[e.DataCentre]
		r.members++
		if e.Status != Alive {
			r.unreachable++
		}
		counts[e.DataCentre] = r
	}
	return counts
}

// hold prolongs the suspicion while a partition is assumed, up to PartitionHold. A suspect that is still silent when
// the rest of its data centre is back gets the usual time again.
func (s *system) hold(now time.Time, e *entry, waiting *suspicion, partitioned bool) bool {
	if !partitioned && waiting.held.IsZero() {
		return false
	}
	waiting.since = now
	usual := s.timing.suspicion(s.size())
	waiting.deadline = now.Add(2*usual - now.Sub(s.begun)%usual) // all that are held are looked at in the same tick
	waiting.checked = true                                       // the usual probes reach the data centre often enough
	if !partitioned {
		waiting.held = time.Time{}
		return true
	}
	if waiting.held.IsZero() {
		waiting.held = now
		s.notice.count("membership_held")
		s.explainEvent(now, explain.Suspected, e.ID, "most of data centre "+e.DataCentre+" is unreachable: kept as suspect")
	}
	return now.Sub(waiting.held) < s.timing.PartitionHold
}

// probePartitioned probes one random member in each interval that is still alive in a data centre with held suspects. The
// ring lets only log2 n members probe a given one. Where all of these are behind the partition too, nobody on this side
// would notice that the member is out of reach, and calls would go on to it.
func (s *system) probePartitioned(now time.Time, out []message) []message {
	if len(s.suspicions) == 0 || now.Before(s.nextHeld) {
		return out
	}
	s.nextHeld = now.Add(s.timing.ProbeInterval)
	partitioned := make(map[string]bool)
	for id, waiting := range s.suspicions {
		if e := s.table.entries[id]; e != nil && !waiting.held.IsZero() {
			partitioned[e.DataCentre] = true
		}
	}
	if len(partitioned) == 0 {
		return out
	}
	for _, i := range s.random.Perm(len(s.ring)) {
		if e := s.ring[i]; e.ID != s.self && e.Status == Alive && partitioned[e.DataCentre] {
			return s.startProbe(now, e, out)
		}
	}
	return out
}

func (s *system) declareDead(now time.Time, e *entry) {
	delete(s.suspicions, e.ID)
	m := e.Member
	m.Status = Dead
	s.table.merge(now, m, 0)
	s.enqueue(m.ID)
	s.nextGossip = now
	s.notice.count("membership_dead")
	s.explainEvent(now, explain.Died, m.ID, "suspicion was not refuted in time")
}
