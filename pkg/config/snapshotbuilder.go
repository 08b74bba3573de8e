package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// ownedFragment is a fragment with the parameters that it was rendered from.
type ownedFragment struct {
	*Fragment
	owner string // entity key of the parameters
}

// snapshotBuilder merges validated fragments into a snapshot and collects all conflicts between them.
type snapshotBuilder struct {
	snapshot *Snapshot
	previous *Snapshot         // to tell a removed reference from an unknown one; may be nil
	owners   map[string]string // from "rank x", "service x" or "route x" to the key of its parameters
	errs     apierror.List
}

// buildSnapshot merges fragments and makes all checks that involve more than one entry. previous may be nil.
func buildSnapshot(fragments []ownedFragment, previous *Snapshot) (*Snapshot, apierror.List) {
	b := &snapshotBuilder{snapshot: newSnapshot(), previous: previous, owners: make(map[string]string)}
	for _, f := range fragments {
		b.add(f)
	}
	b.checkSizes()
	b.checkShares()
	b.snapshot.sortEntries()
	b.checkReferences("service", func(r *Route) string { return r.Service }, func(s *Snapshot, name string) bool {
		_, ok := s.Services[name]
		return ok
	})
	b.checkReferences("rank", func(r *Route) string { return r.Rank }, func(s *Snapshot, name string) bool {
		_, ok := s.rankIndex[name]
		return ok
	})
	b.checkAmbiguousRoutes()
	return b.snapshot, b.errs
}

func (b *snapshotBuilder) add(f ownedFragment) {
	for _, rank := range f.Ranks {
		b.claimName("rank "+rank.Name, f.owner)
		b.snapshot.Ranks = append(b.snapshot.Ranks, rank)
	}
	for _, service := range f.Services {
		b.claimName("service "+service.Name, f.owner)
		b.snapshot.Services[service.Name] = service
	}
	for _, route := range f.Routes {
		b.claimName("route "+route.Name, f.owner)
		b.snapshot.Routes = append(b.snapshot.Routes, route)
	}
}

// claimName records the owner of a name and reports a name that is already defined.
func (b *snapshotBuilder) claimName(entry, owner string) {
	if other, exists := b.owners[entry]; exists {
		b.addError(owner, entry+" is already defined by "+other, "rename one of them")
		return
	}
	b.owners[entry] = owner
}

func (b *snapshotBuilder) addError(field, message, remedy string) {
	b.errs = append(b.errs, apierror.InvalidField(field, message, remedy))
}

func (b *snapshotBuilder) checkSizes() {
	sizes := []struct {
		kind         string
		count, limit int
	}{
		{"ranks", len(b.snapshot.Ranks), maxRanks},
		{"services", len(b.snapshot.Services), maxServices},
		{"routes", len(b.snapshot.Routes), maxRoutes},
	}
	for _, size := range sizes {
		if size.count > size.limit {
			b.addError(size.kind, fmt.Sprintf("%d in total, more than %d", size.count, size.limit), "remove or merge some")
		}
	}
}

func (b *snapshotBuilder) checkShares() {
	sum := 0.0
	for _, rank := range b.snapshot.Ranks {
		sum += rank.MinShare
	}
	if sum > 1+shareTolerance {
		b.addError("ranks", fmt.Sprintf("the minimum shares add up to %.3f", sum), "lower min_share until the sum is at most 1")
	}
}

// checkReferences reports routes that refer to a missing service or rank. If the previous snapshot had it, one error lists all
// routes that still refer to it.
func (b *snapshotBuilder) checkReferences(kind string, reference func(*Route) string, exists func(*Snapshot, string) bool) {
	removed := make(map[string][]string)
	for i := range b.snapshot.Routes {
		route := &b.snapshot.Routes[i]
		name := reference(route)
		if exists(b.snapshot, name) {
			continue
		}
		if b.previous != nil && exists(b.previous, name) {
			removed[name] = append(removed[name], b.describeRoute(route))
			continue
		}
		b.addError(b.routeField(route, "."+kind), kind+" "+quoted(name)+" does not exist", "define the "+kind+" or correct the name")
	}
	for _, name := range slices.Sorted(maps.Keys(removed)) {
		b.addError(kind+" "+name, "is removed but "+strings.Join(removed[name], ", ")+" refer to it", "change or retire the referrers first")
	}
}

// describeRoute names a route and its owner for an error message.
func (b *snapshotBuilder) describeRoute(route *Route) string {
	description := "route " + route.Name
	if owner := b.owners[description]; owner != "" {
		description += " of " + owner
	}
	return description
}

// routeField returns the error field of a route, qualified by its owner.
func (b *snapshotBuilder) routeField(route *Route, suffix string) string {
	field := "route " + shorten(route.Name)
	if owner := b.owners["route "+route.Name]; owner != "" {
		field = owner + ": " + field
	}
	return field + suffix
}

// checkAmbiguousRoutes reports routes with the same path prefix and a common method, between which Match has no precedence.
func (b *snapshotBuilder) checkAmbiguousRoutes() {
	type matchKey struct{ method, prefix string }
	routeByMatch := make(map[matchKey]*Route)
	for i := range b.snapshot.Routes {
		route := &b.snapshot.Routes[i]
		routeMethods := route.Methods
		if len(routeMethods) == 0 {
			routeMethods = []string{"*"}
		}
		for _, method := range routeMethods {
			key := matchKey{method, route.PathPrefix}
			other, exists := routeByMatch[key]
			if exists && other != route {
				b.addError(b.routeField(route, ""), fmt.Sprintf("matches the same calls as %s (%s %s)", b.describeRoute(other), method, shorten(route.PathPrefix)),
					"change the path prefix or the methods of one of them")
				break
			}
			routeByMatch[key] = route
		}
	}
}
