package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// probe is a probe that waits for its ack.
type probe struct {
	target      string
	incarnation uint64
	counter     uint64
	direct      time.Time // when the direct probe times out
	deadline    time.Time // when the indirect probes time out
	indirect    bool      // the indirect probes were sent
}

// probeSlot is the probe planned for the current round.
type probeSlot struct {
	round  int64
	target string // empty when sent
	due    time.Time
}

// rebuildRing sorts the members that take part by the hash of their id, which is one shuffled order for all.
func (s *system) rebuildRing() {
	if s.ringChanges == s.table.changes {
		return
	}
	s.ringChanges = s.table.changes
	s.ring = s.ring[:0]
	for _, e := range s.table.entries {
		if !e.Status.ended() && e.ControlAddress != "" {
			s.ring = append(s.ring, e)
		}
	}
	slices.SortFunc(s.ring, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	s.position = slices.Index(s.ring, s.me())
	s.nearRing = s.nearRing[:0]
	for _, e := range s.ring {
		if e.DataCentre == s.me().DataCentre {
			s.nearRing = append(s.nearRing, e)
		}
	}
	s.nearPosition = slices.Index(s.nearRing, s.me())
}

// offsets is the number of ring distances 1, 2, 4, ... at which a member has its probe targets.
func (s *system) offsets() int { return offsetsIn(s.ring) }

func offsetsIn(ring []*entry) int {
	n := 0
	for distance := 1; distance < len(ring); distance *= 2 {
		n++
	}
	return n
}

// partner returns the member at a ring distance of 1 << index.
func (s *system) partner(index int) *entry {
	return s.ring[(s.position+1<<index)%len(s.ring)]
}

// sendProbe sends at most one probe per round. In a round all members use the same ring distance, and the time within
// the round is that of the target, so that a member is probed once per interval by a member that changes each round.
// Independent random choices would leave 1 member in 7 without a probe for 2 s. Where clocks or tables differ the
// choice is merely random. The few distances keep the number of connections at log2 of the fleet size.
func (s *system) sendProbe(now time.Time, out []message) []message {
	out = s.sendPlanned(now, out) // a target due at the end of its round is probed after it
	offsets := s.offsets()
	if offsets == 0 || s.position < 0 {
		return out
	}
	interval := int64(s.timing.ProbeInterval)
	round := now.UnixNano() / interval
	if round == s.slot.round {
		return out
	}
	target := s.partner(int(round % int64(offsets)))
	phase := int64(target.hash % uint64(interval))
	s.slot = probeSlot{round: round, target: target.ID, due: time.Unix(0, round*interval+phase)}
	return s.sendPlanned(now, out)
}

func (s *system) sendPlanned(now time.Time, out []message) []message {
	if s.slot.target == "" || now.Before(s.slot.due) {
		return out
	}
	target := s.table.entries[s.slot.target]
	s.slot.target = ""
	if target == nil || target.Status.ended() {
		return out
	}
	out = s.startProbe(now, target, out)
	if !s.isHeld(target) {
		return out
	}
	// All ring neighbours of a member may be behind a partition. Without another probe its table and those of its side
	// would never be compared.
	for _, near := range s.nearMembers(1, nil) {
		out = s.startProbe(now, near, out)
	}
	return out
}

func (s *system) startProbe(now time.Time, target *entry, out []message) []message {
	s.nextProbe++
	s.probes[s.nextProbe] = &probe{
		target: target.ID, incarnation: target.Incarnation, counter: target.Counter,
		direct: now.Add(s.probeTimeout()), deadline: now.Add(2 * s.probeTimeout()),
		indirect: target.Status != Alive, // a suspect was probed indirectly before
	}
	m := s.probeMessage(now, target)
	m.probe = s.nextProbe
	return append(out, m)
}

// probeMessage builds a probe or gossip message. A target under suspicion learns of it first.
func (s *system) probeMessage(now time.Time, target *entry) message {
	p := s.packet(now, target, nil)
	p.To = target.ID
	return message{
		method: methodProbe, to: target.ID, address: target.ControlAddress, packet: p, timeout: 2 * s.probeTimeout(),
	}
}

// packet builds a packet for a peer, which may be nil. Changes that the peer itself has just sent are not sent back.
func (s *system) packet(now time.Time, peer *entry, received []update) packet {
	beat := s.beat()
	p := packet{
		From: s.self, Incarnation: s.me().Incarnation, Digest: s.table.digest(), Version: beat.Version, State: beat.Digest,
	}
	if peer != nil && peer.Status != Alive {
		p.Deltas = append(p.Deltas, peer.delta(now))
	}
	p.Deltas = s.takeDeltas(now, p.Deltas, received)
	return p
}

// expireProbes sends the indirect probes of those that timed out and suspects the targets of those that failed.
func (s *system) expireProbes(now time.Time, out []message) []message {
	for _, number := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[number]
		if !p.indirect && !now.Before(p.direct) {
			p.indirect = true
			out = s.sendIndirect(now, number, p, out)
		}
		if !now.Before(p.deadline) {
			delete(s.probes, number)
			out = s.suspect(now, p, out)
		}
	}
	return out
}

func (s *system) sendIndirect(now time.Time, number uint64, p *probe, out []message) []message {
	for _, helper := range s.randomMembers(s.timing.IndirectProbes, p.target) {
		request := s.packet(now, helper, nil)
		request.To = p.target
		out = append(out, message{
			method: methodIndirect, to: helper.ID, address: helper.ControlAddress, probe: number, packet: request,
			timeout: s.probeTimeout(),
		})
	}
	return out
}

// suspect follows a failed probe. The target is told at once, so that it can refute.
func (s *system) suspect(now time.Time, p *probe, out []message) []message {
	s.notice.count("membership_probe_failed")
	if target := s.table.entries[p.target]; target != nil && target.Status == Alive {
		s.worsen()
	}
	target := s.table.entries[p.target]
	if target == nil || target.Status != Alive || target.Incarnation != p.incarnation || target.Counter != p.counter {
		return out
	}
	m := target.Member
	m.Status = Suspect
	s.table.merge(now, m, 0)
	s.enqueue(m.ID)
	s.nextGossip = now
	s.beginSuspicion(now, target)
	s.explainEvent(now, explain.Suspected, m.ID, "no answer to a probe and "+strconv.Itoa(s.timing.IndirectProbes)+" indirect probes")
	return append(out, s.probeMessage(now, target))
}

// randomMembers returns up to n different members that are alive, without self and the given id.
func (s *system) randomMembers(n int, except string) []*entry {
	var chosen []*entry
	for _, i := range s.random.Perm(len(s.ring)) {
		e := s.ring[i]
		if len(chosen) == n {
			break
		}
		if e.ID != s.self && e.ID != except && e.Status == Alive {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// retryDead probes one dead member at a time, since a partition of few members looks like their death. A member that
// is alive after all answers with a higher counter. So does the next process of a member that ended a moment ago: it may be back
// while the contacts cannot be read, and then knows nobody.
func (s *system) retryDead(now time.Time, out []message) []message {
	if now.Before(s.nextRetry) || s.table.ended == 0 {
		return out
	}
	interval := s.timing.ReconnectInterval
	var dead []*entry
	for _, id := range slices.Sorted(maps.Keys(s.table.entries)) {
		e := s.table.entries[id]
		recent := e.Status.ended() && now.Sub(e.ended) < s.timing.RejoinWindow
		if recent {
			interval = s.timing.RejoinProbeInterval
		}
		if (e.Status == Dead || recent) && e.ControlAddress != "" {
			dead = append(dead, e)
		}
	}
	s.nextRetry = now.Add(jitter(s.random, interval))
	if len(dead) == 0 {
		return out
	}
	return append(out, s.probeMessage(now, dead[s.random.IntN(len(dead))]))
}

// handleProbe answers a probe or gossip message. It returns false if the message is for another member.
func (s *system) handleProbe(now time.Time, p packet) (packet, bool) {
	if p.To != s.self || s.superseded {
		return packet{}, false
	}
	result := s.apply(now, p.Deltas)
	s.hear(now, p.From)
	sender := s.table.entries[p.From]
	reply := s.packet(now, s.contradicted(sender, p.Incarnation), p.Deltas)
	reply.Deltas = s.corrections(now, result.outdated, reply.Deltas)
	reply.DeltasKnown = len(p.Deltas) > 0 && result.news == 0
	reply.SenderUnknown = sender == nil || sender.ControlAddress == ""
	return reply, true
}

// corrections appends the entries that the peer has out of date, within the size limit of a message. A member that
// missed a refutation passes the suspicion on and so gets the refutation back before it declares a death.
func (s *system) corrections(now time.Time, outdated []string, deltas []update) []update {
	room := s.timing.MaxDeltaBytes
	for _, u := range deltas {
		room -= u.size()
	}
	for _, id := range outdated {
		u := s.table.entries[id].delta(now)
		room -= u.size()
		if room < 0 {
			break
		}
		deltas = append(deltas, u)
	}
	return deltas
}

// handleIndirect takes in a request for an indirect probe and returns the probe to send, or false if this member does not
// know the target.
func (s *system) handleIndirect(now time.Time, p packet) (message, bool) {
	if s.superseded {
		return message{}, false
	}
	s.apply(now, p.Deltas)
	target := s.table.entries[p.To]
	if target == nil || target.ControlAddress == "" || target.Status.ended() {
		return message{}, false
	}
	m := s.probeMessage(now, target)
	m.timeout = s.timing.ProbeTimeout
	return m, true
}

// indirectReply tells the prober whether the target answered.
func (s *system) indirectReply(now time.Time, answered bool) packet {
	reply := s.packet(now, nil, nil)
	reply.Failed = !answered
	return reply
}

// contradicted returns the entry of the sender if it must hear what is known about it: that it is suspect, dead, or
// replaced by a higher incarnation.
func (s *system) contradicted(sender *entry, incarnation uint64) *entry {
	if sender == nil {
		return nil
	}
	if sender.Incarnation > incarnation {
		replaced := *sender
		replaced.Status = Suspect // the short form is enough for a process that takes no more part
		return &replaced
	}
	return sender
}

// handleAck takes in the answer to a message.
func (s *system) handleAck(now time.Time, m message, p packet) {
	if s.superseded {
		return
	}
	s.apply(now, p.Deltas)
	s.hear(now, p.From)
	if p.Failed {
		return
	}
	if _, waiting := s.probes[m.probe]; waiting {
		delete(s.probes, m.probe)
		s.recover()
	}
	if p.DeltasKnown {
		s.wasKnown(m.packet.Deltas)
	}
	if p.SenderUnknown {
		s.enqueue(s.self)
	}
	s.compareDigest(now, p.Digest)
}

func jitter[D ~int64](random interface{ Int64N(int64) int64 }, d D) D {
	return d/2 + D(random.Int64N(int64(d)+1))
}
