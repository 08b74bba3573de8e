// Package link shares the sending side of a machine's network link between short answers and long ones.
//
// A few long answers fill a thin link for a second, and everything behind them is late: short answers, handshakes, probes of
// other nodes, which then take the machine for lost. So long answers are sent one after the other, in the order in which they
// became ready, in pieces that leave room for what is short. How long a new one would wait is known exactly, so that what
// cannot be in time is refused before it is worked on.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// MaxShortBytes is the length, in bytes, up to which an answer is sent at once.
const MaxShortBytes = 16 << 10

const (
	// pieceTime is how long the link sends at what is written of a long answer at a time: a short answer that becomes ready meanwhile
	// waits for it.
	pieceTime = 2 * time.Millisecond
	// minPiece and maxPiece bound a piece, in bytes: two packets are worth a write, and buffers are not larger.
	minPiece = 3000
	maxPiece = 16 << 10
	// usedShare is the part of the link that long answers use. The rest is for headers, acknowledgements and control.
	usedShare = 0.85
	// ahead is how much earlier than its turn a piece may be written, so that the link does not idle between timers.
	ahead = 2 * time.Millisecond
)

// Link is safe for concurrent use. A nil Link has no bound.
type Link struct {
	bytesPerSecond float64
	now            func() time.Duration // since a fixed moment

	mu       sync.Mutex
	free     time.Duration // when all that was handed over has been sent
	expected int64         // bytes of long answers that are being worked on
}

// New returns a link of that many megabits a second, or nil if it is 0: not known.
func New(megabits float64) *Link {
	if megabits <= 0 {
		return nil
	}
	const bitsPerByte, mega = 8, 1e6
	return &Link{bytesPerSecond: megabits * mega / bitsPerByte * usedShare, now: clock.Now}
}

// piece is how many bytes of a long answer are written at a time.
func (l *Link) piece() int {
	return max(minPiece, min(maxPiece, int(l.bytesPerSecond*pieceTime.Seconds())))
}

func (l *Link) takes(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// Expect notes that an answer of so many bytes is being worked on. Call the returned function once, when it is ready or will not come.
func (l *Link) Expect(bytes int64) (done func()) {
	if l == nil || bytes <= MaxShortBytes {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected += bytes
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.expected -= bytes
	})
}

// EstimateWait estimates how long an answer of so many bytes would wait for its turn if it were worked on now.
func (l *Link) EstimateWait(bytes int64) time.Duration {
	if l == nil || bytes <= MaxShortBytes {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.free-l.now()) + l.takes(l.expected)
}

// TransmitTime is how long it takes to send so many bytes.
func (l *Link) TransmitTime(bytes int64) time.Duration {
	if l == nil {
		return 0
	}
	return l.takes(bytes)
}

// CountShort accounts for bytes that are written at once.
func (l *Link) CountShort(bytes int64) {
	if l != nil {
		l.take(bytes)
	}
}

// take reserves the link for so many bytes and returns when their turn comes.
func (l *Link) take(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := max(l.free, l.now())
	l.free = start + l.takes(bytes)
	return start
}

func (l *Link) giveBack(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = max(l.now(), l.free-l.takes(bytes))
}

// Reservation is the place of a long answer in the order of sending.
type Reservation struct {
	link *Link
	next time.Duration // when the next piece may be written
	left int64         // bytes that are reserved and not written
}

// Reserve reserves a place for so many bytes; -1: not known, each piece then takes its place by itself. End it with Leave.
func (l *Link) Reserve(bytes int64) *Reservation {
	if l == nil {
		return nil
	}
	t := &Reservation{link: l, left: max(0, bytes)}
	t.next = l.take(t.left)
	return t
}

// Release gives back what was not written.
func (t *Reservation) Release() {
	if t != nil && t.left > 0 {
		t.link.giveBack(t.left)
		t.left = 0
	}
}

// NextChunk waits until more of the answer may be written and returns how many bytes, at most so many. The error is that of ctx.
func (t *Reservation) NextChunk(ctx context.Context, bytes int) (int, error) {
	if t == nil {
		return bytes, nil
	}
	n := min(bytes, t.link.piece())
	if t.left == 0 {
		t.next = t.link.take(int64(n))
	}
	t.left = max(0, t.left-int64(n))
	wait := t.next - t.link.now() - ahead
	t.next += t.link.takes(int64(n))
	if wait <= 0 {
		return n, ctx.Err()
	}
	return n, clock.Sleep(ctx, wait)
}
