package quarantine

import (
	"encoding/hex"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Verdict says what may be done with a request.
type Verdict int

// Verdicts on a request.
const (
	Clear   Verdict = iota // it may be run
	Suspect                // it may be run while the backend server runs no other suspect
	Blocked                // it must not be run
)

// Policy holds the parameters of the decisions.
type Policy struct {
	BlockAfter   int           // independent crashes of backend servers that ran the request
	BaseDuration time.Duration // how long a request is first blocked, and how long it stays a suspect
	// MaxDoublings bounds how often the duration doubles: with each further crash, which shows that the request still crashes backend servers.
	MaxDoublings int
	MaxRecords   int // beyond it, the records that changed longest ago are dropped
	// TurnDuration is how long all attempts of a suspect are sent to the same backend server. It is longer than most attempts take, so that few run at
	// two of them around the end of a turn.
	TurnDuration time.Duration
}

// DefaultPolicy returns the parameters that the nodes use.
func DefaultPolicy() Policy {
	return Policy{BlockAfter: 2, BaseDuration: 10 * time.Minute, MaxDoublings: 3, MaxRecords: 1024, TurnDuration: 5 * time.Second}
}

// Run is a request that a backend server was running when it crashed.
type Run struct {
	Request   Fingerprint
	AsSuspect bool // it was known as a suspect when it was sent to the backend server
}

// Record is what is known of a request.
type Record struct {
	Request Fingerprint `json:"request"`
	Crashed []string    `json:"crashed"`           // processes of backend servers that crashed while they ran it, in ascending order
	Present string      `json:"present,omitempty"` // of them, the one that ran it before it was a suspect; builds before this field leave it out
	Both    bool        `json:"both,omitempty"`    // another node has reported that Present ran it as a suspect
	Cleared bool        `json:"cleared,omitempty"` // a backend server has answered it
	AgeMS   int64       `json:"age_ms,omitempty"`  // time since the latest change
}

// maxProcessBytes bounds the name of a process in a record of another node.
const maxProcessBytes = 128

// entry is a record with the time of its latest change.
type entry struct {
	// present is a process that crashed while it ran the request, which was not known as a suspect when it was sent; "" if there is none. Crashes of such
	// runs are not independent: if several backend servers crash at the same time for any reason, they were all running a popular request. They count as
	// one, for which the least name stands.
	present string
	crashed []string // processes that crashed while they ran it as a suspect, in ascending order
	cleared bool
	changed time.Time
}

// processes returns the processes whose crashes count, in ascending order.
func (e *entry) processes() []string {
	processes := slices.Clone(e.crashed)
	if i, found := slices.BinarySearch(processes, e.present); !found && e.present != "" {
		processes = slices.Insert(processes, i, e.present)
	}
	return processes
}

// crashes returns the number of independent crashes.
func (e *entry) crashes() int {
	if _, found := slices.BinarySearch(e.crashed, e.present); found || e.present == "" {
		return len(e.crashed)
	}
	return len(e.crashed) + 1
}

func (e *entry) isNew() bool { return e.present == "" && len(e.crashed) == 0 }

// Table holds the records of the requests that ran on backend servers when they crashed. It is safe for concurrent use.
type Table struct {
	policy Policy
	size   atomic.Int64

	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	digest   string
	digested bool // digest is of the present entries
}

// NewTable returns an empty table.
func NewTable(p Policy) *Table {
	return &Table{policy: p, entries: make(map[Fingerprint]*entry)}
}

// IsEmpty reports whether there is no record, so that the verdict on every request is Clear.
func (t *Table) IsEmpty() bool { return t.size.Load() == 0 }

// blockDuration returns how long the request is blocked after its latest crash.
func (t *Table) blockDuration(e *entry) time.Duration {
	doublings := min(e.crashes()-t.policy.BlockAfter, t.policy.MaxDoublings)
	if doublings < 0 {
		return 0
	}
	return t.policy.BaseDuration << doublings
}

// verdict returns the verdict on a request, and how long it stays blocked.
func (t *Table) verdict(now time.Time, e *entry) (Verdict, time.Duration) {
	age := now.Sub(e.changed)
	blocked := t.blockDuration(e) - age
	switch {
	case e.cleared, blocked <= -t.policy.BaseDuration:
		return Clear, 0
	case blocked > 0:
		return Blocked, blocked
	}
	return Suspect, 0
}

// Verdict returns what may be done with the request, and for how long if it is Blocked.
func (t *Table) Verdict(now time.Time, request Fingerprint) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	if e == nil {
		return Clear, 0
	}
	return t.verdict(now, e)
}

// Turn returns the number of the present turn of a suspect. It is the same on all nodes, but for the time that messages between them take.
func (t *Table) Turn(now time.Time, request Fingerprint) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	if e == nil {
		return 0
	}
	return int64(now.Sub(e.changed) / t.policy.TurnDuration)
}

// Crashed records that a process of a backend server crashed while it ran the requests. It returns the records that have changed. If several of
// them were running at earlier crashes, this one does not show which of them is the cause, and counts for none of these.
func (t *Table) Crashed(now time.Time, process string, runs []Run) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	asSuspect := distinct(runs)
	suspects := t.suspectsBefore(now, process, asSuspect)
	var changed []Record
	for request, ranAsSuspect := range asSuspect {
		if len(suspects) > 1 && suspects[request] {
			continue
		}
		e := t.entryOf(now, request)
		var isChange bool
		if ranAsSuspect && suspects[request] {
			isChange = e.add([]string{process}, t.maxCrashes())
		} else {
			isChange = e.addPresent(process)
		}
		if isChange {
			e.changed = now
			changed = append(changed, e.record(now, request))
		}
	}
	t.sweep(now)
	return changed
}

// distinct returns for each request whether all of its runs were known as those of a suspect.
func distinct(runs []Run) map[Fingerprint]bool {
	asSuspect := make(map[Fingerprint]bool, len(runs))
	for _, r := range runs {
		known, isKnown := asSuspect[r.Request]
		asSuspect[r.Request] = r.AsSuspect && (known || !isKnown)
	}
	return asSuspect
}

// suspectsBefore returns which of the requests were running when another process crashed, and were not answered since.
func (t *Table) suspectsBefore(now time.Time, process string, requests map[Fingerprint]bool) map[Fingerprint]bool {
	suspects := make(map[Fingerprint]bool)
	for request := range requests {
		e := t.entries[request]
		if e == nil {
			continue
		}
		verdict, _ := t.verdict(now, e)
		if verdict != Clear && slices.ContainsFunc(e.processes(), func(p string) bool { return p != process }) {
			suspects[request] = true
		}
	}
	return suspects
}

// Answered records that a backend server has answered the request. It reports whether that cleared it.
func (t *Table) Answered(now time.Time, request Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	if e == nil || e.cleared {
		return false
	}
	e.cleared, e.changed = true, now
	t.digested = false
	return true
}

// Merge adds the records of another node. It returns the requests that are blocked since, and what the other node lacks about the requests in
// its records.
func (t *Table) Merge(now time.Time, records []Record) (blocked []Fingerprint, lacking []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if !r.valid() {
			continue
		}
		e := t.entryOf(now, r.Request)
		before, _ := t.verdict(now, e)
		if t.mergeRecord(now, e, r) {
			lacking = append(lacking, e.record(now, r.Request))
		}
		if after, _ := t.verdict(now, e); after == Blocked && before != Blocked {
			blocked = append(blocked, r.Request)
		}
	}
	t.sweep(now)
	return blocked, lacking
}

// mergeRecord merges a record into the entry of its request, and reports whether the entry contains more than the record.
func (t *Table) mergeRecord(now time.Time, e *entry, r Record) (more bool) {
	if e.isNew() {
		e.changed = now.Add(-r.age())
	}
	present, crashed := r.split()
	more = e.cleared && !r.Cleared || e.present != "" && (present == "" || e.present < present) ||
		slices.ContainsFunc(e.crashed, func(p string) bool { return !slices.Contains(crashed, p) })
	if present != "" {
		e.addPresent(present)
	}
	e.add(crashed, t.maxCrashes())
	e.cleared = e.cleared || r.Cleared
	if changed := now.Add(-r.age()); changed.After(e.changed) {
		e.changed = changed
	}
	return more
}

// split returns the process that ran the request before it was a suspect, and those that ran it as one. Builds that do not tell them apart do not know of any
// suspect before the first crash.
func (r Record) split() (present string, crashed []string) {
	present = r.Present
	if present == "" && len(r.Crashed) == 1 {
		present = r.Crashed[0]
	}
	return present, slices.DeleteFunc(slices.Clone(r.Crashed), func(p string) bool { return p == present && !r.Both })
}

func (r Record) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

func (r Record) valid() bool {
	return r.AgeMS >= 0 && len(r.Crashed) > 0 && (r.Present == "" || slices.Contains(r.Crashed, r.Present)) && !slices.ContainsFunc(r.Crashed, func(p string) bool { return p == "" || len(p) > maxProcessBytes })
}

// maxCrashes returns how many processes are kept in a record; more do not change the verdict.
func (t *Table) maxCrashes() int { return t.policy.BlockAfter + t.policy.MaxDoublings }

// addPresent adds a process that ran the request before it was a suspect, and reports whether that changed the entry.
func (e *entry) addPresent(process string) (changed bool) {
	if e.present != "" && e.present <= process {
		return false
	}
	e.present = process
	return true
}

// add adds processes that ran the request as a suspect, and reports whether that changed the entry.
func (e *entry) add(processes []string, most int) (changed bool) {
	for _, p := range processes {
		if i, found := slices.BinarySearch(e.crashed, p); !found {
			e.crashed = slices.Insert(e.crashed, i, p)
			changed = true
		}
	}
	if len(e.crashed) > most {
		e.crashed = slices.Clone(e.crashed[:most])
	}
	return changed
}

func (e *entry) record(now time.Time, request Fingerprint) Record {
	return Record{
		Request: request, Crashed: e.processes(), Present: e.present, Both: slices.Contains(e.crashed, e.present),
		Cleared: e.cleared, AgeMS: max(0, now.Sub(e.changed).Milliseconds()),
	}
}

// isExpired reports whether what is known of a request no longer counts.
func (t *Table) isExpired(now time.Time, e *entry) bool {
	return now.Sub(e.changed) >= t.blockDuration(e)+t.policy.BaseDuration
}

// entryOf returns the entry of a request, creating it if there is none or it has expired. The caller must hold mu and call sweep afterwards.
func (t *Table) entryOf(now time.Time, request Fingerprint) *entry {
	e := t.entries[request]
	if e == nil || t.isExpired(now, e) {
		e = &entry{changed: now}
		t.entries[request] = e
	}
	return e
}

// sweep drops entries that have expired, and the oldest ones beyond Policy.MaxRecords. The caller must hold mu.
func (t *Table) sweep(now time.Time) {
	for request, e := range t.entries {
		if t.isExpired(now, e) {
			delete(t.entries, request)
		}
	}
	if excess := len(t.entries) - t.policy.MaxRecords; excess > 0 {
		requests := t.sorted()
		slices.SortStableFunc(requests, func(a, b Fingerprint) int { return t.entries[a].changed.Compare(t.entries[b].changed) })
		for _, request := range requests[:excess] {
			delete(t.entries, request)
		}
	}
	t.size.Store(int64(len(t.entries)))
	t.digested = false
}

// sorted returns the requests in the order of their fingerprints. The caller must hold mu.
func (t *Table) sorted() []Fingerprint {
	requests := make([]Fingerprint, 0, len(t.entries))
	for request := range t.entries {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return requests
}

// shared reports whether an entry is part of what all nodes must agree on: requests that are blocked, or would be if they were not cleared.
func (t *Table) shared(e *entry) bool { return e.crashes() >= t.policy.BlockAfter }

// Shared returns the records that all nodes must agree on, and drops those that have expired.
func (t *Table) Shared(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	var records []Record
	for _, request := range t.sorted() {
		if e := t.entries[request]; t.shared(e) {
			records = append(records, e.record(now, request))
		}
	}
	return records
}

// Get returns the record of a request that is blocked or would be if it were not cleared, and whether there is one.
func (t *Table) Get(now time.Time, request Fingerprint) (Record, bool) {
	return t.find(now, request, t.shared)
}

// Find returns the record of a request, and whether there is one.
func (t *Table) Find(now time.Time, request Fingerprint) (Record, bool) {
	return t.find(now, request, func(*entry) bool { return true })
}

func (t *Table) find(now time.Time, request Fingerprint, matches func(*entry) bool) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[request]
	if e == nil || !matches(e) {
		return Record{}, false
	}
	return e.record(now, request), true
}

// Digest returns a digest of the records that all nodes must agree on, or "" if there are none.
func (t *Table) Digest() string {
	if t.IsEmpty() {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.digested {
		t.digest, t.digested = t.computeDigest(), true
	}
	return t.digest
}

func (t *Table) computeDigest() string {
	digest, isEmpty := fnv.New32a(), true
	for _, request := range t.sorted() {
		e := t.entries[request]
		if !t.shared(e) {
			continue
		}
		isEmpty = false
		digest.Write(request[:])
		for _, process := range e.processes() {
			digest.Write([]byte(process + "\n"))
		}
		if e.cleared {
			digest.Write([]byte("cleared"))
		}
	}
	if isEmpty {
		return ""
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Counts returns the number of suspects and of blocked requests.
func (t *Table) Counts(now time.Time) (suspects, blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch verdict, _ := t.verdict(now, e); verdict {
		case Suspect:
			suspects++
		case Blocked:
			blocked++
		}
	}
	return suspects, blocked
}
