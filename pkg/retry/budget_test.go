package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var terms = Policy{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// Pattern: everything fails, and the load is skewed: one node has most of the requests, others have none. In any window the
// repeats of all nodes stay within the bound of the fleet.
func TestBudget_FleetBoundHoldsUnderSkew(t *testing.T) {
	const nodes = 11
	now := 1000 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	var budgets []*Budget
	for range nodes {
		b := New(terms, func() int { return nodes })
		b.now = func() time.Duration { return now }
		budgets = append(budgets, b)
	}
	type step struct{ requests, repeats int }
	var steps []step
	const perWindow = 100
	for range 6 * perWindow {
		now += terms.Window / perWindow
		var s step
		for i, b := range budgets {
			rate := 1.0 / float64(1+i*i)
			for range 5 {
				if random.Float64() < rate {
					b.CountRequest("dispatch")
					s.requests++
				}
				if b.AllowRetry("dispatch", true) { // also nodes without requests try
					s.repeats++
				}
			}
		}
		steps = append(steps, s)
	}
	most := 0.0
	for end := perWindow; end <= len(steps); end++ {
		requests, repeats := 0, 0
		for _, s := range steps[end-perWindow : end] {
			requests += s.requests
			repeats += s.repeats
		}
		allowed := terms.Ratio*float64(requests) + terms.Slack
		assert.LessOrEqual(t, float64(repeats), allowed)
		most = max(most, float64(repeats)/allowed)
	}
	assert.Greater(t, most, 0.3, "the budget is of use")
}

func TestBudget_SeparateServicesAndSlidingWindow(t *testing.T) {
	now := 1000 * time.Second
	b := New(Policy{Ratio: 0, Slack: 4, Window: time.Second}, func() int { return 1 })
	b.now = func() time.Duration { return now }
	assert.True(t, b.AllowRetry("a", true))
	assert.True(t, b.AllowRetry("a", true))
	assert.False(t, b.AllowRetry("a", true))
	assert.True(t, b.AllowRetry("b", true))
	now += 2 * time.Second
	assert.True(t, b.AllowRetry("a", true))
	now -= time.Hour // the clock was set back
	assert.False(t, func() bool { b.AllowRetry("a", true); return b.AllowRetry("a", true) }())
}

// Pattern: backend servers refuse half of their calls, so that repeats run short. Those on behalf of admitted work come first: the
// slot time of their parents is lost with them.
func TestBudget_InnerCallsGetMostRetries(t *testing.T) {
	now := 1000 * time.Second
	b := New(terms, func() int { return 1 })
	b.now = func() time.Duration { return now }
	inner, outer := 0, 0
	for range 1000 {
		now += terms.Window / 1000
		b.CountRequest("records")
		b.CountRequest("records")
		if b.AllowRetry("records", false) {
			outer++
		}
		if b.AllowRetry("records", true) {
			inner++
		}
	}
	assert.Greater(t, inner, 2*outer)
	assert.Positive(t, outer)
	assert.LessOrEqual(t, float64(inner+outer), caution*(terms.Ratio*2000+terms.Slack))
}

// Pattern: a call looks for an endpoint with room for its repeat. It is one repeat, however many endpoints were asked.
func TestCallBudget_UnsentRetryStaysReserved(t *testing.T) {
	b := New(Policy{Slack: 4, Window: 10 * time.Second}, func() int { return 1 }) // half of it is used
	call := b.ForCall("records")
	for range 5 {
		assert.True(t, call.Reserve(true))
	}
	call.Commit()
	assert.True(t, call.Reserve(true), "the second one")
	call.Commit()
	assert.False(t, call.Reserve(true))
	assert.False(t, b.ForCall("records").Reserve(true))
}
