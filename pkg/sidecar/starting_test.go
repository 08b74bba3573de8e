package sidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Cold start of all nodes: requests that arrive before an endpoint is known are served as soon as one is, instead of being refused, as
// the callers come back only once.
func TestStarting_RequestWaitsForFirstEndpoint(t *testing.T) {
	s := newStarting()
	var learned atomic.Uint64
	go s.run(t.Context(), learned.Load)
	time.AfterFunc(50*time.Millisecond, func() { learned.Store(1) })
	start := time.Now()
	assert.True(t, s.wait(t.Context(), start.Add(time.Minute), func() bool { return learned.Load() == 1 }))
	assert.Less(t, time.Since(start), maxStartWait)
}

// Guards against requests that are held although they cannot be served: beyond the limit, after the start, or after the caller has left.
func TestStarting_RequestIsNotHeldInVain(t *testing.T) {
	never := func() bool { return false }
	s := newStarting()
	start := time.Now()
	assert.False(t, s.wait(t.Context(), start.Add(30*time.Millisecond), never))
	assert.Less(t, time.Since(start), maxStartWait, "the request has no more time")
	assert.False(t, s.wait(t.Context(), start.Add(time.Minute), never))
	assert.Less(t, time.Since(start), 3*maxStartWait)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, s.wait(left, start.Add(time.Minute), never))

	ended, end := context.WithCancel(t.Context())
	end()
	s.run(ended, func() uint64 { return 0 })
	assert.Nil(t, s.signal())
	assert.False(t, s.wait(t.Context(), start.Add(time.Minute), never))
}
