package sidecar

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func (n *testNode) limit() int { return n.inbound.instance.Load().admission.Load("safe").Limit }

// A backend server that rejects calls while it reports free slots does so for another reason than lack of capacity, so the concurrency
// limit stays. If it reports that it is full, or reports nothing, the limit is lowered.
func TestShed_LowersLimitOnlyWithoutFreeSlots(t *testing.T) {
	for report, want := range map[string]int{"0 0 4 1": 4, "4 0 4 1": 1, "4 3 4 1": 1, "": 1} {
		m := newMesh(t, 1)
		n := m.nodes[0]
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set(testHeaders.NotExecuted, "1")
			w.Header().Set(testLoadHeader, report)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		a, _ := m.call(n, "GET", "/safe/", "")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.Equal(t, want, n.limit(), report)
	}
}

func TestReportedSlowness_Decays(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	for _, report := range []string{"1 0 4 1.6", "1 0 4 1.6", "1 0 4 4"} { // a slow VM that has become slower
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) { w.Header().Set(testLoadHeader, report) })
		m.call(n, "GET", "/safe/", "")
	}
	slowness := func() float64 { return n.inbound.instance.Load().admission.Load("safe").Slowness }
	assert.Greater(t, slowness(), 1.0)
	m.eventually("the reported slowness has decayed", func() bool { return slowness() == 1 })
}

// A malformed load report is only counted and logged; the response is still delivered.
func TestMalformedLoadReport_Ignored(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
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
