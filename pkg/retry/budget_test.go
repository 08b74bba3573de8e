package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testBound = Bound{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// Guards against exceeding the fleet-wide bound when every call fails and the load is skewed: one node has most of the requests, others
// have none. The retries of all nodes stay within the bound in every window.
func TestBudget_FleetBoundHoldsUnderSkew(t *testing.T) {
	const nodes = 11
	now := 1000 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	var budgets []*Budget
	for range nodes {
		b := New(Options{Bound: testBound, Policy: DefaultPolicy(), Nodes: func() int { return nodes }, Now: func() time.Duration { return now }})
		budgets = append(budgets, b)
	}
	type step struct{ requests, retries int }
	var steps []step
	const perWindow = 100
	for range 6 * perWindow {
		now += testBound.Window / perWindow
		var s step
		for i, b := range budgets {
			rate := 1.0 / float64(1+i*i)
			for range 5 {
				if random.Float64() < rate {
					b.CountRequest("dispatch")
					s.requests++
				}
				if b.AllowRetry("dispatch", Nested) { // nodes without requests also retry
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
		allowed := testBound.Ratio*float64(requests) + testBound.Slack
		assert.LessOrEqual(t, float64(retries), allowed)
		maxUsed = max(maxUsed, float64(retries)/allowed)
	}
	assert.Greater(t, maxUsed, 0.3, "the budget is usable")
}

// Guards against exceeding the fleet-wide bound when all nodes restart within a window, which makes them forget their counts, while every
// call fails.
func TestBudget_FleetBoundHoldsOverRestart(t *testing.T) {
	const nodes, requestsPerNode = 90, 40
	now := 1000 * time.Second
	budgets := make([]*Budget, nodes)
	start := func(i int) {
		budgets[i] = New(Options{Bound: testBound, Policy: DefaultPolicy(), Nodes: func() int { return nodes }, Now: func() time.Duration { return now }})
	}
	for i := range budgets {
		start(i)
	}
	retries := 0
	for step := range requestsPerNode {
		now += testBound.Window / requestsPerNode
		for i := range budgets {
			if step == requestsPerNode/2 {
				start(i)
			}
			budgets[i].CountRequest("dispatch")
			for budgets[i].AllowRetry("dispatch", Nested) {
				retries++
			}
		}
	}
	assert.LessOrEqual(t, float64(retries), testBound.Ratio*nodes*requestsPerNode+testBound.Slack)
}

// Guards against retries on top of the nested calls that retries of their parents make again, as when two services fail at once.
func TestBudget_CountsNestedCallsOfRetries(t *testing.T) {
	now := 1000 * time.Second
	b := New(Options{Bound: testBound, Policy: DefaultPolicy(), Nodes: oneNode, Now: func() time.Duration { return now }})
	const requests, repeatedParents = 1000, 0.15
	retries := 0.0
	for range requests {
		now += testBound.Window / requests
		b.CountRequest("dispatch")
		b.CountRetries("dispatch", repeatedParents)
		retries += repeatedParents
		if b.AllowRetry("dispatch", Nested) {
			retries++
		}
	}
	assert.LessOrEqual(t, retries, testBound.Ratio*requests+testBound.Slack)
}

func TestBudget_SeparateServicesAndSlidingWindow(t *testing.T) {
	now := 1000 * time.Second
	b := New(Options{Bound: Bound{Slack: 4, Window: time.Second}, Policy: DefaultPolicy(), Nodes: oneNode, Now: func() time.Duration { return now }})
	assert.True(t, b.AllowRetry("a", Nested))
	assert.True(t, b.AllowRetry("a", Nested))
	assert.False(t, b.AllowRetry("a", Nested))
	assert.True(t, b.AllowRetry("b", Nested))
	now += 2 * time.Second
	assert.True(t, b.AllowRetry("a", Nested))
	now -= time.Hour // the clock was set back
	assert.False(t, func() bool { b.AllowRetry("a", Nested); return b.AllowRetry("a", Nested) }())
}

// Guards against claims that use up the budget for those that lose more when backend servers refuse half of all calls: a refused caller can
// return and be served then, a caller that has returned already cannot, and if a nested call fails, so does its parent call.
func TestBudget_ClaimsThatLoseMoreGoFirst(t *testing.T) {
	for name, c := range map[string]struct {
		low, high Claim
		atLeast   float64 // retries of the high claims, relative to those of the low ones
	}{
		"callers that have returned before others": {FirstAttempt, LastAttempt, 2},
		"nested calls before others":               {FirstAttempt, Nested, 2},
		"nested calls before returned callers":     {LastAttempt, Nested, 1},
	} {
		allowed, total := claimRetries(c.low, c.high)
		assert.GreaterOrEqual(t, float64(allowed[c.high]), c.atLeast*float64(allowed[c.low]), name)
		assert.Positive(t, allowed[c.low], name)
		assert.LessOrEqual(t, float64(total), testBound.Ratio*claimedRequests+testBound.Slack, name)
	}
}

// Guards against a reserve for claims that nobody makes: first attempts get the whole budget while there are no others.
func TestBudget_OpenToFirstAttemptsAlone(t *testing.T) {
	_, alone := claimRetries(FirstAttempt)
	_, nested := claimRetries(Nested)
	assert.Equal(t, nested, alone)
}

const claimedRequests = 2000

// claimRetries sends claimedRequests requests within a window and claims a retry for each with the given claims in turn. It returns the
// allowed retries by claim and in total.
func claimRetries(inTurn ...Claim) (allowed [claims]int, total int) {
	now := 1000 * time.Second
	b := New(Options{Bound: testBound, Policy: DefaultPolicy(), Nodes: oneNode, Now: func() time.Duration { return now }})
	for i := range claimedRequests {
		now += testBound.Window / claimedRequests
		b.CountRequest("records")
		if claim := inTurn[i%len(inTurn)]; b.AllowRetry("records", claim) {
			allowed[claim]++
			total++
		}
	}
	return allowed, total
}

// Guards against counting a retry more than once while its call probes several endpoints for a free slot.
func TestAttempts_UnsentRetryStaysReserved(t *testing.T) {
	b := New(Options{Bound: Bound{Slack: 4, Window: 10 * time.Second}, Policy: DefaultPolicy(), Nodes: oneNode}) // half of the slack leaves 2 retries
	call := b.Attempts(Call{Service: "records", MaxArrivals: 4})
	refused := Outcome{Arrived: true, Nested: true}
	assert.True(t, call.Reserve(), "first attempt")
	call.Observe(refused)
	for range 5 {
		assert.True(t, call.Reserve())
	}
	call.Observe(refused)
	assert.True(t, call.Reserve(), "second retry")
	call.Observe(refused)
	assert.False(t, call.Reserve())
}

// Guards against attempts that the route, the kind of the call or the results so far do not allow.
func TestAttempts_Allowed(t *testing.T) {
	notRun, unknown := Outcome{Arrived: true}, Outcome{Arrived: true, MayHaveRun: true}
	full, answered := Outcome{Full: true}, Outcome{Answered: true, Arrived: true}
	unreachable := Outcome{}
	for name, c := range map[string]struct {
		call     Call
		outcomes []Outcome
		allowed  bool
	}{
		"first attempt":                       {Call{}, nil, true},
		"answered":                            {Call{Idempotent: true, MaxArrivals: 3}, []Outcome{answered}, false},
		"not executed":                        {Call{MaxArrivals: 2}, []Outcome{notRun}, true},
		"as many arrivals as the route":       {Call{MaxArrivals: 2}, []Outcome{notRun, notRun}, false},
		"one arrival without a limit":         {Call{}, []Outcome{notRun}, false},
		"refused by the node":                 {Call{}, []Outcome{unreachable}, true},
		"idempotent, may have run":            {Call{Idempotent: true, MaxArrivals: 2}, []Outcome{unknown}, true},
		"not idempotent, may have run":        {Call{MaxArrivals: 2}, []Outcome{unknown}, false},
		"not idempotent, may have run before": {Call{MaxArrivals: 3}, []Outcome{unknown, unreachable}, false},
		"one node full":                       {Call{}, []Outcome{full}, true},
		"several nodes full":                  {Call{}, []Outcome{full, full}, false},
		"too many nodes":                      {Call{}, []Outcome{unreachable, unreachable, unreachable, unreachable}, false},
	} {
		a := New(Options{Bound: testBound, Policy: DefaultPolicy(), Nodes: oneNode}).Attempts(c.call)
		for _, o := range c.outcomes {
			a.Observe(o)
		}
		assert.Equal(t, c.allowed, a.Allowed(), name)
	}
}

// Guards against a retry that is claimed for less than what the call loses.
func TestAttempts_Claim(t *testing.T) {
	b := New(Options{Bound: testBound, Policy: DefaultPolicy(), Nodes: oneNode})
	a := b.Attempts(Call{MaxArrivals: 3})
	assert.Equal(t, FirstAttempt, a.claim())
	a = b.Attempts(Call{MaxArrivals: 3, Returned: true})
	assert.Equal(t, LastAttempt, a.claim())
	a.Observe(Outcome{Arrived: true, Nested: true})
	assert.Equal(t, Nested, a.claim())
}

func oneNode() int { return 1 }
