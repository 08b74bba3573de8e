package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// Pattern: callers of one class exceed what a service takes. Guards against a refusal at the first node that does not say when to return, or that
// meets nested calls, callers who have returned, or more urgent requests.
func TestRejectEarly(t *testing.T) {
	policy := placement.DefaultShortagePolicy()
	policy.Memory = time.Minute // refusals stay recent however slow the test runs
	o := &outbound{shortages: placement.NewShortages(policy, nil, func() float64 { return 1 })}
	q := &request{route: &routing.Entry{Route: &routing.Route{Name: "export"}}, service: "records", rank: 3}
	assert.Nil(t, o.rejectEarly(q))
	refused := refuse(0, reasonFull)
	refused.retryAfter = 120 * time.Millisecond
	for range 30 {
		o.observeShortage(q, 1, refused)
	}
	res := o.rejectEarly(q)
	require.NotNil(t, res)
	assert.Equal(t, verdictNotRun, res.verdict)
	assert.Equal(t, http.StatusServiceUnavailable, httpStatus(res))
	assert.Equal(t, 120*time.Millisecond, res.retryAfter)
	assert.Zero(t, res.attempts)

	urgent, returned := *q, *q
	urgent.rank = 1
	returned.callerRetry = true
	assert.Nil(t, o.rejectEarly(&urgent))
	assert.Nil(t, o.rejectEarly(&returned))
	o.stats.setNested("export", true)
	assert.Nil(t, o.rejectEarly(q))
	o.stats.setNested("export", false)
	o.shortages.ObserveReport("records", placement.Load{Running: 3, Limit: 4})
	assert.Nil(t, o.rejectEarly(q), "an endpoint has a free slot")
}

// Guards against rejections of all requests of a class because some callers state deadlines that no server can meet.
func TestObserveShortage_IgnoresHopelessDeadlines(t *testing.T) {
	o := &outbound{shortages: placement.NewShortages(placement.DefaultShortagePolicy(), nil, func() float64 { return 1 })}
	q := &request{route: &routing.Entry{Route: &routing.Route{Name: "export"}}, service: "records"}
	for range 30 {
		o.observeShortage(q, 1, refuse(0, reasonDeadlineUnreachable))
	}
	assert.Nil(t, o.rejectEarly(q))
}
