// Package retry implements a retry budget that holds across all nodes of the fleet.
//
// In any window, the nodes together send at most Ratio times the requests for a service, plus Slack, as retries to a second
// backend server. A node does not know what the others send, so each enforces its own share: Ratio of its own requests and an
// equal share of Slack. The shares add up to the fleet-wide bound however requests are distributed over the nodes.
package retry

import (
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Policy is the fleet-wide retry bound of a service.
type Policy struct {
	Ratio  float64       // retries per request for the service
	Slack  float64       // additional retries in each window
	Window time.Duration // length of the sliding window
}

// safetyFactor is the fraction of the bound that is used. The rest covers windows that are not aligned between nodes and observers,
// nodes that lose their counts on a restart, and the nested calls that a retry makes again.
const safetyFactor = 0.5

// nonNestedShare is the share of the allowed retries that is open to calls that are not nested.
const nonNestedShare = 0.5

// buckets is the number of buckets in a window.
const buckets = 20

// Budget counts requests and retries per service over a sliding window. It is safe for concurrent use.
type Budget struct {
	policy Policy
	nodes  func() int           // size of the fleet, including this node
	now    func() time.Duration // time since a fixed origin

	mu       sync.Mutex
	services map[string]*window
}

// New returns a budget that enforces this node's share of the policy. nodes returns the size of the fleet, including this node.
func New(policy Policy, nodes func() int) *Budget {
	return &Budget{policy: policy, nodes: nodes, now: clock.Now, services: make(map[string]*window)}
}

// window counts requests and retries in buckets that together cover Policy.Window.
type window struct {
	requests, retries [buckets]int
	newest            int64 // sequence number of the newest bucket
}

// CountRequest counts the first attempt of a call.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.advance(service)
	w.requests[i]++
}

// AllowRetry counts a retry and returns true, or returns false if the budget does not allow one. nested reports whether a
// backend server makes the call while it serves another call, whose work is lost if this one fails. Callers of other calls can retry by
// themselves, so calls that are not nested may use only nonNestedShare of the budget.
func (b *Budget) AllowRetry(service string, nested bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.advance(service)
	requests, retries := 0, 0
	for j := range buckets {
		requests += w.requests[j]
		retries += w.retries[j]
	}
	allowed := safetyFactor * (b.policy.Ratio*float64(requests) + b.policy.Slack/float64(max(1, b.nodes())))
	if !nested {
		allowed *= nonNestedShare
	}
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[i]++
	return true
}

// CallBudget accounts for the retries of one call. It is not safe for concurrent use.
type CallBudget struct {
	budget   *Budget
	service  string
	reserved bool // a retry is counted in the budget and not sent yet
}

// ForCall returns the retry budget of one call to the service.
func (b *Budget) ForCall(service string) *CallBudget { return &CallBudget{budget: b, service: service} }

// Reserve counts a retry in the budget, or returns false if the budget does not allow one. A reservation that is not committed, for
// example because the endpoint had no free slot, serves the next Reserve. For nested, see AllowRetry.
func (c *CallBudget) Reserve(nested bool) bool {
	c.reserved = c.reserved || c.budget.AllowRetry(c.service, nested)
	return c.reserved
}

// Commit marks the reserved retry as sent.
func (c *CallBudget) Commit() { c.reserved = false }

// advance moves the window of a service to the current time and returns it with the index of its newest bucket.
func (b *Budget) advance(service string) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := int64(b.now() / (b.policy.Window / buckets))
	steps := min(number-w.newest, buckets)
	for s := int64(1); s <= steps; s++ {
		i := (w.newest + s) % buckets
		if steps == buckets {
			i = s % buckets
		}
		w.requests[i], w.retries[i] = 0, 0
	}
	w.newest = max(number, w.newest)
	return w, int(w.newest % buckets)
}
