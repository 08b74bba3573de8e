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

// Bound is the fleet-wide retry bound of a service.
type Bound struct {
	Ratio  float64       // retries per request for the service
	Slack  float64       // additional retries in each window
	Window time.Duration // length of the sliding window
}

// Policy holds the parameters of the decisions.
type Policy struct {
	// UsedRatio is the fraction of Bound.Ratio that is used. The rest covers windows that are not aligned between nodes and observers.
	UsedRatio float64
	// UsedSlack is the fraction of Bound.Slack that is used. A node that restarts loses its counts and gets its share of the slack again.
	UsedSlack float64
	// NonNestedShare is the share of the allowed retries that is open to calls that are not nested.
	NonNestedShare float64
}

// DefaultPolicy returns the parameters that the nodes use.
func DefaultPolicy() Policy { return Policy{UsedRatio: 0.85, UsedSlack: 0.5, NonNestedShare: 0.75} }

// buckets is the number of buckets in a window.
const buckets = 20

// Budget counts requests and retries per service over a sliding window. It is safe for concurrent use.
type Budget struct {
	options Options

	mu       sync.Mutex
	services map[string]*window
}

// Options configure a Budget.
type Options struct {
	Bound  Bound
	Nodes  func() int // size of the fleet, including this node
	Policy Policy
	Now    func() time.Duration // time since a fixed origin; nil: clock.Now
}

// New returns a budget that enforces this node's share of the bound.
func New(o Options) *Budget {
	if o.Now == nil {
		o.Now = clock.Now
	}
	return &Budget{options: o, services: make(map[string]*window)}
}

// window counts requests and retries in buckets that together cover Bound.Window.
type window struct {
	requests [buckets]int
	retries  [buckets]float64
	newest   int64 // sequence number of the newest bucket
}

// CountRequest counts the first attempt of a call.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.advance(service)
	w.requests[i]++
}

// CountRetries counts retries that the budget cannot prevent: nested calls that a backend server makes again while it serves a retry. n may
// be a fraction, the probability that a call is one.
func (b *Budget) CountRetries(service string, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.advance(service)
	w.retries[i] += n
}

// AllowRetry counts a retry and returns true, or returns false if the budget does not allow one. nested reports whether a
// backend server makes the call while it serves another call, whose work is lost if this one fails. Callers of other calls can retry by
// themselves, so calls that are not nested may use only Policy.NonNestedShare of the budget.
func (b *Budget) AllowRetry(service string, nested bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.advance(service)
	requests, retries := 0, 0.0
	for j := range buckets {
		requests += w.requests[j]
		retries += w.retries[j]
	}
	bound, policy := b.options.Bound, b.options.Policy
	allowed := policy.UsedRatio*bound.Ratio*float64(requests) + policy.UsedSlack*bound.Slack/float64(max(1, b.options.Nodes()))
	if !nested {
		allowed *= policy.NonNestedShare
	}
	if retries+1 > allowed {
		return false
	}
	w.retries[i]++
	return true
}

// advance moves the window of a service to the current time and returns it with the index of its newest bucket.
func (b *Budget) advance(service string) (*window, int) {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := int64(b.options.Now() / (b.options.Bound.Window / buckets))
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
