// Package execution records the request ids of non-idempotent calls on an inbound node, so that each id runs at most once.
//
// An id has an entry from the moment the node accepts it until the entry lifetime has passed. An entry is running, done
// or fenced. A fence guarantees to a resolving node that the id does not run here except by a resend with the ballot of the fence.
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
	maxKeptBodyBytes       = 1 << 20  // a longer response is streamed and not kept
	approximateHeaderBytes = 256      // counted for each kept response in addition to its body
)

// futureTolerance is how far ahead of this node's clock an id may be: the outbound node allows MaxClockSkew on its own
// clock, and this node's clock may be slow by MaxClockSkew.
const futureTolerance = 2 * callctx.MaxClockSkew

// startMargin is how long before the time of an id this node must have started to confirm that none of its earlier
// incarnations ran the id. The time of an id may be ahead of the log clock by twice MaxClockSkew, because the first node
// allows MaxClockSkew on its own clock; the start time of this node may be behind the log clock by MaxClockSkew.
const startMargin = 3 * callctx.MaxClockSkew

// State is the result of a look-up, and the state of an entry. The values are part of the RPC interface.
type State string

// Possible states.
const (
	Done        State = "done"        // the id has run here, or its resend was refused here with final effect
	Running     State = "running"     // the id is queued or running here
	Fencing     State = "fenced"      // the fence is recorded under the ballot of the look-up
	Superseded  State = "superseded"  // a higher ballot is recorded
	Unconfirmed State = "unconfirmed" // this node cannot tell whether the id has run here
)

// Response is the response of a finished call, kept for look-ups.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func (r *Response) size() int64 {
	return int64(len(r.Body)) + approximateHeaderBytes
}

// LookupResult is the result of a look-up. Response is nil if the state is not Done, or if the response was not kept.
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
	Incarnation uint64 // of this node, Unix ms of its start
	// Window returns the log times of the first and the latest acknowledged presence record of this node without a lapse between them.
	// ok is false if there is none.
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

	mu           sync.Mutex
	entries      map[string]*Entry
	entriesByAge *list.List // of *Entry, oldest first
	kept         *list.List // of *Entry with a response, oldest first
	keptBytes    int64
}

// Entry is the record of one request id. The caller of Begin must call Finish or Refuse.
type Entry struct {
	table       *Table
	id          string
	state       State // Running, Done or Fencing
	ballot      Ballot
	created     time.Time
	response    *Response
	ageElement  *list.Element
	keptElement *list.Element
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
	return &Table{options: o, entries: make(map[string]*Entry), entriesByAge: list.New(), kept: list.New()}
}

// Begin accepts an id for execution, or returns why it may not run here. The incarnation is the one that the call names.
// A call with the zero ballot is attempt 1. Any other call is a resend and needs a fence with the same ballot.
func (t *Table) Begin(id string, ballot Ballot, incarnation uint64) (*Entry, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ballot.IsZero() {
		return t.beginResend(id, ballot)
	}
	if refusal := t.checkFirstAttempt(id, incarnation); refusal != nil {
		return nil, refusal
	}
	return t.addEntry(id, Running, ballot), nil
}

// beginResend always refuses with outcome Unknown, because an earlier attempt may have run. A resend, like attempt 1, runs
// only within the window of the presence record: otherwise a later look-up whose roster lacks this node would let the id
// run again on another node. A refusal does not change the fence, so that the resend can be sent to another node.
func (t *Table) beginResend(id string, ballot Ballot) (*Entry, *Refusal) {
	entry, ok := t.entries[id]
	if !ok {
		return nil, &Refusal{callctx.Unknown, callctx.Unresolved}
	}
	if entry.state != Fencing {
		return nil, refuseKnownID(entry)
	}
	if entry.ballot != ballot {
		return nil, &Refusal{callctx.Unknown, callctx.Superseded}
	}
	idTime, err := callctx.IDTime(id)
	if err != nil {
		return nil, &Refusal{callctx.Unknown, callctx.BadRequest}
	}
	if reason, ok := t.checkWindow(idTime); !ok {
		return nil, &Refusal{callctx.Unknown, reason}
	}
	entry.state = Running
	return entry, nil
}

// checkFirstAttempt checks the conditions for attempt 1. It checks for an existing entry first, because a known id must never
// be refused with outcome NotRun.
func (t *Table) checkFirstAttempt(id string, incarnation uint64) *Refusal {
	if entry, ok := t.entries[id]; ok {
		return refuseKnownID(entry)
	}
	idTime, err := callctx.IDTime(id)
	if err != nil {
		return &Refusal{callctx.NotRun, callctx.BadRequest}
	}
	if incarnation != t.options.Incarnation {
		return &Refusal{callctx.NotRun, callctx.WrongIncarnation}
	}
	if reason, ok := t.checkWindow(idTime); !ok {
		return &Refusal{callctx.NotRun, reason}
	}
	now := t.options.Now()
	switch {
	case now.Sub(idTime) >= callctx.MaxFirstAttemptAge:
		return &Refusal{callctx.NotRun, callctx.IDTooOld}
	case idTime.Sub(now) > futureTolerance:
		return &Refusal{callctx.NotRun, callctx.IDInFuture}
	case len(t.entries) >= t.options.MaxEntries:
		return &Refusal{callctx.NotRun, callctx.TableFull}
	}
	return nil
}

// checkWindow checks the time of an id against the window of this node's presence record. Both are fixed times, so the result
// stays valid if the process pauses after the check.
func (t *Table) checkWindow(idTime time.Time) (callctx.Reason, bool) {
	established, renewed, ok := t.options.Window()
	if !ok {
		return callctx.PresenceUnconfirmed, false
	}
	if !idTime.After(established.Add(callctx.MaxClockSkew)) {
		return callctx.IDBeforePresence, false
	}
	if !idTime.Before(renewed.Add(t.options.Retention - callctx.ExecutionEntryTTL - callctx.MaxClockSkew)) {
		return callctx.PresenceExpiring, false
	}
	return "", true
}

func refuseKnownID(entry *Entry) *Refusal {
	switch entry.state {
	case Running:
		return &Refusal{callctx.Unknown, callctx.AlreadyRunning}
	case Done:
		return &Refusal{callctx.Unknown, callctx.AlreadyDone}
	default:
		return &Refusal{callctx.Unknown, callctx.Fenced}
	}
}

// Lookup reports what this node knows about an id. If there is no entry, it records a fence with the ballot. A fence is
// replaced only by one with a higher ballot.
func (t *Table) Lookup(id string, ballot Ballot) LookupResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[id]
	if ok && entry.state != Fencing {
		return LookupResult{State: entry.state, Response: entry.response}
	}
	// An old fence is no confirmation either: presence records of other nodes may have expired from the stream since it was
	// recorded, so the look-up may have missed the node that ran the id.
	idTime, err := callctx.IDTime(id)
	if err != nil || ballot.IsZero() || !t.canConfirm(idTime) {
		return LookupResult{State: Unconfirmed}
	}
	switch {
	case !ok && len(t.entries) >= t.options.MaxEntries:
		return LookupResult{State: Unconfirmed}
	case !ok:
		t.addEntry(id, Fencing, ballot)
	case ballot.Compare(entry.ballot) < 0:
		return LookupResult{State: Superseded}
	default:
		entry.ballot = ballot
	}
	return LookupResult{State: Fencing}
}

// canConfirm reports whether the absence of an entry proves that an id with that time has not run here. It does not if an
// earlier incarnation of this node may have run the id, or if the entry may have expired.
func (t *Table) canConfirm(idTime time.Time) bool {
	started := time.UnixMilli(int64(t.options.Incarnation))
	if started.After(idTime.Add(-startMargin)) {
		return false
	}
	now := t.options.Now()
	return now.Sub(idTime) < callctx.ExecutionEntryTTL-callctx.MaxClockSkew && idTime.Sub(now) <= futureTolerance
}

func (t *Table) addEntry(id string, state State, ballot Ballot) *Entry {
	entry := &Entry{table: t, id: id, state: state, ballot: ballot, created: t.options.Now()}
	entry.ageElement = t.entriesByAge.PushBack(entry)
	t.entries[id] = entry
	return entry
}

// Finish marks the id as done. A nil response means that the call may have run and its response is not known or not kept.
// Only the first call of Finish or Refuse has an effect.
func (e *Entry) Finish(response *Response) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state != Running {
		return
	}
	e.state = Done
	e.table.keepResponse(e, response)
}

// Refuse ends the entry of a call that was provably not passed to the backend server. For attempt 1 it removes the entry, so
// that the outbound node can retry on another node. For a resend it keeps the refusal as the response: the "not-run" of a
// resend is final, so a later look-up must find it and no other resend may run.
func (e *Entry) Refuse(response *Response) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state != Running {
		return
	}
	if e.ballot.IsZero() {
		e.table.removeEntry(e)
		return
	}
	e.state = Done
	e.table.keepResponse(e, response)
}

// keepResponse stores a response and evicts the oldest responses beyond the limits. Entries without their response stay done.
func (t *Table) keepResponse(e *Entry, response *Response) {
	if response == nil || response.size() > maxKeptBodyBytes+approximateHeaderBytes {
		return
	}
	e.response = response
	e.keptElement = t.kept.PushBack(e)
	t.keptBytes += response.size()
	for t.kept.Len() > t.options.MaxKept || t.keptBytes > t.options.MaxKeptBytes {
		t.evictResponse(t.kept.Front().Value.(*Entry))
	}
}

func (t *Table) evictResponse(e *Entry) {
	if e.keptElement == nil {
		return
	}
	t.kept.Remove(e.keptElement)
	t.keptBytes -= e.response.size()
	e.keptElement, e.response = nil, nil
}

func (t *Table) removeEntry(e *Entry) {
	t.evictResponse(e)
	t.entriesByAge.Remove(e.ageElement)
	delete(t.entries, e.id)
}

// Tick removes entries whose lifetime has passed. The lifetime of a running entry is extended.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The time of an id may be later than the creation of its entry, by up to futureTolerance.
	limit := now.Add(-callctx.ExecutionEntryTTL - futureTolerance)
	for count := t.entriesByAge.Len(); count > 0; count-- {
		entry := t.entriesByAge.Front().Value.(*Entry)
		if entry.created.After(limit) {
			return
		}
		if entry.state == Running {
			entry.created = now
			t.entriesByAge.MoveToBack(entry.ageElement)
			continue
		}
		t.removeEntry(entry)
	}
}

// Stats holds the sizes of a table.
type Stats struct {
	Entries, Kept int
	KeptBytes     int64
}

// Stats returns the current sizes of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Entries: len(t.entries), Kept: t.kept.Len(), KeptBytes: t.keptBytes}
}
