// Package routing holds a complete routing configuration and finds the route and the destination of a call in it.
//
// A Document is what operators publish and what nodes pass on to each other. Compile checks it as a whole and builds a
// Table, which is immutable apart from the turns of weighted destinations. A document with a fault gives no table.
package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Document is one complete configuration. Times are in milliseconds, sizes in bytes.
type Document struct {
	Version  uint64    `json:"version"` // grows with each change, not always by one
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`

	sum    uint64 // digest of the routes, if summed
	summed bool
}

// Limits bound what a caller may send. Zero means that the node's own default holds.
type Limits struct {
	HeaderBytes     int64 `json:"header_bytes,omitempty"`
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"` // to send the header of a request
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`   // of a connection between requests
}

// Service is a group of backend servers that offer the same interface.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"` // of each backend server, from all callers together; 0: unknown
}

// Route sends the calls of one host and path prefix to one or more services.
type Route struct {
	Name         string        `json:"name"`
	Host         string        `json:"host"`        // without port, compared without regard to case
	PathPrefix   string        `json:"path_prefix"` // begins and ends with a slash
	Idempotent   bool          `json:"idempotent,omitempty"`
	Priority     int           `json:"priority"`            // 0 is the most urgent
	TargetMS     int64         `json:"target_ms,omitempty"` // latency objective; 0: none
	TimeoutMS    int64         `json:"timeout_ms"`          // longest time that a caller waits
	MaxAttempts  int           `json:"max_attempts"`        // backend servers that one call may be sent to
	Destinations []Destination `json:"destinations"`
}

// Destination is a service with its part of the calls.
type Destination struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum of the weights of the route
}

// Timeout is the longest time that a caller waits.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Target is the latency objective, or the time limit if there is none.
func (r *Route) Target() time.Duration {
	if r.TargetMS <= 0 {
		return r.Timeout()
	}
	return time.Duration(r.TargetMS) * time.Millisecond
}

// maxRoutes bounds a configuration that was made by mistake. Routes of about 1 KB each then take 50 MB.
const maxRoutes = 50_000

// check returns every fault of the document.
func (d *Document) check() apierror.List {
	var errs apierror.List
	fault := func(field, message, remedy string) {
		errs = append(errs, apierror.InvalidField(field, message, remedy))
	}
	if d.Version == 0 {
		fault("version", "missing", "give each configuration a version above 0")
	}
	if len(d.Routes) > maxRoutes {
		fault("routes", fmt.Sprintf("%d routes", len(d.Routes)), fmt.Sprintf("use at most %d", maxRoutes))
		return errs
	}
	services := make(map[string]bool, len(d.Services))
	for i, s := range d.Services {
		if s.Name == "" {
			fault(fmt.Sprintf("services[%d].name", i), "missing", "name the service")
		}
		services[s.Name] = true
	}
	places := make(map[RouteKey]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		errs = append(errs, r.check(i, services)...)
		at := r.place()
		if other, taken := places[at]; taken {
			fault(fmt.Sprintf("routes[%d]", i), fmt.Sprintf("route %q has the host and prefix of route %q", r.Name, other), "give each route its own place")
		}
		places[at] = r.Name
	}
	return errs
}

// check returns every fault of the route with that index.
func (r *Route) check(index int, services map[string]bool) apierror.List {
	var errs apierror.List
	fault := func(name, message, remedy string) {
		errs = append(errs, apierror.InvalidField(fmt.Sprintf("routes[%d].%s", index, name), message, remedy))
	}
	if r.Host == "" {
		fault("host", "missing", "name the host that callers send")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		fault("path_prefix", fmt.Sprintf("%q does not begin and end with a slash", r.PathPrefix), "use /name/")
	}
	if r.TimeoutMS <= 0 {
		fault("timeout_ms", "missing or not positive", "give the longest time that a caller waits")
	}
	if r.Priority < 0 {
		fault("priority", "negative", "use 0 for the most urgent calls")
	}
	if len(r.Destinations) == 0 {
		fault("destinations", "missing", "name at least one service")
	}
	total := 0
	for i, d := range r.Destinations {
		if !services[d.Service] {
			fault(fmt.Sprintf("destinations[%d].service", i), fmt.Sprintf("unknown service %q", d.Service), "name a service of the same configuration")
		}
		if d.Weight < 0 {
			fault(fmt.Sprintf("destinations[%d].weight", i), "negative", "use 0 or more")
		}
		total += d.Weight
	}
	if len(r.Destinations) > 0 && total <= 0 {
		fault("destinations", "all weights are 0", "give at least one service a weight")
	}
	return errs
}
