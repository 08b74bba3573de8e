package announce

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestObserve_OrdersAnnouncements(t *testing.T) {
	first := Announcement{ID: "a", Service: "s", StartTimeMS: 100, Sequence: 5, Slots: 9}
	for name, c := range map[string]struct {
		second  Announcement
		want    Verdict
		current string
		slots   int
	}{
		"next":                              {Announcement{ID: "a", StartTimeMS: 100, Sequence: 6, Slots: 8}, Accepted, "a", 8},
		"late":                              {Announcement{ID: "a", StartTimeMS: 100, Sequence: 4, Slots: 8}, Stale, "a", 9},
		"repeated":                          {Announcement{ID: "a", StartTimeMS: 100, Sequence: 5, Slots: 9}, Accepted, "a", 9},
		"same id after a restart":           {Announcement{ID: "a", StartTimeMS: 200, Sequence: 1, Slots: 8}, Accepted, "a", 8},
		"same id from before a restart":     {Announcement{ID: "a", StartTimeMS: 50, Sequence: 9, Slots: 8}, Stale, "a", 9},
		"successor":                         {Announcement{ID: "b", StartTimeMS: 200, Sequence: 1, Slots: 8}, Accepted, "b", 8},
		"predecessor, held by a partition":  {Announcement{ID: "b", StartTimeMS: 50, Sequence: 9, Slots: 8}, Stale, "a", 9},
		"no start stated, another instance": {Announcement{ID: "b", Sequence: 9, Slots: 8}, Stale, "a", 9},
	} {
		var tracker Tracker
		require.Equal(t, Accepted, tracker.Observe(start, first))
		assert.Equal(t, c.want, tracker.Observe(start, c.second), name)
		assert.Equal(t, c.current, tracker.Current().ID, name)
		assert.Equal(t, c.slots, tracker.Current().Slots, name)
	}
}

func TestLeave_IsFinalForAProcess(t *testing.T) {
	var tracker Tracker
	tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 100, Sequence: 1})
	tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 100, Sequence: 2, Draining: true})
	tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 100, Sequence: 3})
	assert.True(t, tracker.Current().Draining, "a draining process does not become ready again")
	assert.True(t, tracker.Leave(start, "a"))
	assert.Nil(t, tracker.Current())
	assert.Equal(t, Ended, tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 100, Sequence: 9}), "a late announcement")
	assert.Equal(t, Accepted, tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 101, Sequence: 1}), "started again under its id")
	assert.False(t, tracker.Leave(start, "other"))
	assert.NotNil(t, tracker.Current())
	assert.Equal(t, Ended, tracker.Observe(start, Announcement{ID: "other", StartTimeMS: start.UnixMilli() - 1, Sequence: 9}), "it left before it was known here")
}

func TestExpire_AfterSilence(t *testing.T) {
	var tracker Tracker
	tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 100, Sequence: 1})
	assert.False(t, tracker.Expire(start.Add(4*time.Second), 5*time.Second))
	tracker.RecordActivity(start.Add(4 * time.Second))
	assert.False(t, tracker.Expire(start.Add(8*time.Second), 5*time.Second))
	assert.True(t, tracker.Expire(start.Add(9*time.Second), 5*time.Second))
	assert.Nil(t, tracker.Current())
	assert.Equal(t, Accepted, tracker.Observe(start, Announcement{ID: "a", StartTimeMS: 100, Sequence: 2}), "it was only silent")
}

// An instance that is not known leaves, and the time of day of this machine is wrong by an hour either way. A late announcement of it is
// not taken, and a new run under its id is, at the latest when announcements are not late any more.
func TestLeave_UnknownInstanceWithWrongClock(t *testing.T) {
	started := time.Now()
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		var tracker Tracker
		now := started.Round(0).Add(step)
		assert.False(t, tracker.Leave(now, "i-1"))
		late := Announcement{ID: "i-1", Sequence: 3, StartTimeMS: started.Add(-time.Minute).UnixMilli()}
		if step >= 0 {
			assert.Equal(t, Ended, tracker.Observe(now, late), step)
		}
		again := Announcement{ID: "i-1", Sequence: 1, StartTimeMS: started.Add(time.Second).UnixMilli()}
		assert.Equal(t, Accepted, tracker.Observe(now.Add(lateFor), again), step)
	}
	// Set back while this process runs: the steady clock still knows.
	var tracker Tracker
	tracker.Leave(time.Now(), "i-1")
	assert.Equal(t, Ended, tracker.Observe(time.Now(), Announcement{ID: "i-1", StartTimeMS: time.Now().Add(-time.Second).UnixMilli()}))
}
