package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// probe is a pending probe without an ack so far.
type probe struct {
	target         string
	incarnation    uint64
	counter        uint64
	directDeadline time.Time // of the direct probe
	deadline       time.Time // of the indirect probes
	indirectSent   bool      // or no indirect probes are needed
}

// plannedProbe is the probe scheduled for the current round.
type plannedProbe struct {
	round  int64
	target string // empty after sending
	due    time.Time
}

// rebuildRing sorts the alive and suspect members by the hash of their id, which gives all members the same pseudo-random order.
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
	s.position = slices.Index(s.ring, s.selfEntry())
	s.localRing = s.localRing[:0]
	for _, e := range s.ring {
		if e.DataCentre == s.selfEntry().DataCentre {
			s.localRing = append(s.localRing, e)
		}
	}
	s.localPosition = slices.Index(s.localRing, s.selfEntry())
}

// ringOffsets returns the number of ring distances 1, 2, 4, ... at which a member probes others.
func (s *system) ringOffsets() int { return offsetCount(s.ring) }

func offsetCount(ring []*entry) int {
	n := 0
	for distance := 1; distance < len(ring); distance *= 2 {
		n++
	}
	return n
}

// peerAt returns the member at a ring distance of 1 << index.
func (s *system) peerAt(index int) *entry {
	return s.ring[(s.position+1<<index)%len(s.ring)]
}

// appendProbe appends at most one probe per round to out. In each round all members use the same ring distance, and the target
// determines the time within the round, so every member is probed once per interval, each time by a different member. With
// independent random choices 1 member in 7 would not be probed for 2 s. If clocks or tables differ, the choice is effectively
// random. The small number of distances limits the connections per member to log2 of the fleet size.
func (s *system) appendProbe(now time.Time, out []message) []message {
	out = s.appendPlannedProbe(now, out) // a probe due at the end of a round may be sent in the next one
	offsets := s.ringOffsets()
	if offsets == 0 || s.position < 0 {
		return out
	}
	interval := int64(s.timing.ProbeInterval)
	round := now.UnixNano() / interval
	if round == s.planned.round {
		return out
	}
	target := s.peerAt(int(round % int64(offsets)))
	phase := int64(target.hash % uint64(interval))
	s.planned = plannedProbe{round: round, target: target.ID, due: time.Unix(0, round*interval+phase)}
	return s.appendPlannedProbe(now, out)
}

// appendPlannedProbe appends the planned probe to out once it is due.
func (s *system) appendPlannedProbe(now time.Time, out []message) []message {
	if s.planned.target == "" || now.Before(s.planned.due) {
		return out
	}
	target := s.table.entries[s.planned.target]
	s.planned.target = ""
	if target == nil || target.Status.ended() {
		return out
	}
	out = s.startProbe(now, target, out)
	if !s.isBehindPartition(target) {
		return out
	}
	// All ring neighbours of a member may be behind a partition. Without an additional local probe its table would never be
	// compared with those of the other reachable members.
	for _, local := range s.localMembers(1, nil) {
		out = s.startProbe(now, local, out)
	}
	return out
}

func (s *system) startProbe(now time.Time, target *entry, out []message) []message {
	s.lastProbeNumber++
	s.probes[s.lastProbeNumber] = &probe{
		target: target.ID, incarnation: target.Incarnation, counter: target.Counter,
		directDeadline: now.Add(s.probeTimeout()), deadline: now.Add(2 * s.probeTimeout()),
		indirectSent: target.Status != Alive, // a suspect has already been probed indirectly
	}
	m := s.probeMessage(now, target)
	m.probe = s.lastProbeNumber
	return append(out, m)
}

// probeMessage builds a probe. If the target is under suspicion, its own entry is the first delta.
func (s *system) probeMessage(now time.Time, target *entry) message {
	return s.messageTo(now, target, s.probeDeltaBytes(target))
}

// messageTo builds a probe or gossip message with deltas up to the given size.
func (s *system) messageTo(now time.Time, target *entry, maxDeltaBytes int) message {
	p := s.packet(now, target, nil, maxDeltaBytes)
	p.To = target.ID
	return message{
		method: methodProbe, to: target.ID, address: target.ControlAddress, packet: p, timeout: 2 * s.probeTimeout(),
	}
}

// remoteProbeDeltaBytes is the size limit of the deltas in probes of other data centres. Most probes cross between data centres, and while
// many members change, as in a restart of the whole fleet, gossip takes the changes across.
const remoteProbeDeltaBytes = 300

// probeDeltaBytes returns the size limit of the deltas in a probe of a peer.
func (s *system) probeDeltaBytes(peer *entry) int {
	if peer != nil && peer.DataCentre != s.selfEntry().DataCentre {
		return min(remoteProbeDeltaBytes, s.timing.MaxDeltaBytes)
	}
	return s.timing.MaxDeltaBytes
}

// replyDeltaBytes returns the size limit of the deltas in the reply to a peer: gossip between data centres goes both ways.
func (s *system) replyDeltaBytes(peer *entry, received []update) int {
	size := 0
	for _, u := range received {
		size += u.size()
	}
	return max(size, s.probeDeltaBytes(peer))
}

// packet builds a packet for a peer, which may be nil, with deltas up to the given size. Changes that the peer has just sent are not sent
// back.
func (s *system) packet(now time.Time, peer *entry, received []update, maxDeltaBytes int) packet {
	heartbeat := s.heartbeat()
	p := packet{
		From: s.self, Incarnation: s.selfEntry().Incarnation, Digest: s.table.digest(), Version: heartbeat.Version, State: heartbeat.Digest,
	}
	if peer != nil && peer.Status != Alive {
		p.Deltas = append(p.Deltas, peer.delta(now))
	}
	p.Deltas = s.takeDeltas(now, p.Deltas, received, maxDeltaBytes)
	return p
}

// expireProbes appends indirect probes to out where the direct probe timed out, and suspects the targets whose indirect probes
// failed too.
func (s *system) expireProbes(now time.Time, out []message) []message {
	for _, number := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[number]
		if !p.indirectSent && !now.Before(p.directDeadline) {
			p.indirectSent = true
			out = s.appendIndirectProbes(now, number, p, out)
		}
		if !now.Before(p.deadline) {
			delete(s.probes, number)
			out = s.suspect(now, p, out)
		}
	}
	return out
}

func (s *system) appendIndirectProbes(now time.Time, number uint64, p *probe, out []message) []message {
	for _, helper := range s.randomMembers(s.timing.IndirectProbes, p.target) {
		request := s.packet(now, helper, nil, s.probeDeltaBytes(helper))
		request.To = p.target
		out = append(out, message{
			method: methodIndirect, to: helper.ID, address: helper.ControlAddress, probe: number, packet: request,
			timeout: s.probeTimeout(),
		})
	}
	return out
}

// suspect handles a failed probe. It notifies the target immediately so that the target can refute.
func (s *system) suspect(now time.Time, p *probe, out []message) []message {
	s.hooks.count("membership_probe_failed")
	if target := s.table.entries[p.target]; target != nil && target.Status == Alive {
		s.degradeHealth()
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
	s.explainEvent(now, explain.Suspected, m.ID, "no response to a direct probe and "+strconv.Itoa(s.timing.IndirectProbes)+" indirect probes")
	return append(out, s.probeMessage(now, target))
}

// randomMembers returns up to n distinct random alive members, excluding self and the given id.
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

// probeEnded probes one dead member per interval, since a partition that cuts off a few members looks like their death. A member
// that is still alive responds with a higher counter. Members that left are probed too within Timing.RejoinWindow: a restarted
// process that cannot read the contacts knows no other member and must be found this way.
func (s *system) probeEnded(now time.Time, out []message) []message {
	if now.Before(s.nextEndedProbe) || s.table.ended == 0 {
		return out
	}
	interval := s.timing.ReconnectInterval
	var dead []*entry
	for _, id := range slices.Sorted(maps.Keys(s.table.entries)) {
		e := s.table.entries[id]
		recent := e.Status.ended() && now.Sub(e.endedAt) < s.timing.RejoinWindow
		if recent {
			interval = s.timing.RejoinProbeInterval
		}
		if (e.Status == Dead || recent) && e.ControlAddress != "" {
			dead = append(dead, e)
		}
	}
	s.nextEndedProbe = now.Add(jitter(s.random, interval))
	if len(dead) == 0 {
		return out
	}
	return append(out, s.probeMessage(now, dead[s.random.IntN(len(dead))]))
}

// handleProbe applies a probe or gossip message and returns the reply. It returns false if the message addresses another member or
// this one is superseded.
func (s *system) handleProbe(now time.Time, p packet) (packet, bool) {
	if p.To != s.self || s.superseded {
		return packet{}, false
	}
	result := s.apply(now, p.Deltas)
	s.recordContact(now, p.From)
	sender := s.table.entries[p.From]
	reply := s.packet(now, s.senderToCorrect(sender, p.Incarnation), p.Deltas, s.replyDeltaBytes(sender, p.Deltas))
	reply.Deltas = s.corrections(now, result.outdated, reply.Deltas)
	reply.DeltasKnown = len(p.Deltas) > 0 && result.changed == 0
	reply.SenderUnknown = sender == nil || sender.ControlAddress == ""
	return reply, true
}

// corrections appends the entries that are stale at the peer, within the size limit of a message. A member that missed a
// refutation forwards the suspicion and thus receives the refutation before it declares a death.
func (s *system) corrections(now time.Time, outdated []string, deltas []update) []update {
	remainingBytes := s.timing.MaxDeltaBytes
	for _, u := range deltas {
		remainingBytes -= u.size()
	}
	for _, id := range outdated {
		u := s.table.entries[id].delta(now)
		remainingBytes -= u.size()
		if remainingBytes < 0 {
			break
		}
		deltas = append(deltas, u)
	}
	return deltas
}

// handleIndirect handles a request for an indirect probe. It returns the probe to send, or false if the target is unknown here or
// has ended.
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

// indirectReply builds the ack that reports to the prober whether the target responded.
func (s *system) indirectReply(now time.Time, answered bool) packet {
	reply := s.packet(now, nil, nil, s.timing.MaxDeltaBytes)
	reply.Failed = !answered
	return reply
}

// senderToCorrect returns the entry of the sender, for a reply that corrects it if it is suspect, dead, or replaced by a higher
// incarnation. It returns nil if the sender is unknown.
func (s *system) senderToCorrect(sender *entry, incarnation uint64) *entry {
	if sender == nil {
		return nil
	}
	if sender.Incarnation > incarnation {
		replaced := *sender
		replaced.Status = Suspect // makes the reply carry a status update, which is enough for a superseded process
		return &replaced
	}
	return sender
}

// handleAck processes the ack of a probe or gossip message.
func (s *system) handleAck(now time.Time, m message, p packet) {
	if s.superseded {
		return
	}
	s.apply(now, p.Deltas)
	s.recordContact(now, p.From)
	if p.Failed {
		return
	}
	if _, pending := s.probes[m.probe]; pending {
		delete(s.probes, m.probe)
		s.improveHealth()
	}
	if p.DeltasKnown {
		s.discountKnownDeltas(m.packet.Deltas)
	}
	if p.SenderUnknown {
		s.enqueue(s.self)
	}
	s.compareDigest(now, p.Digest)
}

func jitter[D ~int64](random interface{ Int64N(int64) int64 }, d D) D {
	return d/2 + D(random.Int64N(int64(d)+1))
}
