package inbound

import (
	"container/list"
	"math"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// rankPolicy is the configuration of one rank.
type rankPolicy struct {
	name          string
	minShare      float64 // guaranteed fraction of the slots, 0 to 1
	targetLatency time.Duration
}

// rankState holds the queue and the accounting of one rank.
type rankState struct {
	policy       rankPolicy
	queue        *list.List // of *call
	inFlight     int
	meanInFlight float64 // EWMA of inFlight
	serviceTime  serviceTimeEstimate

	// credit is the unused entitlement of the rank in slot seconds. It grows with the share and falls with the slots in use.
	credit float64
}

// call is one call from its arrival to its completion.
type call struct {
	rank      *rankState
	arrivedAt time.Time
	deadline  time.Time
	grantedAt time.Time // zero while queued
	saturated bool      // whether the limit was fully used when the call got its slot
	element   *list.Element
	decided   chan decision // receives exactly one decision; capacity 1
}

// decision grants a slot if refusal is nil.
type decision struct {
	refusal *refusal
}

// refusal states why a call does not run.
type refusal struct {
	outcome    callctx.Outcome
	reason     callctx.Reason
	retryAfter time.Duration // 0: no estimate
}

// result is the feedback of a finished call about the backend server.
type result struct {
	answered bool // the service time is a valid sample
	shed     bool // the backend server responded with 503 or 429, or refused the connection
	timedOut bool // the deadline expired while the backend server processed the call
}

// scheduler decides which call gets a slot of the backend server, and when. Its state depends only on the method calls and the
// times passed to them. It is not safe for concurrent use.
//
// Of the ranks with waiting calls, the most urgent one that is below its minimum share is served first, then the most urgent
// one. A rank is below its share while its credit is not negative and it holds fewer slots than its share. Credit has a lower
// and an upper bound, so that a rank that borrowed unused slots, or was idle, gets its share as soon as it has calls again,
// and little more than its share. A rank keeps its credit between calls and may use one more slot while its credit covers a
// call. Without this, a rank with random arrivals at little more than its share would lose part of its share.
type scheduler struct {
	ranks        []*rankState // most urgent first
	limiter      *limiter
	queueLimit   int
	inFlight     int
	queued       int
	lastAdvance  time.Time
	lastSweep    time.Time
	lastProgress time.Time // time of the latest grant or completion of a call
}

const (
	maxCreditSeconds     = 0.5                   // maximum credit of a rank that uses less than its share, in seconds of its share
	sweepInterval        = 10 * time.Millisecond // minimum interval between two sweeps
	stallThresholdFactor = 2                     // upper service time estimates without progress after which a stall is assumed
	maxEstimatedWait     = time.Hour             // keeps estimates within the range of time.Duration
	minRetryAfter        = time.Second           // resolution of Retry-After
	maxRetryAfter        = 30 * time.Second
)

func newScheduler(limiter *limiter, queueLimit int, policies []rankPolicy) *scheduler {
	s := &scheduler{limiter: limiter, queueLimit: queueLimit}
	s.setRanks(policies)
	return s
}

// setRanks applies a new configuration. Ranks with the same name keep their state. A removed rank keeps its calls until they have
// finished, after all other ranks and without a share.
func (s *scheduler) setRanks(policies []rankPolicy) {
	previous := make(map[string]*rankState)
	for _, rank := range s.ranks {
		previous[rank.policy.name] = rank
	}
	var ranks []*rankState
	for _, policy := range policies {
		rank, ok := previous[policy.name]
		if !ok {
			rank = &rankState{queue: list.New()}
		}
		delete(previous, policy.name)
		rank.policy = policy
		ranks = append(ranks, rank)
	}
	for _, rank := range s.ranks {
		if _, removed := previous[rank.policy.name]; removed && rank.queue.Len()+rank.inFlight > 0 {
			rank.policy.minShare = 0
			ranks = append(ranks, rank)
		}
	}
	s.ranks = ranks
}

// rank returns the rank with the name, or the least urgent rank if there is none.
func (s *scheduler) rank(name string) *rankState {
	for _, rank := range s.ranks {
		if rank.policy.name == name {
			return rank
		}
	}
	return s.ranks[len(s.ranks)-1]
}

// submit admits, queues or refuses a new call.
func (s *scheduler) submit(now time.Time, c *call) {
	s.advance(now)
	if refused := s.checkArrival(now, c); refused != nil {
		c.decided <- decision{refusal: refused}
		return
	}
	c.element = c.rank.queue.PushBack(c)
	s.queued++
	s.dispatch(now)
}

// checkArrival refuses a call that cannot finish in time because of the calls already queued.
func (s *scheduler) checkArrival(now time.Time, c *call) *refusal {
	if !now.Before(c.deadline) {
		return s.newRefusal(c.rank, callctx.DeadlineExpired)
	}
	if s.inFlight == 0 && s.queued == 0 {
		return nil // an idle backend server accepts any call, which gives a sample to correct a wrong estimate
	}
	if c.rank.queue.Len() >= s.queueLimit {
		return s.newRefusal(c.rank, callctx.RankOverShare)
	}
	return s.checkWait(now, c, s.estimateWait(c.rank, c.rank.queue.Len()), c.rank.queue.Len() > 0)
}

// checkWait refuses a call that would miss its deadline if it started after wait. If contended is true, other calls of its rank
// are waiting; it then also refuses a call that would miss the latency target, so that the slot goes to a call that can meet it.
func (s *scheduler) checkWait(now time.Time, c *call, wait time.Duration, contended bool) *refusal {
	start := now.Add(wait)
	if start.Add(c.rank.serviceTime.expected()).After(c.deadline) {
		return s.newRefusal(c.rank, callctx.DeadlineUnreachable)
	}
	if contended && start.Sub(c.arrivedAt) > c.rank.waitBudget() {
		return s.newRefusal(c.rank, callctx.RankOverShare)
	}
	return nil
}

// waitBudget returns the longest wait after which a call of the rank usually still meets its latency target. It is at least a
// quarter of the target, also if the service time alone exceeds the target.
func (r *rankState) waitBudget() time.Duration {
	return max(r.policy.targetLatency-r.serviceTime.upperEstimate(), r.policy.targetLatency/4)
}

// estimateWait estimates the time until a call with the given number of calls of its rank ahead gets a slot.
func (s *scheduler) estimateWait(rank *rankState, ahead int) time.Duration {
	if s.inFlight < s.limiter.current() && s.queued == 0 {
		return 0
	}
	urgentWork := 0.0 // slot seconds of waiting calls of more urgent ranks
	for _, other := range s.ranks {
		if other == rank {
			break
		}
		urgentWork += float64(other.queue.Len()) * other.serviceTime.expected().Seconds()
	}
	interval := rank.serviceTime.expected().Seconds() / s.availableSlots(rank)
	// During a stall, the queue is assumed to drain no faster than one call in the duration of the stall.
	if stalled := s.lastAdvance.Sub(s.lastProgress); s.inFlight > 0 && stalled > stallThresholdFactor*rank.serviceTime.upperEstimate() {
		interval = max(interval, stalled.Seconds())
	}
	seconds := (float64(ahead)+0.5)*interval + urgentWork/float64(s.limiter.current())
	return time.Duration(min(seconds, maxEstimatedWait.Seconds()) * float64(time.Second))
}

// availableSlots estimates the number of slots that a rank can use now: the limit less the slots that more urgent ranks use and
// those that less urgent ranks use within their shares, but at least its own share.
func (s *scheduler) availableSlots(rank *rankState) float64 {
	limit := float64(s.limiter.current())
	slots := limit
	moreUrgent := true
	for _, other := range s.ranks {
		switch {
		case other == rank:
			moreUrgent = false
		case moreUrgent:
			slots -= other.meanInFlight
		default:
			slots -= min(other.meanInFlight, other.policy.minShare*limit)
		}
	}
	// The minimum of 1/20 of the limit keeps wait estimates finite for a rank without a share.
	return max(slots, rank.policy.minShare*limit, limit/20)
}

// dispatch grants free slots to waiting calls.
func (s *scheduler) dispatch(now time.Time) {
	for s.inFlight < s.limiter.current() {
		rank := s.nextRank()
		if rank == nil {
			return
		}
		c := rank.queue.Front().Value.(*call)
		s.dequeue(c)
		idle := s.inFlight == 0
		if refused := s.checkWait(now, c, 0, rank.queue.Len() > 0); refused != nil && !(idle && now.Before(c.deadline)) {
			c.decided <- decision{refusal: refused}
			continue
		}
		s.grant(now, c)
	}
}

func (s *scheduler) grant(now time.Time, c *call) {
	c.grantedAt = now
	s.lastProgress = now
	c.rank.inFlight++
	s.inFlight++
	c.saturated = s.inFlight >= s.limiter.current()
	c.decided <- decision{}
}

// nextRank returns the rank whose first waiting call is served next, or nil if no call is waiting.
func (s *scheduler) nextRank() *rankState {
	var first *rankState
	for _, rank := range s.ranks {
		if rank.queue.Len() == 0 {
			continue
		}
		if s.belowShare(rank) {
			return rank
		}
		if first == nil {
			first = rank
		}
	}
	return first
}

func (s *scheduler) belowShare(rank *rankState) bool {
	entitled := rank.policy.minShare * float64(s.limiter.current())
	allowed := math.Ceil(entitled)
	if rank.credit >= rank.serviceTime.expected().Seconds() {
		allowed++ // compensates for gaps between arrivals
	}
	return rank.credit >= 0 && float64(rank.inFlight) < allowed
}

func (s *scheduler) dequeue(c *call) {
	c.rank.queue.Remove(c.element)
	c.element = nil
	s.queued--
}

// cancel removes a waiting call from the queue. It returns false if the call has already been decided.
func (s *scheduler) cancel(c *call) bool {
	if c.element == nil {
		return false
	}
	s.dequeue(c)
	return true
}

// finish frees the slot of a granted call and passes its result to the estimates and the limiter.
func (s *scheduler) finish(now time.Time, c *call, r result) {
	s.advance(now)
	switch {
	case r.shed:
		s.limiter.recordShed(now, s.inFlight)
	case r.timedOut:
		// The actual service time is longer. Without this sample, a rank whose calls all time out would keep a low estimate.
		c.rank.serviceTime.addSample(now, max(now.Sub(c.grantedAt), c.rank.serviceTime.mean))
	case r.answered:
		c.rank.serviceTime.addSample(now, now.Sub(c.grantedAt))
		s.limiter.recordSuccess(now, c.saturated, c.rank.serviceTime.mean, c.rank.serviceTime.latencyInflation())
	}
	c.rank.inFlight--
	s.inFlight--
	s.lastProgress = now
	s.dispatch(now)
	s.sweep(now)
}

// advance updates credits and usage averages to now.
func (s *scheduler) advance(now time.Time) {
	elapsed := now.Sub(s.lastAdvance).Seconds()
	if s.lastAdvance.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	s.lastAdvance = now
	weight := 1 - math.Exp(-elapsed/usageTimeConstant.Seconds())
	limit := float64(s.limiter.current())
	for _, rank := range s.ranks {
		rank.meanInFlight += (float64(rank.inFlight) - rank.meanInFlight) * weight
		entitled := rank.policy.minShare * limit
		service := rank.serviceTime.expected().Seconds()
		rank.credit += (entitled - float64(rank.inFlight)) * elapsed
		rank.credit = max(-service, min(rank.credit, max(service, entitled*maxCreditSeconds)))
	}
}

// sweep refuses waiting calls that can no longer meet their deadline or target. It runs at most once per sweepInterval.
func (s *scheduler) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for _, rank := range s.ranks {
		ahead := 0
		for element := rank.queue.Front(); element != nil; {
			c := element.Value.(*call)
			element = element.Next()
			if refused := s.checkWait(now, c, s.estimateWait(rank, ahead), rank.queue.Len() > 1); refused != nil {
				s.dequeue(c)
				c.decided <- decision{refusal: refused}
				continue
			}
			ahead++
		}
	}
}

// expire refuses a waiting call that can no longer finish within its deadline. It returns the time until the call must start, or
// 0 if the call is no longer waiting.
func (s *scheduler) expire(now time.Time, c *call) time.Duration {
	if c.element == nil {
		return 0
	}
	s.advance(now)
	remaining := c.deadline.Sub(now) - c.rank.serviceTime.expected()
	if remaining > 0 {
		return remaining
	}
	s.dequeue(c)
	c.decided <- decision{refusal: s.newRefusal(c.rank, callctx.DeadlineUnreachable)}
	return 0
}

// tick decays stale estimates, grants free slots and refuses calls that can no longer meet their deadline or target.
func (s *scheduler) tick(now time.Time) {
	s.advance(now)
	for _, rank := range s.ranks {
		rank.serviceTime.decay(now)
	}
	s.dispatch(now)
	s.sweep(now)
}

// refuseAll refuses every waiting call.
func (s *scheduler) refuseAll(reason callctx.Reason) {
	for _, rank := range s.ranks {
		for rank.queue.Len() > 0 {
			c := rank.queue.Front().Value.(*call)
			s.dequeue(c)
			c.decided <- decision{refusal: s.newRefusal(rank, reason)}
		}
	}
}

// newRefusal returns a refusal with outcome NotRun. Its Retry-After is the estimated time in which the queue of the rank drains.
func (s *scheduler) newRefusal(rank *rankState, reason callctx.Reason) *refusal {
	drain := s.estimateWait(rank, rank.queue.Len())
	return &refusal{outcome: callctx.NotRun, reason: reason, retryAfter: max(minRetryAfter, min(drain, maxRetryAfter))}
}

func (s *scheduler) load() callctx.Load {
	return callctx.Load{InFlight: s.inFlight, Limit: s.limiter.current(), Queued: s.queued}
}
