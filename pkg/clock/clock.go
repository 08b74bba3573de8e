// Package clock waits, and tells times as durations for counters and atomics that cannot hold a time.Time. Unlike Unix times these do
// not change when the wall clock is set.
package clock

import (
	"context"
	"time"
)

// begun has a monotonic reading.
var begun = time.Now()

// Now is the time since the process started.
func Now() time.Duration { return time.Since(begun) }

// Sleep waits for d, or returns the error of ctx if that ends first.
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

// SinceStart is the time between the start of the process and t, which comes from time.Now.
func SinceStart(t time.Time) time.Duration { return t.Sub(begun) }

// UnixMilli is t as Unix milliseconds by the time of day at the start of the process and the steady clock since, so that a step of the
// time of day does not show.
func UnixMilli(t time.Time) int64 { return unixMilli(begun, t) }

func unixMilli(begun, t time.Time) int64 { return begun.UnixMilli() + t.Sub(begun).Milliseconds() }
