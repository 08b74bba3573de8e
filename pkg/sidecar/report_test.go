package sidecar

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func (n *testNode) limit() int { return n.inbound.instance.Load().admission.Load("safe").Limit }

// A backend server that refuses calls though slots are free has another reason than lack of room: as many calls as before may be
// under way. One that says that it is full, or says nothing, gets fewer.
func TestRefusalWithRoomDoesNotLowerTheLimit(t *testing.T) {
	for report, want := range map[string]int{"0 0 4 1": 4, "4 0 4 1": 1, "4 3 4 1": 1, "": 1} {
		m := newMesh(t, 1)
		n := m.nodes[0]
		n.backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set(testHeaders.NotExecuted, "1")
			w.Header().Set(testLoadHeader, report)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		a, _ := m.call(n, "GET", "/safe/", "")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.Equal(t, want, n.limit(), report)
	}
}

func TestReportedSlownessIsUsedForAMoment(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	for _, report := range []string{"1 0 4 1.6", "1 0 4 1.6", "1 0 4 4"} { // the machine is a slow one, and is slower now
		n.backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) { w.Header().Set(testLoadHeader, report) })
		m.call(n, "GET", "/safe/", "")
	}
	slowness := func() float64 { return n.inbound.instance.Load().admission.Load("safe").Slowness }
	assert.Greater(t, slowness(), 1.0)
	m.eventually("the report has lost its weight", func() bool { return slowness() == 1 })
}

// A report that cannot be read changes nothing but a counter: the answer is the caller's.
func TestUnreadableReportIsIgnored(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.backend.on(func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set(testLoadHeader, "many few")
		w.Write([]byte("whole"))
	})
	a, _ := m.call(n, "GET", "/safe/", "")
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, "whole", a.body)
	assert.EqualValues(t, 1, n.metrics.Counter("load_report_unreadable").Count())
	assert.Equal(t, 4, n.limit())
	assert.Contains(t, m.log.String(), "load_report_unreadable")
}
