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

// Callers of a route differ in how long they are willing to wait. Only one that was refused here, and asks for the same thing until the
// same moment, comes back; its target counts from its first attempt.
func TestCallerThatComesBackIsRecognised(t *testing.T) {
	o := &outbound{headers: testHeaders, metrics: metrics.New()}
	arrival := time.Now()
	arrive := func(path string, after, waits time.Duration) *request {
		r := httptest.NewRequest("GET", path, nil)
		r.Header.Set(testHeaders.DeadlineMS, strconv.FormatInt(waits.Milliseconds(), 10))
		route := &routing.Route{Name: "safe", TimeoutMS: 5000, TargetMS: 300}
		q := &request{Request: r, started: arrival.Add(after), route: &routing.Entry{Route: route}}
		assert.True(t, o.setTimes(q))
		return q
	}
	first := arrive("/safe/1", 0, 800*time.Millisecond)
	o.noteRefusal(first, 50*time.Millisecond)
	other := arrive("/safe/2", 70*time.Millisecond, 700*time.Millisecond)
	assert.False(t, other.returned)
	assert.Equal(t, other.started.Add(300*time.Millisecond), other.target)
	back := arrive("/safe/1", 80*time.Millisecond, 720*time.Millisecond)
	assert.True(t, back.returned)
	assert.Equal(t, first.target, back.target)
	assert.False(t, arrive("/safe/1", 90*time.Millisecond, 710*time.Millisecond).returned, "one return for each refusal")
}
