// Package routing represents complete routing configurations and looks up the route and destination service of a call.
//
// A Document is published by operators and distributed between nodes. Compile validates the complete document and builds a Table, which is
// immutable apart from the positions of weighted splits. An invalid document gives no table.
package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Document is a complete routing configuration. Times are in milliseconds, sizes in bytes.
type Document struct {
	Version  uint64    `json:"version"`          // increases with each change, not always by one
	Format   int       `json:"format,omitempty"` // FormatTeams, or 0 from a build without teams
	Limits   Limits    `json:"limits"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams,omitempty"` // if there are any, requests need a key unless their route is public

	routesDigest uint64 // cached digest of the routes, if hasDigest
	teamsDigest  uint64 // cached digest of the callers, if hasDigest
	hasDigest    bool
}

// Limits bounds the requests of callers. Zero selects the default of the node.
type Limits struct {
	HeaderBytes     int64 `json:"header_bytes,omitempty"`
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"` // for receiving the header of a request
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`   // of a connection between requests
}

// Service is a group of backend servers that offer the same interface.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"` // per backend server, from all callers together; 0: unknown
}

// Route maps the calls of one host and path prefix to one or more services.
type Route struct {
	Name         string        `json:"name"`
	Host         string        `json:"host"`        // without port, case-insensitive
	PathPrefix   string        `json:"path_prefix"` // begins and ends with a slash
	Idempotent   bool          `json:"idempotent,omitempty"`
	Public       bool          `json:"public,omitempty"`    // requests need no key
	Priority     int           `json:"priority"`            // 0 is the most urgent
	TargetMS     int64         `json:"target_ms,omitempty"` // latency objective; 0: none
	TimeoutMS    int64         `json:"timeout_ms"`          // how long a caller waits at most
	MaxAttempts  int           `json:"max_attempts"`        // number of backend servers that one call may be sent to
	Destinations []Destination `json:"destinations"`
}

// Destination is a service and its share of the calls of a route.
type Destination struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum of the weights of the route
}

// Timeout returns how long a caller waits at most.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Target returns the latency objective, or the timeout if there is none.
func (r *Route) Target() time.Duration {
	if r.TargetMS <= 0 {
		return r.Timeout()
	}
	return time.Duration(r.TargetMS) * time.Millisecond
}

// maxRoutes guards against oversized configurations. At about 1 KB per route, it bounds them to 50 MB.
const maxRoutes = 50_000

// validate returns all errors of the document.
func (d *Document) validate() apierror.List {
	var errs apierror.List
	fault := func(field, message, remedy string) {
		errs = append(errs, apierror.InvalidField(field, message, remedy))
	}
	if d.Version == 0 {
		fault("version", "missing", "set a version above 0")
	}
	if len(d.Routes) > maxRoutes {
		fault("routes", fmt.Sprintf("too many routes: %d", len(d.Routes)), fmt.Sprintf("use at most %d", maxRoutes))
		return errs
	}
	errs = append(errs, d.validateTeams()...)
	services := make(map[string]bool, len(d.Services))
	for i, s := range d.Services {
		if s.Name == "" {
			fault(fmt.Sprintf("services[%d].name", i), "missing", "set a name")
		}
		services[s.Name] = true
	}
	names := make(map[RouteKey]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		errs = append(errs, r.validate(i, services)...)
		key := r.key()
		if other, taken := names[key]; taken {
			fault(fmt.Sprintf("routes[%d]", i), fmt.Sprintf("route %q has the same host and path prefix as route %q", r.Name, other), "give each route a distinct host and path prefix")
		}
		names[key] = r.Name
	}
	return errs
}

// validate returns all errors of the route with the given index.
func (r *Route) validate(index int, services map[string]bool) apierror.List {
	var errs apierror.List
	fault := func(name, message, remedy string) {
		errs = append(errs, apierror.InvalidField(fmt.Sprintf("routes[%d].%s", index, name), message, remedy))
	}
	if r.Host == "" {
		fault("host", "missing", "set the host name that callers use")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		fault("path_prefix", fmt.Sprintf("%q does not begin and end with a slash", r.PathPrefix), "use /name/")
	}
	if r.TimeoutMS <= 0 {
		fault("timeout_ms", "missing or not positive", "set how long a caller waits at most, in milliseconds")
	}
	if r.Priority < 0 {
		fault("priority", "negative", "use 0 for the most urgent calls")
	}
	if len(r.Destinations) == 0 {
		fault("destinations", "missing", "list at least one service")
	}
	hasWeight := false
	for i, d := range r.Destinations {
		if !services[d.Service] {
			fault(fmt.Sprintf("destinations[%d].service", i), fmt.Sprintf("unknown service %q", d.Service), "use a service of the same configuration")
		}
		if d.Weight < 0 {
			fault(fmt.Sprintf("destinations[%d].weight", i), "negative", "use 0 or more")
		}
		hasWeight = hasWeight || d.Weight > 0
	}
	if len(r.Destinations) > 0 && !hasWeight {
		fault("destinations", "all weights are 0", "give at least one service a weight above 0")
	}
	return errs
}
