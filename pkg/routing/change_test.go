package routing

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

func drawDocument(t *rapid.T, version uint64) *Document {
	d := &Document{Version: version, Format: FormatTeams, Services: []Service{{Name: "a"}, {Name: "b"}}, Limits: Limits{BodyBytes: int64(version)}}
	if rapid.Bool().Draw(t, "teams") {
		d.Teams = drawTeams(t)
	}
	if rapid.Bool().Draw(t, "more services") {
		d.Services = append(d.Services, Service{Name: "c"})
	}
	for i := range 20 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		r := route(fmt.Sprintf("r%d", i), "H.example", fmt.Sprintf("/%d/", i), Destination{"a", rapid.IntRange(1, 3).Draw(t, "weight")})
		r.TimeoutMS = int64(rapid.IntRange(1, 2).Draw(t, "timeout"))
		r.Public = rapid.IntRange(0, 9).Draw(t, "public") == 0
		d.Routes = append(d.Routes, r)
	}
	return d
}

func TestDiff_ApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, 1), drawDocument(t, 2)
		data, err := json.Marshal(Diff(from, to))
		require.NoError(t, err)
		var change Change
		require.NoError(t, json.Unmarshal(data, &change))
		got, err := change.Apply(from)
		require.NoError(t, err)
		assert.ElementsMatch(t, to.Routes, got.Routes)
		assert.ElementsMatch(t, to.Teams, got.Teams)
		assert.Equal(t, (&Document{Routes: got.Routes, Teams: got.Teams}).callersDigest(), got.teamsDigest)
		assert.Equal(t, to.Services, got.Services)
		assert.Equal(t, to.Limits, got.Limits)
		assert.Equal(t, to.Version, got.Version)
	})
}

// Guards against a node that serves a change over several versions which does not lead to the newest one.
func TestMerge_EqualsConsecutiveChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawDocument(t, 1)
		var changes []*Change
		last := first
		for version := uint64(2); version < 6; version++ {
			next := drawDocument(t, version)
			changes = append(changes, Diff(last, next))
			last = next
		}
		got, err := Merge(changes).Apply(first)
		require.NoError(t, err)
		assert.ElementsMatch(t, last.Routes, got.Routes)
		assert.ElementsMatch(t, last.Teams, got.Teams)
		assert.Equal(t, last.Services, got.Services)
		assert.Equal(t, last.Limits, got.Limits)
		assert.Equal(t, last.Version, got.Version)
	})
}

// Guards against changes whose size grows with the number of unchanged routes.
func TestDiff_SingleRouteChangeIsSmall(t *testing.T) {
	from := &Document{Version: 1, Format: FormatTeams, Services: []Service{{Name: "a"}}}
	for i := range 2000 {
		from.Routes = append(from.Routes, route(fmt.Sprintf("r%d", i), "h", fmt.Sprintf("/%d/", i), Destination{"a", 1}))
	}
	to := *from
	to.Version = 2
	to.Routes = append([]Route(nil), from.Routes...)
	to.Routes[7].TimeoutMS = 5
	data, err := json.Marshal(Diff(from, &to))
	require.NoError(t, err)
	assert.Less(t, len(data), 600)
}

func TestApply_RejectsOtherBase(t *testing.T) {
	from, to := document(), document()
	to.Version = 8
	to.Routes[0].TimeoutMS = 5
	change := Diff(from, to)
	other := document()
	other.Version = 6
	_, err := change.Apply(other)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
	other = document()
	other.Routes = other.Routes[:1]
	_, err = change.Apply(other)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err), "same version, different content")
}

// Guards against incremental digests that drift from the digest of the complete document over many versions.
func TestApply_UpdatesDigestIncrementally(t *testing.T) {
	document := changeDocument(1, 1000)
	_, err := Compile(document)
	require.NoError(t, err)
	for version := uint64(2); version < 30; version++ {
		next := changeDocument(version, 1000+int(version)%3)
		next.Routes[version*7].TimeoutMS += int64(version)
		next.Routes = append(next.Routes[:version], next.Routes[version+1:]...)
		applied, err := Diff(document, next).Apply(document)
		require.NoError(t, err)
		require.True(t, applied.hasDigest)
		require.Equal(t, (&Document{Routes: applied.Routes}).digest(), applied.routesDigest)
		document = applied
	}
}

func changeDocument(version uint64, routes int) *Document {
	d := &Document{Version: version, Format: FormatTeams, Services: []Service{{Name: "tracker"}}}
	for i := range routes {
		d.Routes = append(d.Routes, Route{
			Name: fmt.Sprintf("r-%d", i), Host: fmt.Sprintf("h%d.example", i%40), PathPrefix: fmt.Sprintf("/p%d/", i), TimeoutMS: 1000, MaxAttempts: 2,
			Destinations: []Destination{{Service: "tracker", Weight: 1}},
		})
	}
	return d
}

func BenchmarkApply(b *testing.B) {
	document := changeDocument(1, 1000)
	_, err := Compile(document)
	require.NoError(b, err)
	next := changeDocument(2, 1000)
	next.Routes[7].TimeoutMS++
	change := Diff(document, next)
	b.ReportAllocs()
	for b.Loop() {
		applied, err := change.Apply(document)
		require.NoError(b, err)
		_, err = Compile(applied)
		require.NoError(b, err)
	}
}
