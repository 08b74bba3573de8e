package callerretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTracker_RecognisesRetry(t *testing.T) {
	var tracker Tracker
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker.Add(at(2), Refusal{Key: 1, FirstAttempt: at(0), Deadline: at(700), RetryAt: at(100)})
	tracker.Add(at(3), Refusal{Key: 1, FirstAttempt: at(1), Deadline: at(780), RetryAt: at(100)})

	_, ok := tracker.Take(2, at(700))
	assert.False(t, ok, "another resource")
	_, ok = tracker.Take(1, at(850))
	assert.False(t, ok, "deadline later than those of the refused callers")
	r, ok := tracker.Take(1, at(703))
	assert.True(t, ok)
	assert.Equal(t, at(0), r.FirstAttempt)
	_, ok = tracker.Take(1, at(703))
	assert.False(t, ok, "each refusal matches one retry")
	r, ok = tracker.Take(1, at(779))
	assert.True(t, ok)
	assert.Equal(t, at(1), r.FirstAttempt)
}

func TestTracker_DropsOldRefusals(t *testing.T) {
	var tracker Tracker
	start := time.Unix(1000, 0)
	for i := range 3 * maxRefusals {
		tracker.Add(start, Refusal{Key: uint64(i), Deadline: start.Add(time.Second)})
	}
	assert.Len(t, tracker.refusals, maxRefusals)
	_, ok := tracker.Take(3*maxRefusals-1, start.Add(time.Second))
	assert.True(t, ok)
	tracker.Add(start.Add(2*time.Second), Refusal{Key: 1, Deadline: start.Add(3 * time.Second)})
	assert.Len(t, tracker.refusals, 1, "refusals past their deadline are dropped")
}

// Guards against taking a first attempt for a retry because of its timeout: timeouts on one route vary from 680 to 800 ms.
func TestTracker_SimilarTimeoutsDoNotMatch(t *testing.T) {
	var tracker Tracker
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	for i := range 500 {
		now = now.Add(5 * time.Millisecond)
		deadline := now.Add(time.Duration(680+random.IntN(120)) * time.Millisecond)
		_, ok := tracker.Take(uint64(i), deadline)
		assert.False(t, ok)
		tracker.Add(now, Refusal{Key: uint64(i), FirstAttempt: now, Deadline: deadline, RetryAt: now.Add(50 * time.Millisecond)})
	}
}
