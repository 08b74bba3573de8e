package membership

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// system decides which messages to send. It does no I/O and reads no clock: everything depends on its state, the given
// time and the random source. It is not safe for concurrent use.
type system struct {
	timing Timing
	table  *Table
	random *rand.Rand
	self   string
	beat   func() Heartbeat
	notice notices

	ring        []*entry // members to probe, self included, in hash order
	ringChanges uint64   // table.changes when the ring was built
	position    int      // of self in the ring

	nearRing     []*entry // the part of the ring in the own data centre
	nearPosition int      // of self in it

	begun         time.Time // first tick
	lastTick      time.Time
	slot          probeSlot
	probes        map[uint64]*probe
	nextProbe     uint64
	suspicions    map[string]*suspicion
	nextExpiry    time.Time            // no suspicion ends before
	heard         map[string]time.Time // latest message from each data centre
	contactChecks map[string]time.Time // latest check of the contact to each data centre
	queue         map[string]*broadcast
	nextGossip    time.Time
	gossipRound   int
	nextRetry     time.Time // next probe of a dead member
	nextHeld      time.Time // next probe of a member behind a partition
	nextForget    time.Time

	mismatchSince time.Time // since when peers have differed, with short breaks
	mismatchAt    time.Time // when a peer differed last
	nextSync      time.Time
	joins         joinBudget

	strain     int // how much this member seems to be slow itself; see strain.go
	leaving    bool
	superseded bool
	exclusive  bool // no other process can run under this id at the same time
}

// notices are the outputs of the system other than messages. All of them must return without blocking.
type notices struct {
	explain    func(explain.Event)
	count      func(name string, labels ...string)
	superseded func(incarnation uint64)
}

func newSystem(timing Timing, self Member, beat func() Heartbeat, random *rand.Rand, n notices) *system {
	s := &system{
		timing: timing, table: NewTable(timing.Retention), random: random, self: self.ID, beat: beat, notice: n,
		probes: make(map[uint64]*probe), suspicions: make(map[string]*suspicion), heard: make(map[string]time.Time), contactChecks: make(map[string]time.Time), queue: make(map[string]*broadcast),
	}
	self.Status = Alive
	s.table.merge(time.Time{}, self, 0)
	s.enqueue(self.ID)
	return s
}

func (s *system) me() *entry {
	return s.table.entries[s.self]
}

// tick advances the system to now and returns the messages to send.
func (s *system) tick(now time.Time) []message {
	if s.superseded || s.leaving {
		return nil
	}
	if s.begun.IsZero() {
		s.begun = now
	}
	s.forgivePause(now)
	s.forget(now)
	s.rebuildRing()
	var out []message
	out = s.expireProbes(now, out)
	out = s.expireSuspicions(now, out)
	s.rebuildRing()
	out = s.sendProbe(now, out)
	out = s.probePartitioned(now, out)
	out = s.retryDead(now, out)
	out = s.gossip(now, out)
	return out
}

func (s *system) forget(now time.Time) {
	if now.Before(s.nextForget) {
		return
	}
	s.nextForget = now.Add(s.timing.ProbeInterval)
	for _, id := range s.table.forgetEnded(now) {
		delete(s.queue, id)
	}
}

// forgivePause drops the pending probes and prolongs suspicions when this process itself was stopped: the silence says
// nothing about the others.
func (s *system) forgivePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	late := max(lateTick, 4*s.timing.Tick)
	if !s.lastTick.IsZero() && gap > late {
		s.worsen()
	}
	paused := !s.lastTick.IsZero() && gap > max(s.timing.ProbeInterval, late)
	s.lastTick = now
	if !paused {
		return
	}
	s.notice.count("membership_paused")
	clear(s.probes)
	for _, suspicion := range s.suspicions {
		suspicion.deadline = suspicion.deadline.Add(gap)
	}
}

// setEndpoint announces a change of the local endpoint.
func (s *system) setEndpoint(now time.Time, e Endpoint) bool {
	current := s.me().Endpoint
	if current != nil && current.sameAnnouncement(e) {
		return false
	}
	e.Sequence = 1
	if current != nil {
		e.Sequence = current.Sequence + 1
	}
	m := s.me().Member
	m.Endpoint = &e
	s.table.merge(now, m, 0)
	s.enqueue(s.self)
	s.nextGossip = now
	return true
}

// leave marks this member as left and returns the messages that announce it.
func (s *system) leave(now time.Time) []message {
	if s.leaving || s.superseded {
		return nil
	}
	m := s.me().Member
	m.Counter++
	m.Status = Left
	s.table.merge(now, m, 0)
	s.leaving = true
	s.enqueue(s.self)
	s.rebuildRing()
	const leaveFanout = 8 // more than a gossip round: the leaving member sends only once
	return s.sendDeltas(now, s.randomMembers(leaveFanout, ""), nil)
}

// applied tells what a peer's updates were worth.
type applied struct {
	outdated []string // members about which the peer is out of date
	news     int      // updates that changed something here
}

// apply merges the updates of another member.
func (s *system) apply(now time.Time, updates []update) applied {
	var result applied
	for _, u := range updates {
		if !u.valid() {
			s.notice.count("membership_invalid_update")
			continue
		}
		m := u.member()
		if s.applyOne(now, m, time.Duration(u.AgeMS)*time.Millisecond) {
			result.news++
		}
		if e := s.table.entries[m.ID]; e != nil && e.overrides(m) {
			result.outdated = append(result.outdated, m.ID)
		}
	}
	return result
}

// applyOne reports whether the update changed the table.
func (s *system) applyOne(now time.Time, m Member, age time.Duration) bool {
	if m.ID == s.self {
		before := s.table.changes
		s.applyAboutSelf(now, m)
		return s.table.changes != before
	}
	c := s.table.merge(now, m, age)
	if !c.any() {
		return false
	}
	s.enqueue(m.ID)
	if c.status {
		s.statusChanged(now, s.table.entries[m.ID], c)
	}
	return true
}

// applyAboutSelf refutes what others say about this member, or ends its part when the slot has a successor.
func (s *system) applyAboutSelf(now time.Time, m Member) {
	me := s.me()
	if m.Incarnation > me.Incarnation {
		if s.exclusive && !s.leaving {
			s.outrank(now, m.Incarnation)
			return
		}
		s.supersede(m.Incarnation)
		return
	}
	refutable := m.Incarnation == me.Incarnation && m.Status != Alive && m.Counter >= me.Counter
	if !refutable || s.leaving {
		return
	}
	raised := me.Member
	raised.Counter = m.Counter + 1
	s.worsen()
	s.table.merge(now, raised, 0)
	s.enqueue(s.self)
	s.notice.count("membership_refuted")
	s.explainEvent(now, explain.Refuted, s.self, "this member was "+string(m.Status)+" to others and raised its counter")
}

// outrank raises the incarnation of this member above one that only a process before it can have had: the clock was set back between
// the two starts.
func (s *system) outrank(now time.Time, incarnation uint64) {
	raised := s.me().Member
	raised.Incarnation = incarnation + 1
	s.table.merge(now, raised, 0)
	s.enqueue(s.self)
	s.notice.count("membership_outranked_predecessor")
	s.explainEvent(now, explain.Refuted, s.self, "an earlier process had a higher incarnation; this one took the next")
}

func (s *system) supersede(incarnation uint64) {
	if s.superseded {
		return
	}
	s.superseded = true
	s.notice.count("membership_superseded")
	s.notice.superseded(incarnation)
}

// statusChanged follows a merge that changed the status of another member.
func (s *system) statusChanged(now time.Time, e *entry, c change) {
	if e.Status == Suspect {
		s.beginSuspicion(now, e)
		return
	}
	delete(s.suspicions, e.ID)
	switch {
	case e.Status == Dead && c.previous != Dead:
		s.notice.count("membership_dead")
		s.explainEvent(now, explain.Died, e.ID, "another member declared it dead")
	case e.Status == Alive && c.previous == Suspect:
		s.explainEvent(now, explain.Refuted, e.ID, "the member answered or raised its counter")
	}
}

func (s *system) explainEvent(now time.Time, kind explain.Kind, subject, cause string) {
	s.notice.explain(explain.Event{Time: now, Kind: kind, Subject: subject, Cause: cause})
}

// size is the number of members that take part, self included.
func (s *system) size() int {
	return max(len(s.ring), 1)
}
