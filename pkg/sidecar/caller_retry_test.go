package sidecar

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// A request counts as a retry only if a request with the same method, host, target and caller deadline was refused by this node. The
// target of a retry counts from the first attempt. Callers of one route use different timeouts, so the timeout alone does not identify a
// retry.
func TestCallerRetry_Recognised(t *testing.T) {
	o := &outbound{headers: testHeaders, metrics: metrics.New()}
	start := time.Now()
	receive := func(path string, after, timeout time.Duration) *request {
		r := httptest.NewRequest("GET", path, nil)
		r.Header.Set(testHeaders.DeadlineMS, strconv.FormatInt(timeout.Milliseconds(), 10))
		route := &routing.Route{Name: "safe", TimeoutMS: 5000, TargetMS: 300}
		q := &request{Request: r, received: start.Add(after), route: &routing.Entry{Route: route}}
		assert.True(t, o.setDeadlines(q))
		return q
	}
	first := receive("/safe/1", 0, 800*time.Millisecond)
	o.recordRefusal(first, 50*time.Millisecond)
	other := receive("/safe/2", 70*time.Millisecond, 700*time.Millisecond)
	assert.False(t, other.callerRetry)
	assert.Equal(t, other.received.Add(300*time.Millisecond), other.target)
	retry := receive("/safe/1", 80*time.Millisecond, 720*time.Millisecond)
	assert.True(t, retry.callerRetry)
	assert.Equal(t, first.target, retry.target)
	assert.False(t, receive("/safe/1", 90*time.Millisecond, 710*time.Millisecond).callerRetry, "one retry per refusal")
}
