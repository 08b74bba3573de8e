package membership

import (
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// partitionMinimum is the least number of unreachable members in a data centre that is taken for a partition.
const partitionMinimum = 3

// suspicion is the time left for a suspect to refute.
type suspicion struct {
	deadline time.Time
	held     time.Time // since when a partition is assumed; zero if none
}

func (s *system) beginSuspicion(now time.Time, e *entry) {
	s.notice.count("membership_suspected")
	s.suspicions[e.ID] = &suspicion{deadline: now.Add(s.timing.suspicion(s.size()))}
}

// expireSuspicions declares suspects dead whose time is over, except those that seem to be behind a partition.
func (s *system) expireSuspicions(now time.Time) {
	var counts map[string]reach
	for _, id := range sortedKeys(s.suspicions) {
		waiting := s.suspicions[id]
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
		if s.hold(now, e, waiting, counts[e.DataCentre]) {
			continue
		}
		s.declareDead(now, e)
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

// hold prolongs the suspicion while most of the data centre is unreachable, up to PartitionHold. A suspect that is
// still silent when the rest of its data centre is back gets the usual time again.
func (s *system) hold(now time.Time, e *entry, waiting *suspicion, r reach) bool {
	usual := s.timing.suspicion(s.size())
	if !r.partitioned() {
		if waiting.held.IsZero() {
			return false
		}
		waiting.held = time.Time{}
		waiting.deadline = now.Add(usual)
		return true
	}
	if waiting.held.IsZero() {
		waiting.held = now
		s.notice.count("membership_held")
		s.explainEvent(now, explain.Suspected, e.ID, "most of data centre "+e.DataCentre+" is unreachable: kept as suspect")
	}
	waiting.deadline = now.Add(usual)
	return now.Sub(waiting.held) < s.timing.PartitionHold
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
