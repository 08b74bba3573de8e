// Package clock provides monotonic time as durations since the start of the process, for counters and atomics that cannot hold a
// time.Time, and cancellable waits. Unlike Unix times, these durations are not affected when the wall clock is set.
package clock

import (
	"context"
	"time"
)

// processStart includes a monotonic clock reading.
var processStart = time.Now()

// Now returns the time since the process started.
func Now() time.Duration { return time.Since(processStart) }

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SinceStart returns the time between the start of the process and t. t must come from time.Now, so that it has a monotonic reading.
func SinceStart(t time.Time) time.Duration { return t.Sub(processStart) }

// UnixMilli returns t as Unix milliseconds, computed from the wall clock at the start of the process and the monotonic time since then.
// Later steps of the wall clock do not affect it.
func UnixMilli(t time.Time) int64 { return unixMilli(processStart, t) }

func unixMilli(begun, t time.Time) int64 { return begun.UnixMilli() + t.Sub(begun).Milliseconds() }
