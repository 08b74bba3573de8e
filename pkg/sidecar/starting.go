package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

const (
	// startDuration is the time after the start of a process in which it learns the configuration and the endpoints.
	startDuration = 2 * time.Second
	// startPollInterval is the interval at which waiting requests are told of what was learned.
	startPollInterval = 10 * time.Millisecond
	// maxStartWait bounds the wait of one request. A refused caller comes back only once, and a node learns enough within half a second.
	maxStartWait = 500 * time.Millisecond
	// startRetryAfter is the Retry-After value of a request that is refused during the start.
	startRetryAfter = 300 * time.Millisecond
)

// starting lets requests wait that arrive while the process starts and could not be served only since it has not learned enough yet. The
// zero value is a process that has started.
type starting struct {
	mu      sync.Mutex
	changed chan struct{} // closed when something was learned; nil: the start has ended
}

func newStarting() *starting { return &starting{changed: make(chan struct{})} }

// run wakes the waiting requests whenever the value of learned changes, until the start has ended or ctx ends.
func (s *starting) run(ctx context.Context, learned func() uint64) {
	ctx, cancel := context.WithTimeout(ctx, startDuration)
	defer cancel()
	known := learned()
	for clock.Sleep(ctx, startPollInterval) == nil {
		if now := learned(); now != known {
			known = now
			s.wake(make(chan struct{}))
		}
	}
	s.wake(nil)
}

func (s *starting) wake(next chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = next
}

// signal returns a channel that is closed when something was learned, or nil if the start has ended.
func (s *starting) signal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// wait waits until ready returns true, and returns its last value. It gives up when the start has ended, at the deadline, or when ctx ends.
func (s *starting) wait(ctx context.Context, deadline time.Time, ready func() bool) bool {
	timer := time.NewTimer(min(maxStartWait, time.Until(deadline)))
	defer timer.Stop()
	for {
		signal := s.signal() // before ready, so that no change is missed
		if ready() {
			return true
		}
		if signal == nil {
			return false
		}
		select {
		case <-signal:
		case <-timer.C:
			return ready()
		case <-ctx.Done():
			return false
		}
	}
}
