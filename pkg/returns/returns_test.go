package returns

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTracker_RecognisesRetry(t *testing.T) {
	var l Tracker
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l.Add(at(2), Refusal{Key: 1, FirstAttempt: at(0), Deadline: at(700), RetryAt: at(100)})
	l.Add(at(3), Refusal{Key: 1, FirstAttempt: at(1), Deadline: at(780), RetryAt: at(100)})

	_, ok := l.Take(2, at(700))
	assert.False(t, ok, "it asks for something else")
	_, ok = l.Take(1, at(850))
	assert.False(t, ok, "its time ends later than that of those who were refused")
	r, ok := l.Take(1, at(703))
	assert.True(t, ok)
	assert.Equal(t, at(0), r.FirstAttempt)
	_, ok = l.Take(1, at(703))
	assert.False(t, ok, "each refusal has one return")
	r, ok = l.Take(1, at(779))
	assert.True(t, ok)
	assert.Equal(t, at(1), r.FirstAttempt)
}

func TestTracker_DropsOldRefusals(t *testing.T) {
	var l Tracker
	start := time.Unix(1000, 0)
	for i := range 3 * maxRefusals {
		l.Add(start, Refusal{Key: uint64(i), Deadline: start.Add(time.Second)})
	}
	assert.Len(t, l.refusals, maxRefusals)
	_, ok := l.Take(3*maxRefusals-1, start.Add(time.Second))
	assert.True(t, ok)
	l.Add(start.Add(2*time.Second), Refusal{Key: 1, Deadline: start.Add(3 * time.Second)})
	assert.Len(t, l.refusals, 1, "those whose time has passed")
}

// Callers of one route are willing to wait for 680 to 800 ms, which says nothing about an earlier attempt.
func TestTracker_SimilarTimeoutsDoNotMatch(t *testing.T) {
	var l Tracker
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	for i := range 500 {
		now = now.Add(5 * time.Millisecond)
		deadline := now.Add(time.Duration(680+random.IntN(120)) * time.Millisecond)
		_, ok := l.Take(uint64(i), deadline)
		assert.False(t, ok)
		l.Add(now, Refusal{Key: uint64(i), FirstAttempt: now, Deadline: deadline, RetryAt: now.Add(50 * time.Millisecond)})
	}
}
