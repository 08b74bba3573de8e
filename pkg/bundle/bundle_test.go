package bundle

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// Checks that the example bundles render and contain the services, routes and ranks that the deployments in
// docs/design.md, section 1.1 need.
func TestExamplesRender(t *testing.T) {
	cases := map[string]struct {
		services      []string
		nonIdempotent []string // paths of non-idempotent routes
		urgent        string
	}{
		"falaj":         {[]string{"tracker", "dispatch", "records"}, []string{"/v1/orders", "/v1/payments", "/v1/positions"}, "order"},
		"van-der-merwe": {[]string{"crewview", "bookings", "sitecheck"}, []string{"/v1/bookings", "/v1/deposits", "/v1/site-reports"}, "booking"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			files, err := Read(os.DirFS("../../examples/" + name))
			require.NoError(t, err)
			state, accepted, errs := Apply(config.NewState(), files)
			require.Empty(t, errs)
			require.Len(t, accepted, len(files))
			snapshot := state.Snapshot()
			require.NoError(t, snapshot.Validate())
			require.Len(t, snapshot.Services, len(c.services))
			used := make(map[string]bool)
			for i := range snapshot.Routes {
				used[snapshot.Routes[i].Service] = true
				used["rank "+snapshot.Routes[i].Rank] = true
			}
			for _, service := range c.services {
				require.True(t, used[service], "a route must lead to %s", service)
			}
			for _, rank := range snapshot.Ranks {
				require.True(t, used["rank "+rank.Name], "a route must have rank %s", rank.Name)
				require.Positive(t, rank.MinShare, rank.Name)
			}
			require.Equal(t, c.urgent, snapshot.Ranks[0].Name)
			for _, path := range c.nonIdempotent {
				route, ok := snapshot.Match("POST", path)
				require.True(t, ok, path)
				require.False(t, route.Idempotent, path)
			}
			again, accepted, errs := Apply(state, files)
			require.Empty(t, errs)
			require.Empty(t, accepted, "unchanged content must not be amended")
			require.Equal(t, state.Digest(), again.Digest())

			ordered := config.NewState()
			_, inOrder, _ := Apply(ordered, files)
			for i, file := range inOrder {
				data, err := json.Marshal(config.Record{ID: fmt.Sprint(i), Verb: config.Publish, Entity: file.Entity, Payload: file.Payload})
				require.NoError(t, err)
				next, result := config.Apply(ordered, ordered.Offset+1, data)
				require.Equal(t, config.Accepted, result.Outcome, "the files cannot be published in this order: %v", result.Errors)
				ordered = next
			}
		})
	}
}

// Guards against a check that stops at the first error, or reports an error of a template again for each team that uses it.
func TestApplyReportsAllErrors(t *testing.T) {
	root := fstest.MapFS{
		"templates/good.json":        {Data: []byte(`{"body":{"routes":[{"name":"${team}","path_prefix":"/${team}","service":"s","rank":"r","timeout_ms":1}]}}`)},
		"templates/bad.json":         {Data: []byte(`{"body":{"lanes":[]}}`)},
		"parameters/a/bad.json":      {Data: []byte(`{"values":{}}`)},
		"parameters/a/good.json":     {Data: []byte(`{"values":{"x":1}}`)},
		"parameters/b/good.json":     {Data: []byte(`{"values":{}}`)},
		"README.md":                  {Data: []byte(`ignored`)},
		"parameters/b/absent.json":   {Data: []byte(`{"values":{}}`)},
		"parameters/c/good.json":     {Data: []byte(`{"values":{}}`)},
		"parameters/rank/order.json": {Data: []byte(`{"values":{}}`)},
		"templates/order.json":       {Data: []byte(`{"body":{"ranks":[{"name":"r","target_ms":1}]}}`)},
	}
	files, err := Read(root)
	require.NoError(t, err)
	state, accepted, errs := Apply(config.NewState(), files)
	require.Len(t, accepted, 3, "good, order and its parameters")
	require.Len(t, state.Snapshot().Ranks, 1)
	var fields []string
	for _, e := range errs {
		fields = append(fields, e.Field)
	}
	require.Equal(t, []string{"templates/bad.json: body.lanes", "parameters/a/good.json: values.x", "parameters/b/absent.json",
		"parameters/b/good.json: route b.service", "parameters/c/good.json: route c.service"}, fields)
}

// Guards against files that are silently skipped because of their name, size or syntax.
func TestReadRejectsMisplacedFiles(t *testing.T) {
	_, err := Read(fstest.MapFS{
		"templates/Upper.json":    {Data: []byte(`{}`)},
		"templates/a/b.json":      {Data: []byte(`{}`)},
		"parameters/x.json":       {Data: []byte(`{}`)},
		"templates/notes.txt":     {Data: []byte(`{}`)},
		"templates/broken.json":   {Data: []byte(`{`)},
		"templates/too-long.json": {Data: make([]byte, config.MaxRecordBytes+1)},
	})
	require.Error(t, err)
	for _, text := range []string{"Upper", "a/b", "parameters/x", "notes.txt", "broken", "too-long"} {
		require.Contains(t, err.Error(), text)
	}
	_, err = Read(fstest.MapFS{})
	require.ErrorContains(t, err, "no templates")
}
