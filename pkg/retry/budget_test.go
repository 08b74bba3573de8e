package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testPolicy = Policy{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// Guards against exceeding the fleet-wide bound when every call fails and the load is skewed: one node has most of the requests, others
// have none. The retries of all nodes stay within the bound in every window.
func TestBudget_FleetBoundHoldsUnderSkew(t *testing.T) {
	const nodes = 11
	now := 1000 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	var budgets []*Budget
	for range nodes {
		b := New(testPolicy, func() int { return nodes })
		b.now = func() time.Duration { return now }
		budgets = append(budgets, b)
	}
	type step struct{ requests, retries int }
	var steps []step
	const perWindow = 100
	for range 6 * perWindow {
		now += testPolicy.Window / perWindow
		var s step
		for i, b := range budgets {
			rate := 1.0 / float64(1+i*i)
			for range 5 {
				if random.Float64() < rate {
					b.CountRequest("dispatch")
					s.requests++
				}
				if b.AllowRetry("dispatch", true) { // nodes without requests also retry
					s.retries++
				}
			}
		}
		steps = append(steps, s)
	}
	maxUsed := 0.0
	for end := perWindow; end <= len(steps); end++ {
		requests, retries := 0, 0
		for _, s := range steps[end-perWindow : end] {
			requests += s.requests
			retries += s.retries
		}
		allowed := testPolicy.Ratio*float64(requests) + testPolicy.Slack
		assert.LessOrEqual(t, float64(retries), allowed)
		maxUsed = max(maxUsed, float64(retries)/allowed)
	}
	assert.Greater(t, maxUsed, 0.3, "the budget is usable")
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

// Guards against calls that are not nested using up the budget when backend servers refuse half of all calls. Retries of nested calls go
// first: the slot time of their parent calls is lost if they fail.
func TestBudget_NestedCallsGetMostRetries(t *testing.T) {
	now := 1000 * time.Second
	b := New(testPolicy, func() int { return 1 })
	b.now = func() time.Duration { return now }
	nested, other := 0, 0
	for range 1000 {
		now += testPolicy.Window / 1000
		b.CountRequest("records")
		b.CountRequest("records")
		if b.AllowRetry("records", false) {
			other++
		}
		if b.AllowRetry("records", true) {
			nested++
		}
	}
	assert.Greater(t, nested, 2*other)
	assert.Positive(t, other)
	assert.LessOrEqual(t, float64(nested+other), safetyFactor*(testPolicy.Ratio*2000+testPolicy.Slack))
}

// Guards against counting a retry more than once while its call probes several endpoints for a free slot.
func TestCallBudget_UnsentRetryStaysReserved(t *testing.T) {
	b := New(Policy{Slack: 4, Window: 10 * time.Second}, func() int { return 1 }) // safetyFactor leaves 2 retries
	call := b.ForCall("records")
	for range 5 {
		assert.True(t, call.Reserve(true))
	}
	call.Commit()
	assert.True(t, call.Reserve(true), "second retry")
	call.Commit()
	assert.False(t, call.Reserve(true))
	assert.False(t, b.ForCall("records").Reserve(true))
}
