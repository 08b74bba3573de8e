package membership

import (
	"cmp"
	"slices"
	"time"
)

// broadcast is a queued change about a member; sent counts its transmissions so far.
type broadcast struct {
	id   string
	sent int
}

func (s *system) enqueue(id string) {
	s.queue[id] = &broadcast{id: id}
}

// enqueueOnce queues a change for the given number of transmissions, unless it is already queued.
func (s *system) enqueueOnce(id string, transmissions int) {
	if _, queued := s.queue[id]; !queued {
		s.queue[id] = &broadcast{id: id, sent: s.timing.retransmitLimit(s.size()) - transmissions}
	}
}

// takeDeltas appends the least-transmitted changes, up to maxBytes, and counts them as sent. Changes about
// members in received are skipped: sending them back would spend transmissions on a peer that already has them.
func (s *system) takeDeltas(now time.Time, deltas, received []update, maxBytes int) []update {
	if len(s.queue) == 0 {
		return deltas
	}
	limit := s.timing.retransmitLimit(s.size())
	remainingBytes := maxBytes
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
		remainingBytes -= u.size()
		if remainingBytes < 0 {
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

// knownDeltaTransmissions is the number of extra transmissions counted when a peer already knew a change. With twice as many,
// members that missed a refutation under 10% loss declared false deaths.
const knownDeltaTransmissions = 2

// discountKnownDeltas counts extra transmissions for changes that a peer already knew, since most other members then know them too.
func (s *system) discountKnownDeltas(deltas []update) {
	limit := s.timing.retransmitLimit(s.size())
	for _, u := range deltas {
		b, e := s.queue[u.ID], s.table.entries[u.ID]
		if b == nil || e == nil || !sameChange(e, u) {
			continue
		}
		b.sent += knownDeltaTransmissions
		if b.sent >= limit {
			delete(s.queue, u.ID)
		}
	}
}

// restoreTransmissions uncounts the transmissions in a message that received no response. Otherwise, while many members are down, as
// after a restart of the whole fleet, a change could exhaust its transmissions on them and reach some members only by anti-entropy.
func (s *system) restoreTransmissions(deltas []update) {
	limit := s.timing.retransmitLimit(s.size())
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

// sameChange reports whether the update still matches the current state of the entry.
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

// gossip appends messages with the queued changes for a few peers to out, at most once per Timing.GossipInterval and only if the
// queue is not empty.
func (s *system) gossip(now time.Time, out []message) []message {
	if len(s.queue) == 0 || now.Before(s.nextGossip) {
		return out
	}
	s.nextGossip = now.Add(s.timing.GossipInterval)
	s.gossipRound++
	return s.appendGossip(now, s.gossipTargets(now), out)
}

const (
	// remoteGossipRounds is the interval, in gossip rounds, at which a member gossips to another data centre while it is its turn.
	remoteGossipRounds = 2
	// remoteGossipers is the number of members of a data centre whose turn it is. Each change reaches all members of a data centre, so the
	// traffic between data centres would grow with the square of the fleet size if all of them sent it across.
	remoteGossipers = 6
	// remoteTurn is how long the turn of a member lasts; the next members continue then, in case that these are not reachable.
	remoteTurn = 5 * time.Second
)

// isRemoteTurn reports whether this member gossips to other data centres in this round.
func (s *system) isRemoteTurn(now time.Time) bool {
	groups := max(1, len(s.localRing)/remoteGossipers)
	turn := int(now.UnixNano() / int64(remoteTurn) % int64(groups))
	return s.gossipRound%remoteGossipRounds == 0 && s.localPosition%groups == turn
}

// gossipTargets returns up to Timing.GossipFanout members of the local data centre and, if it is this member's turn, one remote member.
// If the local data centre is too small, random peers fill the list up to one less than the fan-out.
func (s *system) gossipTargets(now time.Time) []*entry {
	n := s.timing.GossipFanout
	remote := 0
	if s.isRemoteTurn(now) {
		remote = 1
	}
	targets := s.localPeers(n)
	own := s.selfEntry().DataCentre
	for _, e := range s.randomPeers(s.ringOffsets()) {
		if remote > 0 && e.DataCentre != own {
			targets = append(targets, e)
			remote--
		}
	}
	for _, e := range s.randomPeers(n) {
		if len(targets) < n-1 && !slices.Contains(targets, e) {
			targets = append(targets, e)
		}
	}
	return targets
}

// localPeers returns up to n distinct members at the distances 1, 2, 4, ... in the ring of the local data centre. The number of
// possible peers, and so of open connections, grows with the logarithm of the size of the data centre.
func (s *system) localPeers(n int) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(offsetCount(s.localRing)) {
		if len(chosen) == n {
			break
		}
		e := s.localRing[(s.localPosition+1<<i)%len(s.localRing)]
		if s.receivesGossip(e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// appendGossip appends a gossip message to out for each target until the queue of changes is empty.
func (s *system) appendGossip(now time.Time, targets []*entry, out []message) []message {
	for _, target := range targets {
		if len(s.queue) == 0 {
			break
		}
		out = append(out, s.messageTo(now, target, s.timing.MaxDeltaBytes))
	}
	return out
}

// randomPeers returns up to n distinct members at the ring distances used for probes, because connections to them are already open.
// If too few of these are reachable, as during a partition, random members of the local data centre are added.
func (s *system) randomPeers(n int) []*entry {
	if s.position < 0 {
		return nil
	}
	var chosen []*entry
	for _, i := range s.random.Perm(s.ringOffsets()) {
		if len(chosen) == n {
			break
		}
		if e := s.peerAt(i); s.receivesGossip(e) && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	if len(chosen) < n {
		chosen = append(chosen, s.localMembers(n-len(chosen), chosen)...)
	}
	return chosen
}

// localMembers returns up to n random alive members of the local data centre, excluding self and the given entries.
func (s *system) localMembers(n int, except []*entry) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(len(s.ring)) {
		if len(chosen) == n {
			break
		}
		e := s.ring[i]
		if e.ID != s.self && e.Status == Alive && e.DataCentre == s.selfEntry().DataCentre && !slices.Contains(except, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// isBehindPartition reports whether a member is a suspect that is not declared dead because a partition is assumed.
func (s *system) isBehindPartition(e *entry) bool {
	pending := s.suspicions[e.ID]
	return pending != nil && !pending.heldSince.IsZero()
}

// receivesGossip reports whether e is a gossip target: an alive member, or a new suspect, which thus learns of the suspicion even
// if the first message about it was lost.
func (s *system) receivesGossip(e *entry) bool {
	if e.Status == Alive {
		return true
	}
	return s.suspicions[e.ID] != nil && !s.isBehindPartition(e)
}
