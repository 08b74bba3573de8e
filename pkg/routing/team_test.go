package routing

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

func team(name string, keys ...string) Team {
	t := Team{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, DigestKey(key))
	}
	return t
}

func drawTeams(t *rapid.T) []Team {
	var teams []Team
	for i := range 6 {
		if !rapid.Bool().Draw(t, "team") {
			continue
		}
		drawn := Team{Name: fmt.Sprint("team-", i), RatePerS: float64(rapid.IntRange(0, 2).Draw(t, "rate"))}
		for k := range rapid.IntRange(0, 3).Draw(t, "keys") {
			drawn.Keys = append(drawn.Keys, DigestKey(fmt.Sprint(i, "-", k)))
		}
		if rapid.Bool().Draw(t, "has priority") {
			priority := rapid.IntRange(0, 2).Draw(t, "priority")
			drawn.Priority = &priority
		}
		teams = append(teams, drawn)
	}
	return teams
}

// Guards against a document with faulty teams that comes into force in part, and against keys in errors.
func TestCompile_RejectsFaultyTeams(t *testing.T) {
	negative := -1
	for name, teams := range map[string][]Team{
		"a key of two teams":    {team("a", "x", "secret"), team("b", "secret")},
		"no name":               {team("", "x")},
		"the same name twice":   {team("a", "x"), team("a", "y")},
		"line break in a name":  {team("a\r\nX: y", "x")},
		"long name":             {team(string(make([]byte, maxTeamNameBytes+1)))},
		"negative rate":         {{Name: "a", RatePerS: -1}},
		"rate that is no rate":  {{Name: "a", RatePerS: math.NaN()}},
		"infinite rate":         {{Name: "a", RatePerS: math.Inf(1)}},
		"negative burst":        {{Name: "a", Burst: -1}},
		"burst without value":   {{Name: "a", Burst: math.NaN()}},
		"negative priority":     {{Name: "a", Priority: &negative}},
		"a key in clear":        {{Name: "a", Keys: []KeyDigest{"secret"}}},
		"a digest in capitals":  {{Name: "a", Keys: []KeyDigest{"ABCDEF0123456789ABCDEF0123456789"}}},
		"too many teams":        make([]Team, maxTeams+1),
		"too many keys":         {{Name: "a", Keys: make([]KeyDigest, maxTeamKeys+1)}},
		"a fault beside others": {team("good", "x"), {Name: "a", Burst: -1}},
	} {
		d := document()
		d.Teams = teams
		table, err := Compile(d)
		assert.Nil(t, table, name)
		require.Error(t, err, name)
		assert.Equal(t, apierror.Invalid, apierror.KindOf(err), name)
		assert.NotContains(t, err.Error(), "secret", name)
		assert.NotContains(t, err.Error(), string(DigestKey("secret")), name)
	}
}

// Guards against a key that leads to another team than its own, or to one that gave it up.
func TestTable_TeamOfKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := document()
		d.Teams = drawTeams(t)
		table, err := Compile(d)
		require.NoError(t, err)
		require.Equal(t, len(d.Teams) > 0, table.HasTeams())
		holders := make(map[KeyDigest]string)
		for _, team := range d.Teams {
			for _, key := range team.Keys {
				holders[key] = team.Name
			}
		}
		for i := range 6 {
			for k := range 3 {
				key := fmt.Sprint(i, "-", k)
				got := table.Team(key)
				if want, held := holders[DigestKey(key)]; held {
					require.Equal(t, want, got.Name)
				} else {
					require.Nil(t, got)
				}
				require.Nil(t, table.Team(string(DigestKey(key))), "a digest is no key")
			}
		}
	})
}

// Guards against decoded documents of other nodes that panic, or whose teams differ after another hop.
func FuzzDocument_Teams(f *testing.F) {
	d := document()
	d.Teams = []Team{team("a", "x", "y"), {Name: "b", RatePerS: 3, Burst: 4}}
	seed, err := json.Marshal(d)
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"version":1,"teams":[{"name":"a","keys":["00000000000000000000000000000000"],"rate_per_s":1e308,"priority":3},{"name":""}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Document
		if json.Unmarshal(data, &d) != nil {
			return
		}
		d.Format = FormatTeams
		table, err := Compile(&d)
		if err != nil {
			return
		}
		sent, err := json.Marshal(table.Document)
		require.NoError(t, err)
		var again Document
		require.NoError(t, json.Unmarshal(sent, &again))
		require.Equal(t, table.Document.teamsDigest, again.callersDigest())
		empty := &Document{}
		applied, err := Diff(empty, table.Document).Apply(empty)
		require.NoError(t, err)
		require.ElementsMatch(t, d.Teams, applied.Teams)
	})
}

// documentBefore and changeBefore are what a build without teams reads and writes.
type documentBefore struct {
	Version  uint64        `json:"version"`
	Limits   Limits        `json:"limits"`
	Routes   []routeBefore `json:"routes"`
	Services []Service     `json:"services"`
}

type routeBefore struct {
	Name         string        `json:"name"`
	Host         string        `json:"host"`
	PathPrefix   string        `json:"path_prefix"`
	Idempotent   bool          `json:"idempotent,omitempty"`
	Priority     int           `json:"priority"`
	TargetMS     int64         `json:"target_ms,omitempty"`
	TimeoutMS    int64         `json:"timeout_ms"`
	MaxAttempts  int           `json:"max_attempts"`
	Destinations []Destination `json:"destinations"`
}

type changeBefore struct {
	From     uint64        `json:"from"`
	To       uint64        `json:"to"`
	Digest   uint64        `json:"digest"`
	Limits   Limits        `json:"limits"`
	Services []Service     `json:"services,omitempty"`
	Routes   []routeBefore `json:"routes,omitempty"`
	Removed  []RouteKey    `json:"removed,omitempty"`
}

// through returns what a build without teams makes of a value that it passes on.
func through[T any](t require.TestingT, value any, before T) []byte {
	data, err := json.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &before))
	data, err = json.Marshal(before)
	require.NoError(t, err)
	return data
}

// Guards against changes that a build without teams cannot apply: it checks the digest of the routes as it knows them.
func TestDiff_DigestIsThatOfBuildsWithoutTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, 1), drawDocument(t, 2)
		var known Document
		require.NoError(t, json.Unmarshal(through(t, to, documentBefore{}), &known))
		require.Equal(t, known.digest(), Diff(from, to).Digest)
	})
}

// Guards against a node that loses teams or public routes since a build without teams has passed a change on without them.
func TestApply_KeepsTeamsThatABuildWithoutTeamsLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, 1), drawDocument(t, 2)
		var change Change
		require.NoError(t, json.Unmarshal(through(t, Diff(from, to), changeBefore{}), &change))
		_, err := change.Apply(from)
		require.Equal(t, apierror.Conflict, apierror.KindOf(err), "whether version 2 has teams is not known")
	})
}

// A node whose configuration came from a build without teams must not take a change to its teams for complete.
func TestApply_ChangeToTeamsNeedsTheTeamsBefore(t *testing.T) {
	from := document()
	from.Teams = []Team{team("a", "x"), team("b", "y")}
	to := *from
	to.Version++
	to.Teams = []Team{team("a", "x"), team("b", "z")}
	without := document()
	_, err := Diff(from, &to).Apply(without)
	assert.Equal(t, apierror.Conflict, apierror.KindOf(err))
}

// Pattern: many teams, versions in quick succession. Guards against changes that resend all teams.
func TestDiff_SingleChangeAmongManyTeamsIsSmall(t *testing.T) {
	from := document()
	for i := range 82 {
		from.Teams = append(from.Teams, team(fmt.Sprint("team-", i), fmt.Sprint(i, "-0"), fmt.Sprint(i, "-1"), fmt.Sprint(i, "-2")))
	}
	to := *from
	to.Version++
	to.Routes = append([]Route(nil), from.Routes...)
	to.Routes[0].TimeoutMS++
	change := Diff(from, &to)
	assert.Empty(t, change.Teams)
	to.Teams = append([]Team(nil), from.Teams...)
	to.Teams[7] = team("team-7")
	to.Routes = from.Routes
	data, err := json.Marshal(Diff(from, &to))
	require.NoError(t, err)
	assert.Less(t, len(data), 300)
}

func BenchmarkTable_Team(b *testing.B) {
	d := document()
	for i := range 82 {
		d.Teams = append(d.Teams, team(fmt.Sprint("team-", i), fmt.Sprint("m82thhkmgjqnirth", i)))
	}
	table, err := Compile(d)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if table.Team("m82thhkmgjqnirth42") == nil {
			b.Fatal("no team")
		}
	}
}

// BenchmarkTeams measures what teams of three keys add to a configuration without routes: building its table, applying a change of one team, and
// the bytes of the configuration and of the change.
func BenchmarkTeams(b *testing.B) {
	for _, count := range []int{82, 820, 8200} {
		from := &Document{Version: 1, Format: FormatTeams}
		for i := range count {
			from.Teams = append(from.Teams, team(fmt.Sprint("team-", i), fmt.Sprint(i, "-0"), fmt.Sprint(i, "-1"), fmt.Sprint(i, "-2")))
		}
		to := *from
		to.Version, to.Teams = 2, append([]Team(nil), from.Teams...)
		to.Teams[7] = team("team-7", "other")
		b.Run(fmt.Sprint("compile/", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := Compile(from)
				require.NoError(b, err)
			}
			data, err := json.Marshal(from)
			require.NoError(b, err)
			b.ReportMetric(float64(len(data))/float64(count), "bytes/team")
		})
		b.Run(fmt.Sprint("apply/", count), func(b *testing.B) {
			table, err := Compile(from)
			require.NoError(b, err)
			change := Diff(from, &to)
			b.ReportAllocs()
			for b.Loop() {
				_, err := change.Apply(table.Document)
				require.NoError(b, err)
			}
			data, err := json.Marshal(change)
			require.NoError(b, err)
			b.ReportMetric(float64(len(data)), "bytes/change")
		})
	}
}
