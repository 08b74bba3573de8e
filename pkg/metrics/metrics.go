// Package metrics counts events in a go-metrics registry and serves them over HTTP.
package metrics

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Registry holds the counters, gauges and timers of one node. It is safe for concurrent use.
type Registry struct {
	registry gometrics.Registry

	mu         sync.Mutex
	collectors []Collector
}

// Collector reports values that are computed when the metrics are read, for labels that change over time. The number of names must be bounded.
type Collector func(report func(value int64, base string, labels ...string))

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: gometrics.NewRegistry()}
}

// Name builds a metric name with labels: Name("refused", "reason", "draining") is `refused{reason="draining"}`.
// Label values must come from a fixed set, never from callers.
func Name(base string, labels ...string) string {
	if len(labels) == 0 {
		return base
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return base + "{" + strings.Join(pairs, ",") + "}"
}

// Counter returns the counter of that name, creating it on first use. Hot paths store the result.
func (r *Registry) Counter(base string, labels ...string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(Name(base, labels...), r.registry)
}

// Gauge returns the gauge of that name, creating it on first use.
func (r *Registry) Gauge(base string, labels ...string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(Name(base, labels...), r.registry)
}

// Inc adds one to a counter.
func (r *Registry) Inc(base string, labels ...string) {
	r.Counter(base, labels...).Inc(1)
}

// Collect adds a collector.
func (r *Registry) Collect(c Collector) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectors = append(r.collectors, c)
}

// histogramSampleSize is the number of samples per histogram. 256 samples take 2 KB and suffice for the 99th percentile of recent values.
const histogramSampleSize = 256

// Observe adds a duration to the histogram of that name, in milliseconds.
func (r *Registry) Observe(d time.Duration, base string, labels ...string) {
	name := Name(base, labels...)
	histogram := r.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(histogramSampleSize, histogramSampleDecay))
	}).(gometrics.Histogram)
	histogram.Update(d.Milliseconds())
}

// histogramSampleDecay weights samples towards the last 5 minutes, as the library's documentation recommends.
const histogramSampleDecay = 0.015

// Values returns all counters and gauges by name, and of each histogram its count, median and 99th percentile.
func (r *Registry) Values() map[string]int64 {
	values := make(map[string]int64)
	r.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case gometrics.Counter:
			values[name] = m.Count()
		case gometrics.Gauge:
			values[name] = m.Value()
		case gometrics.Histogram:
			base, labels, _ := strings.Cut(name, "{")
			if labels != "" {
				labels = "{" + labels
			}
			snapshot := m.Snapshot()
			values[base+"_count"+labels] = snapshot.Count()
			for suffix, quantile := range map[string]float64{"_p50_ms": 0.5, "_p99_ms": 0.99} {
				values[base+suffix+labels] = int64(snapshot.Percentile(quantile))
			}
		}
	})
	r.mu.Lock()
	collectors := slices.Clone(r.collectors)
	r.mu.Unlock()
	for _, collect := range collectors {
		collect(func(value int64, base string, labels ...string) { values[Name(base, labels...)] = value })
	}
	return values
}

// ServeHTTP writes one "name value" line per metric, sorted by name.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	values := r.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range names {
		fmt.Fprintf(w, "laburnum_%s %d\n", name, values[name])
	}
}
