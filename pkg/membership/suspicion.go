package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// partitionMinimum is the smallest number of unreachable members in a data centre that counts as a partition.
const partitionMinimum = 3

// contactProbes is the number of members of a data centre probed before one of them is declared dead without recent contact with
// the others.
const contactProbes = 3

// reminderTransmissions is the number of additional transmissions of a suspicion before the member is declared dead.
const reminderTransmissions = 3

// maxRenewals bounds how often a suspicion begins again after a disturbance of the network, and so the delay of the detection of a death meanwhile.
const maxRenewals = 2

// suspicion tracks the refutation period of a suspect.
type suspicion struct {
	since          time.Time
	deadline       time.Time
	remindAt       time.Time // when the suspicion is sent again, so that members that know its refutation reply with it; zero once sent
	contactChecked bool      // other members of its data centre were probed
	heldSince      time.Time // start of the assumed partition; zero if none
	renewals       int       // how often it began again after a disturbance of the network
}

func (s *system) beginSuspicion(now time.Time, e *entry) {
	s.hooks.count("membership_suspected")
	timeout := s.timing.suspicionTimeout(s.size())
	pending := &suspicion{since: now, deadline: now.Add(timeout), remindAt: now.Add(timeout / 2)}
	s.suspicions[e.ID] = pending
	if pending.nextCheck().Before(s.nextSuspicionCheck) || len(s.suspicions) == 1 {
		s.nextSuspicionCheck = pending.nextCheck()
	}
}

// expireSuspicions declares suspects dead after their deadline, unless they appear to be behind a partition.
func (s *system) expireSuspicions(now time.Time, out []message) []message {
	if len(s.suspicions) == 0 || now.Before(s.nextSuspicionCheck) {
		return out
	}
	var counts map[string]reachability
	for _, id := range slices.Sorted(maps.Keys(s.suspicions)) {
		pending := s.suspicions[id]
		s.enqueueReminder(now, id, pending)
		if now.Before(pending.deadline) {
			continue
		}
		e := s.table.entries[id]
		if e == nil || e.Status != Suspect {
			delete(s.suspicions, id)
			continue
		}
		if counts == nil {
			counts = s.countReachability(now)
		}
		r := counts[e.DataCentre]
		contact := s.hasContact(e, pending.since, r)
		if !contact && !pending.contactChecked {
			pending.contactChecked = true
			pending.deadline = now.Add(2 * s.timing.ProbeTimeout)
			if now.Sub(s.contactChecks[e.DataCentre]) >= 2*s.timing.ProbeTimeout {
				s.contactChecks[e.DataCentre] = now
				out = s.checkContact(now, e, out)
			}
			continue
		}
		if s.renewAfterDisturbance(now, e, pending) {
			continue
		}
		if !s.extendDuringPartition(now, e, pending, r.partitioned() || !contact) {
			s.declareDead(now, e)
		}
	}
	s.scheduleSuspicionCheck(now)
	return out
}

func (s *system) scheduleSuspicionCheck(now time.Time) {
	s.nextSuspicionCheck = now.Add(s.timing.PartitionHold)
	for _, pending := range s.suspicions {
		if next := pending.nextCheck(); next.Before(s.nextSuspicionCheck) {
			s.nextSuspicionCheck = next
		}
	}
}

func (s *suspicion) nextCheck() time.Time {
	if s.remindAt.IsZero() {
		return s.deadline
	}
	return s.remindAt
}

// enqueueReminder queues the suspicion again halfway through the refutation period. If this member missed the refutation, it receives
// it in a response.
func (s *system) enqueueReminder(now time.Time, id string, pending *suspicion) {
	if pending.remindAt.IsZero() || now.Before(pending.remindAt) {
		return
	}
	pending.remindAt = time.Time{}
	s.enqueueOnce(id, reminderTransmissions)
}

// hasContact reports whether a message from the suspect's data centre has arrived since the given time. Without contact the whole data
// centre, or this member, may be cut off. If the data centre has no other member, contact with any member counts. In a fleet of two
// the cases cannot be distinguished, and hasContact returns true.
func (s *system) hasContact(e *entry, since time.Time, r reachability) bool {
	others := r.members - 1
	if e.DataCentre == s.selfEntry().DataCentre {
		others--
	}
	if others > 0 {
		return !s.lastContact[e.DataCentre].Before(since)
	}
	if len(s.ring) <= 2 {
		return true
	}
	for _, at := range s.lastContact {
		if !at.Before(since) {
			return true
		}
	}
	return false
}

// checkContact probes other members of the suspect's data centre, or any others if there are none.
func (s *system) checkContact(now time.Time, suspect *entry, out []message) []message {
	var local, remote []*entry
	for _, i := range s.random.Perm(len(s.ring)) {
		e := s.ring[i]
		switch {
		case e == suspect || e.ID == s.self:
		case e.DataCentre == suspect.DataCentre:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	for _, e := range local[:min(len(local), contactProbes)] {
		out = append(out, s.probeMessage(now, e))
	}
	return out
}

// recordContact records the time of a message from a member for its data centre.
func (s *system) recordContact(now time.Time, id string) {
	e := s.table.entries[id]
	if e == nil {
		return
	}
	if now.Sub(s.lastContact[e.DataCentre]) > s.timing.suspicionTimeout(s.size()) {
		s.contactResumed[e.DataCentre] = now
	}
	s.lastContact[e.DataCentre] = now
}

// recordRefutation records that a suspect has turned out to be alive.
func (s *system) recordRefutation(now time.Time) {
	copy(s.refuted[1:], s.refuted[:])
	s.refuted[0] = now
}

// renewAfterDisturbance gives a suspect another refutation period if the network was disturbed during the first one: its data centre
// was silent, or several other suspects turned out to be alive, as when a partition ends and both sides tell each other their suspicions. Its refutation may not have
// arrived yet. It reports whether it did.
func (s *system) renewAfterDisturbance(now time.Time, e *entry, pending *suspicion) bool {
	wasSilent := s.contactResumed[e.DataCentre].After(pending.since)
	othersAreAlive := s.refuted[len(s.refuted)-1].After(pending.since)
	if pending.renewals == maxRenewals || !wasSilent && !othersAreAlive {
		return false
	}
	timeout := s.timing.suspicionTimeout(s.size())
	pending.renewals, pending.since, pending.heldSince = pending.renewals+1, now, time.Time{}
	pending.deadline, pending.remindAt = now.Add(timeout), now.Add(timeout/2)
	s.hooks.count("membership_renewed")
	return true
}

// reachability counts the members and the unreachable members of a data centre.
type reachability struct {
	members     int // alive, suspect or recently dead
	unreachable int // suspect or recently dead
}

func (r reachability) partitioned() bool {
	return r.unreachable >= partitionMinimum && 2*r.unreachable > r.members
}

func (s *system) countReachability(now time.Time) map[string]reachability {
	recent := 2 * s.timing.suspicionTimeout(s.size())
	counts := make(map[string]reachability)
	for _, e := range s.table.entries {
		recentlyDead := e.Status == Dead && now.Sub(e.endedAt) < recent
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

// extendDuringPartition extends the suspicion while a partition is assumed, up to Timing.PartitionHold. It returns false
// if the suspect may be declared dead. A suspect that is still unreachable when the rest of its data centre is reachable again gets another
// regular suspicion timeout.
func (s *system) extendDuringPartition(now time.Time, e *entry, pending *suspicion, partitioned bool) bool {
	if !partitioned && pending.heldSince.IsZero() {
		return false
	}
	pending.since = now
	timeout := s.timing.suspicionTimeout(s.size())
	pending.deadline = now.Add(2*timeout - now.Sub(s.startedAt)%timeout) // aligns all held suspicions to the same tick
	pending.contactChecked = true                                        // the regular probes reach the data centre often enough
	if !partitioned {
		pending.heldSince = time.Time{}
		return true
	}
	if pending.heldSince.IsZero() {
		pending.heldSince = now
		s.hooks.count("membership_held")
		s.explainEvent(now, explain.Suspected, e.ID, "most of data centre "+e.DataCentre+" is unreachable: kept as suspect")
	}
	return now.Sub(pending.heldSince) < s.timing.PartitionHold
}

// probePartitioned probes, once per interval, one random member that still counts as alive in a data centre with suspects behind a
// partition. Only log2 n members of the ring probe a given member. If all of these are behind the partition too, no member on this
// member's side would notice that it is unreachable, and it would still receive calls.
func (s *system) probePartitioned(now time.Time, out []message) []message {
	if len(s.suspicions) == 0 || now.Before(s.nextPartitionProbe) {
		return out
	}
	s.nextPartitionProbe = now.Add(s.timing.ProbeInterval)
	partitioned := make(map[string]bool)
	for id, pending := range s.suspicions {
		if e := s.table.entries[id]; e != nil && !pending.heldSince.IsZero() {
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
	s.hooks.count("membership_dead")
	s.explainEvent(now, explain.DeclaredDead, m.ID, "suspicion was not refuted in time")
}
