package link

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testMegabits = 12.0 // megabits per second
	longBytes    = 90_000
)

// newTestLink returns a link whose clock is set through now.
func newTestLink() (l *Link, now *time.Duration) {
	l, now = New(testMegabits), new(time.Duration)
	l.now = func() time.Duration { return *now }
	return l, now
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// takeChunk consumes the next chunk of the reservation, and reports whether it was due.
func takeChunk(reservation *Reservation) bool {
	wait := reservation.nextWrite - reservation.link.now() - writeAhead
	_, _ = reservation.NextChunk(cancelled(), longBytes)
	return wait <= 0
}

// Guards against long responses that delay each other when many become ready at the same time on a slow link. They are sent one at a
// time, the first immediately, and leave some of the bandwidth free.
func TestLink_LongResponsesAreSentInOrder(t *testing.T) {
	l, now := newTestLink()
	const responses = 8
	var ends []time.Duration
	reservations := make([]*Reservation, responses)
	for i := range reservations {
		reservations[i] = l.Reserve(longBytes)
	}
	for _, reservation := range reservations {
		for reservation.remaining > 0 {
			for reservation.nextWrite-writeAhead > *now {
				*now += time.Millisecond
			}
			require.True(t, takeChunk(reservation))
		}
		ends = append(ends, *now)
	}
	assert.True(t, slices.IsSorted(ends))
	assert.Less(t, ends[0], 80*time.Millisecond, "the others do not delay the first")
	atFullRate := time.Duration(float64(responses*longBytes) * 8 / (testMegabits * 1e6) * float64(time.Second))
	assert.Greater(t, ends[responses-1], atFullRate)
	assert.Less(t, ends[responses-1], atFullRate*5/4)
}

// Guards against wrong wait estimates in a surge of long responses at four times the bandwidth. Requests that cannot be in time are
// recognised before they are processed: all responses that are started are in time, and the link does not idle.
func TestLink_EstimateWaitDuringSurge(t *testing.T) {
	const target, work, every, length = 600 * time.Millisecond, 80 * time.Millisecond, 18 * time.Millisecond, 20 * time.Second
	l, now := newTestLink()
	started, late := 0, 0
	ready := map[time.Duration][]func(){}
	for *now = 0; *now < length; *now += time.Millisecond {
		for _, run := range ready[*now] {
			run()
		}
		delete(ready, *now)
		if *now%every != 0 || max(0, l.EstimateWait(longBytes)-work)+l.TransmitTime(longBytes)+work > target {
			continue
		}
		started++
		arrived, done := *now, l.Expect(longBytes)
		ready[*now+work] = append(ready[*now+work], func() {
			done()
			if reservation := l.Reserve(longBytes); reservation.nextWrite+l.TransmitTime(longBytes)-arrived > target {
				late++
			}
		})
	}
	assert.Zero(t, late)
	assert.Greater(t, float64(started*longBytes)*8/length.Seconds()/(testMegabits*1e6), 0.8, "link utilisation")
}

func TestLink_ShortResponsesDoNotWait(t *testing.T) {
	l, _ := newTestLink()
	for range 10 {
		l.Reserve(longBytes)
	}
	assert.Greater(t, l.EstimateWait(longBytes), 500*time.Millisecond)
	assert.Zero(t, l.EstimateWait(MaxShortBytes))
}

// Guards against head-of-line blocking of short responses on links of 7 to 140 megabits per second. The bytes of a long response that are
// written and not yet sent never delay a short one by more than 6 ms.
func TestLink_ChunkDelayIsBounded(t *testing.T) {
	for _, megabits := range []float64{7, 12, 14, 140} {
		l, now := New(megabits), time.Duration(0)
		l.now = func() time.Duration { return now }
		reservation := l.Reserve(longBytes)
		sent := 0.0 // bytes that the link has sent
		written := 0.0
		for ; reservation.remaining > 0; now += time.Millisecond {
			for reservation.remaining > 0 && reservation.nextWrite-writeAhead <= now {
				n, _ := reservation.NextChunk(cancelled(), longBytes)
				written += float64(n)
			}
			delay := (written - sent) / (megabits * 1e6 / 8)
			assert.LessOrEqual(t, delay, 0.006, "at %v megabits per second", megabits)
			sent = min(written, sent+megabits*1e6/8/1000)
		}
	}
}

// Guards against bandwidth that stays reserved for a caller that disconnects in the middle of a response.
func TestReservation_ReleaseReturnsUnwrittenBytes(t *testing.T) {
	l, _ := newTestLink()
	reservation := l.Reserve(longBytes)
	before := l.EstimateWait(longBytes)
	_, err := reservation.NextChunk(context.Background(), longBytes)
	require.NoError(t, err)
	reservation.Release()
	reservation.Release()
	assert.Less(t, l.EstimateWait(longBytes), before/3)
}

func TestLink_ExpectedResponsesCount(t *testing.T) {
	l, _ := newTestLink()
	done := l.Expect(longBytes)
	assert.Equal(t, l.TransmitTime(longBytes), l.EstimateWait(longBytes))
	done()
	done()
	assert.Zero(t, l.EstimateWait(longBytes))
}

func TestNextChunk_ContextCancelled(t *testing.T) {
	l, _ := newTestLink()
	l.Reserve(longBytes)
	_, err := l.Reserve(longBytes).NextChunk(cancelled(), maxChunkBytes)
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against stalls of a response whose length is unknown or longer than stated: each chunk is queued separately.
func TestNextChunk_UnknownLength(t *testing.T) {
	l, now := newTestLink()
	reservation := l.Reserve(-1)
	for range 10 {
		*now += time.Second
		assert.True(t, takeChunk(reservation))
	}
}

func TestLink_NilIsUnbounded(t *testing.T) {
	l := New(0)
	assert.Nil(t, l)
	reservation := l.Reserve(longBytes)
	n, err := reservation.NextChunk(context.Background(), longBytes)
	assert.NoError(t, err)
	assert.Equal(t, longBytes, n)
	reservation.Release()
	l.Expect(longBytes)()
	l.CountShort(longBytes)
	assert.Zero(t, l.EstimateWait(longBytes)+l.TransmitTime(longBytes))
}
