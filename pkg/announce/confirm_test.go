package announce

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against late announcements that bring back a process which has left, and against a process that is never used again because its
// liveness check fails or does not answer.
func TestIsConfirmed(t *testing.T) {
	const usual = 5 * time.Second
	for _, c := range []struct {
		liveness Liveness
		uptime   time.Duration
		want     bool
	}{
		{Serving, 0, true},
		{Unknown, usual - 1, false},
		{Unknown, usual, true},
		{NotServing, usual, false},
		{NotServing, MaxDelay - 1, false},
		{NotServing, MaxDelay, true},
	} {
		assert.Equal(t, c.want, IsConfirmed(c.liveness, c.uptime, usual), "%+v", c)
	}
	assert.True(t, IsConfirmed(Unknown, MaxDelay, 2*MaxDelay), "no announcement is later than MaxDelay")
}

// Guards against announcements of another process, or of an instance found without its start, that pass for those of the current process.
func TestIsCurrentProcess(t *testing.T) {
	var tracker Tracker
	assert.False(t, tracker.IsCurrentProcess(Announcement{}))
	tracker.Observe(testStart, Announcement{ID: "a", StartTimeMS: 100, Sequence: 1})
	assert.True(t, tracker.IsCurrentProcess(Announcement{ID: "a", StartTimeMS: 100, Sequence: 2}))
	assert.False(t, tracker.IsCurrentProcess(Announcement{ID: "a", StartTimeMS: 99}))
	assert.False(t, tracker.IsCurrentProcess(Announcement{ID: "b", StartTimeMS: 100}))
}
