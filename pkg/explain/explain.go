// Package explain keeps a bounded record of the decisions of a node, so that an operator can ask why a call was
// refused, an endpoint ejected or a version held back.
package explain

import (
	"sync"
	"time"
)

// Kind names a decision.
type Kind string

// The kinds of decisions.
const (
	Refused      Kind = "refused" // a call was refused
	Ejected      Kind = "ejected" // an endpoint is not used for a while
	Readmitted   Kind = "readmitted"
	Suspected    Kind = "suspected" // a member does not answer
	DeclaredDead Kind = "declared_dead"
	Refuted      Kind = "refuted"   // a suspicion was taken back
	HeldBack     Kind = "held_back" // a version is not activated yet
	Activated    Kind = "activated" // a version was activated
	Rejected     Kind = "rejected"  // a record was not accepted
	Repaired     Kind = "repaired"  // a divergence was repaired
	Limited      Kind = "limited"   // an in-flight limit was changed
	Fenced       Kind = "fenced"    // an earlier attempt of a call was fenced
)

// Event is one decision.
type Event struct {
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"` // what it is about: request id, member id, version or route
	Cause   string    `json:"cause"`
	Count   int       `json:"count,omitempty"` // how often in a row, if more than once
}

// Recorder keeps the latest events. It is safe for concurrent use. A nil Recorder drops events.
type Recorder struct {
	mu     sync.Mutex
	events []Event
	next   int
	limit  int
}

// NewRecorder returns a recorder of up to limit events.
func NewRecorder(limit int) *Recorder {
	return &Recorder{limit: limit}
}

// Add records an event, overwriting the oldest one when the recorder is full.
func (r *Recorder) Add(e Event) {
	if r == nil || r.limit == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < r.limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.limit
}

// Events returns the events about a subject, oldest first. An empty subject selects all.
func (r *Recorder) Events(subject string) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if subject == "" || e.Subject == subject {
			selected = append(selected, e)
		}
	}
	return selected
}
