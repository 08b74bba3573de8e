package inbound

import (
	"container/list"
	"math"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// rankPolicy is the configuration of one rank.
type rankPolicy struct {
	name   string
	share  float64 // part of the slots, 0 to 1
	target time.Duration
}

// rankState is the queue and the accounting of one rank.
type rankState struct {
	policy   rankPolicy
	queue    *list.List // of *call
	inFlight int
	used     float64 // moving average of inFlight
	service  serviceEstimate

	// credit is the entitlement of the rank in slot seconds: it grows with the share and falls with the slots in use.
	credit float64
}

// call is one call from its admission to its end.
type call struct {
	rank      *rankState
	arrived   time.Time
	deadline  time.Time
	granted   time.Time // zero while queued
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
	retryAfter time.Duration // 0: no useful time is known
}

// result is what a finished call showed about the backend server.
type result struct {
	answered bool // the service time is a valid sample
	shed     bool // the backend server answered 503 or 429, or refused the connection
	timedOut bool // the deadline passed while the backend server worked
}

// scheduler decides which call gets a slot of the backend server, and when. It is a pure function of its calls and the
// times passed to them; the caller serialises the calls.
//
// Of the ranks with waiting calls, the most urgent one that is below its minimum share goes first, then the most urgent
// one. A rank is below its share while its credit is not negative and it holds fewer slots than its share. Credit is
// bounded on both sides, so that a rank that borrowed unused slots, or that was idle, gets its share at once when it
// comes back, and little more than its share. A rank keeps its credit through the gaps between its calls and may use one
// more slot while it has the credit for a call; otherwise random arrivals at little more than its share lose part of it.
type scheduler struct {
	ranks      []*rankState // most urgent first
	limiter    *limiter
	queueLimit int
	inFlight   int
	queued     int
	advanced   time.Time
	swept      time.Time
	progressed time.Time // of the latest grant or end of a call
}

const (
	creditSeconds = 0.5                   // credit that a rank can gather while it asks for less than its share, in seconds of its share
	sweepInterval = 10 * time.Millisecond // least time between two searches for hopeless calls
	stallFactor   = 2                     // cautious service times without progress after which a stall is assumed
	maxWait       = time.Hour             // keeps estimates within the range of a duration
	minRetryAfter = time.Second           // resolution of Retry-After
	maxRetryAfter = 30 * time.Second
)

func newScheduler(limiter *limiter, queueLimit int, policies []rankPolicy) *scheduler {
	s := &scheduler{limiter: limiter, queueLimit: queueLimit}
	s.setRanks(policies)
	return s
}

// setRanks takes over a new configuration. Ranks keep their state by name. A rank that is gone keeps its waiting calls,
// after all others and without a share, until it is empty.
func (s *scheduler) setRanks(policies []rankPolicy) {
	known := make(map[string]*rankState)
	for _, rank := range s.ranks {
		known[rank.policy.name] = rank
	}
	var ranks []*rankState
	for _, policy := range policies {
		rank, ok := known[policy.name]
		if !ok {
			rank = &rankState{queue: list.New()}
		}
		delete(known, policy.name)
		rank.policy = policy
		ranks = append(ranks, rank)
	}
	for _, rank := range s.ranks {
		if _, gone := known[rank.policy.name]; gone && rank.queue.Len()+rank.inFlight > 0 {
			rank.policy.share = 0
			ranks = append(ranks, rank)
		}
	}
	s.ranks = ranks
}

// rank returns the state of a rank, or the least urgent one if the name is unknown here.
func (s *scheduler) rank(name string) *rankState {
	for _, rank := range s.ranks {
		if rank.policy.name == name {
			return rank
		}
	}
	return s.ranks[len(s.ranks)-1]
}

// offer admits, queues or refuses a new call.
func (s *scheduler) offer(now time.Time, c *call) {
	s.advance(now)
	if refused := s.check(now, c); refused != nil {
		c.decided <- decision{refusal: refused}
		return
	}
	c.element = c.rank.queue.PushBack(c)
	s.queued++
	s.dispatch(now)
}

// check refuses a call that cannot finish in time behind the calls that wait already.
func (s *scheduler) check(now time.Time, c *call) *refusal {
	if !now.Before(c.deadline) {
		return s.refuse(c.rank, callctx.DeadlineExpired)
	}
	if s.inFlight == 0 && s.queued == 0 {
		return nil // an idle backend server takes any call, so that a wrong estimate corrects itself
	}
	if c.rank.queue.Len() >= s.queueLimit {
		return s.refuse(c.rank, callctx.RankOverShare)
	}
	return s.checkWait(now, c, s.wait(c.rank, c.rank.queue.Len()), c.rank.queue.Len() > 0)
}

// checkWait refuses a call that would start after wait and then miss its deadline. While others of its rank wait too, it
// also refuses one that would miss the latency target of its rank: its slot is worth more to a call that is in time.
func (s *scheduler) checkWait(now time.Time, c *call, wait time.Duration, others bool) *refusal {
	start := now.Add(wait)
	if start.Add(c.rank.service.expected()).After(c.deadline) {
		return s.refuse(c.rank, callctx.DeadlineUnreachable)
	}
	if others && start.Sub(c.arrived) > c.rank.patience() {
		return s.refuse(c.rank, callctx.RankOverShare)
	}
	return nil
}

// patience is the longest wait after which a call of the rank usually still meets its target. A quarter of the target
// remains when the service time alone exceeds it.
func (r *rankState) patience() time.Duration {
	return max(r.policy.target-r.service.cautious(), r.policy.target/4)
}

// wait estimates when a call with that many calls of its rank ahead gets a slot.
func (s *scheduler) wait(rank *rankState, ahead int) time.Duration {
	if s.inFlight < s.limiter.current() && s.queued == 0 {
		return 0
	}
	urgent := 0.0 // slot seconds of more urgent calls that wait
	for _, other := range s.ranks {
		if other == rank {
			break
		}
		urgent += float64(other.queue.Len()) * other.service.expected().Seconds()
	}
	interval := rank.service.expected().Seconds() / s.available(rank)
	// When nothing has ended for long, the queue drains no faster than one call in that time.
	if stalled := s.advanced.Sub(s.progressed); s.inFlight > 0 && stalled > stallFactor*rank.service.cautious() {
		interval = max(interval, stalled.Seconds())
	}
	seconds := (float64(ahead)+0.5)*interval + urgent/float64(s.limiter.current())
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// available estimates the slots that a rank can use now: what the more urgent ranks and the minimum shares of the less
// urgent ones leave, and at least its own share.
func (s *scheduler) available(rank *rankState) float64 {
	limit := float64(s.limiter.current())
	left := limit
	urgent := true
	for _, other := range s.ranks {
		switch {
		case other == rank:
			urgent = false
		case urgent:
			left -= other.used
		default:
			left -= min(other.used, other.policy.share*limit)
		}
	}
	// A twentieth of the slots keeps the estimate finite for a rank without a share.
	return max(left, rank.policy.share*limit, limit/20)
}

// dispatch grants free slots to waiting calls.
func (s *scheduler) dispatch(now time.Time) {
	for s.inFlight < s.limiter.current() {
		rank := s.pick()
		if rank == nil {
			return
		}
		c := rank.queue.Front().Value.(*call)
		s.unqueue(c)
		idle := s.inFlight == 0
		if refused := s.checkWait(now, c, 0, rank.queue.Len() > 0); refused != nil && !(idle && now.Before(c.deadline)) {
			c.decided <- decision{refusal: refused}
			continue
		}
		s.grant(now, c)
	}
}

func (s *scheduler) grant(now time.Time, c *call) {
	c.granted = now
	s.progressed = now
	c.rank.inFlight++
	s.inFlight++
	c.saturated = s.inFlight >= s.limiter.current()
	c.decided <- decision{}
}

// pick returns the rank whose first waiting call goes next, or nil if none waits.
func (s *scheduler) pick() *rankState {
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
	entitled := rank.policy.share * float64(s.limiter.current())
	allowed := math.Ceil(entitled)
	if rank.credit >= rank.service.expected().Seconds() {
		allowed++ // catches up on a gap between its calls
	}
	return rank.credit >= 0 && float64(rank.inFlight) < allowed
}

func (s *scheduler) unqueue(c *call) {
	c.rank.queue.Remove(c.element)
	c.element = nil
	s.queued--
}

// cancel withdraws a waiting call. It reports false if the call has been decided already.
func (s *scheduler) cancel(c *call) bool {
	if c.element == nil {
		return false
	}
	s.unqueue(c)
	return true
}

// finish frees the slot of a granted call.
func (s *scheduler) finish(now time.Time, c *call, r result) {
	s.advance(now)
	switch {
	case r.shed:
		s.limiter.shed(now, s.inFlight)
	case r.timedOut:
		// The true service time is longer. Without this sample a rank whose calls all time out would keep a low estimate.
		c.rank.service.add(now, max(now.Sub(c.granted), c.rank.service.mean))
	case r.answered:
		c.rank.service.add(now, now.Sub(c.granted))
		s.limiter.succeeded(now, c.saturated, c.rank.service.mean, c.rank.service.inflation())
	}
	c.rank.inFlight--
	s.inFlight--
	s.progressed = now
	s.dispatch(now)
	s.sweep(now)
}

// advance brings credits and usage averages to now.
func (s *scheduler) advance(now time.Time) {
	elapsed := now.Sub(s.advanced).Seconds()
	if s.advanced.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	s.advanced = now
	weight := 1 - math.Exp(-elapsed/usageWindow.Seconds())
	limit := float64(s.limiter.current())
	for _, rank := range s.ranks {
		rank.used += (float64(rank.inFlight) - rank.used) * weight
		entitled := rank.policy.share * limit
		service := rank.service.expected().Seconds()
		rank.credit += (entitled - float64(rank.inFlight)) * elapsed
		rank.credit = max(-service, min(rank.credit, max(service, entitled*creditSeconds)))
	}
}

// sweep refuses waiting calls that have become hopeless, at most once for each sweepInterval.
func (s *scheduler) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for _, rank := range s.ranks {
		ahead := 0
		for element := rank.queue.Front(); element != nil; {
			c := element.Value.(*call)
			element = element.Next()
			if refused := s.checkWait(now, c, s.wait(rank, ahead), rank.queue.Len() > 1); refused != nil {
				s.unqueue(c)
				c.decided <- decision{refusal: refused}
				continue
			}
			ahead++
		}
	}
}

// expire refuses a waiting call that can no longer finish within its deadline. It returns how long the call has left, or
// 0 if it does not wait any more.
func (s *scheduler) expire(now time.Time, c *call) time.Duration {
	if c.element == nil {
		return 0
	}
	s.advance(now)
	left := c.deadline.Sub(now) - c.rank.service.expected()
	if left > 0 {
		return left
	}
	s.unqueue(c)
	c.decided <- decision{refusal: s.refuse(c.rank, callctx.DeadlineUnreachable)}
	return 0
}

// tick ages estimates and refuses hopeless calls.
func (s *scheduler) tick(now time.Time) {
	s.advance(now)
	for _, rank := range s.ranks {
		rank.service.age(now)
	}
	s.dispatch(now)
	s.sweep(now)
}

// refuseAll refuses every waiting call.
func (s *scheduler) refuseAll(reason callctx.Reason) {
	for _, rank := range s.ranks {
		for rank.queue.Len() > 0 {
			c := rank.queue.Front().Value.(*call)
			s.unqueue(c)
			c.decided <- decision{refusal: s.refuse(rank, reason)}
		}
	}
}

// refuse builds a refusal. Its Retry-After is the time in which the queue of the rank drains at its present rate.
func (s *scheduler) refuse(rank *rankState, reason callctx.Reason) *refusal {
	drain := s.wait(rank, rank.queue.Len())
	return &refusal{outcome: callctx.NotRun, reason: reason, retryAfter: max(minRetryAfter, min(drain, maxRetryAfter))}
}

func (s *scheduler) load() callctx.Load {
	return callctx.Load{InFlight: s.inFlight, Limit: s.limiter.current(), Queued: s.queued}
}
