package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testMegabits = 12.0 // megabits per second
	longBytes    = 90_000
	minute       = time.Minute
)

// dueIn returns when a response is useful.
func dueIn(target, deadline time.Duration) Due {
	now := time.Now()
	return Due{Target: now.Add(target), Deadline: now.Add(deadline)}
}

// send writes a response of the given length in chunks, and returns when it has been written.
func send(r *Reservation, bytes int) {
	defer r.Release()
	for bytes > 0 {
		n, _ := r.NextChunk(context.Background(), bytes)
		bytes -= n
	}
}

// atFullRate returns how long the bandwidth takes for the given number of bytes.
func atFullRate(bytes int) time.Duration {
	return time.Duration(float64(bytes) * 8 / (testMegabits * 1e6) * float64(time.Second))
}

// Guards against long responses that delay each other when many become ready at the same time on a slow link. They are sent one at a
// time, the first immediately, and leave some of the bandwidth free.
func TestLink_LongResponsesAreSentInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responses = 8
		l, start := New(testMegabits), time.Now()
		ends := make([]time.Duration, responses)
		var sending sync.WaitGroup
		for i := range ends {
			r := l.Reserve(longBytes, dueIn(minute+time.Duration(i), 2*minute))
			sending.Go(func() { send(r, longBytes); ends[i] = time.Since(start) })
		}
		sending.Wait()
		assert.IsIncreasing(t, ends)
		assert.Less(t, ends[0], 80*time.Millisecond, "the others do not delay the first")
		full := atFullRate(responses * longBytes)
		assert.Greater(t, ends[responses-1], full)
		assert.Less(t, ends[responses-1], full*9/8)
	})
}

// Pattern: downloads at the bandwidth of the link and above, of very different lengths. Guards against long ones that make several shorter ones late, and
// against a link that idles.
func TestLink_LongBodiesDoNotHoldUpShortOnes(t *testing.T) {
	const target, deadline, length, every = 500 * time.Millisecond, 2 * time.Second, 20 * time.Second, 60 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		l, random := New(testMegabits), rand.New(rand.NewPCG(1, 1))
		sent, bytes := 0, 0
		var inTime atomic.Int64
		var sending sync.WaitGroup
		for start := time.Now(); time.Since(start) < length; time.Sleep(every) {
			size := 20_000 + random.IntN(40_000)
			if random.IntN(8) == 0 {
				size = 300_000 + random.IntN(240_000)
			}
			r, begun := l.Reserve(int64(size), dueIn(target, deadline)), time.Now()
			sent, bytes = sent+1, bytes+size
			sending.Go(func() {
				send(r, size)
				if time.Since(begun) <= target {
					inTime.Add(1)
				}
			})
		}
		require.Greater(t, atFullRate(bytes), length*95/100, "the load fills the link")
		sending.Wait()
		assert.Greater(t, float64(inTime.Load())/float64(sent), 0.85)
	})
}

// Guards against wrong wait estimates in a surge of long responses at four times the bandwidth. Requests that cannot be in time are
// recognised before they are processed: all responses that are started are in time, and the link does not idle.
func TestLink_EstimateWaitDuringSurge(t *testing.T) {
	const target, work, every, length = 600 * time.Millisecond, 80 * time.Millisecond, 18 * time.Millisecond, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		l, begin := New(testMegabits), time.Now()
		started := 0
		var late atomic.Int64
		for ; time.Since(begin) < length; time.Sleep(every) {
			if max(0, l.EstimateWait(longBytes)-work)+l.TransmitTime(longBytes)+work > target {
				continue
			}
			started++
			arrived, done, due := time.Now(), l.Expect(longBytes), dueIn(target, minute)
			time.AfterFunc(work, func() {
				done()
				send(l.Reserve(longBytes, due), longBytes)
				if time.Since(arrived) > target {
					late.Add(1)
				}
			})
		}
		time.Sleep(minute)
		assert.Zero(t, late.Load())
		assert.Greater(t, float64(started*longBytes)*8/length.Seconds()/(testMegabits*1e6), 0.85, "link utilisation")
	})
}

// Pattern: a burst of downloads on a link that is usually half idle, and one that lasts. Guards against refusing a call that can still be served late, and
// against accepting one that the link never gets to.
func TestLink_LateResponsesNeedIdleTime(t *testing.T) {
	const deadline = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		l := New(testMegabits)
		for range 10 { // 0.65 s
			l.Reserve(longBytes, dueIn(deadline, deadline))
		}
		end, ok := l.EstimateLateEnd(longBytes)
		assert.True(t, ok)
		assert.Less(t, end, deadline)
		busy := l.Reserve(-1, dueIn(0, minute))
		for begin := time.Now(); time.Since(begin) < 4*usageWindow; {
			_, err := busy.NextChunk(t.Context(), maxChunkBytes)
			require.NoError(t, err)
		}
		_, ok = l.EstimateLateEnd(longBytes)
		assert.False(t, ok)
	})
}

func TestLink_ShortResponsesDoNotWait(t *testing.T) {
	l := New(testMegabits)
	for range 10 {
		l.Reserve(longBytes, Due{})
	}
	assert.Greater(t, l.EstimateWait(longBytes), 500*time.Millisecond)
	assert.Zero(t, l.EstimateWait(MaxShortBytes))
}

// Guards against head-of-line blocking of short responses on links of 7 to 140 megabits per second. The bytes of a long response that are
// written and not yet sent never delay a short one by more than 6 ms.
func TestLink_ChunkDelayIsBounded(t *testing.T) {
	for _, megabits := range []float64{7, 12, 14, 140} {
		synctest.Test(t, func(t *testing.T) {
			l := New(megabits)
			r := l.Reserve(longBytes, dueIn(minute, minute))
			written, sent, last := 0.0, 0.0, time.Now() // bytes that were written, and that the link has sent
			for left := longBytes; left > 0; {
				n, _ := r.NextChunk(t.Context(), left)
				left -= n
				sent = min(written, sent+megabits*1e6/8*time.Since(last).Seconds())
				written, last = written+float64(n), time.Now()
				assert.LessOrEqual(t, (written-sent)/(megabits*1e6/8), 0.006, "at %v megabits per second", megabits)
			}
		})
	}
}

// Pattern: a reader or a source slower than the link. Guards against a link that idles while other responses wait, and against a backlog that counts what
// others do not wait for.
func TestLink_SlowReaderDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, start := New(testMegabits), time.Now()
		slow := l.Reserve(10*longBytes, dueIn(time.Millisecond, 3*time.Second))
		_, err := slow.NextChunk(t.Context(), longBytes)
		require.NoError(t, err)
		send(l.Reserve(longBytes, dueIn(time.Second, minute)), longBytes)
		assert.Less(t, time.Since(start), 80*time.Millisecond)
		time.Sleep(stalledAfter)
		assert.Zero(t, l.Backlog())
	})
}

// Guards against bandwidth that stays reserved for a caller that disconnects in the middle of a response.
func TestReservation_ReleaseReturnsUnwrittenBytes(t *testing.T) {
	l := New(testMegabits)
	reservation := l.Reserve(longBytes, dueIn(minute, minute))
	before := l.EstimateWait(longBytes)
	_, err := reservation.NextChunk(context.Background(), longBytes)
	require.NoError(t, err)
	reservation.Release()
	reservation.Release()
	assert.Less(t, l.EstimateWait(longBytes), before/3)
}

func TestLink_ExpectedResponsesCount(t *testing.T) {
	l := New(testMegabits)
	done := l.Expect(longBytes)
	assert.Equal(t, l.TransmitTime(longBytes), l.EstimateWait(longBytes))
	done()
	done()
	assert.Zero(t, l.EstimateWait(longBytes))
}

// Guards against a chunk that is granted to a writer that has left, so that nobody writes it, and against later chunks that are never granted.
func TestNextChunk_ContextCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(testMegabits)
		l.CountShort(longBytes) // the link is busy
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r := l.Reserve(longBytes, dueIn(minute, minute))
		_, err := r.NextChunk(ctx, maxChunkBytes)
		assert.ErrorIs(t, err, context.Canceled)
		r.Release()
		start := time.Now()
		send(l.Reserve(longBytes, dueIn(minute, minute)), longBytes)
		assert.Less(t, time.Since(start), atFullRate(2*longBytes)*9/8)
	})
}

// Guards against stalls of a response whose length is unknown or longer than stated: each chunk is queued separately.
func TestNextChunk_UnknownLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(testMegabits)
		reservation := l.Reserve(-1, Due{})
		for range 10 {
			time.Sleep(time.Second)
			due := time.Now()
			_, err := reservation.NextChunk(t.Context(), longBytes)
			require.NoError(t, err)
			assert.Zero(t, time.Since(due))
		}
	})
}

func TestLink_NilIsUnbounded(t *testing.T) {
	l := New(0)
	assert.Nil(t, l)
	reservation := l.Reserve(longBytes, Due{})
	n, err := reservation.NextChunk(context.Background(), longBytes)
	assert.NoError(t, err)
	assert.Equal(t, longBytes, n)
	reservation.Release()
	l.Expect(longBytes)()
	l.CountShort(longBytes)
	assert.Zero(t, l.EstimateWait(longBytes)+l.TransmitTime(longBytes)+l.Backlog())
	_, ok := l.EstimateLateEnd(longBytes)
	assert.True(t, ok)
}
