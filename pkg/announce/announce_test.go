package announce

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1000, 0)

func TestObserve_OrdersAnnouncements(t *testing.T) {
	first := Announcement{ID: "a", Service: "s", StartTimeMS: 100, Sequence: 5, Slots: 9}
	for name, c := range map[string]struct {
		second  Announcement
		want    Verdict
		current string
		slots   int
	}{
		"next":                                {Announcement{ID: "a", StartTimeMS: 100, Sequence: 6, Slots: 8}, Accepted, "a", 8},
		"late":                                {Announcement{ID: "a", StartTimeMS: 100, Sequence: 4, Slots: 8}, Stale, "a", 9},
		"repeated":                            {Announcement{ID: "a", StartTimeMS: 100, Sequence: 5, Slots: 9}, Accepted, "a", 9},
		"same id after a restart":             {Announcement{ID: "a", StartTimeMS: 200, Sequence: 1, Slots: 8}, Accepted, "a", 8},
		"same id from before a restart":       {Announcement{ID: "a", StartTimeMS: 50, Sequence: 9, Slots: 8}, Stale, "a", 9},
		"successor":                           {Announcement{ID: "b", StartTimeMS: 200, Sequence: 1, Slots: 8}, Accepted, "b", 8},
		"predecessor, delayed by a partition": {Announcement{ID: "b", StartTimeMS: 50, Sequence: 9, Slots: 8}, Stale, "a", 9},
		"no start time, another instance":     {Announcement{ID: "b", Sequence: 9, Slots: 8}, Stale, "a", 9},
	} {
		var tracker Tracker
		require.Equal(t, Accepted, tracker.Observe(testStart, first))
		assert.Equal(t, c.want, tracker.Observe(testStart, c.second), name)
		assert.Equal(t, c.current, tracker.Current().ID, name)
		assert.Equal(t, c.slots, tracker.Current().Slots, name)
	}
}

func TestLeave_IsFinalForAProcess(t *testing.T) {
	var tracker Tracker
	tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 1})
	tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 2, Draining: true})
	tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 3})
	assert.True(t, tracker.Current().Draining, "a draining process does not become ready again")
	assert.True(t, tracker.Leave(testStart, "a", 0))
	assert.Nil(t, tracker.Current())
	assert.Equal(t, Ended, tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 9}), "a delayed announcement")
	assert.Equal(t, Accepted, tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 101, Sequence: 1}), "restarted with the same id")
	assert.False(t, tracker.Leave(testStart, "other", 0))
	assert.NotNil(t, tracker.Current())
	assert.Equal(t, Ended, tracker.Observe(testStart, Announcement{ID: "other", StartTimeMS: testStart.UnixMilli() - 1, Sequence: 9}), "the instance left before the tracker knew it")
}

func TestExpire_AfterSilence(t *testing.T) {
	var tracker Tracker
	tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 1})
	assert.False(t, tracker.Expire(testStart.Add(4*time.Second), 5*time.Second))
	tracker.RecordActivity(testStart.Add(4 * time.Second))
	assert.False(t, tracker.Expire(testStart.Add(8*time.Second), 5*time.Second))
	assert.True(t, tracker.Expire(testStart.Add(9*time.Second), 5*time.Second))
	assert.Nil(t, tracker.Current())
	assert.Equal(t, Accepted, tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 2}), "expiry does not end the process")
}

// An unknown instance leaves while the wall clock of this machine is wrong by up to an hour. A delayed announcement of the instance is
// rejected unless the clock is slow. A new process with the same id is accepted at the latest after MaxDelay.
func TestLeave_UnknownInstanceWithWrongClock(t *testing.T) {
	started := time.Now()
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		var tracker Tracker
		now := started.Round(0).Add(step)
		assert.False(t, tracker.Leave(now, "i-1", 0))
		late := Announcement{ID: "i-1", Sequence: 3, StartTimeMS: started.Add(-time.Minute).UnixMilli()}
		if step >= 0 {
			assert.Equal(t, Ended, tracker.Observe(now, late), step)
		}
		again := Announcement{ID: "i-1", Sequence: 1, StartTimeMS: started.Add(time.Second).UnixMilli()}
		assert.Equal(t, Accepted, tracker.Observe(now.Add(MaxDelay), again), step)
	}
	// Covers a wall clock that is set back while this process runs: the monotonic clock still orders the two.
	var tracker Tracker
	tracker.Leave(time.Now(), "i-1", 0)
	assert.Equal(t, Ended, tracker.Observe(time.Now(), Announcement{ID: "i-1", StartTimeMS: time.Now().Add(-time.Second).UnixMilli()}))
}

// Guards against the use of a backend server that has left: an instance that was found without an announcement has no known start, and an
// announcement from before its departure may arrive late.
func TestTracker_LeaveOfInstanceWithUnknownStart(t *testing.T) {
	now := time.Now()
	var tracker Tracker
	require.Equal(t, Accepted, tracker.Observe(now, Announcement{ID: "i"}))
	require.True(t, tracker.Leave(now, "i", 0))
	assert.Equal(t, Ended, tracker.Observe(now, Announcement{ID: "i", StartTimeMS: now.UnixMilli() - 5000, Sequence: 3}))
	assert.Equal(t, Ended, tracker.Observe(now, Announcement{ID: "i"}), "a start is not reported")
	assert.Equal(t, Accepted, tracker.Observe(now, Announcement{ID: "i", StartTimeMS: now.UnixMilli() + 5000}), "a later process")
}

// Guards against a process that said in a response that it is leaving and is used again because of a delayed announcement, also if it was first
// observed without its start time; the next process is not affected.
func TestDrain_IsFinalForAProcess(t *testing.T) {
	for _, start := range []int64{testStart.UnixMilli() - 100, 0} {
		var tracker Tracker
		tracker.Drain()
		tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: start, Sequence: 1})
		tracker.Drain()
		assert.True(t, tracker.Current().Draining)
		tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: testStart.UnixMilli() - 100, Sequence: 2})
		assert.True(t, tracker.Current().Draining)
		tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: testStart.UnixMilli() + 100, Sequence: 1})
		assert.False(t, tracker.Current().Draining)
	}
}

// Guards against a departure that is processed after the first announcement of the next process with the same ID, as when this process was paused, and ends
// the use of that process for good. A departure over one of the connections of the current process is its own.
func TestLeave_OfEarlierProcess(t *testing.T) {
	second := Announcement{ID: "a", StartTimeMS: 200, Sequence: 1, Connection: 5}
	for name, c := range map[string]struct {
		first, connection int64 // start of the process observed before the second; connection of the departure
		wantCurrent       bool
	}{
		"earlier process unknown":                           {0, 4, true},
		"earlier process known":                             {100, 4, true},
		"own departure on its connection":                   {100, 5, false},
		"own departure on another one":                      {100, 6, false},
		"connection unknown, as from the liveness check":    {100, 0, false},
		"own departure on its first, processed out of turn": {100, 3, false},
	} {
		var tracker Tracker
		now := time.Now()
		if c.first != 0 {
			tracker.Observe(now, Announcement{ID: "a", StartTimeMS: c.first, Sequence: 7, Connection: 1})
		}
		require.Equal(t, Accepted, tracker.Observe(now, second))
		if c.connection == 3 {
			assert.Equal(t, Stale, tracker.Observe(now, Announcement{ID: "a", StartTimeMS: 200, Sequence: 0, Connection: 3}), name)
		}
		assert.Equal(t, !c.wantCurrent, tracker.Leave(now, "a", c.connection), name)
		assert.Equal(t, c.wantCurrent, tracker.Current() != nil, name)
		want := Ended
		if c.wantCurrent {
			want = Accepted
		}
		assert.Equal(t, want, tracker.Observe(now, Announcement{ID: "a", StartTimeMS: 200, Sequence: 2, Connection: 7}), name)
		assert.Equal(t, Ended, tracker.Observe(now, Announcement{ID: "a", StartTimeMS: 199, Sequence: 9, Connection: 7}), "%s: the earlier process has left", name)
	}
}

// Guards against a new process that is rejected for MaxDelay because the departure of the one before it was processed after that had expired, as when
// this process was paused for longer than announcements may be missing.
func TestLeave_AfterExpiry(t *testing.T) {
	now := time.Now()
	first := Announcement{ID: "a", StartTimeMS: now.UnixMilli() - 9000, Sequence: 7, Connection: 1}
	next := Announcement{ID: "a", StartTimeMS: now.UnixMilli() - 1000, Sequence: 1, Connection: 3}
	var tracker Tracker
	require.Equal(t, Accepted, tracker.Observe(now.Add(-8*time.Second), first))
	require.True(t, tracker.Expire(now, 5*time.Second))
	assert.False(t, tracker.Leave(now, "a", 2))
	assert.Equal(t, Accepted, tracker.Observe(now, next))
	first.Sequence++
	assert.Equal(t, Ended, tracker.Observe(now.Add(time.Hour), first))
}

// Guards against a process that is never used again because a departure was taken for its own, though it goes on announcing itself.
func TestTracker_OutlivedDeparture(t *testing.T) {
	now := time.Now()
	a := Announcement{ID: "a", StartTimeMS: 200, Sequence: 1, Connection: 5}
	var tracker Tracker
	assert.False(t, tracker.HasOutlivedDeparture(now, a))
	tracker.Observe(now, a)
	require.True(t, tracker.Leave(now, "a", 6))
	assert.False(t, tracker.HasOutlivedDeparture(now.Add(MaxDelay-1), a), "it may have sent that before it left")
	assert.True(t, tracker.HasOutlivedDeparture(now.Add(MaxDelay), a))
	assert.False(t, tracker.HasOutlivedDeparture(now.Add(MaxDelay), Announcement{ID: "b"}))
	tracker.Leave(now.Add(MaxDelay), "a", 6)
	assert.False(t, tracker.HasOutlivedDeparture(now.Add(MaxDelay), a), "it has left again")
	now = now.Add(2 * MaxDelay)
	tracker.Readmit(now, a)
	assert.Equal(t, Accepted, tracker.Observe(now, a))
}
