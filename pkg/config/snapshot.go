package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Rank is a class of urgency. Priority 0 is the most urgent.
type Rank struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	MinShare float64 `json:"min_share"` // part of a backend server's slots that this rank keeps in any surge, 0 to 1
	TargetMS int     `json:"target_ms"` // a response within this time counts as in time, in milliseconds
}

// Service is a group of backend servers that offer the same interface.
type Service struct {
	Name         string `json:"name"`
	QueueLimit   int    `json:"queue_limit,omitempty"`   // waiting calls of each rank per backend server; default 100
	InitialLimit int    `json:"initial_limit,omitempty"` // calls in flight after a cold start; default 2
}

// Route sends calls to a service. The longest matching path prefix wins; of routes with the same prefix, one that names
// the method wins over one for all methods.
type Route struct {
	Name       string   `json:"name"`
	Methods    []string `json:"methods,omitempty"` // empty: all methods
	PathPrefix string   `json:"path_prefix"`       // compared byte by byte with the start of the path
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

// Defaults of snapshot fields.
const (
	DefaultQueueLimit   = 100
	DefaultInitialLimit = 2
)

// Snapshot is one complete configuration. It is immutable: callers must not modify it.
type Snapshot struct {
	Version  int64              `json:"version"` // offset of the last accepted record; 0 for the empty configuration
	Digest   string             `json:"digest"`  // of the version and the entities that it was rendered from
	Ranks    []Rank             `json:"ranks"`   // most urgent first
	Services map[string]Service `json:"services"`
	Routes   []Route            `json:"routes"` // in the order in which Match tries them

	rankIndex map[string]int
}

func newSnapshot() *Snapshot {
	return &Snapshot{Ranks: []Rank{}, Services: make(map[string]Service), Routes: []Route{}, rankIndex: make(map[string]int)}
}

// UnmarshalJSON restores a snapshot that another process sent.
func (s *Snapshot) UnmarshalJSON(data []byte) error {
	type plain Snapshot // has no methods, so that decoding does not recurse
	decoded := plain(*newSnapshot())
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*s = Snapshot(decoded)
	s.sortEntries()
	return nil
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

// sortEntries puts ranks and routes into an order that depends on their content only.
func (s *Snapshot) sortEntries() {
	slices.SortStableFunc(s.Ranks, func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	slices.SortStableFunc(s.Routes, func(a, b Route) int { return a.compare(&b) })
	s.rankIndex = make(map[string]int, len(s.Ranks))
	for i, rank := range s.Ranks {
		s.rankIndex[rank.Name] = i
	}
}

// compare orders routes as Match tries them.
func (r *Route) compare(other *Route) int {
	if order := cmp.Compare(len(other.PathPrefix), len(r.PathPrefix)); order != 0 {
		return order
	}
	if (len(r.Methods) == 0) != (len(other.Methods) == 0) {
		return cmp.Compare(min(len(other.Methods), 1), min(len(r.Methods), 1))
	}
	return cmp.Compare(r.Name, other.Name)
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
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// RankIndex returns the position of a rank in Ranks, 0 being the most urgent.
func (s *Snapshot) RankIndex(name string) (int, bool) {
	i, ok := s.rankIndex[name]
	return i, ok
}
