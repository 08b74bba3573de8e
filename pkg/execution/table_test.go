package execution

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	_ "github.com/laburnumcleat/laburnumcleat/pkg/internal/fixedseed"
)

const testIncarnation = 1_800_000_000_000 // Unix ms

var started = time.UnixMilli(testIncarnation)

// fakeClockTable is a table on a virtual clock. Its presence was acknowledged 10 s after the start and renewed after an hour.
type fakeClockTable struct {
	*Table
	now                  time.Time
	established, renewed time.Time
	acknowledged         bool
}

func newTable(change func(*Options)) *fakeClockTable {
	c := &fakeClockTable{
		now:          started.Add(time.Hour),
		established:  started.Add(10 * time.Second),
		renewed:      started.Add(time.Hour),
		acknowledged: true,
	}
	o := Options{
		Incarnation: testIncarnation,
		Window:      func() (time.Time, time.Time, bool) { return c.established, c.renewed, c.acknowledged },
		Retention:   time.Hour,
		Now:         func() time.Time { return c.now },
	}
	if change != nil {
		change(&o)
	}
	c.Table = New(o)
	return c
}

var idCounter int

// idAt returns a distinct UUIDv7 with the given time.
func idAt(at time.Time) string {
	idCounter++
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	id[14], id[15] = byte(idCounter>>8), byte(idCounter)
	return id.String()
}

func ballot(n int64) Ballot {
	return Ballot{TimeMS: n, Node: "resolver", Nonce: 1}
}

// Checks each condition for attempt 1 (docs/design.md, section 7.6, rule 1) at its boundary. The letters of the cases are those of the
// rule.
func TestBegin_FirstAttemptConditions(t *testing.T) {
	const maxSkew = callctx.MaxClockSkew
	cases := []struct {
		name   string
		adjust func(c *fakeClockTable) (idTime time.Time, incarnation uint64)
		reason callctx.Reason
	}{
		{"accepted", func(c *fakeClockTable) (time.Time, uint64) { return c.now, testIncarnation }, ""},
		{"a: other incarnation", func(c *fakeClockTable) (time.Time, uint64) { return c.now, testIncarnation + 1 }, callctx.WrongIncarnation},
		{"b: presence not acknowledged", func(c *fakeClockTable) (time.Time, uint64) {
			c.acknowledged = false
			return c.now, testIncarnation
		}, callctx.PresenceUnconfirmed},
		{"c: id at the acknowledgement plus the clock error", func(c *fakeClockTable) (time.Time, uint64) {
			c.established = c.now.Add(-maxSkew)
			return c.now, testIncarnation
		}, callctx.IDBeforePresence},
		{"c: id 1 ms later", func(c *fakeClockTable) (time.Time, uint64) {
			c.established = c.now.Add(-maxSkew - time.Millisecond)
			return c.now, testIncarnation
		}, ""},
		{"d: id is 30 s old", func(c *fakeClockTable) (time.Time, uint64) { return c.now.Add(-30 * time.Second), testIncarnation }, callctx.IDTooOld},
		{"d: id 1 ms younger", func(c *fakeClockTable) (time.Time, uint64) {
			return c.now.Add(-30*time.Second + time.Millisecond), testIncarnation
		}, ""},
		{"e: presence may expire before the entry", func(c *fakeClockTable) (time.Time, uint64) {
			c.renewed = c.now.Add(-time.Hour + callctx.ExecutionEntryTTL + maxSkew)
			return c.now, testIncarnation
		}, callctx.PresenceExpiring},
		{"e: presence outlasts the entry", func(c *fakeClockTable) (time.Time, uint64) {
			c.renewed = c.now.Add(-time.Hour + callctx.ExecutionEntryTTL + maxSkew + time.Millisecond)
			return c.now, testIncarnation
		}, ""},
		{"id far in the future", func(c *fakeClockTable) (time.Time, uint64) { return c.now.Add(5 * time.Second), testIncarnation }, callctx.IDInFuture},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTable(nil)
			idTime, incarnation := tc.adjust(c)
			entry, refused := c.Begin(idAt(idTime), Ballot{}, incarnation)
			if tc.reason == "" {
				require.Nil(t, refused)
				require.NotNil(t, entry)
				return
			}
			require.Equal(t, &Refusal{callctx.NotRun, tc.reason}, refused)
			require.Nil(t, entry)
		})
	}
}

// Guards against a second execution, and against a "not-run" for an id that runs or has run: an id that the table already has is
// refused as "unknown" (docs/design.md, section 7.6, rule 1f).
func TestBegin_KnownIDIsNeverRefusedAsNotRun(t *testing.T) {
	c := newTable(nil)
	id := idAt(c.now)
	entry, refused := c.Begin(id, Ballot{}, testIncarnation)
	require.Nil(t, refused)
	_, refused = c.Begin(id, Ballot{}, testIncarnation+1)
	require.Equal(t, &Refusal{callctx.Unknown, callctx.AlreadyRunning}, refused, "the entry takes precedence over the wrong incarnation")
	require.Equal(t, Running, c.Lookup(id, ballot(1)).State)
	entry.Finish(&Response{Status: 201, Body: []byte("booked")})
	entry.Refuse(nil)
	_, refused = c.Begin(id, Ballot{}, testIncarnation)
	require.Equal(t, &Refusal{callctx.Unknown, callctx.AlreadyDone}, refused)
	require.Equal(t, LookupResult{Done, &Response{Status: 201, Body: []byte("booked")}}, c.Lookup(id, ballot(1)))
	_, refused = c.Begin(id, ballot(1), testIncarnation)
	require.Equal(t, callctx.Unknown, refused.Outcome)
}

// Guards against a delayed attempt 1, or a resend with a lower ballot, that runs after a fence was recorded.
func TestLookup_FenceBlocksLowerBallots(t *testing.T) {
	c := newTable(nil)
	id := idAt(c.now)
	require.Equal(t, Fencing, c.Lookup(id, ballot(5)).State)
	require.Equal(t, Fencing, c.Lookup(id, ballot(5)).State, "a repeated look-up")
	require.Equal(t, Superseded, c.Lookup(id, ballot(4)).State)
	_, refused := c.Begin(id, Ballot{}, testIncarnation)
	require.Equal(t, &Refusal{callctx.Unknown, callctx.Fenced}, refused)
	require.Equal(t, Fencing, c.Lookup(id, ballot(6)).State)
	_, refused = c.Begin(id, ballot(5), testIncarnation)
	require.Equal(t, &Refusal{callctx.Unknown, callctx.Superseded}, refused)
	entry, refused := c.Begin(id, ballot(6), testIncarnation)
	require.Nil(t, refused)
	_, refused = c.Begin(id, ballot(6), testIncarnation)
	require.Equal(t, &Refusal{callctx.Unknown, callctx.AlreadyRunning}, refused)
	entry.Finish(nil)
	require.Equal(t, LookupResult{State: Done}, c.Lookup(id, ballot(7)))
	_, refused = c.Begin(idAt(c.now), ballot(1), testIncarnation)
	require.Equal(t, &Refusal{callctx.Unknown, callctx.Unresolved}, refused, "a resend without a fence on this node must not run")
}

// Guards against a resend that runs on a node which a later look-up does not query, because the presence record of the node is
// too new or expires too early.
func TestBegin_ResendOutsidePresenceWindow(t *testing.T) {
	for reason, invalidate := range map[callctx.Reason]func(c *fakeClockTable){
		callctx.PresenceUnconfirmed: func(c *fakeClockTable) { c.acknowledged = false },
		callctx.IDBeforePresence:    func(c *fakeClockTable) { c.established = c.now },
		callctx.PresenceExpiring:    func(c *fakeClockTable) { c.renewed = c.now.Add(-time.Hour) },
	} {
		c := newTable(nil)
		id := idAt(c.now)
		require.Equal(t, Fencing, c.Lookup(id, ballot(1)).State)
		invalidate(c)
		_, refused := c.Begin(id, ballot(1), testIncarnation)
		require.Equal(t, &Refusal{callctx.Unknown, reason}, refused)
		require.Equal(t, Fencing, c.Lookup(id, ballot(2)).State, "the fence is unchanged")
	}
}

// Guards against an execution after a final "not-run". Every later look-up must find the refusal of a resend. A refused
// attempt 1 must leave no entry, because its outbound node may still retry on another node.
func TestRefuse_FirstAttemptAndResend(t *testing.T) {
	c := newTable(nil)
	id := idAt(c.now)
	entry, _ := c.Begin(id, Ballot{}, testIncarnation)
	entry.Refuse(&Response{Status: 503})
	require.Zero(t, c.Stats().Entries)
	require.Equal(t, Fencing, c.Lookup(id, ballot(1)).State)
	entry, refused := c.Begin(id, ballot(1), testIncarnation)
	require.Nil(t, refused)
	entry.Refuse(&Response{Status: 503})
	require.Equal(t, LookupResult{Done, &Response{Status: 503}}, c.Lookup(id, ballot(2)))
	_, refused = c.Begin(id, ballot(2), testIncarnation)
	require.Equal(t, callctx.Unknown, refused.Outcome)
}

// Guards against a fence on a node that cannot tell whether the id has run (docs/design.md, section 7.6, rule 5). The margin
// covers the worst clock errors: an id 2 s ahead of the first node's clock, which is 2 s ahead of the log, runs on a node that restarts
// immediately with a clock 2 s behind the log.
func TestLookup_Unconfirmed(t *testing.T) {
	const maxSkew = callctx.MaxClockSkew
	c := newTable(nil)
	for _, tc := range []struct {
		name   string
		idTime time.Time
		state  State
	}{
		{"id from before the start", started.Add(-time.Second), Unconfirmed},
		{"id less than the margin after the start", started.Add(startMargin - time.Millisecond), Unconfirmed},
		{"id exactly the margin after the start", started.Add(startMargin), Fencing},
	} {
		c.now = started.Add(time.Minute)
		require.Equal(t, tc.state, c.Lookup(idAt(tc.idTime), ballot(1)).State, tc.name)
	}
	c.now = started.Add(time.Hour)
	require.Equal(t, Unconfirmed, c.Lookup(idAt(c.now.Add(-callctx.ExecutionEntryTTL+maxSkew)), ballot(1)).State, "an id older than the entry lifetime must not be confirmed")
	require.Equal(t, Fencing, c.Lookup(idAt(c.now.Add(-callctx.ExecutionEntryTTL+maxSkew+time.Millisecond)), ballot(1)).State)
	fenced := idAt(c.now)
	require.Equal(t, Fencing, c.Lookup(fenced, ballot(1)).State)
	c.now = c.now.Add(callctx.ExecutionEntryTTL - maxSkew)
	require.Equal(t, Unconfirmed, c.Lookup(fenced, ballot(2)).State, "the roster may lack the node that ran it")
	require.Equal(t, Unconfirmed, c.Lookup("no-uuid", ballot(1)).State)
	require.Equal(t, Unconfirmed, c.Lookup(idAt(c.now), Ballot{}).State, "a look-up without a ballot must not record a fence")
}

// Guards against unbounded memory, and against a second execution of an id whose response was evicted.
func TestTable_Limits(t *testing.T) {
	c := newTable(func(o *Options) { o.MaxEntries, o.MaxKept, o.MaxKeptBytes = 4, 2, 2*approximateHeaderBytes+100 })
	finish := func(body int) string {
		id := idAt(c.now)
		entry, refused := c.Begin(id, Ballot{}, testIncarnation)
		require.Nil(t, refused)
		entry.Finish(&Response{Status: 200, Body: make([]byte, body)})
		return id
	}
	first := finish(60)
	second := finish(60)
	require.Equal(t, LookupResult{State: Done}, c.Lookup(first, ballot(1)), "evicted by size")
	third := finish(1)
	require.Equal(t, 2, c.Stats().Kept)
	finish(1)
	require.Nil(t, c.Lookup(second, ballot(1)).Response, "evicted by count")
	require.NotNil(t, c.Lookup(third, ballot(1)).Response)
	_, refused := c.Begin(idAt(c.now), Ballot{}, testIncarnation)
	require.Equal(t, &Refusal{callctx.NotRun, callctx.TableFull}, refused)
	require.Equal(t, Unconfirmed, c.Lookup(idAt(c.now), ballot(1)).State, "the table is full")
}

// Guards against entries that expire while the id could still run or be looked up, and against entries that never expire.
func TestTick_ExpiresEntries(t *testing.T) {
	c := newTable(nil)
	idle, busy := idAt(c.now), idAt(c.now)
	entry, _ := c.Begin(idle, Ballot{}, testIncarnation)
	entry.Finish(&Response{Status: 200})
	running, _ := c.Begin(busy, Ballot{}, testIncarnation)
	c.now = c.now.Add(callctx.ExecutionEntryTTL)
	c.Tick(c.now)
	require.Equal(t, Done, c.Lookup(idle, ballot(1)).State, "the entry must outlast the lifetime: the clock that created the id may be fast")
	c.now = c.now.Add(futureTolerance + time.Millisecond)
	c.Tick(c.now)
	require.Equal(t, 1, c.Stats().Entries)
	require.Zero(t, c.Stats().KeptBytes)
	require.Equal(t, Unconfirmed, c.Lookup(idle, ballot(1)).State)
	require.Equal(t, Running, c.Lookup(busy, ballot(1)).State)
	running.Finish(nil)
	c.now = c.now.Add(callctx.ExecutionEntryTTL + futureTolerance + time.Millisecond)
	c.Tick(c.now)
	require.Zero(t, c.Stats().Entries)
}

// Guards against nodes that order the same ballots differently, or parse one header differently.
func TestBallot_OrderAndText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Ballot {
			return Ballot{
				TimeMS: rapid.Int64Range(1, 3).Draw(t, "time"),
				Node:   rapid.SampledFrom([]string{"a", "b/c", "seeb-1"}).Draw(t, "node"),
				Nonce:  rapid.Uint64Range(0, 2).Draw(t, "nonce"),
			}
		})
		list := rapid.SliceOfN(draw, 3, 3).Draw(t, "ballots")
		a, b := list[0], list[1]
		require.Equal(t, -b.Compare(a), a.Compare(b))
		require.Equal(t, a == b, a.Compare(b) == 0)
		sort.Slice(list, func(i, j int) bool { return list[i].Compare(list[j]) < 0 })
		require.LessOrEqual(t, list[0].Compare(list[2]), 0)
		parsed, err := ParseBallot(a.String())
		require.NoError(t, err)
		require.Equal(t, a, parsed)
	})
	for _, bad := range []string{"1", "1/2", "0/0000000000000001/a", "1/1/a", "1/0000000000000001/", "x/0000000000000001/a", fmt.Sprintf("1/0000000000000001/%0300d", 1)} {
		_, err := ParseBallot(bad)
		require.Error(t, err, bad)
	}
}
