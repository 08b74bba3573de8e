// Package link paces the responses that a machine sends over its network link, so that long ones do not delay short ones.
//
// A few long responses can fill a slow link for a second and delay everything queued behind them: short responses, handshakes, and
// the health probes of other nodes, which then consider the machine failed. Long responses are therefore sent in chunks that leave
// bandwidth for short traffic, in the order of package function sendOrder. The backlog of the link is known, so that a request whose
// response cannot be in time is refused before it is processed, and other nodes can prefer a machine with less to send.
package link

import (
	"context"
	"slices"
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
	// usedShare is the share of the bandwidth that long responses and counted short ones use together. The rest is for packet headers,
	// acknowledgements and control traffic, which nobody counts.
	usedShare = 0.92
	// writeAhead is how long before its scheduled time a chunk may be written, so that the link does not idle between timers.
	writeAhead = 2 * time.Millisecond
	// stalledAfter is how long the writer of a response may take for a chunk before the response no longer counts in the backlog: its reader
	// or its source is slower than the link, which sends other responses meanwhile.
	stalledAfter = 200 * time.Millisecond
	// usageWindow is the averaging time of the share of the link that is in use. It is about as long as late responses may wait.
	usageWindow = 2 * time.Second
	// maxUsage leaves no room for late responses: the estimate of their end would be longer than any deadline.
	maxUsage = 0.95
)

// Due says when a response is useful to its caller.
type Due struct {
	Target   time.Time // up to then it is in time
	Deadline time.Time // after it, the response is useless
}

// Link schedules transmissions over one network link. It is safe for concurrent use. A nil Link does not limit anything.
type Link struct {
	bytesPerSecond float64              // that are used
	now            func() time.Duration // time since a fixed origin

	mu            sync.Mutex
	freeAt        time.Duration  // when everything written so far has been sent
	expectedBytes int64          // total length of the long responses in preparation
	queue         []*Reservation // long responses that are not written completely, in the order in which they are sent
	timer         *time.Timer    // grants the next chunk
	usage         float64        // recent share of the time in which the link was sending
	usageAt       time.Duration
}

// New returns a link with the given bandwidth in megabits per second, or nil if it is 0 (unknown).
func New(megabits float64) *Link {
	if megabits <= 0 {
		return nil
	}
	const bitsPerByte, mega = 8, 1e6
	now := clock.Now()
	return &Link{bytesPerSecond: megabits * mega / bitsPerByte * usedShare, now: clock.Now, freeAt: now, usageAt: now}
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

// Backlog returns how long the link takes to send what is written, queued and in preparation.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog()
}

// backlog is Backlog. The caller must hold mu.
func (l *Link) backlog() time.Duration {
	now, bytes := l.now(), l.expectedBytes
	for _, r := range l.queue {
		if !r.isStalled(now) {
			bytes += r.remaining
		}
	}
	return max(0, l.freeAt-now) + l.transmitTime(bytes)
}

// EstimateWait returns how long a response of the given length would queue for the link if its preparation started now.
func (l *Link) EstimateWait(bytes int64) time.Duration {
	if bytes <= MaxShortBytes {
		return 0
	}
	return l.Backlog()
}

// EstimateLateEnd returns the time until a response of the given length, sent only while no response that can be in time waits, is expected to be sent.
// ok is false if the link leaves no such time.
func (l *Link) EstimateLateEnd(bytes int64) (end time.Duration, ok bool) {
	if l == nil {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.recentUsage(0)
	if usage > maxUsage {
		return 0, false
	}
	return time.Duration(float64(l.backlog()+l.transmitTime(bytes)) / (1 - usage)), true
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
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(bytes)
}

// write books the transmission of bytes that are written now. The caller must hold mu.
func (l *Link) write(bytes int64) {
	duration := l.transmitTime(bytes)
	l.freeAt = max(l.freeAt, l.now()) + duration
	l.recentUsage(duration)
}

// recentUsage adds a transmission to the share of the time in which the link was sending, and returns it. The caller must hold mu.
func (l *Link) recentUsage(sent time.Duration) float64 {
	now := l.now()
	l.usage = l.usage*max(0, 1-(now-l.usageAt).Seconds()/usageWindow.Seconds()) + sent.Seconds()/usageWindow.Seconds()
	l.usageAt = now
	return l.usage
}

// Reservation is a long response in the queue of a link.
type Reservation struct {
	link             *Link
	target, deadline time.Duration // on the clock of the link
	due              time.Duration // the target, or the deadline if it gives way to others
	remaining        int64         // bytes that are not granted yet
	wanted           int           // length of the chunk that its writer waits for; 0: it does not wait
	granted          chan struct{}
	idleSince        time.Duration // when its latest chunk was granted
}

// isStalled reports whether the writer of the response has taken long for the chunk that it got.
func (r *Reservation) isStalled(now time.Duration) bool {
	return r.wanted == 0 && now-r.idleSince > stalledAfter
}

// Reserve queues a response of the given length, or of unknown length if bytes is -1: each chunk is then queued separately. Call Release
// at the end of the response.
func (l *Link) Reserve(bytes int64, due Due) *Reservation {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, at := l.now(), time.Now()
	r := &Reservation{
		link: l, remaining: max(0, bytes), target: now + due.Target.Sub(at), deadline: now + due.Deadline.Sub(at), granted: make(chan struct{}, 1), idleSince: now,
	}
	l.queue = append(l.queue, r)
	l.reorder()
	return r
}

// reorder puts the queue into the order in which responses are sent. The caller must hold mu.
func (l *Link) reorder() {
	l.queue = sendOrder(max(l.freeAt, l.now()), l.queue, l.transmitTime)
}

// Release removes the response from the queue. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	l := r.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queue, r); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		l.reorder()
		l.grant()
	}
}

// NextChunk waits until the next chunk may be written and returns its length, at most the given number of bytes. The error is that of ctx.
func (r *Reservation) NextChunk(ctx context.Context, bytes int) (int, error) {
	if r == nil {
		return bytes, nil
	}
	l := r.link
	n := min(bytes, l.chunkBytes())
	l.mu.Lock()
	r.wanted = n
	l.grant()
	l.mu.Unlock()
	select {
	case <-r.granted:
		return n, nil
	case <-ctx.Done():
		return n, r.withdraw(ctx)
	}
}

// withdraw ends the wait for a chunk whose context has ended.
func (r *Reservation) withdraw(ctx context.Context) error {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.wanted = 0
	select {
	case <-r.granted: // granted at the same moment, and not written
	default:
	}
	return ctx.Err()
}

// grant lets writers continue, in the order of the queue, until the link is busy. A response whose writer does not wait for a chunk does not hold up
// the others. The caller must hold mu.
func (l *Link) grant() {
	for {
		i := slices.IndexFunc(l.queue, func(r *Reservation) bool { return r.wanted > 0 })
		if i < 0 {
			return
		}
		if wait := l.freeAt - writeAhead - l.now(); wait > 0 {
			l.setTimer(wait)
			return
		}
		r := l.queue[i]
		l.write(int64(r.wanted))
		r.remaining, r.wanted, r.idleSince = max(0, r.remaining-int64(r.wanted)), 0, l.now()
		r.granted <- struct{}{}
	}
}

// setTimer calls grant after the given time. The caller must hold mu.
func (l *Link) setTimer(wait time.Duration) {
	if l.timer != nil {
		l.timer.Reset(wait)
		return
	}
	l.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.grant()
	})
}
