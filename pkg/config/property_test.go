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

// randomTemplate draws one of several templates, some of them invalid.
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

// randomRecord draws a record that is usually, but not always, valid for the state.
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

// baseState returns a state with ranks and a service that random routes can refer to.
func baseState(t testing.TB) *State {
	l := newLog(t)
	l.publishBase()
	return l.state
}

// Guards against snapshots with unresolved references, and against a rejected record that changes anything except the offset
// and the window of record ids (docs/guarantees.md, G2 and G3).
func TestPropertySnapshotsAreValid(t *testing.T) {
	start := baseState(t)
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := start
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			before, beforeDigest := s, s.Digest()
			next, result := Apply(s, s.Offset+1, randomRecord(t, s))
			require.Equal(t, beforeDigest, before.Digest(), "Apply must not modify its argument")
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
	require.Positive(t, accepted, "some random records must be accepted, so that the test checks accepted records")
}

// Guards against divergence between nodes: replaying relayed copies of the records, with the state encoded and decoded at
// random points, must give the same digest, snapshot and results as direct replay.
func TestPropertyReplayIsDeterministic(t *testing.T) {
	start := baseState(t)
	rapid.Check(t, func(t *rapid.T) {
		direct, transferred := start, start
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			data := randomRecord(t, direct)
			next, result := Apply(direct, direct.Offset+1, data)
			direct = next
			if relayed, err := json.Marshal(data); err == nil {
				data = relayed
			}
			next, transferredResult := Apply(transferred, transferred.Offset+1, data)
			transferred = next
			require.Equal(t, result, transferredResult)
			if rapid.Bool().Draw(t, "transfer") {
				encodedState, err := transferred.Encode()
				require.NoError(t, err)
				transferred, err = DecodeState(encodedState, direct.Digest())
				require.NoError(t, err)
			}
			require.Equal(t, direct.Digest(), transferred.Digest())
			require.Equal(t, direct.Snapshot(), transferred.Snapshot())
			require.Equal(t, []int{direct.totalBytes, direct.currentBytes}, []int{transferred.totalBytes, transferred.currentBytes})
		}
	})
}
