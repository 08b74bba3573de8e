package config

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Rank is a class of urgency. Priority 0 is the most urgent.
type Rank struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	MinShare float64 `json:"min_share"` // part of a backend server's slots that this rank keeps in any flood, 0 to 1
	TargetMS int     `json:"target_ms"` // an answer within this time counts as in time, in milliseconds
}

// Service is a group of backend servers that offer the same interface.
type Service struct {
	Name         string `json:"name"`
	QueueLimit   int    `json:"queue_limit,omitempty"`   // waiting calls of each rank per backend server; default 100
	InitialLimit int    `json:"initial_limit,omitempty"` // calls in flight after a cold start; default 2
}

// Route sends calls to a service. The longest matching path prefix wins.
type Route struct {
	Name       string   `json:"name"`
	Methods    []string `json:"methods,omitempty"` // empty: all methods
	PathPrefix string   `json:"path_prefix"`
	Service    string   `json:"service"`
	Rank       string   `json:"rank"`
	TimeoutMS  int      `json:"timeout_ms"`
	Idempotent bool     `json:"idempotent,omitempty"` // true: the call may be executed more than once
	Hedge      bool     `json:"hedge,omitempty"`      // true: a second endpoint may be asked when the first is slow
}

// Timeout is the time limit of a call on this route.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// Defaults and bounds of snapshot fields.
const (
	DefaultQueueLimit   = 100
	DefaultInitialLimit = 2
	maxTimeoutMS        = 10 * 60 * 1000
	maxQueueLimit       = 10_000
)

// Snapshot is one complete configuration. It is immutable: callers must not modify it.
type Snapshot struct {
	Version  int64              `json:"version"` // offset of the last accepted record; 0 for the empty configuration
	Digest   string             `json:"digest"`  // of the state that it was rendered from
	Ranks    []Rank             `json:"ranks"`   // most urgent first
	Services map[string]Service `json:"services"`
	Routes   []Route            `json:"routes"` // longest path prefix first

	rankIndex map[string]int
}

// newSnapshot joins fragments. The owners name the fragment of each entry in error messages.
func newSnapshot(fragments []ownedFragment) (*Snapshot, apierror.List) {
	s := &Snapshot{Services: make(map[string]Service), rankIndex: make(map[string]int)}
	var errs apierror.List
	seen := make(map[string]string)
	claim := func(what, owner string) {
		if other, taken := seen[what]; taken {
			errs = append(errs, apierror.InvalidField(owner, what+" is already defined by "+other, "rename one of them"))
		}
		seen[what] = owner
	}
	for _, f := range fragments {
		for _, rank := range f.Ranks {
			claim("rank "+rank.Name, f.owner)
			s.Ranks = append(s.Ranks, rank)
		}
		for _, service := range f.Services {
			claim("service "+service.Name, f.owner)
			s.Services[service.Name] = service.withDefaults()
		}
		for _, route := range f.Routes {
			claim("route "+route.Name, f.owner)
			s.Routes = append(s.Routes, route)
		}
	}
	s.sortEntries()
	return s, append(errs, s.validate()...)
}

func (s *Service) withDefaults() Service {
	service := *s
	if service.QueueLimit == 0 {
		service.QueueLimit = DefaultQueueLimit
	}
	if service.InitialLimit == 0 {
		service.InitialLimit = DefaultInitialLimit
	}
	return service
}

func (s *Snapshot) sortEntries() {
	sort.SliceStable(s.Ranks, func(i, j int) bool { return s.Ranks[i].Priority < s.Ranks[j].Priority })
	sort.SliceStable(s.Routes, func(i, j int) bool {
		a, b := s.Routes[i], s.Routes[j]
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(a.PathPrefix) > len(b.PathPrefix)
		}
		return a.Name < b.Name
	})
	for i, rank := range s.Ranks {
		s.rankIndex[rank.Name] = i
	}
}

// Match returns the route for a call, or false if there is none.
func (s *Snapshot) Match(method, path string) (*Route, bool) {
	for i := range s.Routes {
		route := &s.Routes[i]
		if strings.HasPrefix(path, route.PathPrefix) && route.allows(method) {
			return route, true
		}
	}
	return nil, false
}

func (r *Route) allows(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, allowed := range r.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// RankIndex returns the position of a rank in Ranks, 0 being the most urgent.
func (s *Snapshot) RankIndex(name string) (int, bool) {
	i, ok := s.rankIndex[name]
	return i, ok
}

// Consistent reports every reference that does not resolve and every value out of range, as an apierror.List.
func (s *Snapshot) Consistent() error {
	return s.validate().Err()
}

func (s *Snapshot) validate() apierror.List {
	var errs apierror.List
	share := 0.0
	for _, rank := range s.Ranks {
		share += rank.MinShare
		errs = append(errs, rank.validate()...)
	}
	if share > 1.0001 {
		errs = append(errs, apierror.InvalidField("ranks", fmt.Sprintf("the least shares add up to %.2f", share), "lower min_share until the sum is at most 1"))
	}
	for _, name := range sortedKeys(s.Services) {
		service := s.Services[name]
		errs = append(errs, service.validate()...)
	}
	for i := range s.Routes {
		errs = append(errs, s.validateRoute(&s.Routes[i])...)
	}
	return errs
}

func (r *Rank) validate() apierror.List {
	var errs apierror.List
	field := "rank " + r.Name
	if !namePattern.MatchString(r.Name) {
		errs = append(errs, apierror.InvalidField(field, "invalid name", nameRemedy))
	}
	if r.Priority < 0 || r.Priority > 99 {
		errs = append(errs, apierror.InvalidField(field+".priority", "out of range", "use 0 (most urgent) to 99"))
	}
	if !(r.MinShare >= 0 && r.MinShare <= 1) {
		errs = append(errs, apierror.InvalidField(field+".min_share", "out of range", "use 0 to 1"))
	}
	if r.TargetMS < 1 || r.TargetMS > maxTimeoutMS {
		errs = append(errs, apierror.InvalidField(field+".target_ms", "out of range", "use 1 to 600000 milliseconds"))
	}
	return errs
}

func (s *Service) validate() apierror.List {
	var errs apierror.List
	field := "service " + s.Name
	if !namePattern.MatchString(s.Name) {
		errs = append(errs, apierror.InvalidField(field, "invalid name", nameRemedy))
	}
	if s.QueueLimit < 1 || s.QueueLimit > maxQueueLimit {
		errs = append(errs, apierror.InvalidField(field+".queue_limit", "out of range", "use 1 to 10000"))
	}
	if s.InitialLimit < 1 || s.InitialLimit > maxQueueLimit {
		errs = append(errs, apierror.InvalidField(field+".initial_limit", "out of range", "use 1 to 10000"))
	}
	return errs
}

func (s *Snapshot) validateRoute(r *Route) apierror.List {
	var errs apierror.List
	field := "route " + r.Name
	if !namePattern.MatchString(r.Name) {
		errs = append(errs, apierror.InvalidField(field, "invalid name", nameRemedy))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		errs = append(errs, apierror.InvalidField(field+".path_prefix", "does not start with /", "start it with /"))
	}
	if _, ok := s.Services[r.Service]; !ok {
		errs = append(errs, apierror.InvalidField(field+".service", "service "+r.Service+" does not exist", "define the service or correct the name"))
	}
	if _, ok := s.rankIndex[r.Rank]; !ok {
		errs = append(errs, apierror.InvalidField(field+".rank", "rank "+r.Rank+" does not exist", "define the rank or correct the name"))
	}
	if r.TimeoutMS < 1 || r.TimeoutMS > maxTimeoutMS {
		errs = append(errs, apierror.InvalidField(field+".timeout_ms", "out of range", "use 1 to 600000 milliseconds"))
	}
	if r.Hedge && !r.Idempotent {
		errs = append(errs, apierror.InvalidField(field+".hedge", "hedging would execute a non-idempotent call twice", "set idempotent or remove hedge"))
	}
	return errs
}
