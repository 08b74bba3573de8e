package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Rank is a priority class of requests. Priority 0 is the most urgent.
type Rank struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	MinShare float64 `json:"min_share"` // share of a backend server's slots guaranteed to this rank under overload, 0 to 1
	TargetMS int     `json:"target_ms"` // target latency; a response within it counts as in time
}

// Service is a group of backend servers that offer the same interface.
type Service struct {
	Name         string `json:"name"`
	QueueLimit   int    `json:"queue_limit,omitempty"`   // queued calls of each rank per backend server; default 100
	InitialLimit int    `json:"initial_limit,omitempty"` // concurrency limit after a cold start; default 2
}

// Route sends calls to a service. The longest matching path prefix wins; of routes with the same prefix, one that names
// the method wins over one for all methods.
type Route struct {
	Name       string   `json:"name"`
	Methods    []string `json:"methods,omitempty"` // empty: all methods
	PathPrefix string   `json:"path_prefix"`       // compared byte by byte with the beginning of the path
	Service    string   `json:"service"`
	Rank       string   `json:"rank"`
	TimeoutMS  int      `json:"timeout_ms"`
	Idempotent bool     `json:"idempotent,omitempty"` // true: the call may be executed more than once
	Hedge      bool     `json:"hedge,omitempty"`      // true: a slow call may be sent to a second endpoint as well
}

// Timeout returns the timeout of a call on this route.
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
	Digest   string             `json:"digest"`  // covers Version and the entities that the snapshot was rendered from
	Ranks    []Rank             `json:"ranks"`   // most urgent first
	Services map[string]Service `json:"services"`
	Routes   []Route            `json:"routes"` // in the order of precedence for Match

	rankIndex map[string]int // positions in Ranks by name
}

func newSnapshot() *Snapshot {
	return &Snapshot{Ranks: []Rank{}, Services: make(map[string]Service), Routes: []Route{}, rankIndex: make(map[string]int)}
}

// UnmarshalJSON implements json.Unmarshaler. It restores the order and the index of the entries.
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

// sortEntries sorts ranks and routes into an order that depends only on their content, and rebuilds rankIndex.
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

// compare orders routes by precedence for Match.
func (r *Route) compare(other *Route) int {
	if order := cmp.Compare(len(other.PathPrefix), len(r.PathPrefix)); order != 0 {
		return order
	}
	if (len(r.Methods) == 0) != (len(other.Methods) == 0) {
		return cmp.Compare(min(len(other.Methods), 1), min(len(r.Methods), 1))
	}
	return cmp.Compare(r.Name, other.Name)
}

// Match returns the route for a call, or false if no route matches.
func (s *Snapshot) Match(method, path string) (*Route, bool) {
	for i := range s.Routes {
		route := &s.Routes[i]
		if strings.HasPrefix(path, route.PathPrefix) && route.matchesMethod(method) {
			return route, true
		}
	}
	return nil, false
}

func (r *Route) matchesMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// RankIndex returns the position of a rank in Ranks, where 0 is the most urgent, or false if there is no such rank.
func (s *Snapshot) RankIndex(name string) (int, bool) {
	i, ok := s.rankIndex[name]
	return i, ok
}
