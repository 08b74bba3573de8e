package sidecar

import (
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// refuseBeyond makes the node refuse requests whose deadline is after the time at which the process cuts those in flight.
func (o *outbound) refuseBeyond(cut time.Time) { o.cutAt.Store(int64(clock.SinceStart(cut))) }

// mayOutlastProcess reports whether the process may end before the deadline of the request. As long as the request has not been forwarded, its
// caller can safely send it to another node.
func (o *outbound) mayOutlastProcess(q *request) bool {
	cutAt := o.cutAt.Load()
	return cutAt != 0 && int64(clock.SinceStart(q.deadline)) > cutAt
}

// longestTimeout returns the longest time that a request may take on any route, or 0 if no configuration is known.
func (n *Node) longestTimeout() time.Duration {
	var longest time.Duration
	if t := n.follower.Table(); t != nil {
		for i := range t.Document.Routes {
			longest = max(longest, t.Document.Routes[i].Timeout())
		}
	}
	return longest
}
