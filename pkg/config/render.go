package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// ownedFragment is a fragment with the entity that it was rendered for.
type ownedFragment struct {
	*Fragment
	owner string // key of the parameters
}

// joiner builds a snapshot from checked fragments and collects every conflict between them.
type joiner struct {
	snapshot *Snapshot
	previous *Snapshot         // for naming what a change removes; may be nil
	owners   map[string]string // "rank x", "service x", "route x" to the owning parameters
	errs     apierror.List
}

// joinFragments joins fragments and checks everything that concerns more than one entry.
func joinFragments(fragments []ownedFragment, previous *Snapshot) (*Snapshot, apierror.List) {
	j := &joiner{snapshot: newSnapshot(), previous: previous, owners: make(map[string]string)}
	for _, f := range fragments {
		j.add(f)
	}
	j.checkSizes()
	j.checkShares()
	j.snapshot.sortEntries()
	j.checkReferences("service", func(r *Route) string { return r.Service }, func(s *Snapshot, name string) bool {
		_, ok := s.Services[name]
		return ok
	})
	j.checkReferences("rank", func(r *Route) string { return r.Rank }, func(s *Snapshot, name string) bool {
		_, ok := s.rankIndex[name]
		return ok
	})
	j.checkMatches()
	return j.snapshot, j.errs
}

func (j *joiner) add(f ownedFragment) {
	for _, rank := range f.Ranks {
		j.claim("rank "+rank.Name, f.owner)
		j.snapshot.Ranks = append(j.snapshot.Ranks, rank)
	}
	for _, service := range f.Services {
		j.claim("service "+service.Name, f.owner)
		j.snapshot.Services[service.Name] = service
	}
	for _, route := range f.Routes {
		j.claim("route "+route.Name, f.owner)
		j.snapshot.Routes = append(j.snapshot.Routes, route)
	}
}

func (j *joiner) claim(what, owner string) {
	if other, taken := j.owners[what]; taken {
		j.fault(owner, what+" is already defined by "+other, "rename one of them")
		return
	}
	j.owners[what] = owner
}

func (j *joiner) fault(field, message, remedy string) {
	j.errs = append(j.errs, apierror.InvalidField(field, message, remedy))
}

func (j *joiner) checkSizes() {
	sizes := []struct {
		what          string
		count, atMost int
	}{
		{"ranks", len(j.snapshot.Ranks), maxRanks},
		{"services", len(j.snapshot.Services), maxServices},
		{"routes", len(j.snapshot.Routes), maxRoutes},
	}
	for _, size := range sizes {
		if size.count > size.atMost {
			j.fault(size.what, fmt.Sprintf("%d in total, more than %d", size.count, size.atMost), "remove or merge some")
		}
	}
}

func (j *joiner) checkShares() {
	sum := 0.0
	for _, rank := range j.snapshot.Ranks {
		sum += rank.MinShare
	}
	if sum > 1+shareRoundError {
		j.fault("ranks", fmt.Sprintf("the minimum shares add up to %.3f", sum), "lower min_share until the sum is at most 1")
	}
}

// checkReferences finds routes that refer to something that is not there. If the change removed it, one error names all
// routes that still refer to it.
func (j *joiner) checkReferences(what string, reference func(*Route) string, exists func(*Snapshot, string) bool) {
	removed := make(map[string][]string)
	for i := range j.snapshot.Routes {
		route := &j.snapshot.Routes[i]
		name := reference(route)
		if exists(j.snapshot, name) {
			continue
		}
		if j.previous != nil && exists(j.previous, name) {
			removed[name] = append(removed[name], j.described(route))
			continue
		}
		j.fault(j.routeField(route, "."+what), what+" "+quoted(name)+" does not exist", "define the "+what+" or correct the name")
	}
	for _, name := range slices.Sorted(maps.Keys(removed)) {
		j.fault(what+" "+name, "is removed but "+strings.Join(removed[name], ", ")+" refer to it", "change or retire the referrers first")
	}
}

func (j *joiner) described(route *Route) string {
	text := "route " + route.Name
	if owner := j.owners[text]; owner != "" {
		text += " of " + owner
	}
	return text
}

func (j *joiner) routeField(route *Route, suffix string) string {
	field := "route " + shorten(route.Name)
	if owner := j.owners["route "+route.Name]; owner != "" {
		field = owner + ": " + field
	}
	return field + suffix
}

// checkMatches finds routes with the same prefix of which neither wins for some method.
func (j *joiner) checkMatches() {
	type call struct{ method, prefix string }
	first := make(map[call]*Route)
	for i := range j.snapshot.Routes {
		route := &j.snapshot.Routes[i]
		named := route.Methods
		if len(named) == 0 {
			named = []string{"*"}
		}
		for _, method := range named {
			key := call{method, route.PathPrefix}
			other, taken := first[key]
			if taken && other != route {
				j.fault(j.routeField(route, ""), fmt.Sprintf("matches the same calls as %s (%s %s)", j.described(other), method, shorten(route.PathPrefix)),
					"change the path prefix or the methods of one of them")
				break
			}
			first[key] = route
		}
	}
}
