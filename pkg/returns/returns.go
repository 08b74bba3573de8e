// Package returns recognises callers that come back after a refusal.
//
// A caller that was refused comes back under a new request id and on a new connection, and nothing in its request says so. But it asks for
// the same thing, and what it states to have left ends at the same moment as before. How long a caller is willing to wait does not tell:
// callers of one route differ in that by more than a refusal takes.
//
// A caller that is recognised brings the moment of its first attempt, from which its target counts.
package returns

import (
	"sync"
	"time"
)

// Refusal is what is kept of a request that was refused.
type Refusal struct {
	Key          uint64    // of what was asked for
	FirstAttempt time.Time // arrival of the caller's first attempt
	Deadline     time.Time // until which the caller waits
	RetryAt      time.Time // when the caller was told to come back
}

const (
	// maxRefusals bounds the memory. Beyond it the oldest refusals are forgotten, and their callers taken for new ones.
	maxRefusals = 2048
	// tolerance is how far two statements of one deadline may lie apart: what is left is stated in whole milliseconds, and either request
	// may have waited to be read.
	tolerance = 40 * time.Millisecond
)

// Tracker holds the refusals of one node. The zero value is ready. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	refusals []Refusal // in the order in which they were added
}

// Add notes a refusal.
func (l *Tracker) Add(now time.Time, r Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.refusals[:0]
	for _, old := range l.refusals {
		if now.Before(old.Deadline) {
			kept = append(kept, old)
		}
	}
	if len(kept) >= maxRefusals {
		kept = append(kept[:0], kept[len(kept)-maxRefusals+1:]...)
	}
	l.refusals = append(kept, r)
}

// Take returns the refusal after which the caller of a request with that key and deadline comes back, and forgets it. It reports
// false for a caller that was not refused here.
func (l *Tracker) Take(key uint64, deadline time.Time) (Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := -1
	for i, r := range l.refusals {
		apart := deadline.Sub(r.Deadline).Abs()
		if r.Key == key && apart <= tolerance && (best < 0 || apart < deadline.Sub(l.refusals[best].Deadline).Abs()) {
			best = i
		}
	}
	if best < 0 {
		return Refusal{}, false
	}
	r := l.refusals[best]
	l.refusals = append(l.refusals[:best], l.refusals[best+1:]...)
	return r, true
}
