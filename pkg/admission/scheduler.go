// Package admission decides which calls get the slots of one backend server, and when.
//
// All calls for the backend server pass through one Admission, so that its count of calls in flight is exact. A call is granted a
// slot at once if one is free. It waits if it is expected to start early enough to meet its target. Otherwise it is refused
// at once, with the time after which it is expected to be accepted: a caller that learns early can still succeed
// elsewhere or later, and a slot that is spent on a call which ends late is missed by one that could be in time.
//
// Order: calls on behalf of admitted work first, because refusing them wastes the slot that their parent holds; then by
// rank; within a rank the earliest target first, which also puts callers that come back after a refusal before new ones. A
// less urgent rank keeps a part of what more urgent ones get, so that none starves, and never more than they do.
package admission

import (
	"slices"
	"time"
)

// Call is what the scheduler knows about a call.
type Call struct {
	Class    string    // calls of one class have similar service times
	Rank     int       // 0 is the most urgent; Inner ranks before it
	Target   time.Time // an answer until then counts as in time
	Deadline time.Time // an answer after that is of no use
	IsRetry  bool      // its caller comes back after a refusal
	NoQueue  bool      // it does not wait: without a free slot it is refused as Busy
}

// Inner is the rank of calls on behalf of admitted work.
const Inner = -1

// Reason says why a call was refused. None of the refused calls has run or will run.
type Reason string

// The reasons of refusals.
const (
	Busy                Reason = "busy"     // no slot is free, and it does not wait
	Overloaded          Reason = "full"     // it would have started too late to be in time
	DeadlineUnreachable Reason = "hopeless" // it would have ended after its deadline
	Cancelled           Reason = "gone"     // its caller has left
	Closed              Reason = "closed"   // the admission takes no more calls
)

// Refusal is the answer to a call that gets no slot.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when the same call is expected to be accepted; 0: not within its deadline
}

// Result is what a call showed about the backend server.
type Result int

// The results of granted calls.
const (
	Answered     Result = iota // the slot time is a valid sample
	Shed                       // the backend server did not run it, for all that is known because it has no room
	Inconclusive               // no answer, or none that says something about room or slot time
)

// Load describes the backend server as its callers may weigh it.
type Load struct {
	Running, Queued, Limit int
	SlotTime               time.Duration // mean time that a call holds a slot; 0: unknown
	ClassTime              time.Duration // the same for calls of one class; 0: unknown
	ClassSpread            time.Duration // mean deviation from ClassTime
	Slowness               float64       // of the machine now, relative to what is usual there, for which the times stand
}

const (
	queueFactor   = 4               // waiting calls of all ranks, relative to the slots
	shedHold      = time.Second     // after the backend server shed a call, the limit stays below that level
	minimumShare  = 0.4             // of the served part of more urgent ranks, which a rank with waiting calls keeps
	starvedSlots  = 0.15            // of the slots, rounded up, which a starved rank gets before more urgent ones
	firstSlack    = 0.5             // of the time that it could wait, which a call may wait that has not been refused yet
	marginSpreads = 0.5             // mean deviations of its class that a call is expected to take longer than the mean
	shareMemory   = 3 * time.Second // over which the served part of a rank is averaged
	firstEstimate = 50 * time.Millisecond
	sampleWeight  = 0.1 // of a new sample in the mean slot time
	fastWeight    = 0.3 // of the first samples
	fastSamples   = 5
	minRetryAfter = 20 * time.Millisecond
	usualWeight   = 0.005 // of a new report in the usual slowness
)

// RetryAfterDivisor is the part of the time that they have left up to which callers honour Retry-After: one in so many.
const RetryAfterDivisor = 3

// slownessFor is how long a stated slowness takes to lose its weight; neighbours on a machine come and go many times a second.
const slownessFor = 400 * time.Millisecond

// DecayedSlowness is how long work takes now, relative to usual, if that was stated so long ago. What was stated longer ago counts less.
func DecayedSlowness(stated float64, age time.Duration) float64 {
	weight := max(0, 1-age.Seconds()/slownessFor.Seconds())
	return 1 + (stated-1)*weight
}

// waiting is a call from its arrival to its end.
type waiting struct {
	Call
	granted  time.Time
	slowness float64 // when it was granted
	queued   bool
	decided  chan *Refusal // receives exactly one decision, nil for a grant; capacity 1
}

// scheduler is a pure function of its calls and the times passed to it. It is not safe for concurrent use.
type scheduler struct {
	slots   int
	shedAt  int // calls in flight when the backend server shed one
	shedEnd time.Time

	running  int
	queue    []*waiting // in the order of service
	ranks    map[int]*rankState
	classes  map[string]*mean // at usual speed
	slotTime mean             // at usual speed
	closed   bool

	stated   float64 // slowness that the backend server stated last, relative to its usual one
	statedAt time.Time
	usual    float64 // mean of the slowness that it stated; machines differ
	reports  int
}

// rankState is the account of one rank.
type rankState struct {
	running int
	served  float64 // moving average: 1 for a grant, 0 for a refusal
	decided time.Time
}

// maxClasses bounds the memory for estimates. A configuration with more classes loses old estimates.
const maxClasses = 256

func newScheduler(slots int) *scheduler {
	return &scheduler{slots: slots, ranks: make(map[int]*rankState), classes: make(map[string]*mean)}
}

// limit is how many calls may be in flight.
func (s *scheduler) limit(now time.Time) int {
	if now.Before(s.shedEnd) {
		return max(1, min(s.slots, s.shedAt-1))
	}
	return max(1, s.slots)
}

// observe takes in how long work takes at the backend server now, relative to an average machine.
func (s *scheduler) observe(now time.Time, slowness float64) {
	s.reports++
	s.usual += (slowness - s.usual) * max(usualWeight, 1/float64(s.reports))
	s.stated, s.statedAt = slowness/s.usual, now
}

// slowness is how long work takes now, relative to what is usual on this machine.
func (s *scheduler) slowness(now time.Time) float64 {
	if s.statedAt.IsZero() {
		return 1
	}
	return DecayedSlowness(s.stated, now.Sub(s.statedAt))
}

// offer grants, queues or refuses a new call.
func (s *scheduler) offer(now time.Time, c *waiting) {
	switch {
	case s.closed:
		s.refuse(now, c, Closed)
		return
	case !now.Before(c.Deadline):
		s.refuse(now, c, DeadlineUnreachable)
		return
	}
	if s.running < s.limit(now) && len(s.queue) == 0 {
		s.grant(now, c)
		return
	}
	if c.NoQueue {
		s.refuse(now, c, Busy)
		return
	}
	if reason := s.check(now, c, s.position(c)); reason != "" {
		s.refuse(now, c, reason)
		return
	}
	s.insert(c)
	s.dispatch(now)
	s.prune(now)
}

// check returns the reason to refuse a call that has so many calls before it, or "" if it may wait.
func (s *scheduler) check(now time.Time, c *waiting, ahead int) Reason {
	wait, takes := s.wait(now, ahead), s.estimate(now, c.Class)
	end := now.Add(wait + takes)
	slack := c.Target.Sub(now) - takes - s.margin(now, c.Class)
	if !c.IsRetry {
		// It can still come back. The room is kept for those that cannot.
		slack = time.Duration(firstSlack * float64(slack))
	}
	switch {
	case end.After(c.Deadline):
		return DeadlineUnreachable
	case len(s.queue) >= queueFactor*s.limit(now):
		return Overloaded
	case wait > slack && c.Rank != Inner:
		return Overloaded
	}
	return ""
}

// wait estimates when a call with so many waiting calls before it gets a slot.
func (s *scheduler) wait(now time.Time, ahead int) time.Duration {
	limit := s.limit(now)
	if free := limit - s.running; ahead < free {
		return 0
	}
	interval := scale(s.slotTime.value(firstEstimate), s.slowness(now)) / time.Duration(limit)
	return time.Duration(ahead+1)*interval - interval/2
}

// estimate is how long a call of the class takes if it begins now.
func (s *scheduler) estimate(now time.Time, class string) time.Duration {
	if m := s.classes[class]; m != nil {
		return scale(m.value(0), s.slowness(now))
	}
	return 0
}

// margin is how much longer than the estimate a call of the class may well take.
func (s *scheduler) margin(now time.Time, class string) time.Duration {
	if m := s.classes[class]; m != nil {
		return scale(m.spread, marginSpreads*s.slowness(now))
	}
	return 0
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// before reports whether a goes before b when both wait.
func (s *scheduler) before(a, b *waiting) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Target.Before(b.Target)
}

// position is the number of waiting calls that go before c.
func (s *scheduler) position(c *waiting) int {
	if s.starved(c.Rank) && !s.hasQueued(c.Rank) {
		return 0
	}
	for i, other := range s.queue {
		if s.before(c, other) {
			return i
		}
	}
	return len(s.queue)
}

func (s *scheduler) hasQueued(rank int) bool {
	return slices.ContainsFunc(s.queue, func(w *waiting) bool { return w.Rank == rank })
}

func (s *scheduler) insert(c *waiting) {
	c.queued = true
	i := 0
	for i < len(s.queue) && !s.before(c, s.queue[i]) {
		i++
	}
	s.queue = slices.Insert(s.queue, i, c)
}

// dispatch grants free slots to waiting calls.
func (s *scheduler) dispatch(now time.Time) {
	for s.running < s.limit(now) && len(s.queue) > 0 {
		i := s.next()
		c := s.queue[i]
		s.remove(i)
		end := now.Add(s.estimate(now, c.Class))
		switch {
		case !now.Before(c.Deadline) || end.After(c.Deadline) && len(s.queue) > 0:
			s.refuse(now, c, DeadlineUnreachable)
		case end.After(c.Target) && c.Rank != Inner && len(s.queue) > 0:
			s.refuse(now, c, Overloaded) // its slot is worth more to a call that is in time
		default:
			s.grant(now, c)
		}
	}
}

// next is the index of the waiting call that goes first: the first call of a starved rank, or the first of all.
func (s *scheduler) next() int {
	if s.queue[0].Rank == Inner {
		return 0
	}
	last := s.queue[0].Rank
	for i, c := range s.queue {
		if c.Rank != last && s.starved(c.Rank) {
			return i
		}
		last = c.Rank
	}
	return 0
}

// starved reports whether the rank gets much less of its calls served than the more urgent ones do. A rank that floods in is
// served little because of its own calls; the slots that it holds bound what it gets before others.
func (s *scheduler) starved(rank int) bool {
	own := s.ranks[rank]
	if own == nil || rank <= 0 || float64(own.running) >= starvedSlots*float64(s.slots) {
		return false
	}
	for other, state := range s.ranks {
		if other >= 0 && other < rank && own.served < minimumShare*state.served {
			return true
		}
	}
	return false
}

// prune refuses waiting calls that a later, more urgent call has pushed back too far.
func (s *scheduler) prune(now time.Time) {
	for i := len(s.queue) - 1; i >= 0; i-- {
		c := s.queue[i]
		if s.starved(c.Rank) && (i == 0 || s.queue[i-1].Rank != c.Rank) {
			continue
		}
		if reason := s.check(now, c, i); reason != "" && (len(s.queue) > 1 || reason == DeadlineUnreachable) {
			s.remove(i)
			s.refuse(now, c, reason)
		}
	}
}

func (s *scheduler) remove(i int) {
	s.queue[i].queued = false
	s.queue = slices.Delete(s.queue, i, i+1)
}

// withdraw refuses a waiting call, unless it was decided already.
func (s *scheduler) withdraw(now time.Time, c *waiting, reason Reason) {
	if c.queued {
		s.remove(slices.Index(s.queue, c))
		s.refuse(now, c, reason)
	}
}

func (s *scheduler) grant(now time.Time, c *waiting) {
	c.granted, c.slowness = now, s.slowness(now)
	s.running++
	s.account(now, c.Rank, 1)
	s.ranks[c.Rank].running++
	c.decided <- nil
}

func (s *scheduler) refuse(now time.Time, c *waiting, reason Reason) {
	r := &Refusal{Reason: reason}
	if reason == Overloaded || reason == DeadlineUnreachable {
		s.account(now, c.Rank, 0)
		r.RetryAfter = s.retryAfter(now, c)
	}
	c.decided <- r
}

// retryAfter is when the call is expected to be accepted: when those before it have started. It leaves time to be served
// before the target if that is possible, and else before the deadline.
func (s *scheduler) retryAfter(now time.Time, c *waiting) time.Duration {
	need := s.estimate(now, c.Class)
	latest := c.Target.Sub(now) - need
	if latest < minRetryAfter {
		latest = c.Deadline.Sub(now) - need
	}
	if latest < minRetryAfter {
		return 0
	}
	accepted := s.wait(now, s.position(c)) / 2
	honoured := c.Deadline.Sub(now) / RetryAfterDivisor
	return max(minRetryAfter, min(accepted, latest/2, honoured))
}

func (s *scheduler) account(now time.Time, rank int, served float64) {
	state := s.ranks[rank]
	if state == nil {
		s.ranks[rank] = &rankState{served: served, decided: now}
		return
	}
	weight := min(1, max(0.02, now.Sub(state.decided).Seconds()/shareMemory.Seconds()))
	state.served += (served - state.served) * weight
	state.decided = now
}

// finish frees the slot of a granted call.
func (s *scheduler) finish(now time.Time, c *waiting, r Result) {
	switch r {
	case Answered:
		held := scale(now.Sub(c.granted), 2/(c.slowness+s.slowness(now)))
		s.slotTime.add(held)
		s.class(c.Class).add(held)
	case Shed:
		s.shedAt = s.running
		s.shedEnd = now.Add(shedHold)
	}
	s.running--
	s.ranks[c.Rank].running--
	s.dispatch(now)
}

func (s *scheduler) class(name string) *mean {
	m := s.classes[name]
	if m == nil {
		if len(s.classes) >= maxClasses {
			clear(s.classes)
		}
		m = &mean{}
		s.classes[name] = m
	}
	return m
}

// close refuses all waiting and all later calls.
func (s *scheduler) close(now time.Time) {
	s.closed = true
	for len(s.queue) > 0 {
		c := s.queue[0]
		s.remove(0)
		s.refuse(now, c, Closed)
	}
}

// load describes the backend server to callers of a class.
func (s *scheduler) load(now time.Time, class string) Load {
	l := Load{Running: s.running, Queued: len(s.queue), Limit: s.limit(now), SlotTime: s.slotTime.value(0), Slowness: s.slowness(now)}
	if m := s.classes[class]; m != nil {
		l.ClassTime, l.ClassSpread = m.average, m.spread
	}
	if s.closed {
		l.Limit = 0
	}
	return l
}

// mean is a moving average that follows the first samples quickly, so that it recovers soon from a cold start.
type mean struct {
	samples int
	average time.Duration
	spread  time.Duration // mean deviation
}

func (m *mean) add(sample time.Duration) {
	m.samples++
	weight := sampleWeight
	if m.samples <= fastSamples {
		weight = max(fastWeight, 1/float64(m.samples))
	}
	deviation := (sample - m.average).Abs()
	m.average += time.Duration(float64(sample-m.average) * weight)
	if m.samples > 1 {
		m.spread += time.Duration(float64(deviation-m.spread) * weight)
	}
}

func (m *mean) value(unknown time.Duration) time.Duration {
	if m.samples == 0 {
		return unknown
	}
	return m.average
}
