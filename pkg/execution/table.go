// Package execution keeps the request ids of non-idempotent calls on an inbound node, so that each id runs at most once.
//
// An id has an entry from the moment the node accepts it until the entry lifetime has passed. An entry is running, done
// or fenced. A fence promises a resolving node that the id is not run here except by a resend with the fence's ballot.
package execution

import (
	"container/list"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// Default limits of a table.
const (
	DefaultMaxEntries      = 100_000  // at about 200 B each
	DefaultMaxKept         = 2_000    // kept responses
	DefaultMaxKeptBytes    = 16 << 20 // bytes of kept responses
	maxKeptResponseBytes   = 1 << 20  // a longer response is streamed and not kept
	approximateHeaderBytes = 256      // counted for each kept response in addition to its body
)

// futureTolerance is how far ahead of this node's clock an id may be: the outbound node allows ClockError on its own
// clock, and this node's clock may be that much behind.
const futureTolerance = 2 * callctx.MaxClockSkew

// startMargin is how long before the time of an id this node must have started to confirm that no earlier incarnation ran
// it. The time of an id may be ahead of the log clock by twice ClockError, because the first node allows ClockError on its
// own clock; the start time of this node may be behind the log clock by ClockError.
const startMargin = 3 * callctx.MaxClockSkew

// State is the state of an entry as a look-up reports it. The values are part of the RPC interface.
type State string

// The results of a look-up.
const (
	Done        State = "done"        // the id has run here, or was finally refused here as a resend
	Running     State = "running"     // the id is queued or running here
	Fencing     State = "fenced"      // the fence is recorded under the ballot of the look-up
	Superseded  State = "superseded"  // a higher ballot is recorded
	Unconfirmed State = "unconfirmed" // this node cannot know whether the id has run here
)

// Response is the kept response of a finished call.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func (r *Response) size() int64 {
	return int64(len(r.Body)) + approximateHeaderBytes
}

// LookupResult is the answer to a look-up. Response is nil if the state is not Done, or if the response was not kept.
type LookupResult struct {
	State    State     `json:"state"`
	Response *Response `json:"response,omitempty"`
}

// Refusal states why a call may not run here.
type Refusal struct {
	Outcome callctx.Outcome
	Reason  callctx.Reason
}

// Options configures a Table. Zero limits mean the defaults.
type Options struct {
	Incarnation  uint64 // of this node, Unix ms of its start
	Window       func() (established, renewed time.Time, ok bool)
	Retention    time.Duration // of the presence stream
	MaxEntries   int
	MaxKept      int   // kept responses
	MaxKeptBytes int64 // bytes of kept responses
	Now          func() time.Time
}

// Table holds the entries of one inbound node. It is safe for concurrent use.
type Table struct {
	options Options

	mu        sync.Mutex
	entries   map[string]*Entry
	byAge     *list.List // of *Entry, oldest first
	kept      *list.List // of *Entry with a response, oldest first
	keptBytes int64
}

// Entry is the record of one request id. The caller of Begin ends it with Finish or Refuse.
type Entry struct {
	table    *Table
	id       string
	state    State // Running, Done or Fencing
	ballot   Ballot
	created  time.Time
	response *Response
	ageItem  *list.Element
	keptItem *list.Element
}

// New returns an empty table.
func New(o Options) *Table {
	if o.MaxEntries == 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.MaxKept == 0 {
		o.MaxKept = DefaultMaxKept
	}
	if o.MaxKeptBytes == 0 {
		o.MaxKeptBytes = DefaultMaxKeptBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Table{options: o, entries: make(map[string]*Entry), byAge: list.New(), kept: list.New()}
}

// Begin accepts an id for running, or states why it may not run here. Incarnation is the one that the call names. With
// the zero ballot the call is attempt 1; otherwise it is a resend and must meet a fence with exactly its ballot.
func (t *Table) Begin(id string, ballot Ballot, incarnation uint64) (*Entry, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ballot.IsZero() {
		return t.beginResend(id, ballot)
	}
	if refusal := t.checkFirst(id, incarnation); refusal != nil {
		return nil, refusal
	}
	return t.add(id, Running, ballot), nil
}

// beginResend refuses with outcome Unknown throughout: an earlier attempt may have run. A resend, too, runs only within
// the window of the presence record: a later look-up whose roster lacks this node would let the id run again elsewhere.
// A refusal leaves the fence as it is, so that the resend can be sent to another node.
func (t *Table) beginResend(id string, ballot Ballot) (*Entry, *Refusal) {
	entry, ok := t.entries[id]
	if !ok {
		return nil, &Refusal{callctx.Unknown, callctx.Unresolved}
	}
	if entry.state != Fencing {
		return nil, refuseKnown(entry)
	}
	if entry.ballot != ballot {
		return nil, &Refusal{callctx.Unknown, callctx.Superseded}
	}
	made, err := callctx.IDTime(id)
	if err != nil {
		return nil, &Refusal{callctx.Unknown, callctx.BadRequest}
	}
	if reason, ok := t.checkWindow(made); !ok {
		return nil, &Refusal{callctx.Unknown, reason}
	}
	entry.state = Running
	return entry, nil
}

// checkFirst applies the conditions for attempt 1. An existing entry comes first: an id that is known here must never
// be refused with outcome NotRun.
func (t *Table) checkFirst(id string, incarnation uint64) *Refusal {
	if entry, ok := t.entries[id]; ok {
		return refuseKnown(entry)
	}
	made, err := callctx.IDTime(id)
	if err != nil {
		return &Refusal{callctx.NotRun, callctx.BadRequest}
	}
	if incarnation != t.options.Incarnation {
		return &Refusal{callctx.NotRun, callctx.WrongIncarnation}
	}
	if reason, ok := t.checkWindow(made); !ok {
		return &Refusal{callctx.NotRun, reason}
	}
	now := t.options.Now()
	switch {
	case now.Sub(made) >= callctx.MaxFirstAttemptAge:
		return &Refusal{callctx.NotRun, callctx.IDTooOld}
	case made.Sub(now) > futureTolerance:
		return &Refusal{callctx.NotRun, callctx.IDInFuture}
	case len(t.entries) >= t.options.MaxEntries:
		return &Refusal{callctx.NotRun, callctx.TableFull}
	}
	return nil
}

// checkWindow compares the time of an id with the presence record of this node. Both are fixed times, so that a pause
// after the check does no harm.
func (t *Table) checkWindow(made time.Time) (callctx.Reason, bool) {
	established, renewed, ok := t.options.Window()
	if !ok {
		return callctx.PresenceUnconfirmed, false
	}
	if !made.After(established.Add(callctx.MaxClockSkew)) {
		return callctx.IDBeforePresence, false
	}
	if !made.Before(renewed.Add(t.options.Retention - callctx.ExecutionEntryTTL - callctx.MaxClockSkew)) {
		return callctx.PresenceExpiring, false
	}
	return "", true
}

func refuseKnown(entry *Entry) *Refusal {
	switch entry.state {
	case Running:
		return &Refusal{callctx.Unknown, callctx.AlreadyRunning}
	case Done:
		return &Refusal{callctx.Unknown, callctx.AlreadyDone}
	default:
		return &Refusal{callctx.Unknown, callctx.Fenced}
	}
}

// Lookup reports what this node knows about an id. If it has no entry it records a fence with the ballot; a fence is
// replaced only by a higher ballot.
func (t *Table) Lookup(id string, ballot Ballot) LookupResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[id]
	if ok && entry.state != Fencing {
		return LookupResult{State: entry.state, Response: entry.response}
	}
	// An old fence confirms nothing either: the presence records of other nodes may have left the stream since it was
	// recorded, so that the look-up may have missed the node that ran the id.
	made, err := callctx.IDTime(id)
	if err != nil || ballot.IsZero() || !t.canConfirm(made) {
		return LookupResult{State: Unconfirmed}
	}
	switch {
	case !ok && len(t.entries) >= t.options.MaxEntries:
		return LookupResult{State: Unconfirmed}
	case !ok:
		t.add(id, Fencing, ballot)
	case ballot.Compare(entry.ballot) < 0:
		return LookupResult{State: Superseded}
	default:
		entry.ballot = ballot
	}
	return LookupResult{State: Fencing}
}

// canConfirm reports whether the absence of an entry proves that an id made at that time has not run here: an earlier
// incarnation of this node may have run older ids, and entries of ids beyond the lifetime are gone.
func (t *Table) canConfirm(made time.Time) bool {
	started := time.UnixMilli(int64(t.options.Incarnation))
	if started.After(made.Add(-startMargin)) {
		return false
	}
	now := t.options.Now()
	return now.Sub(made) < callctx.ExecutionEntryTTL-callctx.MaxClockSkew && made.Sub(now) <= futureTolerance
}

func (t *Table) add(id string, state State, ballot Ballot) *Entry {
	entry := &Entry{table: t, id: id, state: state, ballot: ballot, created: t.options.Now()}
	entry.ageItem = t.byAge.PushBack(entry)
	t.entries[id] = entry
	return entry
}

// Finish ends the run. A nil response means that the call may have run and its response is not known or not kept.
// Only the first call of Finish or Refuse has an effect.
func (e *Entry) Finish(response *Response) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state != Running {
		return
	}
	e.state = Done
	e.table.keep(e, response)
}

// Refuse ends the entry of a call that was provably not handed to the backend server. Attempt 1 leaves no entry, so
// that the outbound node can try elsewhere. A refused resend leaves the refusal as its kept response: the resend's
// "not-run" is final, so that a later look-up must find it and no other resend may run.
func (e *Entry) Refuse(response *Response) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state != Running {
		return
	}
	if e.ballot.IsZero() {
		e.table.remove(e)
		return
	}
	e.state = Done
	e.table.keep(e, response)
}

// keep stores a response and evicts the oldest ones beyond the limits. Evicted entries stay done.
func (t *Table) keep(e *Entry, response *Response) {
	if response == nil || response.size() > maxKeptResponseBytes+approximateHeaderBytes {
		return
	}
	e.response = response
	e.keptItem = t.kept.PushBack(e)
	t.keptBytes += response.size()
	for t.kept.Len() > t.options.MaxKept || t.keptBytes > t.options.MaxKeptBytes {
		t.drop(t.kept.Front().Value.(*Entry))
	}
}

func (t *Table) drop(e *Entry) {
	if e.keptItem == nil {
		return
	}
	t.kept.Remove(e.keptItem)
	t.keptBytes -= e.response.size()
	e.keptItem, e.response = nil, nil
}

func (t *Table) remove(e *Entry) {
	t.drop(e)
	t.byAge.Remove(e.ageItem)
	delete(t.entries, e.id)
}

// Tick removes entries whose lifetime has passed. Running entries stay until they have finished.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The time in an id may be ahead of the entry's creation by the tolerance.
	limit := now.Add(-callctx.ExecutionEntryTTL - futureTolerance)
	for count := t.byAge.Len(); count > 0; count-- {
		entry := t.byAge.Front().Value.(*Entry)
		if entry.created.After(limit) {
			return
		}
		if entry.state == Running {
			entry.created = now
			t.byAge.MoveToBack(entry.ageItem)
			continue
		}
		t.remove(entry)
	}
}

// Stats are the sizes of a table.
type Stats struct {
	Entries, Kept int
	KeptBytes     int64
}

// Stats returns the current sizes.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Entries: len(t.entries), Kept: t.kept.Len(), KeptBytes: t.keptBytes}
}
