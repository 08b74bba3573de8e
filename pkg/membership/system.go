package membership

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// system decides which messages to send. It does no I/O and reads no clock: its output depends only on its state, the given time and
// the random source. It is not safe for concurrent use.
type system struct {
	timing    Timing
	table     *Table
	random    *rand.Rand
	self      string
	heartbeat func() Heartbeat
	hooks     systemHooks

	ring        []*entry // alive and suspect members in hash order, self included
	ringChanges uint64   // table.changes when the ring was built
	position    int      // of self in ring

	localRing     []*entry // the members of ring in the local data centre
	localPosition int      // of self in localRing

	startedAt          time.Time // first tick
	lastTick           time.Time
	planned            plannedProbe
	probes             map[uint64]*probe
	lastProbeNumber    uint64
	suspicions         map[string]*suspicion
	nextSuspicionCheck time.Time                   // earliest time at which a suspicion needs a check
	lastContact        map[string]time.Time        // latest message by data centre
	contactResumed     map[string]time.Time        // latest message after a silence, by data centre
	refuted            [partitionMinimum]time.Time // latest refutations of suspicions, the newest first
	contactChecks      map[string]time.Time        // latest contact check by data centre
	queue              map[string]*broadcast
	nextGossip         time.Time
	gossipRound        int
	nextEndedProbe     time.Time // next probe of a dead or left member
	nextPartitionProbe time.Time // next probe by probePartitioned
	nextRemoval        time.Time

	mismatchSince time.Time // first digest mismatch of the current period; zero if none
	lastMismatch  time.Time // latest digest mismatch
	nextSync      time.Time
	joinLimiter   joinLimiter

	healthScore int // 0 is healthy; see health.go
	leaving     bool
	superseded  bool
	exclusive   bool // no other process can run under this id at the same time
}

// systemHooks receive the outputs of the system other than messages. They must not block.
type systemHooks struct {
	explain    func(explain.Event)
	count      func(name string, labels ...string)
	superseded func(incarnation uint64)
}

func newSystem(timing Timing, self Member, heartbeat func() Heartbeat, random *rand.Rand, hooks systemHooks) *system {
	s := &system{
		timing: timing, table: NewTable(timing.Retention), random: random, self: self.ID, heartbeat: heartbeat, hooks: hooks,
		probes: make(map[uint64]*probe), suspicions: make(map[string]*suspicion), lastContact: make(map[string]time.Time), contactResumed: make(map[string]time.Time),
		contactChecks: make(map[string]time.Time), queue: make(map[string]*broadcast),
	}
	self.Status = Alive
	s.table.merge(time.Time{}, self, 0)
	s.enqueue(self.ID)
	return s
}

func (s *system) selfEntry() *entry {
	return s.table.entries[s.self]
}

// tick advances the system to now and returns the messages to send.
func (s *system) tick(now time.Time) []message {
	if s.superseded || s.leaving {
		return nil
	}
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.compensatePause(now)
	s.removeExpiredMembers(now)
	s.rebuildRing()
	var out []message
	out = s.expireProbes(now, out)
	out = s.expireSuspicions(now, out)
	s.rebuildRing()
	out = s.appendProbe(now, out)
	out = s.probePartitioned(now, out)
	out = s.probeEnded(now, out)
	out = s.gossip(now, out)
	return out
}

func (s *system) removeExpiredMembers(now time.Time) {
	if now.Before(s.nextRemoval) {
		return
	}
	s.nextRemoval = now.Add(s.timing.ProbeInterval)
	for _, id := range s.table.removeExpired(now) {
		delete(s.queue, id)
	}
}

// compensatePause drops the pending probes and extends the suspicions after a pause of this process, during which it could not
// receive responses.
func (s *system) compensatePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	late := max(lateTickThreshold, 4*s.timing.Tick)
	if !s.lastTick.IsZero() && gap > late {
		s.degradeHealth()
	}
	paused := !s.lastTick.IsZero() && gap > max(s.timing.ProbeInterval, late)
	s.lastTick = now
	if !paused {
		return
	}
	s.hooks.count("membership_paused")
	clear(s.probes)
	for _, suspicion := range s.suspicions {
		suspicion.deadline = suspicion.deadline.Add(gap)
	}
}

// setEndpoint announces a change of the local endpoint and reports whether there was one.
func (s *system) setEndpoint(now time.Time, e Endpoint) bool {
	current := s.selfEntry().Endpoint
	if current != nil && current.sameAnnouncement(e) {
		return false
	}
	e.Sequence = 1
	if current != nil {
		e.Sequence = current.Sequence + 1
	}
	m := s.selfEntry().Member
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
	m := s.selfEntry().Member
	m.Counter++
	m.Status = Left
	s.table.merge(now, m, 0)
	s.leaving = true
	s.enqueue(s.self)
	s.rebuildRing()
	const leaveFanout = 8 // larger than Timing.GossipFanout: the leaving member sends only once
	return s.appendGossip(now, s.randomMembers(leaveFanout, ""), nil)
}

// applyResult is the outcome of merging the updates of a peer.
type applyResult struct {
	outdated []string // ids of the members whose status is stale at the peer
	changed  int      // number of updates that changed the table
}

// apply merges the updates of a peer.
func (s *system) apply(now time.Time, updates []update) applyResult {
	var result applyResult
	for _, u := range updates {
		if !u.valid() {
			s.hooks.count("membership_invalid_update")
			continue
		}
		m := u.member()
		if s.applyOne(now, m, time.Duration(u.AgeMS)*time.Millisecond) {
			result.changed++
		}
		if e := s.table.entries[m.ID]; e != nil && e.overrides(m) {
			result.outdated = append(result.outdated, m.ID)
		}
	}
	return result
}

// applyOne merges one update and reports whether it changed the table.
func (s *system) applyOne(now time.Time, m Member, age time.Duration) bool {
	if m.ID == s.self {
		before := s.table.changes
		s.applySelfUpdate(now, m)
		return s.table.changes != before
	}
	c := s.table.merge(now, m, age)
	if !c.changed() {
		return false
	}
	s.enqueue(m.ID)
	if c.status {
		s.statusChanged(now, s.table.entries[m.ID], c)
	}
	return true
}

// applySelfUpdate handles an update about this member. It refutes suspicion and death, and supersedes this process if a later
// incarnation of the id exists.
func (s *system) applySelfUpdate(now time.Time, m Member) {
	me := s.selfEntry()
	if m.Incarnation > me.Incarnation {
		if s.exclusive && !s.leaving {
			s.raiseIncarnation(now, m.Incarnation)
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
	s.degradeHealth()
	s.table.merge(now, raised, 0)
	s.enqueue(s.self)
	s.hooks.count("membership_refuted")
	s.explainEvent(now, explain.Refuted, s.self, "other members reported this member as "+string(m.Status)+"; it raised its counter")
}

// raiseIncarnation raises the incarnation of this member above the given one, which must belong to an earlier process: the clock was
// set back between the two starts.
func (s *system) raiseIncarnation(now time.Time, incarnation uint64) {
	raised := s.selfEntry().Member
	raised.Incarnation = incarnation + 1
	s.table.merge(now, raised, 0)
	s.enqueue(s.self)
	s.hooks.count("membership_outranked_predecessor")
	s.explainEvent(now, explain.Refuted, s.self, "an earlier process had a higher incarnation; this process raised its own above it")
}

func (s *system) supersede(incarnation uint64) {
	if s.superseded {
		return
	}
	s.superseded = true
	s.hooks.count("membership_superseded")
	s.hooks.superseded(incarnation)
}

// statusChanged handles a merge that changed the status of another member.
func (s *system) statusChanged(now time.Time, e *entry, c change) {
	if e.Status == Suspect {
		s.beginSuspicion(now, e)
		return
	}
	delete(s.suspicions, e.ID)
	switch {
	case e.Status == Dead && c.previous != Dead:
		s.hooks.count("membership_dead")
		s.explainEvent(now, explain.DeclaredDead, e.ID, "another member declared it dead")
	case e.Status == Alive && c.previous == Suspect:
		s.recordRefutation(now)
		s.explainEvent(now, explain.Refuted, e.ID, "the member refuted the suspicion with a higher counter or incarnation")
	}
}

func (s *system) explainEvent(now time.Time, kind explain.Kind, subject, cause string) {
	s.hooks.explain(explain.Event{Time: now, Kind: kind, Subject: subject, Cause: cause})
}

// size returns the number of alive and suspect members, self included.
func (s *system) size() int {
	return max(len(s.ring), 1)
}
