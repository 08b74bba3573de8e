package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/laburnumcleat/laburnumcleat/pkg/internal/fixedseed"
)

var (
	anyTeam    = rapid.SampledFrom([]string{"web", "field", "core"})
	anyName    = rapid.SampledFrom([]string{"tracker", "dispatch", "records"})
	anyRank    = rapid.SampledFrom([]string{"urgent", "normal", "missing"})
	anyPrefix  = rapid.SampledFrom([]string{"/", "/v1", "/v1/${team}", "/${service}/<x>", "relative"})
	anyVerb    = rapid.SampledFrom([]Verb{Publish, Publish, Publish, Amend, Amend, Retire, Rollback})
	anyMethods = rapid.SampledFrom([]string{`[]`, `["GET"]`, `["POST","GET"]`, `["get"]`})
)

// randomTemplate draws one of several forms, some of them wrong.
func randomTemplate(t *rapid.T) string {
	switch rapid.IntRange(0, 4).Draw(t, "form") {
	case 0:
		return ranksTemplate
	case 1:
		return serviceTemplate
	case 2:
		return routeTemplate
	case 3:
		return fmt.Sprintf(`{ "parameters": [{"name":"service","type":"string","default":%q}],
			"body": {"services":[{"name":"${service}"}], "routes":[{"name":"r-${team}","path_prefix":%q,"methods":%s,"service":%q,"rank":%q,"timeout_ms":%d}]} }`,
			anyName.Draw(t, "default"), anyPrefix.Draw(t, "prefix"), anyMethods.Draw(t, "methods"), anyName.Draw(t, "target"), anyRank.Draw(t, "rank"), rapid.IntRange(0, 900).Draw(t, "timeout"))
	default:
		return rapid.SampledFrom([]string{`{}`, `[]`, `{"body":{"routes":[{}]}}`, `{"body":{"routes":["${x}"]}}`}).Draw(t, "wrong")
	}
}

func randomParameters(t *rapid.T) string {
	values := map[string]any{}
	for _, name := range []string{"service", "rank", "target"} {
		if rapid.Bool().Draw(t, "give "+name) {
			values[name] = map[string]any{
				"service": anyName.Draw(t, "service"), "rank": anyRank.Draw(t, "rank"), "target": rapid.IntRange(0, 1001).Draw(t, "target"),
			}[name]
		}
	}
	encodedValues, _ := json.Marshal(map[string]any{"values": values})
	return string(encodedValues)
}

// randomRecord draws a record that often, but not always, fits the state.
func randomRecord(t *rapid.T, s *State) json.RawMessage {
	if rapid.IntRange(0, 19).Draw(t, "junk") == 0 {
		return json.RawMessage(rapid.SampledFrom([]string{`{}`, `"x"`, `{"id":"j1"}`, `nonsense`}).Draw(t, "data"))
	}
	template := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "template")
	entity := TemplateEntity(template)
	r := Record{ID: fmt.Sprintf("r%d", rapid.IntRange(0, 400).Draw(t, "id")), Verb: anyVerb.Draw(t, "verb"), Author: "<nura>"}
	if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
		entity = ParametersEntity(anyTeam.Draw(t, "team"), template)
	}
	r.Entity, r.Base = entity, s.Revision(entity)
	if rapid.IntRange(0, 4).Draw(t, "fitting verb") > 0 {
		r.Verb = Publish
		if known, ok := s.Entities[entity.String()]; ok && !known.Retired() {
			r.Verb = Amend
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		r.Base = rapid.Int64Range(0, 50).Draw(t, "base")
	}
	if r.Verb == Rollback {
		r.Restore = max(1, r.Base-rapid.Int64Range(0, 3).Draw(t, "back"))
	}
	if r.Verb == Publish || r.Verb == Amend {
		if entity.Kind == KindTemplate {
			r.Payload = json.RawMessage(randomTemplate(t))
		} else {
			r.Payload = json.RawMessage(randomParameters(t))
		}
	}
	data, _ := json.Marshal(r)
	return data
}

// startState holds ranks and a service, so that random routes have something to refer to.
func startState(t testing.TB) *State {
	l := newLog(t)
	l.publishBase()
	return l.state
}

// Guards G2 and G3: no snapshot has a dangling route, and a record that is not accepted changes nothing but the
// position and the known ids.
func TestPropertySnapshotsAreValid(t *testing.T) {
	start := startState(t)
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := start
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			before, beforeDigest := s, s.Digest()
			next, result := Apply(s, s.Offset+1, randomRecord(t, s))
			require.Equal(t, beforeDigest, before.Digest(), "Apply modified its argument")
			require.NoError(t, next.Snapshot().Validate())
			require.Equal(t, result.Outcome == Rejected || result.Outcome == Conflict, len(result.Errors) > 0)
			if result.Outcome == Accepted {
				accepted++
				require.Equal(t, next.Offset, next.Version)
			} else {
				require.Same(t, s.Snapshot(), next.Snapshot())
				require.Equal(t, s.Version, next.Version)
				require.Empty(t, DiffStates(s, next))
			}
			s = next
		}
	})
	require.Positive(t, accepted, "no random record was accepted: the property was not exercised")
}

// Guards against divergence: replay through relayed copies of the records, and through encoding and decoding the state
// at random points, gives the same digest, snapshot and results.
func TestPropertyReplayIsDeterministic(t *testing.T) {
	start := startState(t)
	rapid.Check(t, func(t *rapid.T) {
		direct, detour := start, start
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			data := randomRecord(t, direct)
			next, result := Apply(direct, direct.Offset+1, data)
			direct = next
			if relayed, err := json.Marshal(data); err == nil {
				data = relayed
			}
			next, detourResult := Apply(detour, detour.Offset+1, data)
			detour = next
			require.Equal(t, result, detourResult)
			if rapid.Bool().Draw(t, "transfer") {
				encodedState, err := detour.Encode()
				require.NoError(t, err)
				detour, err = DecodeState(encodedState, direct.Digest())
				require.NoError(t, err)
			}
			require.Equal(t, direct.Digest(), detour.Digest())
			require.Equal(t, direct.Snapshot(), detour.Snapshot())
			require.Equal(t, []int{direct.size, direct.live}, []int{detour.size, detour.live})
		}
	})
}
