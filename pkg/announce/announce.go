// Package announce tracks the state of a node's backend server from its announcements. Announcements may be delayed, out of
// order, sent by a process that has ended, or sent by something that is not the backend server of this node.
package announce

import (
	"cmp"
	"slices"
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
	Connection    int64         // position of the connection that carried it in the order in which connections were accepted; 0: unknown
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
	current         *Announcement
	since           time.Time // when the process of current was first observed
	firstConnection int64     // first connection that carried an announcement of the process of current; 0: unknown
	lastSeen        time.Time
	expired         *Announcement // the latest one of the process that expired last; nil: none, or it has left
	endedProcesses  []process
}

// process identifies one run of a backend server.
type process struct {
	instanceID  string
	startTimeMS int64
	left        time.Time // when its departure was received
	expires     time.Time // when this entry becomes ineffective; zero: never
}

// covers reports whether the announcement is of a process that has ended.
func (p *process) covers(now time.Time, a *Announcement) bool {
	return p.instanceID == a.ID && a.StartTimeMS <= p.startTimeMS && (p.expires.IsZero() || now.Before(p.expires))
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
	if slices.ContainsFunc(t.endedProcesses, func(p process) bool { return p.covers(now, &a) }) {
		return Ended
	}
	isCurrent := t.IsCurrentProcess(a)
	if isCurrent && (t.firstConnection == 0 || a.Connection != 0 && a.Connection < t.firstConnection) {
		t.firstConnection = a.Connection
	}
	if c := t.current; c != nil {
		if order := cmp.Or(cmp.Compare(a.StartTimeMS, c.StartTimeMS), t.compareSequences(a, c)); order < 0 {
			return Stale
		}
	}
	if isCurrent {
		a.Draining = a.Draining || t.current.Draining // draining is final for a process
	} else {
		t.since, t.firstConnection = now, a.Connection
	}
	t.current, t.expired = &a, nil
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

// IsOfEarlierProcess reports whether a departure that arrives over a connection is that of an earlier process with the ID of the current one. Such a
// departure may be processed after the first announcement of the current process, for example when this process was paused meanwhile. It arrives over
// a connection that was accepted before any connection of the current process.
func (t *Tracker) IsOfEarlierProcess(id string, connection int64) bool {
	c := t.current
	return c != nil && c.ID == id && c.StartTimeMS != 0 && connection != 0 && connection < t.firstConnection
}

// Leave records that an instance leaves, as it says over a connection (0: unknown), and reports whether it is the current one. If the instance or its
// start is unknown, for example after a restart of this process, every process of the instance that started before now counts as ended. "Now" is the
// later of the wall clock, which may have been set back, and the monotonic clock, which stops while the machine is suspended.
func (t *Tracker) Leave(now time.Time, id string, connection int64) bool {
	ended := process{id, max(now.UnixMilli(), clock.UnixMilli(now)), now, now.Add(MaxDelay)}
	isCurrent := false
	switch known := cmp.Or(t.current, t.expired); {
	case known == nil || known.ID != id:
	case t.IsOfEarlierProcess(id, connection):
		ended.startTimeMS, ended.expires = known.StartTimeMS-1, time.Time{}
	default:
		isCurrent = known == t.current
		t.current, t.expired = nil, nil
		if isCurrent || known.StartTimeMS != 0 {
			ended.expires = time.Time{}
		}
		if known.StartTimeMS != 0 {
			ended.startTimeMS = known.StartTimeMS
		}
	}
	t.endedProcesses = append(t.endedProcesses, ended)
	if len(t.endedProcesses) > maxEndedProcesses {
		t.endedProcesses = t.endedProcesses[1:]
	}
	return isCurrent
}

// HasOutlivedDeparture reports whether a process that counts as ended sends an announcement so late that it sent it after its departure was received:
// that was the departure of an earlier process, or the process has stayed.
func (t *Tracker) HasOutlivedDeparture(now time.Time, a Announcement) bool {
	hasOutlived := false
	for _, p := range t.endedProcesses {
		if !p.covers(now, &a) {
			continue
		}
		if now.Sub(p.left) < MaxDelay {
			return false
		}
		hasOutlived = true
	}
	return hasOutlived
}

// Readmit makes the process of an announcement count as one that has not left.
func (t *Tracker) Readmit(now time.Time, a Announcement) {
	t.endedProcesses = slices.DeleteFunc(t.endedProcesses, func(p process) bool { return p.covers(now, &a) })
}

// Expire removes the backend server if nothing was received from it for the duration after. It reports whether it did.
func (t *Tracker) Expire(now time.Time, after time.Duration) bool {
	if t.current == nil || now.Sub(t.lastSeen) < after {
		return false
	}
	t.current, t.expired = nil, t.current
	return true
}

// RecordActivity records evidence, other than an announcement, that the backend server is alive.
func (t *Tracker) RecordActivity(now time.Time) { t.lastSeen = now }
