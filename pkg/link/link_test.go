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
	thin = 12.0 // megabits a second
	long = 90_000
)

// newTestLink returns a link whose clock the test moves.
func newTestLink() (l *Link, now *time.Duration) {
	l, now = New(thin), new(time.Duration)
	l.now = func() time.Duration { return *now }
	return l, now
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// mayWrite reports whether the turn's next piece may be written now. It is taken either way.
func mayWrite(turn *Reservation) bool {
	wait := turn.next - turn.link.now() - ahead
	_, _ = turn.NextChunk(cancelled(), long)
	return wait <= 0
}

// Pattern: many long answers become ready at once on a thin link. They are sent one after the other, the first of them at once, and
// leave the link a part of its rate.
func TestLink_LongResponsesAreSentInOrder(t *testing.T) {
	l, now := newTestLink()
	const answers = 8
	var ends []time.Duration
	turns := make([]*Reservation, answers)
	for i := range turns {
		turns[i] = l.Reserve(long)
	}
	for _, turn := range turns {
		for turn.left > 0 {
			for turn.next-ahead > *now {
				*now += time.Millisecond
			}
			require.True(t, mayWrite(turn))
		}
		ends = append(ends, *now)
	}
	assert.True(t, slices.IsSorted(ends))
	assert.Less(t, ends[0], 80*time.Millisecond, "the first is not slowed by the others")
	atFullRate := time.Duration(float64(answers*long) * 8 / (thin * 1e6) * float64(time.Second))
	assert.Greater(t, ends[answers-1], atFullRate)
	assert.Less(t, ends[answers-1], atFullRate*5/4)
}

// Pattern: a surge of long answers, four times what the link carries. What cannot be in time is known before it is worked on: of the
// answers that are begun, all are in time, and the link does not idle.
func TestLink_EstimateWaitDuringSurge(t *testing.T) {
	const target, work, every, length = 600 * time.Millisecond, 80 * time.Millisecond, 18 * time.Millisecond, 20 * time.Second
	l, now := newTestLink()
	begun, late := 0, 0
	ready := map[time.Duration][]func(){}
	for *now = 0; *now < length; *now += time.Millisecond {
		for _, run := range ready[*now] {
			run()
		}
		delete(ready, *now)
		if *now%every != 0 || max(0, l.EstimateWait(long)-work)+l.TransmitTime(long)+work > target {
			continue
		}
		begun++
		arrived, done := *now, l.Expect(long)
		ready[*now+work] = append(ready[*now+work], func() {
			done()
			if turn := l.Reserve(long); turn.next+l.TransmitTime(long)-arrived > target {
				late++
			}
		})
	}
	assert.Zero(t, late)
	assert.Greater(t, float64(begun*long)*8/length.Seconds()/(thin*1e6), 0.8, "part of the link in use")
}

func TestLink_ShortResponsesDoNotWait(t *testing.T) {
	l, _ := newTestLink()
	for range 10 {
		l.Reserve(long)
	}
	assert.Greater(t, l.EstimateWait(long), 500*time.Millisecond)
	assert.Zero(t, l.EstimateWait(MaxShortBytes))
}

// Pattern: short answers of calls on which others wait, behind a long one on a link of 7 to 140 megabits a second. What is written of the
// long one at any moment, and has not been sent, delays a short one by no more than 6 ms.
func TestLink_ChunkDelayIsBounded(t *testing.T) {
	for _, megabits := range []float64{7, 12, 14, 140} {
		l, now := New(megabits), time.Duration(0)
		l.now = func() time.Duration { return now }
		turn := l.Reserve(long)
		sent := 0.0 // bytes that have left the machine
		written := 0.0
		for ; turn.left > 0; now += time.Millisecond {
			for turn.left > 0 && turn.next-ahead <= now {
				n, _ := turn.NextChunk(cancelled(), long)
				written += float64(n)
			}
			delay := (written - sent) / (megabits * 1e6 / 8)
			assert.LessOrEqual(t, delay, 0.006, "at %v megabits a second", megabits)
			sent = min(written, sent+megabits*1e6/8/1000)
		}
	}
}

// A caller that leaves gives back the time of what it has not got.
func TestReservation_ReleaseReturnsUnwrittenBytes(t *testing.T) {
	l, _ := newTestLink()
	turn := l.Reserve(long)
	before := l.EstimateWait(long)
	_, err := turn.NextChunk(context.Background(), long)
	require.NoError(t, err)
	turn.Release()
	turn.Release()
	assert.Less(t, l.EstimateWait(long), before/3)
}

func TestLink_ExpectedResponsesCount(t *testing.T) {
	l, _ := newTestLink()
	done := l.Expect(long)
	assert.Equal(t, l.TransmitTime(long), l.EstimateWait(long))
	done()
	done()
	assert.Zero(t, l.EstimateWait(long))
}

func TestNextChunk_ContextCancelled(t *testing.T) {
	l, _ := newTestLink()
	l.Reserve(long)
	_, err := l.Reserve(long).NextChunk(cancelled(), maxPiece)
	assert.ErrorIs(t, err, context.Canceled)
}

// A length that is not known, or is longer than stated: each piece takes its place by itself.
func TestNextChunk_UnknownLength(t *testing.T) {
	l, now := newTestLink()
	turn := l.Reserve(-1)
	for range 10 {
		*now += time.Second
		assert.True(t, mayWrite(turn))
	}
}

func TestLink_NilIsUnbounded(t *testing.T) {
	l := New(0)
	assert.Nil(t, l)
	turn := l.Reserve(long)
	n, err := turn.NextChunk(context.Background(), long)
	assert.NoError(t, err)
	assert.Equal(t, long, n)
	turn.Release()
	l.Expect(long)()
	l.CountShort(long)
	assert.Zero(t, l.EstimateWait(long)+l.TransmitTime(long))
}
