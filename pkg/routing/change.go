package routing

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Change is the difference between two versions of a configuration. Its size depends on the routes that differ, not on their total number.
type Change struct {
	From     uint64     `json:"from"`
	To       uint64     `json:"to"`
	Digest   uint64     `json:"digest"` // of all routes of version To
	Limits   Limits     `json:"limits"`
	Services []Service  `json:"services,omitempty"` // the complete list; nil if unchanged
	Routes   []Route    `json:"routes,omitempty"`   // added or changed routes
	Removed  []RouteKey `json:"removed,omitempty"`

	// Builds without teams ignore the fields below.
	Format       int      `json:"format,omitempty"`        // of version To
	TeamsDigest  uint64   `json:"teams_digest,omitempty"`  // of all teams and public routes of version To
	Teams        []Team   `json:"teams,omitempty"`         // added or changed teams
	RemovedTeams []string `json:"removed_teams,omitempty"` // their names
}

// RouteKey identifies a route within a document.
type RouteKey struct {
	Host   string `json:"host"` // lower case
	Prefix string `json:"prefix"`
}

func (r *Route) key() RouteKey { return RouteKey{strings.ToLower(r.Host), r.PathPrefix} }

// hash returns a hash of the content of the route that builds without teams know.
func (r *Route) hash() uint64 {
	if r.Public {
		private := *r
		private.Public = false
		r = &private
	}
	data, err := json.Marshal(r)
	if err != nil {
		return 0 // cannot happen: every value of a route can be encoded as JSON
	}
	return xxhash.Sum64(data)
}

// digest returns the sum of the hashes of the routes. A sum does not depend on their order, and the digest of a changed document can be
// computed from the changed routes alone.
func (d *Document) digest() uint64 {
	if d.hasDigest {
		return d.routesDigest
	}
	digest := uint64(0)
	for i := range d.Routes {
		digest += d.Routes[i].hash()
	}
	return digest
}

// Diff returns the change that turns document from into document to.
func Diff(from, to *Document) *Change {
	c := &Change{From: from.Version, To: to.Version, Digest: to.digest(), Limits: to.Limits, Format: to.Format, TeamsDigest: to.callersDigest()}
	if !slices.Equal(from.Services, to.Services) {
		c.Services = to.Services
	}
	old := make(map[RouteKey]*Route, len(from.Routes))
	for i := range from.Routes {
		old[from.Routes[i].key()] = &from.Routes[i]
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		previous := old[r.key()]
		delete(old, r.key())
		if previous == nil || !r.equal(previous) {
			c.Routes = append(c.Routes, *r)
		}
	}
	for key := range old {
		c.Removed = append(c.Removed, key)
	}
	c.Teams, c.RemovedTeams = diffTeams(from.Teams, to.Teams)
	return c
}

// diffTeams returns the teams that were added or changed, and the names of those that were removed.
func diffTeams(from, to []Team) (changed []Team, removed []string) {
	old := make(map[string]*Team, len(from))
	for i := range from {
		old[from[i].Name] = &from[i]
	}
	for i := range to {
		previous := old[to[i].Name]
		delete(old, to[i].Name)
		if previous == nil || !to[i].equal(previous) {
			changed = append(changed, to[i])
		}
	}
	return changed, slices.Sorted(maps.Keys(old))
}

// Merge returns the change that has the effect of consecutive changes, at least one. Each must be based on the version before it.
func Merge(changes []*Change) *Change {
	last := changes[len(changes)-1]
	merged := &Change{From: changes[0].From, To: last.To, Digest: last.Digest, Limits: last.Limits, Format: last.Format, TeamsDigest: last.TeamsDigest}
	merged.mergeTeams(changes)
	routes, removed := make(map[RouteKey]*Route), make(map[RouteKey]bool)
	for _, c := range changes {
		if c.Services != nil {
			merged.Services = c.Services
		}
		for _, key := range c.Removed {
			delete(routes, key)
			removed[key] = true
		}
		for i := range c.Routes {
			key := c.Routes[i].key()
			routes[key] = &c.Routes[i]
			delete(removed, key)
		}
	}
	for _, r := range routes {
		merged.Routes = append(merged.Routes, *r)
	}
	for key := range removed {
		merged.Removed = append(merged.Removed, key)
	}
	return merged
}

// mergeTeams sets the teams to the effect of consecutive changes.
func (c *Change) mergeTeams(changes []*Change) {
	teams, removed := make(map[string]Team), make(map[string]bool)
	for _, change := range changes {
		for _, name := range change.RemovedTeams {
			delete(teams, name)
			removed[name] = true
		}
		for _, team := range change.Teams {
			teams[team.Name] = team
			delete(removed, team.Name)
		}
	}
	c.Teams, c.RemovedTeams = slices.Collect(maps.Values(teams)), slices.Sorted(maps.Keys(removed))
}

func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.PathPrefix == other.PathPrefix && r.Idempotent == other.Idempotent &&
		r.Public == other.Public && r.Priority == other.Priority && r.TargetMS == other.TargetMS && r.TimeoutMS == other.TimeoutMS && r.MaxAttempts == other.MaxAttempts &&
		slices.Equal(r.Destinations, other.Destinations)
}

// Apply returns the document that results from applying the change to from, which stays unchanged. An error of kind Conflict means that
// the change is not based on from, or that the result differs from the sender's document: fetch the complete document instead.
func (c *Change) Apply(from *Document) (*Document, error) {
	if from.Version != c.From {
		return nil, apierror.New(apierror.Conflict, "the change is based on another version", "fetch the complete configuration")
	}
	to := &Document{Version: c.To, Format: c.Format, Limits: c.Limits, Services: from.Services, Teams: from.Teams}
	if !to.StatesTeams() {
		return nil, apierror.New(apierror.Conflict, "the change comes from a build without teams", "run the same version on all nodes; the store is read instead")
	}
	if c.Services != nil {
		to.Services = c.Services
	}
	replaced := make(map[RouteKey]bool, len(c.Removed)+len(c.Routes))
	for _, key := range c.Removed {
		replaced[key] = true
	}
	for i := range c.Routes {
		replaced[c.Routes[i].key()] = true
	}
	digest, teamsDigest := from.digest(), from.callersDigest()
	to.Routes = make([]Route, 0, len(from.Routes)+len(c.Routes))
	for i := range from.Routes {
		if r := &from.Routes[i]; replaced[r.key()] {
			digest -= r.hash()
			teamsDigest -= r.publicHash()
		} else {
			to.Routes = append(to.Routes, *r)
		}
	}
	for i := range c.Routes {
		digest += c.Routes[i].hash()
		teamsDigest += c.Routes[i].publicHash()
	}
	to.Routes = append(to.Routes, c.Routes...)
	if len(c.Teams) > 0 || len(c.RemovedTeams) > 0 {
		to.Teams, teamsDigest = c.applyTeams(from.Teams, teamsDigest)
	}
	to.routesDigest, to.teamsDigest, to.hasDigest = digest, teamsDigest, true
	if digest != c.Digest || teamsDigest != c.TeamsDigest {
		return nil, apierror.New(apierror.Conflict, "the result of the change does not match its digest", "fetch the complete configuration")
	}
	return to, nil
}

// applyTeams returns the teams after the change, and the digest of callers that results from the one before.
func (c *Change) applyTeams(from []Team, digest uint64) ([]Team, uint64) {
	replaced := make(map[string]bool, len(c.Teams)+len(c.RemovedTeams))
	for _, name := range c.RemovedTeams {
		replaced[name] = true
	}
	for i := range c.Teams {
		replaced[c.Teams[i].Name] = true
		digest += c.Teams[i].hash()
	}
	teams := make([]Team, 0, len(from)+len(c.Teams))
	for i := range from {
		if replaced[from[i].Name] {
			digest -= from[i].hash()
		} else {
			teams = append(teams, from[i])
		}
	}
	return append(teams, c.Teams...), digest
}
