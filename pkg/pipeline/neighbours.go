package pipeline

import (
	"context"
	"sync/atomic"
	"time"
)

// Neighbours describes the requests that share a client connection. Responses are written in the order of the requests, so a request that waits
// holds up all later ones.
type Neighbours struct {
	pipelined      atomic.Bool  // a request was sent before the response to an earlier one
	shortestTarget atomic.Int64 // nanoseconds; 0: none known
}

// neighboursKey is the context key of the connection's Neighbours.
type neighboursKey struct{}

// NeighboursOf returns the neighbours of a request by its context, or nil if it is not of a connection of a Server.
func NeighboursOf(ctx context.Context) *Neighbours {
	n, _ := ctx.Value(neighboursKey{}).(*Neighbours)
	return n
}

// Observe records the time in which a request of the connection should be answered.
func (n *Neighbours) Observe(target time.Duration) {
	if n == nil || target <= 0 {
		return
	}
	for {
		old := n.shortestTarget.Load()
		if old != 0 && old <= int64(target) || n.shortestTarget.CompareAndSwap(old, int64(target)) {
			return
		}
	}
}

// ShortestTarget returns the shortest time in which requests of the connection should be answered, or 0 if they are not pipelined.
func (n *Neighbours) ShortestTarget() time.Duration {
	if n == nil || !n.pipelined.Load() {
		return 0
	}
	return time.Duration(n.shortestTarget.Load())
}
