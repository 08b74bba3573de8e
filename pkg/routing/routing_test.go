package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

func document() *Document {
	return &Document{
		Version:  7,
		Format:   FormatTeams,
		Services: []Service{{Name: "tracker"}, {Name: "dispatch"}},
		Routes: []Route{
			route("eta", "a.example", "/eta/", Destination{"tracker", 9}, Destination{"dispatch", 1}),
			route("eta-deep", "a.example", "/eta/deep/", Destination{"dispatch", 1}),
			route("order", "b.example", "/", Destination{"dispatch", 1}),
		},
	}
}

func route(name, host, prefix string, to ...Destination) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, TimeoutMS: 1000, MaxAttempts: 2, Destinations: to}
}

func TestMatch_LongestPrefixOfHost(t *testing.T) {
	table, err := Compile(document())
	require.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/eta/1", "eta"},
		{"A.Example:80", "/eta/deep/1", "eta-deep"},
		{"a.example", "/eta/deep", "eta"},
		{"a.example", "/eta", ""},
		{"a.example", "/other/", ""},
		{"b.example", "/anything", "order"},
		{"b.example", "*", ""},
		{"c.example", "/eta/1", ""},
	} {
		found := table.Match(c.host, c.path)
		if c.want == "" {
			assert.Nil(t, found, "%s%s", c.host, c.path)
			continue
		}
		require.NotNil(t, found, "%s%s", c.host, c.path)
		assert.Equal(t, c.want, found.Name)
	}
}

// Guards against shares that are exact only on average: with a 90 to 10 split, each node may get few calls.
func TestDestination_ExactShares(t *testing.T) {
	table, err := Compile(document())
	require.NoError(t, err)
	entry := table.Match("a.example", "/eta/")
	for range 5 {
		counts := map[string]int{}
		for range 10 {
			counts[entry.Destination()]++
		}
		assert.Equal(t, map[string]int{"tracker": 9, "dispatch": 1}, counts)
	}
}

func TestCompile_RejectsInvalidDocument(t *testing.T) {
	mutations := map[string]func(*Document){
		"version":                          func(d *Document) { d.Version = 0 },
		"routes[0].host":                   func(d *Document) { d.Routes[0].Host = "" },
		"routes[0].path_prefix":            func(d *Document) { d.Routes[0].PathPrefix = "eta/" },
		"routes[0].timeout_ms":             func(d *Document) { d.Routes[0].TimeoutMS = 0 },
		"routes[0].priority":               func(d *Document) { d.Routes[0].Priority = -1 },
		"routes[0].destinations":           func(d *Document) { d.Routes[0].Destinations = nil },
		"routes[0].destinations[0].weight": func(d *Document) { d.Routes[0].Destinations[0].Weight = -1 },
		"routes[2].destinations[0].service": func(d *Document) {
			d.Routes[2].Destinations[0].Service = "nobody"
		},
		"services[0].name": func(d *Document) { d.Services[0].Name = "" },
		"routes[1]":        func(d *Document) { d.Routes[1].PathPrefix = "/eta/" },
	}
	for field, mutate := range mutations {
		d := document()
		mutate(d)
		table, err := Compile(d)
		assert.Nil(t, table, field)
		var errs apierror.List
		require.ErrorAs(t, err, &errs, field)
		fields := []string{}
		for _, e := range errs {
			fields = append(fields, e.Field)
		}
		assert.Contains(t, fields, field)
	}
}
