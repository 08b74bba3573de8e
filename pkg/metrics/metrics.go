// Package metrics counts events in a go-metrics registry and serves them over HTTP.
package metrics

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Registry holds the counters, gauges and timers of one node. It is safe for concurrent use.
type Registry struct {
	registry gometrics.Registry
}

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

// Counter returns the counter of that name, creating it on first use. Hot paths keep the result.
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

// Values returns all counters and gauges by name.
func (r *Registry) Values() map[string]int64 {
	values := make(map[string]int64)
	r.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case gometrics.Counter:
			values[name] = m.Count()
		case gometrics.Gauge:
			values[name] = m.Value()
		}
	})
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
