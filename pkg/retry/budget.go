// Package retry bounds the calls that are sent to a second backend server, summed over all nodes.
//
// The bound is one for the whole fleet: in any window, at most ratio times the requests for a service, plus a slack. No node
// can know what the others send, so each has its part: the ratio of its own requests, and an equal part of the slack.
// The parts add up to the bound whatever the skew between nodes.
package retry

import (
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Policy are the bound of the fleet.
type Policy struct {
	Ratio  float64       // of the requests for the service
	Slack  float64       // further repeats in each window
	Window time.Duration // any span of this length counts
}

// caution is the part of the bound that is used. Windows of the nodes and of whoever measures do not begin together, a
// node that restarts has forgotten what it sent, and a repeat makes its own calls again.
const caution = 0.5

// outerShare is the part of the allowed repeats that calls which are not made on behalf of admitted work may use.
const outerShare = 0.5

// buckets divide the window.
const buckets = 20

// Budget counts requests and repeats for each service over a sliding window. It is safe for concurrent use.
type Budget struct {
	terms Policy
	nodes func() int           // in the fleet, this one included
	now   func() time.Duration // since a fixed moment

	mu       sync.Mutex
	services map[string]*window
}

// New returns a budget. nodes returns the size of the fleet.
func New(terms Policy, nodes func() int) *Budget {
	return &Budget{terms: terms, nodes: nodes, now: clock.Now, services: make(map[string]*window)}
}

// window counts in buckets that cover Terms.Window.
type window struct {
	requests, repeats [buckets]int
	newest            int64 // number of the newest bucket
}

// CountRequest counts a call that is sent for the first time.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(service)
	w.requests[i]++
}

// AllowRetry counts a repeat, or returns false if the budget does not allow it. Inner says that the call is made on behalf of admitted
// work, which is lost with it; the callers of others can come back, and may use a part of the budget only.
func (b *Budget) AllowRetry(service string, inner bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.at(service)
	requests, repeats := 0, 0
	for j := range buckets {
		requests += w.requests[j]
		repeats += w.repeats[j]
	}
	allowed := caution * (b.terms.Ratio*float64(requests) + b.terms.Slack/float64(max(1, b.nodes())))
	if !inner {
		allowed *= outerShare
	}
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[i]++
	return true
}

// CallBudget are those of one call.
type CallBudget struct {
	budget  *Budget
	service string
	held    bool // a repeat that was taken and not used
}

// ForCall returns the repeats of a call to the service.
func (b *Budget) ForCall(service string) *CallBudget { return &CallBudget{budget: b, service: service} }

// Reserve has a repeat at hand, or returns false if the budget does not allow it. One that was not used, as the endpoint had no room for it,
// is still there. For inner see AllowRetry.
func (r *CallBudget) Reserve(inner bool) bool {
	r.held = r.held || r.budget.AllowRetry(r.service, inner)
	return r.held
}

// Commit notes that the repeat was sent.
func (r *CallBudget) Commit() { r.held = false }

// at returns the window of a service, advanced to now, and the index of its newest bucket.
func (b *Budget) at(service string) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := int64(b.now() / (b.terms.Window / buckets))
	steps := min(number-w.newest, buckets)
	for s := int64(1); s <= steps; s++ {
		i := (w.newest + s) % buckets
		if steps == buckets {
			i = s % buckets
		}
		w.requests[i], w.repeats[i] = 0, 0
	}
	w.newest = max(number, w.newest)
	return w, int(w.newest % buckets)
}
