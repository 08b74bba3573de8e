// Package announce tracks the state of a node's backend server from its announcements. Announcements may be delayed, out of
// order, sent by a process that has ended, or sent by something that is not the backend server of this node.
package announce

import (
	"cmp"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Announcement is the state that a backend server reports about itself.
type Announcement struct {
	ID            string // instance ID; a restarted process may reuse it
	Service       string
	Address       string // "ip:port"
	Version       string // of its software; "" if not reported
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // remaining time of the cold start
	Sequence      int64         // increases with each announcement of one process
	StartTimeMS   int64         // process start, Unix ms; 0 if not reported
}

// Verdict is the result of processing an announcement.
type Verdict string

// Possible verdicts.
const (
	Accepted Verdict = "accepted"
	Stale    Verdict = "stale"   // a newer announcement or a newer process is known
	Ended    Verdict = "ended"   // the process has already left
	Foreign  Verdict = "foreign" // it is not about the backend server of this node
	// Unconfirmed is the verdict on an announcement after a node restart if the instance may have left before the restart; see IsConfirmed.
	Unconfirmed Verdict = "unconfirmed"
)

// Tracker holds the state of the backend server of a node. It is not safe for concurrent use.
type Tracker struct {
	current        *Announcement
	since          time.Time // when the process of current was first observed
	lastSeen       time.Time
	endedProcesses []process
}

// process identifies one run of a backend server.
type process struct {
	instanceID  string
	startTimeMS int64
	expires     time.Time // when this entry becomes ineffective; zero: never
}

// MaxDelay is the longest expected delay of an announcement. When an unknown instance leaves, announcements of its earlier processes are
// rejected for this long.
const MaxDelay = 30 * time.Second

// maxEndedProcesses bounds the list of ended processes. Announcements are delayed by seconds, and a machine does not start
// this many processes in that time.
const maxEndedProcesses = 64

// Current returns the latest accepted announcement, or nil if the backend server has left or expired.
func (t *Tracker) Current() *Announcement { return t.current }

// Observe processes an announcement and updates the current state if the announcement is accepted.
func (t *Tracker) Observe(now time.Time, a Announcement) Verdict {
	for _, p := range t.endedProcesses {
		if p.instanceID == a.ID && a.StartTimeMS <= p.startTimeMS && (p.expires.IsZero() || now.Before(p.expires)) {
			return Ended
		}
	}
	if c := t.current; c != nil {
		if order := cmp.Or(cmp.Compare(a.StartTimeMS, c.StartTimeMS), t.compareSequences(a, c)); order < 0 {
			return Stale
		}
	}
	if t.IsCurrentProcess(a) {
		a.Draining = a.Draining || t.current.Draining // draining is final for a process
	} else {
		t.since = now
	}
	t.current = &a
	t.lastSeen = now
	return Accepted
}

// IsCurrentProcess reports whether the announcement is of the current process. If the start of that is unknown, it is of any process that started
// before it was observed.
func (t *Tracker) IsCurrentProcess(a Announcement) bool {
	c := t.current
	if c == nil || c.ID != a.ID {
		return false
	}
	return c.StartTimeMS == a.StartTimeMS || c.StartTimeMS == 0 && a.StartTimeMS <= t.since.UnixMilli()
}

// Drain records that the process of the current announcement is leaving.
func (t *Tracker) Drain() {
	if t.current != nil {
		draining := *t.current
		draining.Draining = true
		t.current = &draining
	}
}

// compareSequences compares the sequence numbers of two announcements. It returns 0 if they are from different instances.
func (t *Tracker) compareSequences(a Announcement, c *Announcement) int {
	if a.ID != c.ID {
		return 0
	}
	return cmp.Compare(a.Sequence, c.Sequence)
}

// Leave records that an instance leaves and reports whether it is the current one. If the instance or its start is unknown, for example
// after a restart of this process, every process of the instance that started before now counts as ended. "Now" is the later of the wall
// clock, which may have been set back, and the monotonic clock, which stops while the machine is suspended.
func (t *Tracker) Leave(now time.Time, id string) bool {
	ended := process{id, max(now.UnixMilli(), clock.UnixMilli(now)), now.Add(MaxDelay)}
	isCurrent := t.current != nil && t.current.ID == id
	if isCurrent {
		ended.expires = time.Time{}
		if t.current.StartTimeMS != 0 {
			ended.startTimeMS = t.current.StartTimeMS
		}
	}
	t.endedProcesses = append(t.endedProcesses, ended)
	if len(t.endedProcesses) > maxEndedProcesses {
		t.endedProcesses = t.endedProcesses[1:]
	}
	if isCurrent {
		t.current = nil
	}
	return isCurrent
}

// Expire removes the backend server if nothing was received from it for the duration after. It reports whether it did.
func (t *Tracker) Expire(now time.Time, after time.Duration) bool {
	if t.current == nil || now.Sub(t.lastSeen) < after {
		return false
	}
	t.current = nil
	return true
}

// RecordActivity records evidence, other than an announcement, that the backend server is alive.
func (t *Tracker) RecordActivity(now time.Time) { t.lastSeen = now }
