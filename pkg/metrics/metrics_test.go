package metrics

import (
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against lost updates from concurrent goroutines and against changes of the text format that break its parsers.
func TestRegistryCountsAndServes(t *testing.T) {
	r := New()
	var counting sync.WaitGroup
	for range 20 {
		counting.Go(func() {
			r.Inc("refused", "reason", "draining")
			r.Inc("calls")
		})
	}
	counting.Wait()
	r.Gauge("bytes").Update(7)
	require.Equal(t, map[string]int64{`refused{reason="draining"}`: 20, "calls": 20, "bytes": 7}, r.Values())

	response := httptest.NewRecorder()
	r.ServeHTTP(response, nil)
	require.Equal(t, "laburnum_bytes 7\nlaburnum_calls 20\nlaburnum_refused{reason=\"draining\"} 20\n", response.Body.String())
}

func TestHistogramsShowCountAndPercentiles(t *testing.T) {
	r := New()
	for i := range 100 {
		r.Observe(time.Duration(i+1)*time.Millisecond, "latency", "rank", "0")
	}
	values := r.Values()
	require.EqualValues(t, 100, values[`latency_count{rank="0"}`])
	require.InDelta(t, 50, values[`latency_p50_ms{rank="0"}`], 1)
	require.InDelta(t, 99, values[`latency_p99_ms{rank="0"}`], 1)
}

// Guards against label values that break the line format.
func TestNameQuotesLabels(t *testing.T) {
	require.Equal(t, "a", Name("a"))
	require.Equal(t, `a{b="c",d="e\"\nf"}`, Name("a", "b", "c", "d", "e\"\nf"))
}
