// Package clock tells times as durations, for counters and atomics that cannot hold a time.Time. Unlike Unix times these do not
// change when the wall clock is set.
package clock

import "time"

// begun has a monotonic reading.
var begun = time.Now()

// Now is the time since the process started.
func Now() time.Duration { return time.Since(begun) }

// Of is the time between the start of the process and t, which comes from time.Now.
func Of(t time.Time) time.Duration { return t.Sub(begun) }
