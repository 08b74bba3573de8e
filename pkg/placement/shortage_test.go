package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

type shortageFixture struct {
	*Shortages
	now    time.Time
	random *rand.Rand
	key    ShortageKey
}

func newShortageFixture() *shortageFixture {
	f := &shortageFixture{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)), key: ShortageKey{Service: "records", Class: "export", Rank: 3}}
	f.Shortages = NewShortages(DefaultShortagePolicy(), func() time.Time { return f.now }, f.random.Float64)
	return f
}

// offer makes calls at the interval, of which the endpoints accept the given share of those that are sent, up to the given number for each
// ten offered. It returns the shares of the calls that were sent and accepted.
func (f *shortageFixture) offer(calls int, interval time.Duration, acceptable float64) (sent, accepted float64) {
	room := 0.0
	for range calls {
		f.now = f.now.Add(interval)
		room = min(2, room+acceptable)
		if _, rejected := f.Reject(f.key); rejected {
			continue
		}
		sent++
		if room >= 1 {
			room--
			accepted++
			f.ObserveCall(f.key, true, 0)
			continue
		}
		f.ObserveCall(f.key, false, 120*time.Millisecond)
	}
	return sent / float64(calls), accepted / float64(calls)
}

// Pattern: ten times more calls of a class than the endpoints accept. Guards against hops for calls that no endpoint takes, and against room that is
// left unused because too few calls are sent.
func TestReject_DeepOverload(t *testing.T) {
	f := newShortageFixture()
	sent, accepted := f.offer(2000, 20*time.Millisecond, 0.1)
	assert.Less(t, sent, 0.65)
	assert.Greater(t, accepted, 0.09)
}

// Pattern: a service that accepts most calls. Guards against rejections while there is usually room.
func TestReject_MostCallsAccepted(t *testing.T) {
	f := newShortageFixture()
	sent, _ := f.offer(2000, 20*time.Millisecond, 0.8)
	assert.Greater(t, sent, 0.98)
}

// Pattern: room comes back after an overload. Guards against refusals although an endpoint has a free slot, and against a shortage that is
// remembered until a call happens to be accepted.
func TestReject_EndsWithRoom(t *testing.T) {
	f := newShortageFixture()
	for range 20 {
		f.ObserveCall(f.key, false, 120*time.Millisecond)
	}
	retryAfter, rejected := f.Reject(f.key)
	assert.True(t, rejected)
	assert.Equal(t, 120*time.Millisecond, retryAfter)
	other := f.key
	other.Rank = 1
	_, rejected = f.Reject(other)
	assert.False(t, rejected, "more urgent calls find out by themselves")

	f.ObserveReport("records", Load{Running: 9, Queued: 0, Limit: 9})
	_, rejected = f.Reject(f.key)
	assert.True(t, rejected, "all slots are in use")
	f.ObserveReport("records", Load{Running: 8, Limit: 9})
	_, rejected = f.Reject(f.key)
	assert.False(t, rejected)

	f.now = f.now.Add(time.Millisecond)
	f.ObserveCall(f.key, false, 120*time.Millisecond)
	_, rejected = f.Reject(f.key)
	assert.True(t, rejected)
	f.now = f.now.Add(DefaultShortagePolicy().Memory + time.Millisecond)
	_, rejected = f.Reject(f.key)
	assert.False(t, rejected, "the refusals are too old")
}

// Guards against memory that grows with every class that configurations ever named.
func TestObserveCall_BoundsClasses(t *testing.T) {
	f := newShortageFixture()
	for rank := range 10 * maxClasses {
		f.ObserveCall(ShortageKey{Service: "records", Rank: rank}, false, 0)
	}
	assert.LessOrEqual(t, len(f.shortage), maxClasses)
}
