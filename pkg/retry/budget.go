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
	// FirstAttemptShare and LastAttemptShare are the shares of the allowed retries that are open to claims of these kinds. The former applies
	// while last attempts or nested calls have claimed retries within the window, the latter while nested calls have.
	FirstAttemptShare, LastAttemptShare float64
}

// Claim says what is lost if a call gets no retry. A larger value takes precedence.
type Claim int

// Claims of calls to retries.
const (
	FirstAttempt Claim = iota // its caller can return and be served then
	LastAttempt               // its caller has returned after a refusal and will not return again
	Nested                    // a backend server makes the call while it serves another one, whose work is lost as well
	claims                    // number of claims
)

// DefaultPolicy returns the parameters that the nodes use.
func DefaultPolicy() Policy {
	return Policy{UsedRatio: 0.85, UsedSlack: 0.5, FirstAttemptShare: 0.25, LastAttemptShare: 0.9}
}

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
	claims   [buckets][claims]int // retries that were claimed, allowed or not
	newest   int64                // sequence number of the newest bucket
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

// AllowRetry counts a retry and returns true, or returns false if the budget does not allow one.
func (b *Budget) AllowRetry(service string, claim Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.advance(service)
	w.claims[i][claim]++
	requests, retries, highest := 0, 0.0, claim
	for j := range buckets {
		requests += w.requests[j]
		retries += w.retries[j]
		for c := highest + 1; c < claims; c++ {
			if w.claims[j][c] > 0 {
				highest = c
			}
		}
	}
	bound, policy := b.options.Bound, b.options.Policy
	allowed := policy.UsedRatio*bound.Ratio*float64(requests) + policy.UsedSlack*bound.Slack/float64(max(1, b.options.Nodes()))
	if highest > claim {
		allowed *= policy.share(claim)
	}
	if retries+1 > allowed {
		return false
	}
	w.retries[i]++
	return true
}

// share returns the share of the allowed retries that is open to a claim beside those that take precedence.
func (p *Policy) share(c Claim) float64 {
	switch c {
	case FirstAttempt:
		return p.FirstAttemptShare
	case LastAttempt:
		return p.LastAttemptShare
	}
	return 1
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
		w.requests[i], w.retries[i], w.claims[i] = 0, 0, [claims]int{}
	}
	w.newest = max(number, w.newest)
	return w, int(w.newest % buckets)
}
