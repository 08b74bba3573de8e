package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func testSnapshot(routes ...Route) *Snapshot {
	s := newSnapshot()
	s.Ranks = []Rank{{Name: "urgent", MinShare: 0.5, TargetMS: 100}, {Name: "normal", Priority: 1, MinShare: 0.5, TargetMS: 900}}
	s.Services["tracker"] = Service{Name: "tracker", QueueLimit: 10, InitialLimit: 2}
	s.Routes = routes
	s.sortEntries()
	return s
}

func testRoute(name, prefix string, methods ...string) Route {
	return Route{Name: name, PathPrefix: prefix, Methods: methods, Service: "tracker", Rank: "urgent", TimeoutMS: 100}
}

// Guards against routes that never match, match the same calls, or refer to nothing.
func TestSnapshotValidateReportsAllErrors(t *testing.T) {
	cases := map[string]struct {
		routes []Route
		wanted []string
	}{
		"valid":             {[]Route{testRoute("a", "/"), testRoute("b", "/x", "GET"), testRoute("c", "/x"), testRoute("d", "/x", "POST", "PUT"), testRoute("e", "/x/")}, nil},
		"same calls":        {[]Route{testRoute("a", "/x"), testRoute("b", "/x")}, []string{"route b: matches the same calls as route a"}},
		"one shared method": {[]Route{testRoute("a", "/x", "GET", "POST"), testRoute("b", "/x", "POST", "PUT")}, []string{"(POST /x)"}},
		"methods":           {[]Route{testRoute("a", "/", "get", "CONNECT", "GET", "GET")}, []string{`"get"`, `"CONNECT"`, "named twice"}},
		"prefixes": {[]Route{testRoute("a", "x"), testRoute("b", "/a//b"), testRoute("c", "/a/../b"), testRoute("d", "/a?b"), testRoute("e", "/a b"), testRoute("f", "/\u00e4")},
			[]string{"does not start with /", "empty segment", ".. segment", "'?'", "' '", "route f.path_prefix"}},
		"references":  {[]Route{{Name: "a", PathPrefix: "/", Service: "s", Rank: "r", TimeoutMS: 1}}, []string{`service "s" does not exist`, `rank "r" does not exist`}},
		"time limits": {[]Route{{Name: "a_", PathPrefix: "/", Service: "tracker", Rank: "urgent", TimeoutMS: 600_001, Hedge: true}}, []string{"invalid name", "timeout_ms", "hedge"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			requireErrors(t, testSnapshot(c.routes...).Validate(), c.wanted...)
		})
	}
}

// Guards against a route for all methods taking calls from one that names the method, and against a snapshot that
// matches differently after it was sent to another process.
func TestMatchPrecedence(t *testing.T) {
	original := testSnapshot(testRoute("all", "/x"), testRoute("post", "/x", "POST"), testRoute("deep", "/x/y", "GET"), testRoute("root", "/"))
	encodedSnapshot, err := json.Marshal(original)
	require.NoError(t, err)
	received := &Snapshot{}
	require.NoError(t, json.Unmarshal(encodedSnapshot, received))
	cases := []struct{ method, path, wanted string }{
		{"POST", "/x/y/z", "post"}, {"GET", "/x/y/z", "deep"}, {"GET", "/x", "all"}, {"GET", "/z", "root"}, {"GET", "", ""},
	}
	for _, s := range []*Snapshot{original, received} {
		for _, c := range cases {
			route, ok := s.Match(c.method, c.path)
			require.Equal(t, c.wanted != "", ok)
			if ok {
				require.Equal(t, c.wanted, route.Name, "%s %s", c.method, c.path)
			}
		}
		index, ok := s.RankIndex("normal")
		require.True(t, ok)
		require.Equal(t, 1, index)
	}
}

// Guards against a diff that misses a change or depends on the order of routes.
func TestDiffComparesByName(t *testing.T) {
	before := testSnapshot(testRoute("a", "/a"), testRoute("b", "/b"))
	changed := testRoute("b", "/b")
	changed.TimeoutMS = 7
	after := testSnapshot(testRoute("c", "/aaaa"), changed)
	var paths []string
	for _, change := range Diff(before, after) {
		paths = append(paths, change.Path+" "+string(change.Before)+">"+string(change.After))
	}
	require.Len(t, paths, 3)
	require.Contains(t, paths[0], "routes.a {")
	require.Equal(t, "routes.b.timeout_ms 100>7", paths[1])
	require.Contains(t, paths[2], "routes.c >{")
	require.Empty(t, Diff(before, before))
	require.Equal(t, []Change{{Path: "a[1]", After: json.RawMessage("null")}}, DiffContent(json.RawMessage(`{"a":[1]}`), json.RawMessage(`{"a":[1,null]}`)))
}
