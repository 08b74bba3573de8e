// Package announce decides what the announcements of a backend server mean. Announcements arrive late, out of order, from
// processes that have ended, and from writers that are no backend server.
package announce

import (
	"cmp"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Announcement is what a backend server says about itself.
type Announcement struct {
	ID            string // of the instance; a process that starts again may keep it
	Service       string
	Address       string // "ip:port"
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // how much longer its start makes it slow
	Sequence      int64         // grows with each announcement of one process
	StartTimeMS   int64         // start of the process, Unix ms; 0: not stated
}

// Verdict says what became of an announcement.
type Verdict string

// The verdicts.
const (
	Accepted Verdict = "accepted"
	Stale    Verdict = "stale"   // a later announcement, or a later process, is known
	Ended    Verdict = "ended"   // the process has said that it leaves
	Foreign  Verdict = "foreign" // it does not concern the backend server beside this node
	// Unconfirmed is the first announcement after a restart of the node, of an instance that the node before may have seen leaving. It is
	// not taken; the next one is.
	Unconfirmed Verdict = "unconfirmed"
)

// Tracker holds the state of the one backend server beside a node. It is not safe for concurrent use.
type Tracker struct {
	current *Announcement
	seen    time.Time
	ended   []process
}

// process identifies one run of a backend server.
type process struct {
	id    string
	born  int64
	until time.Time // from then on it is forgotten; zero: never
}

// lateFor is how late an announcement may be. What was assumed about an instance that this process did not know holds for so long.
const lateFor = 30 * time.Second

// maxEnded bounds the memory of processes that have ended. Announcements are late by seconds, and a machine does not start
// so many processes in that time.
const maxEnded = 64

// Current returns the latest accepted announcement, or nil if the backend server has left or lapsed.
func (t *Tracker) Current() *Announcement { return t.current }

// Observe takes in an announcement.
func (t *Tracker) Observe(now time.Time, a Announcement) Verdict {
	for _, p := range t.ended {
		if p.id == a.ID && a.StartTimeMS <= p.born && (p.until.IsZero() || now.Before(p.until)) {
			return Ended
		}
	}
	if c := t.current; c != nil {
		if order := cmp.Or(cmp.Compare(a.StartTimeMS, c.StartTimeMS), t.sameProcess(a, c)); order < 0 {
			return Stale
		}
		if c.ID == a.ID && c.StartTimeMS == a.StartTimeMS && c.Draining {
			a.Draining = true // a process that leaves does not come back
		}
	}
	t.current = &a
	t.seen = now
	return Accepted
}

// sameProcess compares the sequences of announcements by one process.
func (t *Tracker) sameProcess(a Announcement, c *Announcement) int {
	if a.ID != c.ID {
		return 0
	}
	return cmp.Compare(a.Sequence, c.Sequence)
}

// Leave takes in that the instance leaves. It reports whether that is the current one. Of an instance that is not known, as
// after a restart of this process, every run that began until now has ended: by the later of the time of day, which may have been
// set back, and the steady clock, which does not count a suspension.
func (t *Tracker) Leave(now time.Time, id string) bool {
	ended := process{id, max(now.UnixMilli(), clock.UnixMilli(now)), now.Add(lateFor)}
	known := t.current != nil && t.current.ID == id
	if known {
		ended.born, ended.until = t.current.StartTimeMS, time.Time{}
	}
	t.ended = append(t.ended, ended)
	if len(t.ended) > maxEnded {
		t.ended = t.ended[1:]
	}
	if known {
		t.current = nil
	}
	return known
}

// Expire forgets a backend server that was not heard of for so long. It reports whether it did.
func (t *Tracker) Expire(now time.Time, after time.Duration) bool {
	if t.current == nil || now.Sub(t.seen) < after {
		return false
	}
	t.current = nil
	return true
}

// RecordActivity notes a sign of life other than an announcement.
func (t *Tracker) RecordActivity(now time.Time) { t.seen = now }
