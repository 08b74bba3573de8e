// Package admission decides which calls get the slots of one backend server, and when.
//
// All calls for the backend server pass through one Controller, so that its count of in-flight calls is exact. A call gets a slot
// immediately if one is free. It is queued if it is expected to start early enough to meet its target. Otherwise it is refused
// immediately, with the time after which a retry is expected to be accepted: a caller that learns of the refusal early can still
// succeed elsewhere or later, and a slot used by a call that ends late is not available to one that could be in time.
//
// Queue order: nested calls go first, because refusing them wastes the slot that their parent call holds; then by rank; within a rank by
// earliest target, which also puts retries of refused calls before new calls. A target that is later than usual for the rank counts as the
// usual one, so that calls with such targets do not starve. A less urgent rank keeps a minimum share relative to the
// more urgent ones, so that none starves, and is never served a larger share than they are.
package admission

import (
	"slices"
	"time"
)

// Call describes a call to the scheduler.
type Call struct {
	Class    string        // calls of one class have similar service times
	Rank     int           // 0 is the most urgent, apart from Nested
	Nested   bool          // a backend server makes the call while it serves another one
	Team     string        // of the caller; empty: none
	Target   time.Time     // a response up to then is in time
	Deadline time.Time     // a response after it is useless to the caller
	IsRetry  bool          // an earlier attempt of its caller was refused
	NoQueue  bool          // refuse it as Busy instead of queueing it if no slot is free
	MaxWait  time.Duration // in the queue, because other calls of its caller wait for its end; 0: not limited
	LastNode bool          // if this node refuses the call, no other node is asked
}

// Nested is the rank of nested calls whose parent's rank is not known.
const Nested = -1

// Reason says why a call was refused. A refused call has not run and will not run.
type Reason string

// Reasons for refusals.
const (
	Busy                Reason = "busy"     // no slot is free and the call must not queue
	Overloaded          Reason = "full"     // the queue is full, or the call would start too late to be in time
	DeadlineUnreachable Reason = "hopeless" // the call would end after its deadline
	Cancelled           Reason = "gone"     // the caller cancelled the call
	Closed              Reason = "closed"   // the controller is closed
	HoldsUpOthers       Reason = "holds_up" // the call would wait so long that more urgent ones behind it on its connection would be late
	RateLimited         Reason = "limited"  // the call would start too late to be in time because of the rate limit
)

// Delay says which rule put a call behind others. Without one, it waits only for the calls ahead of it.
type Delay string

// Delays of calls.
const (
	DelayRoom  Delay = "room"  // a slot was free, but kept for more urgent classes
	DelayShare Delay = "share" // its team has had more than its share
	DelayLate  Delay = "late"  // it waited beyond its target
)

// Refusal is the decision on a call that gets no slot.
type Refusal struct {
	Reason     Reason
	Delay      Delay         // empty: none
	RetryAfter time.Duration // time until a retry is expected to be accepted; 0: not within the deadline
}

// Result says what a finished call shows about the backend server.
type Result int

// Results of granted calls.
const (
	Answered     Result = iota // the slot time is a valid sample
	Shed                       // the backend server did not run the call, presumably for lack of capacity
	Inconclusive               // no response, or one that says nothing about capacity or slot time
	NotSent                    // the backend server did not receive the call
)

// Load describes the load of the backend server, for the endpoint choice of callers.
type Load struct {
	Running, Queued, Limit int
	SlotTime               time.Duration // mean time that a call holds a slot; 0: unknown
	ClassTime              time.Duration // the same for calls of one class; 0: unknown
	ClassSpread            time.Duration // mean deviation from ClassTime
	Slowness               float64       // time that work takes on the machine now, relative to its mean; the times above are given for 1
}

// Policy holds the parameters of the decisions.
type Policy struct {
	QueuedPerSlot     int           // bound of the queue, over all ranks
	ShedLimitDuration time.Duration // how long the limit stays below the level at which the backend server shed a call
	MinRankShare      float64       // least served share of a rank with queued calls, relative to that of more urgent ranks
	StarvedSlotShare  float64       // share of the slots, rounded up, that a starved rank gets before more urgent ones
	FirstAttemptSlack float64       // fraction of its slack that a first attempt may spend in the queue
	MarginDeviations  float64       // safety margin of a duration estimate, in mean deviations of the class
	MinRate           float64       // least rate limit, in calls a second
	RateBurst         time.Duration // calls that a rate limit allows in this time may be granted at once
	RoomGapShare      float64       // room is kept for a class if slots become free less often than once in this share of its slack
	RoomDeviations    float64       // slots kept beyond the expected number, in standard deviations of the number
	MaxRoomShare      float64       // most slots that are kept for more urgent classes, as a share of all
	LatePerSlot       int           // bound of the calls that wait beyond their target
	LateLoadWindow    time.Duration // averaging time of the load that goes before those calls
	NestedShare       float64       // share of the slots up to which nested calls go before all others; beyond it they have their parent's rank
	TeamAllowance     float64       // slot time of a team beyond its share, relative to the share, up to which its calls keep their place
}

// DefaultPolicy returns the parameters that the nodes use.
func DefaultPolicy() Policy {
	return Policy{
		QueuedPerSlot: 4, ShedLimitDuration: time.Second, MinRankShare: 0.4, StarvedSlotShare: 0.15, FirstAttemptSlack: 0.5, MarginDeviations: 0.5,
		MinRate: 0.5, RateBurst: 200 * time.Millisecond, RoomGapShare: 0.25, RoomDeviations: 1, MaxRoomShare: 1.0 / 3,
		LatePerSlot: 8, LateLoadWindow: 10 * time.Second, NestedShare: 0.75, TeamAllowance: 0.5,
	}
}

const (
	servedShareWindow = 3 * time.Second // averaging time of the served share of a rank
	initialSlotTime   = 50 * time.Millisecond
	targetWeight      = 0.05 // weight of a new call in the usual time to a target
	sampleWeight      = 0.1  // weight of a new sample in a moving average
	warmupWeight      = 0.3  // minimum weight of the first warmupSamples samples
	warmupSamples     = 5
	minRetryAfter     = 20 * time.Millisecond
	baselineWeight    = 0.005 // weight of a new report in the baseline slowness
)

// RetryAfterDivisor bounds Retry-After: callers honour it up to the time left until their deadline divided by RetryAfterDivisor.
const RetryAfterDivisor = 3

// slownessDecay is the time after which a reported slowness has no weight. The load of other processes on a machine changes many times
// a second.
const slownessDecay = 400 * time.Millisecond

// DecayedSlowness estimates the current slowness from a report of the given age. It falls linearly to 1 (mean speed of the machine) within
// slownessDecay.
func DecayedSlowness(reported float64, age time.Duration) float64 {
	weight := max(0, 1-age.Seconds()/slownessDecay.Seconds())
	return 1 + (reported-1)*weight
}

// Ticket is a call from its arrival to its end. Set Call and Decide, and pass it to Scheduler.Offer.
type Ticket struct {
	Call
	Decide   func(*Refusal) // called exactly once, from a method of the scheduler: nil grants a slot
	due      time.Time      // by which its place in the queue is determined; not after Target
	offered  time.Time
	granted  time.Time
	slowness float64       // at the time of the grant
	expected time.Duration // slot time, estimated at the grant
	state    ticketState
	delay    Delay
	demand   *classDemand
}

// ticketState says where a ticket is.
type ticketState int

const (
	undecided  ticketState = iota // offered now
	queued                        // in Scheduler.queue
	queuedLate                    // in Scheduler.late
	decided
)

// Scheduler implements the admission policy. It reads no clock: its state depends only on the calls and times passed to it. It is not safe
// for concurrent use.
type Scheduler struct {
	policy    Policy
	slots     int
	shedAt    int // in-flight calls when the backend server last shed one
	shedUntil time.Time

	running   int
	queue     []*Ticket // in service order
	late      lateQueue
	room      room
	teams     teamShares
	nested    nestedCalls
	ranks     map[int]*rankState
	slotTimes map[string]*movingAverage // slot time by class, normalised to the mean speed of the machine
	slotTime  movingAverage             // slot time of all calls, normalised likewise
	coldUntil time.Time                 // end of the cold start whose slot times the averages contain; zero: none
	closed    bool
	pace      pacer

	reportedSlowness float64 // latest reported slowness, relative to the baseline
	reportedAt       time.Time
	baselineSlowness float64 // mean of the reported slowness, which differs between machines
	reports          int
}

// rankState holds the statistics of one rank.
type rankState struct {
	running      int
	servedShare  float64 // moving average over decisions: 1 for a grant, 0 for a refusal
	updatedAt    time.Time
	timeToTarget time.Duration // moving average over first attempts
}

// maxClasses bounds the memory for estimates. When a configuration has more classes, all estimates are dropped.
const maxClasses = 256

// NewScheduler returns a scheduler for a backend server with the given number of slots.
func NewScheduler(slots int, policy Policy) *Scheduler {
	return &Scheduler{policy: policy, slots: slots, ranks: make(map[int]*rankState), slotTimes: make(map[string]*movingAverage), late: newLateQueue(policy.LateLoadWindow)}
}

// limit returns how many calls may be in flight.
func (s *Scheduler) limit(now time.Time) int {
	if now.Before(s.shedUntil) {
		return max(1, min(s.slots, s.shedAt-1))
	}
	return max(1, s.slots)
}

// canGrant reports whether a slot is free and the rate limit allows a call.
func (s *Scheduler) canGrant(now time.Time) bool {
	return s.running < s.limit(now) && s.pace.allows(now)
}

// ObserveSlowness records a report of how long work takes at the backend server, relative to an average machine.
func (s *Scheduler) ObserveSlowness(now time.Time, slowness float64) {
	s.reports++
	s.baselineSlowness += (slowness - s.baselineSlowness) * max(baselineWeight, 1/float64(s.reports))
	s.reportedSlowness, s.reportedAt = slowness/s.baselineSlowness, now
}

// slowness estimates how long work takes now, relative to the mean of this machine.
func (s *Scheduler) slowness(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 1
	}
	return DecayedSlowness(s.reportedSlowness, now.Sub(s.reportedAt))
}

// Offer grants, queues or refuses a new call.
func (s *Scheduler) Offer(now time.Time, c *Ticket) {
	switch {
	case s.closed:
		s.refuse(now, c, Closed)
		return
	case !now.Before(c.Deadline):
		s.refuse(now, c, DeadlineUnreachable)
		return
	}
	s.rankNested(c)
	c.demand = s.room.demandOf(c)
	c.offered = now
	c.due = s.due(now, c)
	if !c.Nested && s.teams.isOver(now, c.Team, s.policy.TeamAllowance) {
		c.due = c.due.Add(c.demand.timeToTarget) // behind those of its class that wait now
		c.delay = DelayShare
	}
	if s.canGrantTo(now, c) && !s.hasGrantable(now) {
		s.room.arrived(now, c)
		s.late.addLoad(now, s.estimateDuration(now, c.Class))
		s.grant(now, c)
		return
	}
	if c.delay == "" && s.canGrant(now) && !s.canGrantTo(now, c) {
		c.delay = DelayRoom
	}
	if c.NoQueue {
		s.refuse(now, c, Busy)
		return
	}
	s.room.arrived(now, c)
	if reason := s.refusalReason(now, c, s.position(c)); reason != "" {
		s.refuseOrDefer(now, c, reason)
		s.dispatchLate(now)
		return
	}
	s.late.addLoad(now, s.estimateDuration(now, c.Class))
	s.insert(c)
	s.dispatch(now)
	s.prune(now)
}

// due returns the time by which the place of a new call in the queue is determined. A call whose target is later than usual for its rank is
// treated as one with the usual target: otherwise, while slots are short, it would wait behind all later calls with earlier targets.
func (s *Scheduler) due(now time.Time, c *Ticket) time.Time {
	if c.Nested {
		return c.Target
	}
	state := s.rank(c.Rank)
	left := c.Target.Sub(now)
	if !c.IsRetry {
		if state.timeToTarget == 0 {
			state.timeToTarget = left
		}
		state.timeToTarget += time.Duration(float64(left-state.timeToTarget) * targetWeight)
	}
	return now.Add(min(left, state.timeToTarget))
}

// rank returns the statistics of a rank.
func (s *Scheduler) rank(rank int) *rankState {
	state := s.ranks[rank]
	if state == nil {
		state = &rankState{servedShare: 1}
		s.ranks[rank] = state
	}
	return state
}

// refusalReason returns the reason to refuse a call with the given number of calls ahead of it, or "" if it may be queued.
func (s *Scheduler) refusalReason(now time.Time, c *Ticket, ahead int) Reason {
	wait, duration := s.estimateWait(now, ahead), s.estimateDuration(now, c.Class)
	expectedEnd := now.Add(wait + duration)
	slack := c.Target.Sub(now) - duration - s.estimateMargin(now, c.Class)
	if !c.IsRetry {
		// Its caller can still retry. Keep queue capacity for retries.
		slack = time.Duration(s.policy.FirstAttemptSlack * float64(slack))
	}
	switch {
	case expectedEnd.After(c.Deadline):
		return DeadlineUnreachable
	case len(s.queue) >= s.policy.QueuedPerSlot*s.limit(now):
		return Overloaded
	case wait > slack && !c.Nested:
		return s.shortage(now, ahead)
	case c.MaxWait > 0 && now.Add(wait).After(c.offered.Add(c.MaxWait)):
		return HoldsUpOthers
	}
	return ""
}

// estimateWait estimates the time until a call with the given number of queued calls ahead of it gets a slot.
func (s *Scheduler) estimateWait(now time.Time, ahead int) time.Duration {
	return max(s.estimateSlotWait(now, ahead), s.pace.wait(now, ahead+1))
}

// estimateSlotWait is estimateWait without the rate limit.
func (s *Scheduler) estimateSlotWait(now time.Time, ahead int) time.Duration {
	limit := s.limit(now)
	if free := limit - s.running; ahead < free {
		return 0
	}
	interval := scale(s.slotTime.value(initialSlotTime), s.slowness(now)) / time.Duration(limit)
	return time.Duration(ahead+1)*interval - interval/2
}

// estimateDuration estimates how long a call of the class takes if it starts now; 0: unknown.
func (s *Scheduler) estimateDuration(now time.Time, class string) time.Duration {
	if m := s.slotTimes[class]; m != nil {
		return scale(m.value(0), s.slowness(now))
	}
	return 0
}

// estimateMargin returns the safety margin to add to estimateDuration for a call of the class.
func (s *Scheduler) estimateMargin(now time.Time, class string) time.Duration {
	if m := s.slotTimes[class]; m != nil {
		return scale(m.spread, s.policy.MarginDeviations*s.slowness(now))
	}
	return 0
}

// minWait is the shortest queue time limit, so that it does not end before the deadline can have become unreachable.
const minWait = time.Millisecond

// MaxQueueTime returns how long the call may stay in the queue until it can no longer end before its deadline. Then it has to be withdrawn.
func (s *Scheduler) MaxQueueTime(now time.Time, c Call) time.Duration {
	return max(minWait, c.Deadline.Sub(now)-s.estimateDuration(now, c.Class))
}

// SetSlots changes the number of slots.
func (s *Scheduler) SetSlots(now time.Time, slots int) {
	s.slots = slots
	s.dispatch(now)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// precedes reports whether a goes before b in the queue.
func (s *Scheduler) precedes(a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	return a.due.Before(b.due)
}

// position returns the number of queued calls that go before c.
func (s *Scheduler) position(c *Ticket) int {
	if s.starved(c.Rank) && !s.hasQueued(c.Rank) {
		return 0
	}
	for i, other := range s.queue {
		if s.precedes(c, other) {
			return i
		}
	}
	return len(s.queue)
}

func (s *Scheduler) hasQueued(rank int) bool {
	return slices.ContainsFunc(s.queue, func(w *Ticket) bool { return w.Rank == rank })
}

func (s *Scheduler) insert(c *Ticket) {
	c.state = queued
	i := 0
	for i < len(s.queue) && !s.precedes(c, s.queue[i]) {
		i++
	}
	s.queue = slices.Insert(s.queue, i, c)
	s.nested.queued(c, 1)
}

// dispatch grants free slots to queued calls.
func (s *Scheduler) dispatch(now time.Time) {
	for s.canGrant(now) {
		i := s.nextIndex(now)
		if i < 0 {
			break
		}
		c := s.queue[i]
		s.remove(i)
		expectedEnd := now.Add(s.estimateDuration(now, c.Class))
		switch {
		case !now.Before(c.Deadline) || expectedEnd.After(c.Deadline) && len(s.queue) > 0:
			s.refuse(now, c, DeadlineUnreachable)
		case expectedEnd.After(c.Target) && !c.Nested && len(s.queue) > 0:
			s.refuseOrDefer(now, c, s.shortage(now, len(s.queue))) // leave the slot to a call that can be in time
		default:
			s.grant(now, c)
		}
	}
	s.dispatchLate(now)
}

// nextIndex returns the index of the queued call to grant next, or -1 if there is none: the first call of a starved rank, or else the head of the
// queue. Calls that must leave the free slots to more urgent ones are passed over.
func (s *Scheduler) nextIndex(now time.Time) int {
	first := -1
	for i, c := range s.queue {
		if (i == 0 || c.Rank != s.queue[i-1].Rank) && s.starved(c.Rank) && (first < 0 || !s.queue[first].Nested) {
			return i
		}
		if first < 0 && s.canGrantTo(now, c) {
			first = i
		}
	}
	return first
}

// hasGrantable reports whether a queued call may be granted now.
func (s *Scheduler) hasGrantable(now time.Time) bool {
	return len(s.queue) > 0 && s.canGrant(now) && s.nextIndex(now) >= 0
}

// starved reports whether the rank gets a much smaller share of its calls served than a more urgent rank. A rank that overloads the
// backend server with its own calls also has a small served share, so a rank that already holds StarvedSlotShare of the slots is not
// starved.
func (s *Scheduler) starved(rank int) bool {
	own := s.ranks[rank]
	if own == nil || rank <= 0 || float64(own.running) >= s.policy.StarvedSlotShare*float64(s.slots) {
		return false
	}
	for other, state := range s.ranks {
		if other >= 0 && other < rank && own.servedShare < s.policy.MinRankShare*state.servedShare {
			return true
		}
	}
	return false
}

// prune refuses queued calls that later, more urgent calls have delayed too much.
func (s *Scheduler) prune(now time.Time) {
	for i := len(s.queue) - 1; i >= 0; i-- {
		c := s.queue[i]
		if s.starved(c.Rank) && (i == 0 || s.queue[i-1].Rank != c.Rank) {
			continue
		}
		if reason := s.refusalReason(now, c, i); reason != "" && (len(s.queue) > 1 || reason == DeadlineUnreachable) {
			s.remove(i)
			s.refuseOrDefer(now, c, reason)
		}
	}
	s.pruneLate(now)
}

func (s *Scheduler) remove(i int) {
	s.queue[i].state = undecided
	s.nested.queued(s.queue[i], -1)
	s.queue = slices.Delete(s.queue, i, i+1)
}

// Withdraw refuses a queued call. It has no effect on a call that is already decided.
func (s *Scheduler) Withdraw(now time.Time, c *Ticket, reason Reason) {
	switch c.state {
	case queued:
		s.remove(slices.Index(s.queue, c))
	case queuedLate:
		s.late.remove(slices.Index(s.late.calls, c))
	default:
		return
	}
	s.refuse(now, c, reason)
}

func (s *Scheduler) grant(now time.Time, c *Ticket) {
	c.granted, c.slowness, c.state = now, s.slowness(now), decided
	s.running++
	c.demand.running++
	s.nested.granted(c)
	c.expected = s.estimateDuration(now, c.Class)
	s.teams.add(now, c.Team, c.expected)
	s.pace.add(now, -1)
	s.recordDecision(now, c.Rank, 1)
	s.ranks[c.Rank].running++
	c.Decide(nil)
}

func (s *Scheduler) refuse(now time.Time, c *Ticket, reason Reason) {
	c.state = decided
	r := &Refusal{Reason: reason, Delay: c.delay}
	if reason == Overloaded || reason == HoldsUpOthers || reason == RateLimited || reason == DeadlineUnreachable {
		s.recordDecision(now, c.Rank, 0)
		r.RetryAfter = s.retryAfter(now, c)
	}
	c.Decide(r)
}

// retryAfter returns the time until a retry of the call is expected to be accepted, based on the calls queued ahead of it. It leaves
// enough time to finish before the target if that is possible, and otherwise before the deadline. It returns 0 if neither is.
func (s *Scheduler) retryAfter(now time.Time, c *Ticket) time.Duration {
	duration := s.estimateDuration(now, c.Class)
	latest := c.Target.Sub(now) - duration
	if latest < minRetryAfter {
		latest = c.Deadline.Sub(now) - duration
	}
	if latest < minRetryAfter {
		return 0
	}
	accepted := s.estimateWait(now, s.position(c)) / 2
	if c.MaxWait > 0 {
		accepted = latest / 2 // it waits with its caller instead of in the queue
	}
	maxHonoured := c.Deadline.Sub(now) / RetryAfterDivisor
	if c.IsRetry && maxHonoured > latest {
		return maxHonoured // short of room at both attempts, it will hardly be in time: it returns when most of a surge is over
	}
	return max(minRetryAfter, min(accepted, latest/2, maxHonoured))
}

func (s *Scheduler) recordDecision(now time.Time, rank int, served float64) {
	state := s.rank(rank)
	weight := min(1, max(0.02, now.Sub(state.updatedAt).Seconds()/servedShareWindow.Seconds()))
	state.servedShare += (served - state.servedShare) * weight
	state.updatedAt = now
}

// Finish releases the slot of a granted call and records its result.
func (s *Scheduler) Finish(now time.Time, c *Ticket, r Result) {
	switch r {
	case Answered:
		s.endColdStart(c.granted)
		slotTime := scale(now.Sub(c.granted), 2/(c.slowness+s.slowness(now)))
		s.slotTime.add(slotTime)
		s.classAverage(c.Class).add(slotTime)
	case Shed:
		s.shedAt = s.running
		s.shedUntil = now.Add(s.policy.ShedLimitDuration)
	case NotSent:
		s.pace.add(now, 1)
	}
	s.running--
	c.demand.running--
	s.nested.finished(c)
	s.teams.add(now, c.Team, now.Sub(c.granted)-c.expected)
	s.ranks[c.Rank].running--
	s.dispatch(now)
}

// SetColdUntil says until when the backend server is slow after its start.
func (s *Scheduler) SetColdUntil(t time.Time) { s.coldUntil = t }

// endColdStart gives the slot times of the cold start little weight when the first call that was granted after it has ended.
func (s *Scheduler) endColdStart(granted time.Time) {
	if s.coldUntil.IsZero() || granted.Before(s.coldUntil) {
		return
	}
	s.coldUntil = time.Time{}
	s.slotTime.restart()
	for _, m := range s.slotTimes {
		m.restart()
	}
}

func (s *Scheduler) classAverage(name string) *movingAverage {
	m := s.slotTimes[name]
	if m == nil {
		if len(s.slotTimes) >= maxClasses {
			clear(s.slotTimes)
		}
		m = &movingAverage{}
		s.slotTimes[name] = m
	}
	return m
}

// Close refuses all queued and all later calls.
func (s *Scheduler) Close(now time.Time) {
	s.closed = true
	for len(s.queue) > 0 {
		c := s.queue[0]
		s.remove(0)
		s.refuse(now, c, Closed)
	}
	for len(s.late.calls) > 0 {
		s.refuse(now, s.late.remove(0), Closed)
	}
}

// Load returns the current load, with the times of the class.
func (s *Scheduler) Load(now time.Time, class string) Load {
	l := Load{Running: s.running, Queued: len(s.queue), Limit: s.limit(now), SlotTime: s.slotTime.value(0), Slowness: s.slowness(now)}
	if m := s.slotTimes[class]; m != nil {
		l.ClassTime, l.ClassSpread = m.average, m.spread
	}
	s.applyPace(now, &l)
	if s.closed {
		l.Limit = 0
	}
	return l
}

// movingAverage is an EWMA that gives the first samples more weight, so that it recovers quickly from a cold start.
type movingAverage struct {
	samples int
	average time.Duration
	spread  time.Duration // mean deviation
}

func (m *movingAverage) add(sample time.Duration) {
	m.samples++
	weight := sampleWeight
	if m.samples <= warmupSamples {
		weight = max(warmupWeight, 1/float64(m.samples))
	}
	deviation := (sample - m.average).Abs()
	m.average += time.Duration(float64(sample-m.average) * weight)
	if m.samples > 1 {
		m.spread += time.Duration(float64(deviation-m.spread) * weight)
	}
}

// restart makes later samples count as if the average had only one.
func (m *movingAverage) restart() { m.samples = min(m.samples, 1) }

func (m *movingAverage) value(fallback time.Duration) time.Duration {
	if m.samples == 0 {
		return fallback
	}
	return m.average
}
