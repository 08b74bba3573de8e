// Package link paces the responses that a machine sends over its network link, so that long ones do not delay short ones.
//
// A few long responses can fill a slow link for a second and delay everything queued behind them: short responses, handshakes, and
// the health probes of other nodes, which then consider the machine failed. Long responses are therefore sent one at a time, in the
// order in which they become ready, in chunks that leave bandwidth for short traffic. The queueing delay of a new response is known
// exactly, so that a request whose response cannot be in time is refused before it is processed.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// MaxShortBytes is the length up to which a response is sent without pacing.
const MaxShortBytes = 16 << 10

const (
	// chunkDuration is the transmission time of one chunk of a long response. A short response that becomes ready meanwhile waits for it.
	chunkDuration = 2 * time.Millisecond
	// minChunkBytes is about two packets, the least that is worth a write. maxChunkBytes is the size of the buffers.
	minChunkBytes = 3000
	maxChunkBytes = 16 << 10
	// longShare is the share of the bandwidth that long responses use. The rest is for headers, acknowledgements and control traffic.
	longShare = 0.85
	// writeAhead is how long before its scheduled time a chunk may be written, so that the link does not idle between timers.
	writeAhead = 2 * time.Millisecond
)

// Link schedules transmissions over one network link. It is safe for concurrent use. A nil Link does not limit anything.
type Link struct {
	bytesPerSecond float64              // of long responses
	now            func() time.Duration // time since a fixed origin

	mu            sync.Mutex
	freeAt        time.Duration // when everything reserved so far has been sent
	expectedBytes int64         // total length of the long responses in preparation
}

// New returns a link with the given bandwidth in megabits per second, or nil if it is 0 (unknown).
func New(megabits float64) *Link {
	if megabits <= 0 {
		return nil
	}
	const bitsPerByte, mega = 8, 1e6
	return &Link{bytesPerSecond: megabits * mega / bitsPerByte * longShare, now: clock.Now}
}

// chunkBytes returns the length of one chunk of a long response.
func (l *Link) chunkBytes() int {
	return max(minChunkBytes, min(maxChunkBytes, int(l.bytesPerSecond*chunkDuration.Seconds())))
}

func (l *Link) transmitTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// Expect announces a response of the given length that is in preparation. Call done when the response is ready or has failed.
func (l *Link) Expect(bytes int64) (done func()) {
	if l == nil || bytes <= MaxShortBytes {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectedBytes += bytes
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.expectedBytes -= bytes
	})
}

// EstimateWait returns how long a response of the given length would queue for the link if its preparation started now.
func (l *Link) EstimateWait(bytes int64) time.Duration {
	if l == nil || bytes <= MaxShortBytes {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.freeAt-l.now()) + l.transmitTime(l.expectedBytes)
}

// TransmitTime returns how long the link takes to send the given number of bytes.
func (l *Link) TransmitTime(bytes int64) time.Duration {
	if l == nil {
		return 0
	}
	return l.transmitTime(bytes)
}

// CountShort accounts for bytes that are written without pacing.
func (l *Link) CountShort(bytes int64) {
	if l != nil {
		l.reserve(bytes)
	}
}

// reserve books the transmission of the given number of bytes and returns when it starts.
func (l *Link) reserve(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := max(l.freeAt, l.now())
	l.freeAt = start + l.transmitTime(bytes)
	return start
}

func (l *Link) release(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeAt = max(l.now(), l.freeAt-l.transmitTime(bytes))
}

// Reservation is the place of a long response in the transmission queue.
type Reservation struct {
	link      *Link
	nextWrite time.Duration // when the next chunk may be written
	remaining int64         // bytes that are reserved and not yet written
}

// Reserve queues a response of the given length, or of unknown length if bytes is -1: each chunk is then queued separately. Call Release
// at the end of the response.
func (l *Link) Reserve(bytes int64) *Reservation {
	if l == nil {
		return nil
	}
	r := &Reservation{link: l, remaining: max(0, bytes)}
	r.nextWrite = l.reserve(r.remaining)
	return r
}

// Release returns the bandwidth reserved for bytes that were not written. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil && r.remaining > 0 {
		r.link.release(r.remaining)
		r.remaining = 0
	}
}

// NextChunk waits until the next chunk may be written and returns its length, at most the given number of bytes. The error is that of ctx.
func (r *Reservation) NextChunk(ctx context.Context, bytes int) (int, error) {
	if r == nil {
		return bytes, nil
	}
	n := min(bytes, r.link.chunkBytes())
	if r.remaining == 0 {
		r.nextWrite = r.link.reserve(int64(n))
	}
	r.remaining = max(0, r.remaining-int64(n))
	wait := r.nextWrite - r.link.now() - writeAhead
	r.nextWrite += r.link.transmitTime(int64(n))
	if wait <= 0 {
		return n, ctx.Err()
	}
	return n, clock.Sleep(ctx, wait)
}
