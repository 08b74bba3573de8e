package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of hash buckets of the table whose digests an anti-entropy exchange compares.
const digestBuckets = 64

// Table holds the known members. Merging is commutative, associative and idempotent: the same updates in any order result in the
// same table on every member. It is not safe for concurrent use.
type Table struct {
	retention time.Duration // how long dead and left members are kept
	entries   map[string]*entry
	digests   [digestBuckets]uint32
	changes   uint64 // incremented at each change
	ended     int    // number of dead and left members
}

type entry struct {
	Member
	hash         uint64
	version      uint32    // contribution of this entry to its bucket's digest
	endedAt      time.Time // when the member died or left; zero if it is alive or suspect
	countedEnded bool      // included in Table.ended
}

// change describes the effect of a merge.
type change struct {
	status              bool // incarnation, counter or status
	endpoint            bool
	replaced            bool // a higher incarnation or a new member
	reappeared          bool // was dead or left, is alive or suspect again
	previous            Status
	previousIncarnation uint64
}

func (c change) changed() bool {
	return c.status || c.endpoint
}

// NewTable returns an empty table that keeps dead and left members for the given retention.
func NewTable(retention time.Duration) *Table {
	return &Table{retention: retention, entries: make(map[string]*entry)}
}

// Merge merges the state of one member and reports whether the table changed. Age is the time since a dead or left member ended;
// it is ignored for other members.
func (t *Table) Merge(now time.Time, m Member, age time.Duration) bool {
	return t.merge(now, m, age).changed()
}

func (t *Table) merge(now time.Time, m Member, age time.Duration) change {
	if m.Status.ended() && age >= t.retention {
		return change{}
	}
	known, ok := t.entries[m.ID]
	if !ok {
		return t.insert(now, m, age)
	}
	if m.Incarnation < known.Incarnation {
		return change{}
	}
	if m.Incarnation > known.Incarnation {
		c := change{status: true, replaced: true, reappeared: known.Status.ended() && !m.Status.ended(),
			previous: known.Status, previousIncarnation: known.Incarnation}
		t.replace(now, known, m, age)
		return c
	}
	return t.mergeSameIncarnation(now, known, m, age)
}

func (t *Table) insert(now time.Time, m Member, age time.Duration) change {
	e := &entry{hash: hashID(m.ID)}
	t.entries[m.ID] = e
	t.replace(now, e, m, age)
	return change{status: true, replaced: true}
}

func (t *Table) replace(now time.Time, e *entry, m Member, age time.Duration) {
	e.Member = m
	e.endedAt = time.Time{}
	if m.Endpoint != nil {
		endpoint := *m.Endpoint
		e.Endpoint = &endpoint
	}
	if m.Status.ended() {
		e.endedAt = now.Add(-age)
	}
	t.updateDigest(e)
}

func (t *Table) mergeSameIncarnation(now time.Time, known *entry, m Member, age time.Duration) change {
	c := change{previous: known.Status, previousIncarnation: known.Incarnation}
	if known.ControlAddress == "" && m.ControlAddress != "" {
		known.Region, known.DataCentre = m.Region, m.DataCentre
		known.ControlAddress, known.CallAddress, known.APIAddress = m.ControlAddress, m.CallAddress, m.APIAddress
		c.status = true
	}
	if newer(m, known.Member) {
		c.status = true
		c.reappeared = known.Status.ended() && !m.Status.ended()
		if m.Status.ended() && !known.Status.ended() {
			known.endedAt = now.Add(-age)
		}
		known.Counter, known.Status = m.Counter, m.Status
	}
	if m.Endpoint != nil && (known.Endpoint == nil || m.Endpoint.Sequence > known.Endpoint.Sequence) {
		endpoint := *m.Endpoint
		known.Endpoint = &endpoint
		c.endpoint = true
	}
	if c.changed() {
		t.updateDigest(known)
	}
	return c
}

// newer reports whether a overrides b within one incarnation.
func newer(a, b Member) bool {
	if a.Counter != b.Counter {
		return a.Counter > b.Counter
	}
	return a.Status.precedence() > b.Status.precedence()
}

// overrides reports whether the status of e is newer than that of m.
func (e *entry) overrides(m Member) bool {
	if e.Incarnation != m.Incarnation {
		return e.Incarnation > m.Incarnation
	}
	return newer(e.Member, m)
}

// updateDigest updates the bucket digest and the counters after a change of e.
func (t *Table) updateDigest(e *entry) {
	t.changes++
	t.countEnded(e)
	bucket := &t.digests[e.hash%digestBuckets]
	*bucket ^= e.version
	e.version = versionOf(e)
	*bucket ^= e.version
}

func (t *Table) countEnded(e *entry) {
	if ended := e.Status.ended(); ended != e.countedEnded {
		e.countedEnded = ended
		if ended {
			t.ended++
		} else {
			t.ended--
		}
	}
}

// versionOf hashes the fields that a merge compares. The hash includes whether addresses are known, so that anti-entropy
// completes a member known only from a status update.
func versionOf(e *entry) uint32 {
	var b [8*4 + 2]byte
	binary.LittleEndian.PutUint64(b[0:], e.hash)
	binary.LittleEndian.PutUint64(b[8:], e.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], e.Counter)
	b[32] = byte(e.Status.precedence())
	if !e.Status.ended() {
		if e.Endpoint != nil {
			binary.LittleEndian.PutUint64(b[24:], e.Endpoint.Sequence)
		}
		if e.ControlAddress != "" {
			b[33] = 1
		}
	}
	return uint32(xxhash.Sum64(b[:]))
}

// digest returns a hash of the complete table.
func (t *Table) digest() uint32 {
	var b [digestBuckets * 4]byte
	for i, d := range t.digests {
		binary.LittleEndian.PutUint32(b[i*4:], d)
	}
	return uint32(xxhash.Sum64(b[:]))
}

// removeExpired removes the members that have been dead or left for the retention and returns their ids.
func (t *Table) removeExpired(now time.Time) []string {
	if t.ended == 0 {
		return nil
	}
	var forgotten []string
	for id, e := range t.entries {
		if e.Status.ended() && now.Sub(e.endedAt) >= t.retention {
			t.digests[e.hash%digestBuckets] ^= e.version
			t.changes++
			t.ended--
			delete(t.entries, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// age returns the time since the member died or left, or zero if it is alive or suspect.
func (e *entry) age(now time.Time) time.Duration {
	if !e.Status.ended() || now.Before(e.endedAt) {
		return 0
	}
	return now.Sub(e.endedAt)
}

// fullUpdate returns an update with all fields of the entry.
func (e *entry) fullUpdate(now time.Time) update {
	u := fullUpdate(e.Member)
	u.AgeMS = e.age(now).Milliseconds()
	return u
}

// delta returns the shortest sufficient update: addresses and endpoint matter only while the member is alive.
func (e *entry) delta(now time.Time) update {
	if e.Status == Alive {
		return e.fullUpdate(now)
	}
	u := statusUpdate(e.Member)
	u.AgeMS = e.age(now).Milliseconds()
	return u
}

// copyMember returns a deep copy of the member.
func (e *entry) copyMember() Member {
	m := e.Member
	if e.Endpoint != nil {
		endpoint := *e.Endpoint
		m.Endpoint = &endpoint
	}
	return m
}
