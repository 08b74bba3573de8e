package membership

import (
	"cmp"
	"slices"
	"time"
)

// broadcast is a change that is still to be spread.
type broadcast struct {
	id   string
	sent int
}

func (s *system) enqueue(id string) {
	s.queue[id] = &broadcast{id: id}
}

// enqueueOnce queues a change for a few more transmissions only, unless it is queued already.
func (s *system) enqueueOnce(id string, transmissions int) {
	if _, queued := s.queue[id]; !queued {
		s.queue[id] = &broadcast{id: id, sent: s.timing.retransmissions(s.size()) - transmissions}
	}
}

// takeDeltas appends the changes sent least often, up to the size limit of a message, and counts them as sent. Those
// about members in received are left out: sending them back would use up their transmissions on peers that have them.
func (s *system) takeDeltas(now time.Time, deltas, received []update) []update {
	if len(s.queue) == 0 {
		return deltas
	}
	limit := s.timing.retransmissions(s.size())
	room := s.timing.MaxDeltaBytes
	for _, b := range s.queueBySent() {
		e := s.table.entries[b.id]
		if e == nil {
			delete(s.queue, b.id)
			continue
		}
		if slices.ContainsFunc(received, func(u update) bool { return u.ID == b.id }) {
			continue
		}
		u := e.delta(now)
		room -= u.size()
		if room < 0 {
			break
		}
		deltas = append(deltas, u)
		b.sent++
		if b.sent >= limit {
			delete(s.queue, b.id)
		}
	}
	return deltas
}

// knownTransmissions is what an answer counts that says that the change was known already. With twice as much, members
// that missed a refutation under 10% loss were left to declare a false death.
const knownTransmissions = 2

// wasKnown counts further transmissions for changes that a peer knew already: most others then know them too.
func (s *system) wasKnown(deltas []update) {
	limit := s.timing.retransmissions(s.size())
	for _, u := range deltas {
		b, e := s.queue[u.ID], s.table.entries[u.ID]
		if b == nil || e == nil || !sameChange(e, u) {
			continue
		}
		b.sent += knownTransmissions
		if b.sent >= limit {
			delete(s.queue, u.ID)
		}
	}
}

// undelivered takes back the transmissions in a message that was not answered. Otherwise, while many members are down, as after a
// restart of all, a change could use up its transmissions on them and reach some members only with an anti-entropy exchange.
func (s *system) undelivered(deltas []update) {
	limit := s.timing.retransmissions(s.size())
	for _, u := range deltas {
		e := s.table.entries[u.ID]
		if e == nil || !sameChange(e, u) {
			continue
		}
		b := s.queue[u.ID]
		if b == nil {
			b = &broadcast{id: u.ID, sent: limit}
			s.queue[u.ID] = b
		}
		b.sent = max(0, b.sent-1)
	}
}

// sameChange reports whether the update carries what the entry still is.
func sameChange(e *entry, u update) bool {
	sequence := func(m Member) uint64 {
		if m.Endpoint == nil {
			return 0
		}
		return m.Endpoint.Sequence
	}
	m := u.member()
	sameStatus := e.Incarnation == m.Incarnation && e.Counter == m.Counter && e.Status == m.Status
	return sameStatus && (e.Status != Alive || sequence(e.Member) == sequence(m))
}

func (s *system) queueBySent() []*broadcast {
	ordered := make([]*broadcast, 0, len(s.queue))
	for _, b := range s.queue {
		ordered = append(ordered, b)
	}
	slices.SortFunc(ordered, func(a, b *broadcast) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.id, b.id))
	})
	return ordered
}

// gossip sends the queued changes to a few probe partners. Nothing is sent while there are no changes.
func (s *system) gossip(now time.Time, out []message) []message {
	if len(s.queue) == 0 || now.Before(s.nextGossip) {
		return out
	}
	s.nextGossip = now.Add(s.timing.GossipInterval)
	s.gossipRound++
	return s.sendDeltas(now, s.gossipTargets(), out)
}

// farRounds is the number of gossip rounds of which one goes to another data centre as well. A change crosses with each of the many
// members that have it, so that a few messages from each suffice; bytes between data centres cost more than others.
const farRounds = 2

// gossipTargets returns as many members of the own data centre as Timing.GossipFanout says, and in every farRounds-th round one
// elsewhere as well. Where the data centre is too small for that, probe partners fill the number up to one less.
func (s *system) gossipTargets() []*entry {
	n := s.timing.GossipFanout
	far := 0
	if s.gossipRound%farRounds == 0 {
		far = 1
	}
	targets := s.nearPartners(n)
	own := s.me().DataCentre
	for _, e := range s.randomPartners(s.offsets()) {
		if far > 0 && e.DataCentre != own {
			targets = append(targets, e)
			far--
		}
	}
	for _, e := range s.randomPartners(n) {
		if len(targets) < n-1 && !slices.Contains(targets, e) {
			targets = append(targets, e)
		}
	}
	return targets
}

// nearPartners returns up to n different members at the distances 1, 2, 4, ... in the ring of the own data centre, so that their
// number, and that of the open connections, grows with the logarithm of its size.
func (s *system) nearPartners(n int) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(offsetsIn(s.nearRing)) {
		if len(chosen) == n {
			break
		}
		e := s.nearRing[(s.nearPosition+1<<i)%len(s.nearRing)]
		if s.hearsGossip(e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func (s *system) sendDeltas(now time.Time, targets []*entry, out []message) []message {
	for _, target := range targets {
		if len(s.queue) == 0 {
			break
		}
		out = append(out, s.probeMessage(now, target))
	}
	return out
}

// randomPartners returns up to n different members at the ring distances used for probes, whose connections are open. If
// too few of these can be reached, as behind a partition, members of the own data centre take their place.
func (s *system) randomPartners(n int) []*entry {
	if s.position < 0 {
		return nil
	}
	var chosen []*entry
	for _, i := range s.random.Perm(s.offsets()) {
		if len(chosen) == n {
			break
		}
		if e := s.partner(i); s.hearsGossip(e) && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	if len(chosen) < n {
		chosen = append(chosen, s.nearMembers(n-len(chosen), chosen)...)
	}
	return chosen
}

// nearMembers returns up to n random members of the own data centre that are alive, without those given.
func (s *system) nearMembers(n int, except []*entry) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(len(s.ring)) {
		if len(chosen) == n {
			break
		}
		e := s.ring[i]
		if e.ID != s.self && e.Status == Alive && e.DataCentre == s.me().DataCentre && !slices.Contains(except, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// isHeld reports whether a member is a suspect that is kept because of a partition.
func (s *system) isHeld(e *entry) bool {
	waiting := s.suspicions[e.ID]
	return waiting != nil && !waiting.held.IsZero()
}

// hearsGossip includes a new suspect, so that it learns of the suspicion even if the first message about it was lost.
func (s *system) hearsGossip(e *entry) bool {
	if e.Status == Alive {
		return true
	}
	return s.suspicions[e.ID] != nil && !s.isHeld(e)
}
