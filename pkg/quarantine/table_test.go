package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func fingerprint(n int) Fingerprint {
	return Request{Method: "GET", Host: "h", Target: fmt.Sprint("/", n), Caller: "s"}.Fingerprint()
}

// suspects returns runs of requests that were sent as suspects if they were any.
func suspects(requests ...Fingerprint) []Run { return runs(true, requests...) }

// unsuspected returns runs of requests that were sent before they were suspects.
func unsuspected(requests ...Fingerprint) []Run { return runs(false, requests...) }

func runs(asSuspect bool, requests ...Fingerprint) []Run {
	var out []Run
	for _, request := range requests {
		out = append(out, Run{request, asSuspect})
	}
	return out
}

func verdictOf(t *Table, now time.Time, n int) Verdict {
	v, _ := t.Verdict(now, fingerprint(n))
	return v
}

// Guards against attempts of one request that look like different ones, and against different requests that look alike.
func TestFingerprint(t *testing.T) {
	base := Request{Method: "GET", Host: "h", Target: "/a", Caller: "s", Body: []byte("b"), Length: 1}
	assert.Equal(t, base.Fingerprint(), Request{Method: "GET", Host: "h", Target: "/a", Caller: "s", Body: []byte("b"), Length: 1}.Fingerprint())
	for name, other := range map[string]Request{
		"method": {Method: "POST", Host: "h", Target: "/a", Caller: "s", Body: []byte("b"), Length: 1},
		"host":   {Method: "GET", Host: "i", Target: "/a", Caller: "s", Body: []byte("b"), Length: 1},
		"target": {Method: "GET", Host: "h", Target: "/a?x", Caller: "s", Body: []byte("b"), Length: 1},
		"caller": {Method: "GET", Host: "h", Target: "/a", Caller: "t", Body: []byte("b"), Length: 1},
		"body":   {Method: "GET", Host: "h", Target: "/a", Caller: "s", Body: []byte("c"), Length: 1},
		"length": {Method: "GET", Host: "h", Target: "/a", Caller: "s", Body: []byte("b"), Length: 2},
		"border": {Method: "GET", Host: "h/", Target: "a", Caller: "s", Body: []byte("b"), Length: 1},
	} {
		assert.NotEqual(t, base.Fingerprint(), other.Fingerprint(), name)
	}
}

func TestRecord_JSON(t *testing.T) {
	data, err := json.Marshal(Record{Request: fingerprint(1), Crashed: []string{"a"}, AgeMS: 5})
	require.NoError(t, err)
	var back Record
	require.NoError(t, json.Unmarshal(data, &back))
	assert.Equal(t, fingerprint(1), back.Request)
	for _, text := range []string{`{"request":"12"}`, `{"request":"zz"}`, `{"request":7}`} {
		assert.Error(t, json.Unmarshal([]byte(text), &back), text)
	}
}

// Guards against a request that is blocked because it was present at one crash, one that crashes further backend servers, and one that stays
// blocked for ever.
func TestTable_BlocksAfterTheSecondCrash(t *testing.T) {
	table, policy := NewTable(DefaultPolicy()), DefaultPolicy()
	now := start
	assert.True(t, table.IsEmpty())
	assert.Empty(t, table.Digest())
	table.Crashed(now, "p1", suspects(fingerprint(1), fingerprint(2)))
	table.Crashed(now, "p1", suspects(fingerprint(1)))
	assert.Equal(t, Suspect, verdictOf(table, now, 1), "two attempts that ran on one process are one crash")
	assert.Empty(t, table.Digest())
	table.Crashed(now, "p2", suspects(fingerprint(1)))
	assert.Equal(t, Blocked, verdictOf(table, now, 1))
	assert.Equal(t, Suspect, verdictOf(table, now, 2))
	assert.Equal(t, Clear, verdictOf(table, now, 3))
	assert.NotEmpty(t, table.Digest())

	now = now.Add(policy.BaseDuration)
	assert.Equal(t, Suspect, verdictOf(table, now, 1), "it is tried again")
	table.Crashed(now, "p3", suspects(fingerprint(1)))
	_, left := table.Verdict(now, fingerprint(1))
	assert.Equal(t, 2*policy.BaseDuration, left, "it still crashes backend servers")
	for i := range 10 {
		table.Crashed(now, fmt.Sprint("p", 4+i), suspects(fingerprint(1)))
	}
	_, left = table.Verdict(now, fingerprint(1))
	assert.Equal(t, policy.BaseDuration<<policy.MaxDoublings, left)
	now = now.Add(left + policy.BaseDuration)
	assert.Equal(t, Clear, verdictOf(table, now, 1))
	table.Shared(now)
	assert.True(t, table.IsEmpty())
}

// Guards against an innocent request that is requested often, and therefore present at many crashes, being blocked.
func TestTable_AnswerClears(t *testing.T) {
	table := NewTable(DefaultPolicy())
	assert.False(t, table.Answered(start, fingerprint(1)), "not a suspect")
	table.Crashed(start, "p1", suspects(fingerprint(1)))
	assert.True(t, table.Answered(start, fingerprint(1)))
	assert.False(t, table.Answered(start, fingerprint(1)))
	table.Crashed(start, "p2", suspects(fingerprint(1)))
	table.Crashed(start, "p3", suspects(fingerprint(1)))
	assert.Equal(t, Clear, verdictOf(table, start, 1))

	other := NewTable(DefaultPolicy())
	other.Crashed(start, "p2", suspects(fingerprint(1)))
	other.Crashed(start, "p3", suspects(fingerprint(1)))
	require.Equal(t, Blocked, verdictOf(other, start, 1))
	_, lacking := table.Merge(start, other.Shared(start))
	require.Len(t, lacking, 1, "the other node does not know that it was answered")
	other.Merge(start, lacking)
	assert.Equal(t, Clear, verdictOf(other, start, 1))
}

// Guards against requests that are blocked because they ran beside the cause of two crashes: nodes learn of suspects with a delay, and several may
// run on one backend server meanwhile.
func TestTable_CrashWithSeveralSuspectsCountsForNone(t *testing.T) {
	table := NewTable(DefaultPolicy())
	table.Crashed(start, "p1", suspects(fingerprint(1), fingerprint(2), fingerprint(3)))
	table.Crashed(start, "p2", suspects(fingerprint(1), fingerprint(2), fingerprint(4)))
	for n := 1; n <= 4; n++ {
		assert.Equal(t, Suspect, verdictOf(table, start, n))
	}
	table.Crashed(start, "p3", suspects(fingerprint(1), fingerprint(5)))
	assert.Equal(t, Blocked, verdictOf(table, start, 1))
	table.Crashed(start, "p4", suspects(fingerprint(1), fingerprint(2)))
	assert.Equal(t, Suspect, verdictOf(table, start, 2), "a blocked one that was still running is the likely cause")
}

// Guards against nodes that disagree for ever: merging in any order, with repetitions, leads to the same digest.
func TestTable_MergeConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const nodes = 4
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(r, "seed")))
		var tables []*Table
		for range nodes {
			tables = append(tables, NewTable(DefaultPolicy()))
		}
		now := start
		for range 60 {
			now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			a, b := tables[random.IntN(nodes)], tables[random.IntN(nodes)]
			request := fingerprint(random.IntN(3))
			switch random.IntN(4) {
			case 0:
				a.Crashed(now, fmt.Sprint("p", random.IntN(8)), runs(random.IntN(2) == 0, request))
			case 1:
				if random.IntN(4) == 0 {
					a.Answered(now, request)
				}
			default:
				b.Merge(now, a.Shared(now))
			}
		}
		for range 2 {
			for _, a := range tables {
				for _, b := range tables {
					_, lacking := b.Merge(now, a.Shared(now))
					a.Merge(now, lacking)
				}
			}
		}
		for _, other := range tables[1:] {
			require.Equal(r, tables[0].Digest(), other.Digest())
		}
	})
}

// Guards against memory that grows with the requests that run at crashes, and against malformed records.
func TestTable_Bounded(t *testing.T) {
	policy := DefaultPolicy()
	policy.MaxRecords = 3
	table := NewTable(policy)
	for i := range 10 {
		table.Crashed(start.Add(time.Duration(i)*time.Second), "p", suspects(fingerprint(i)))
	}
	suspects, blocked := table.Counts(start.Add(10 * time.Second))
	assert.Equal(t, 3, suspects)
	assert.Zero(t, blocked)
	assert.Equal(t, Suspect, verdictOf(table, start.Add(10*time.Second), 9))
	assert.Equal(t, Clear, verdictOf(table, start.Add(10*time.Second), 0))

	empty := NewTable(policy)
	long := string(make([]byte, maxProcessBytes+1))
	for _, r := range []Record{{Request: fingerprint(1)}, {Request: fingerprint(1), Crashed: []string{""}}, {Request: fingerprint(1), Crashed: []string{"p"}, AgeMS: -1}, {Request: fingerprint(1), Crashed: []string{long}}} {
		empty.Merge(start, []Record{r})
	}
	assert.True(t, empty.IsEmpty())
	empty.Merge(start, []Record{{Request: fingerprint(1), Crashed: []string{"p", "q"}, AgeMS: (2 * policy.BaseDuration).Milliseconds()}})
	assert.True(t, empty.IsEmpty(), "the record has expired")
}

// Guards against a popular request that is blocked because all backend servers that run it crash at the same time, for a reason that has nothing to do with
// it: the nodes learn of the other crashes when it is too late to run it alone.
func TestTable_CrashesAtOnceAreOne(t *testing.T) {
	const nodes = 4
	var tables []*Table
	for i := range nodes {
		table := NewTable(DefaultPolicy())
		assert.Len(t, table.Crashed(start, fmt.Sprint("p", i), unsuspected(fingerprint(1))), 1)
		tables = append(tables, table)
	}
	for range 2 {
		for _, a := range tables {
			for _, b := range tables {
				record, ok := a.Find(start, fingerprint(1))
				require.True(t, ok)
				b.Merge(start, []Record{record})
			}
		}
	}
	for _, table := range tables {
		assert.Equal(t, Suspect, verdictOf(table, start, 1))
		assert.Empty(t, table.Shared(start))
	}
	tables[0].Crashed(start, "p9", unsuspected(fingerprint(1)))
	assert.Equal(t, Suspect, verdictOf(tables[0], start, 1), "it was still running")
	tables[0].Crashed(start, "p9", append(suspects(fingerprint(1)), unsuspected(fingerprint(1))...))
	assert.Equal(t, Suspect, verdictOf(tables[0], start, 1), "of two copies, one was still running")
	tables[0].Crashed(start, "p9", suspects(fingerprint(1), fingerprint(1)))
	assert.Equal(t, Blocked, verdictOf(tables[0], start, 1), "it ran alone")
	blocked, _ := tables[1].Merge(start, tables[0].Shared(start))
	assert.Equal(t, []Fingerprint{fingerprint(1)}, blocked)
}

// Guards against records of the build before this one that are misread, and against records that this one cannot read: it does not tell crashes at the
// same time from others.
func TestRecord_OfEarlierBuild(t *testing.T) {
	table := NewTable(DefaultPolicy())
	for _, process := range []string{"p1", "p2"} {
		table.Merge(start, []Record{{Request: fingerprint(1), Crashed: []string{process}}})
	}
	assert.Equal(t, Suspect, verdictOf(table, start, 1))
	table.Merge(start, []Record{{Request: fingerprint(2), Crashed: []string{"p1", "p2"}}})
	assert.Equal(t, Blocked, verdictOf(table, start, 2))
	table.Crashed(start, "p3", suspects(fingerprint(1)))
	record, ok := table.Get(start, fingerprint(1))
	require.True(t, ok)
	assert.Equal(t, []string{"p1", "p3"}, record.Crashed, "an earlier build reads both")
	assert.Equal(t, "p1", record.Present)
	table.Merge(start, []Record{{Request: fingerprint(3), Crashed: []string{"p1"}, Present: "p2"}})
	assert.Equal(t, Clear, verdictOf(table, start, 3), "malformed")
}

// Guards against evidence without an end: a request that was blocked long ago is blocked again because it is present at one crash.
func TestTable_ExpiredCrashesDoNotCount(t *testing.T) {
	table, policy := NewTable(DefaultPolicy()), DefaultPolicy()
	table.Crashed(start, "p1", suspects(fingerprint(1)))
	table.Crashed(start, "p2", suspects(fingerprint(1)))
	require.Equal(t, Blocked, verdictOf(table, start, 1))
	later := start.Add(2 * policy.BaseDuration)
	require.Equal(t, Clear, verdictOf(table, later, 1))
	table.Crashed(later, "p3", unsuspected(fingerprint(1)))
	assert.Equal(t, Suspect, verdictOf(table, later, 1))

	other := NewTable(policy)
	other.Crashed(start, "p1", suspects(fingerprint(1)))
	other.Merge(later, []Record{{Request: fingerprint(1), Crashed: []string{"p4"}, Present: "p4"}})
	other.Crashed(later, "p5", suspects(fingerprint(1)))
	record, ok := other.Get(later, fingerprint(1))
	require.True(t, ok)
	assert.Equal(t, []string{"p4", "p5"}, record.Crashed)
}

// Guards against nodes that send a suspect to different backend servers for longer than messages between them take, and against one backend server that gets
// it for as long as it is a suspect.
func TestTable_TurnsAgree(t *testing.T) {
	const delay = 20 * time.Millisecond
	a, b, policy := NewTable(DefaultPolicy()), NewTable(DefaultPolicy()), DefaultPolicy()
	assert.Zero(t, a.Turn(start, fingerprint(1)))
	b.Merge(start.Add(delay), a.Crashed(start, "p1", suspects(fingerprint(1))))
	for turn := range 4 {
		begin := start.Add(time.Duration(turn) * policy.TurnDuration)
		assert.EqualValues(t, turn, a.Turn(begin, fingerprint(1)))
		assert.EqualValues(t, turn, b.Turn(begin.Add(delay), fingerprint(1)))
		assert.EqualValues(t, turn, b.Turn(begin.Add(policy.TurnDuration-1), fingerprint(1)))
	}
}
