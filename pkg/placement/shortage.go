package placement

import (
	"math/rand/v2"
	"sync"
	"time"
)

// ShortagePolicy holds the parameters of Shortages.
type ShortagePolicy struct {
	// SentPerAccepted is how many calls of a class are sent for each one that was accepted lately. Above 1, calls keep finding out whether
	// there is more room, and a class of which more than its inverse is accepted is not rejected at all.
	SentPerAccepted float64
	// Memory is how long a refusal counts. It is a few times the Retry-After of usual refusals, after which their callers return.
	Memory time.Duration
	// CallWeight is the weight of a call in the share that is accepted.
	CallWeight float64
}

// DefaultShortagePolicy returns the parameters that the nodes use.
func DefaultShortagePolicy() ShortagePolicy {
	return ShortagePolicy{SentPerAccepted: 2, Memory: 100 * time.Millisecond, CallWeight: 0.2}
}

// Shortages decides which calls a node rejects itself, since the endpoints of the service would refuse them anyway: it has learnt which share
// of the calls of the same class and rank they accepted lately. A free slot at any endpoint of the service ends the shortage. It is safe for
// concurrent use.
type Shortages struct {
	policy ShortagePolicy
	now    func() time.Time
	random func() float64

	mu       sync.Mutex
	roomAt   map[string]time.Time // latest report of a free slot, by service
	shortage map[ShortageKey]*shortage
}

// ShortageKey identifies calls that are refused alike.
type ShortageKey struct {
	Service, Class string
	Rank           int
}

type shortage struct {
	accepted   float64 // moving average over calls
	refusedAt  time.Time
	retryAfter time.Duration // of the latest refusal
}

// NewShortages returns the state of a node that knows no shortage. now and random may be nil: time.Now, rand.Float64.
func NewShortages(p ShortagePolicy, now func() time.Time, random func() float64) *Shortages {
	s := &Shortages{policy: p, now: now, random: random, roomAt: make(map[string]time.Time), shortage: make(map[ShortageKey]*shortage)}
	if s.now == nil {
		s.now = time.Now
	}
	if s.random == nil {
		s.random = rand.Float64
	}
	return s
}

// Reject reports whether to reject a call without asking an endpoint, and when its caller is to return.
func (s *Shortages) Reject(k ShortageKey) (retryAfter time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shortage[k]
	if state == nil || !state.refusedAt.After(s.roomAt[k.Service]) || s.now().Sub(state.refusedAt) > s.policy.Memory {
		return 0, false
	}
	return state.retryAfter, s.random() >= s.policy.SentPerAccepted*state.accepted
}

// ObserveReport records a load report of an endpoint of the service.
func (s *Shortages) ObserveReport(service string, l Load) {
	if l.Running+l.Queued >= l.Limit {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roomAt[service] = s.now()
}

// ObserveCall records whether the endpoints accepted a call, and otherwise when its caller is to return.
func (s *Shortages) ObserveCall(k ShortageKey, accepted bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shortage[k]
	if state == nil {
		if accepted {
			return
		}
		if len(s.shortage) >= maxClasses {
			clear(s.shortage)
		}
		state = &shortage{accepted: 1}
		s.shortage[k] = state
	}
	value := 1.0
	if !accepted {
		value, state.refusedAt, state.retryAfter = 0, s.now(), retryAfter
	}
	state.accepted += (value - state.accepted) * s.policy.CallWeight
}
