package routing

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Change leads from one version of a configuration to another. A change of a few routes is small, however many there are.
type Change struct {
	From     uint64     `json:"from"`
	To       uint64     `json:"to"`
	Digest   uint64     `json:"digest"` // of the routes of version To
	Limits   Limits     `json:"limits"`
	Services []Service  `json:"services,omitempty"` // all of them; nil if none has changed
	Routes   []Route    `json:"routes,omitempty"`   // that are new or have changed
	Removed  []RouteKey `json:"removed,omitempty"`
}

// RouteKey is where a route stands. No two routes have the same.
type RouteKey struct {
	Host   string `json:"host"` // lower case
	Prefix string `json:"prefix"`
}

func (r *Route) place() RouteKey { return RouteKey{strings.ToLower(r.Host), r.PathPrefix} }

// hash identifies the content of a route.
func (r *Route) hash() uint64 {
	text, err := json.Marshal(r)
	if err != nil {
		return 0 // a route has no value that JSON cannot express
	}
	return xxhash.Sum64(text)
}

// digest is the sum of the hashes of the routes, so that it does not depend on their order, and that of a changed document follows from
// the changed routes alone.
func (d *Document) digest() uint64 {
	if d.summed {
		return d.sum
	}
	sum := uint64(0)
	for i := range d.Routes {
		sum += d.Routes[i].hash()
	}
	return sum
}

// Diff returns the change from one document to another.
func Diff(from, to *Document) *Change {
	c := &Change{From: from.Version, To: to.Version, Digest: to.digest(), Limits: to.Limits}
	if !slices.Equal(from.Services, to.Services) {
		c.Services = to.Services
	}
	old := make(map[RouteKey]*Route, len(from.Routes))
	for i := range from.Routes {
		old[from.Routes[i].place()] = &from.Routes[i]
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		before := old[r.place()]
		delete(old, r.place())
		if before == nil || !r.equal(before) {
			c.Routes = append(c.Routes, *r)
		}
	}
	for place := range old {
		c.Removed = append(c.Removed, place)
	}
	return c
}

func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.PathPrefix == other.PathPrefix && r.Idempotent == other.Idempotent &&
		r.Priority == other.Priority && r.TargetMS == other.TargetMS && r.TimeoutMS == other.TimeoutMS && r.MaxAttempts == other.MaxAttempts &&
		slices.Equal(r.Destinations, other.Destinations)
}

// Apply returns the document that the change leads to. An error of kind Conflict means that the change does not start at this
// document, or does not lead to what its sender has: take the whole document instead.
func (c *Change) Apply(from *Document) (*Document, error) {
	if from.Version != c.From {
		return nil, apierror.New(apierror.Conflict, "the change starts at another version", "take the whole configuration")
	}
	to := &Document{Version: c.To, Limits: c.Limits, Services: from.Services}
	if c.Services != nil {
		to.Services = c.Services
	}
	gone := make(map[RouteKey]bool, len(c.Removed)+len(c.Routes))
	for _, place := range c.Removed {
		gone[place] = true
	}
	for i := range c.Routes {
		gone[c.Routes[i].place()] = true
	}
	sum := from.digest()
	to.Routes = make([]Route, 0, len(from.Routes)+len(c.Routes))
	for i := range from.Routes {
		if r := &from.Routes[i]; gone[r.place()] {
			sum -= r.hash()
		} else {
			to.Routes = append(to.Routes, *r)
		}
	}
	for i := range c.Routes {
		sum += c.Routes[i].hash()
	}
	to.Routes = append(to.Routes, c.Routes...)
	to.sum, to.summed = sum, true
	if sum != c.Digest {
		return nil, apierror.New(apierror.Conflict, "the change leads to another content", "take the whole configuration")
	}
	return to, nil
}
