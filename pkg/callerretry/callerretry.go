// Package callerretry recognises retries by callers whose earlier attempt was refused.
//
// A refused caller retries under a new request id and on a new connection, and the request does not say that it is a retry. But the
// requested resource is the same, and the time left that it states leads to the same deadline. The timeout alone does not identify a retry:
// the timeouts of callers of one route differ by more than a refusal takes.
//
// A recognised retry gets the time of the caller's first attempt, from which its latency target counts.
package callerretry

import (
	"sync"
	"time"
)

// Refusal describes a refused request.
type Refusal struct {
	Key          uint64    // hash of the requested resource
	FirstAttempt time.Time // arrival of the caller's first attempt
	Deadline     time.Time // when the caller stops waiting
	RetryAt      time.Time // when Retry-After asked the caller to retry
}

const (
	// maxRefusals bounds the memory. Beyond it the oldest refusals are dropped, and retries of their callers count as first attempts.
	maxRefusals = 2048
	// deadlineTolerance is how far the deadlines of two attempts of one caller may differ: the time left is stated in whole milliseconds,
	// and either request may have waited before it was read.
	deadlineTolerance = 40 * time.Millisecond
)

// Tracker records the refusals of one node. The zero value is ready. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	refusals []Refusal // oldest first
}

// Add records a refusal and drops those whose deadline has passed.
func (t *Tracker) Add(now time.Time, r Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.refusals[:0]
	for _, old := range t.refusals {
		if now.Before(old.Deadline) {
			kept = append(kept, old)
		}
	}
	if len(kept) >= maxRefusals {
		kept = append(kept[:0], kept[len(kept)-maxRefusals+1:]...)
	}
	t.refusals = append(kept, r)
}

// Take removes and returns the refusal that matches the key and is closest to the deadline, within deadlineTolerance. It returns false
// if this node refused no such request.
func (t *Tracker) Take(key uint64, deadline time.Time) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := -1
	for i, r := range t.refusals {
		difference := deadline.Sub(r.Deadline).Abs()
		if r.Key == key && difference <= deadlineTolerance && (best < 0 || difference < deadline.Sub(t.refusals[best].Deadline).Abs()) {
			best = i
		}
	}
	if best < 0 {
		return Refusal{}, false
	}
	r := t.refusals[best]
	t.refusals = append(t.refusals[:best], t.refusals[best+1:]...)
	return r, true
}
