package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong outcome of racing, repeated and late records.
func TestApplyOutcomes(t *testing.T) {
	l := newLog(t)
	entity := TemplateEntity("ranks")
	first := l.accept(Publish, entity, ranksTemplate)
	result := l.apply(Record{ID: "record-1", Verb: Publish, Entity: entity, Payload: json.RawMessage(ranksTemplate)})
	require.Equal(t, Duplicate, result.Outcome)
	result = l.apply(Record{Verb: Publish, Entity: entity, Payload: json.RawMessage(ranksTemplate)})
	require.Equal(t, Conflict, result.Outcome)
	require.Contains(t, result.Errors[0].Message, "revision 1 by nura (publish, record record-1), not 0")
	require.Equal(t, Duplicate, l.apply(Record{ID: result.RecordID, Verb: Retire, Entity: entity, Base: first}).Outcome)
	require.Equal(t, Rejected, l.change(Publish, entity, ranksTemplate).Outcome)
	require.Equal(t, Conflict, l.change(Amend, TemplateEntity("other"), ranksTemplate).Outcome)

	second := l.accept(Amend, entity, strings.Replace(ranksTemplate, "200", "300", 1))
	retired := l.accept(Retire, entity, "")
	require.Equal(t, Rejected, l.change(Amend, entity, ranksTemplate).Outcome)
	require.Equal(t, Rejected, l.change(Retire, entity, "").Outcome)
	require.Equal(t, Conflict, l.apply(Record{Verb: Publish, Entity: entity, Payload: json.RawMessage(ranksTemplate)}).Outcome, "a late publish must not restore a retired entity")
	require.Equal(t, Rejected, l.apply(Record{Verb: Rollback, Entity: entity, Base: retired, Restore: retired}).Outcome)
	restored := l.apply(Record{Verb: Rollback, Entity: entity, Base: retired, Restore: second})
	require.Equal(t, Accepted, restored.Outcome, "%v", restored.Errors)
	require.Contains(t, string(l.state.payload(entity.String())), "300")
	require.Equal(t, restored.Offset, l.state.Version)
	require.Equal(t, Rejected, l.applyRaw(json.RawMessage(`nonsense`)).Outcome)
	require.Equal(t, Rejected, l.applyRaw(nil).Outcome)
}

// Guards against one record id with two outcomes: a malformed record takes its id with it.
func TestApplyMalformedRecordConsumesID(t *testing.T) {
	l := newLog(t)
	result := l.applyRaw(json.RawMessage(`{"id":"a","verb":"erase","entity":{"kind":"template","name":"t"}}`))
	require.Equal(t, Rejected, result.Outcome)
	require.Equal(t, "a", result.RecordID)
	require.Equal(t, Duplicate, l.apply(Record{ID: "a", Verb: Publish, Entity: TemplateEntity("ranks"), Payload: json.RawMessage(ranksTemplate)}).Outcome)
}

// Guards against deleting something that others refer to, and against an error that does not name them.
func TestApplyRemovalErrorListsReferrers(t *testing.T) {
	l := newLog(t)
	l.publishBase()
	l.accept(Publish, ParametersEntity("field", "route"), `{"values":{"service":"tracker","rank":"normal"}}`)
	cases := map[string]struct {
		verb    Verb
		entity  Entity
		payload string
		wanted  []string
	}{
		"template":          {Retire, TemplateEntity("route"), "", []string{"template route is referred to by parameters field/route, parameters web/route"}},
		"service":           {Retire, ParametersEntity("core", "service"), "", []string{"service tracker: is removed but route field-tracker of parameters field/route, route web-tracker of parameters web/route refer to it"}},
		"service by amend":  {Amend, ParametersEntity("core", "service"), `{"values":{"service":"dispatch"}}`, []string{"service tracker: is removed"}},
		"ranks":             {Retire, ParametersEntity("core", "ranks"), "", []string{"rank urgent: is removed but route web-tracker", "rank normal: is removed but route field-tracker"}},
		"unknown service":   {Amend, ParametersEntity("web", "route"), `{"values":{"service":"nothing"}}`, []string{`parameters web/route: route web-nothing.service: service "nothing" does not exist`}},
		"unknown template":  {Publish, ParametersEntity("web", "nothing"), `{"values":{}}`, []string{"template nothing does not exist"}},
		"second definition": {Publish, ParametersEntity("more", "service"), `{"values":{"service":"tracker"}}`, []string{"parameters more/service: service tracker is already defined by parameters core/service"}},
		"template breaks both teams": {Amend, TemplateEntity("route"), strings.Replace(routeTemplate, `"default":"urgent"`, `"required":true`, 1),
			[]string{"parameters web/route: values.rank: missing"}},
		"shares": {Amend, TemplateEntity("ranks"), strings.Replace(ranksTemplate, "0.2", "0.6", 1), []string{"add up to 1.100"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := l.state
			result := l.change(c.verb, c.entity, c.payload)
			require.Equal(t, Rejected, result.Outcome)
			requireErrors(t, result.Errors, c.wanted...)
			require.Same(t, before.Snapshot(), l.state.Snapshot())
			require.Empty(t, DiffStates(before, l.state))
		})
	}
}

// Guards against history without bound, for one entity and for the whole state.
func TestHistoryIsBounded(t *testing.T) {
	l := newLog(t)
	for range keptRevisions {
		for _, name := range []string{"a", "b"} {
			verb := Amend
			if l.state.Revision(TemplateEntity(name)) == 0 {
				verb = Publish
			}
			l.accept(verb, TemplateEntity(name), `{"body":{}}`)
		}
	}
	l.accept(Amend, TemplateEntity("a"), `{"body":{}}`)
	require.Len(t, l.state.Entities["template a"].Revisions, keptRevisions)

	crowded := *l.state
	crowded.Entities = maps.Clone(l.state.Entities)
	crowded.size = maxStateBytes + 1
	crowded.dropHistory()
	require.Equal(t, int64(4), crowded.Entities["template b"].Revisions[0].Revision, "the oldest revision of all is dropped first")
	require.Len(t, crowded.Entities["template a"].Revisions, keptRevisions)
	crowded.size = 2 * maxStateBytes
	crowded.dropHistory()
	for _, entity := range crowded.Entities {
		require.Len(t, entity.Revisions, 1, "the current revision is never dropped")
	}
	require.Len(t, l.state.Entities["template b"].Revisions, keptRevisions, "an earlier state does not change")

	crowded.live = maxLiveBytes + 1
	requireErrors(t, crowded.checkSize(), "exceeds 8 MiB")
}

// Guards against a repeated record that is applied again because its id was forgotten early.
func TestRecordIDWindow(t *testing.T) {
	l := newLog(t)
	for i := range keptRecordIDs + 3*chunkIDs {
		l.applyRaw(json.RawMessage(fmt.Sprintf(`{"id":"n%d","verb":"erase","entity":{"kind":"template","name":"t"}}`, i)))
	}
	newest := keptRecordIDs + 3*chunkIDs - 1
	require.True(t, l.state.HasRecordID(fmt.Sprint("n", newest)))
	require.True(t, l.state.HasRecordID(fmt.Sprint("n", newest-keptRecordIDs+1)))
	require.False(t, l.state.HasRecordID("n0"))
	data, err := l.state.Encode()
	require.NoError(t, err)
	restored, err := DecodeState(data, l.state.Digest())
	require.NoError(t, err)
	require.Equal(t, l.state.window.ids(), restored.window.ids())
}

// Guards against a checkpoint that is damaged or belongs to another state being taken over.
func TestDecodeStateRejectsInvalidState(t *testing.T) {
	l := newLog(t)
	l.publishBase()
	data, err := l.state.Encode()
	require.NoError(t, err)
	damaged := map[string]string{
		"offset":         strings.Replace(string(data), `"offset":6`, `"offset":7`, 1),
		"content":        strings.Replace(string(data), "tracker", "dispatch", 1),
		"null entity":    strings.Replace(string(data), `"template ranks":{`, `"template none":null,"template ranks":{`, 1),
		"no revisions":   `{"offset":1,"version":1,"entities":{"template t":{"entity":{"kind":"template","name":"t"},"revisions":[]}}}`,
		"wrong key":      `{"offset":1,"version":1,"entities":{"template u":{"entity":{"kind":"template","name":"t"},"revisions":[{"revision":1,"verb":"retire"}]}}}`,
		"later revision": `{"offset":1,"version":1,"entities":{"template t":{"entity":{"kind":"template","name":"t"},"revisions":[{"revision":2,"verb":"retire"}]}}}`,
		"trailing brace": string(data) + "}",
	}
	for name, c := range damaged {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeState([]byte(c), l.state.Digest())
			require.Error(t, err)
		})
	}
}

// Guards against two different states with one digest, and against a branch of the replay that changes another one.
func TestDigestCoversReplayInputs(t *testing.T) {
	l := newLog(t)
	l.publishBase()
	entity := ParametersEntity("web", "route")
	l.accept(Amend, entity, `{"values":{"service":"tracker"}}`)
	l.accept(Amend, entity, `{"values":{"service":"tracker"}}`)
	base := Record{ID: "x", Verb: Amend, Entity: entity, Base: l.state.Revision(entity), Payload: json.RawMessage(`{"values":{"service":"tracker"}}`), Author: "nura"}
	variants := map[string]func(r *Record){
		"same":            func(*Record) {},
		"payload":         func(r *Record) { r.Payload = json.RawMessage(`{"values":{"service":"tracker","rank":"normal"}}`) },
		"author":          func(r *Record) { r.Author = "omar" },
		"id":              func(r *Record) { r.ID = "y" },
		"verb":            func(r *Record) { r.Verb, r.Payload = Retire, nil },
		"rejected":        func(r *Record) { r.Payload = json.RawMessage(`{"values":{}}`) },
		"rejected, id":    func(r *Record) { r.Payload, r.ID = json.RawMessage(`{"values":{}}`), "y" },
		"without any id":  func(r *Record) { r.ID = "" },
		"rolled back":     func(r *Record) { r.Verb, r.Payload, r.Restore = Rollback, nil, r.Base },
		"conflicting, id": func(r *Record) { r.Base, r.ID = 1, "z" },
	}
	digests := make(map[string]string)
	states := make(map[string]*State)
	for _, name := range slices.Sorted(maps.Keys(variants)) {
		r := base
		variants[name](&r)
		data, err := json.Marshal(r)
		require.NoError(t, err)
		next, _ := Apply(l.state, l.state.Offset+1, data)
		other, taken := digests[next.Digest()]
		require.False(t, taken, "%s and %s have the same digest", name, other)
		digests[next.Digest()], states[name] = name, next
	}
	for name, s := range states {
		data, err := s.Encode()
		require.NoError(t, err)
		_, err = DecodeState(data, s.Digest())
		require.NoError(t, err, name)
		branch := &logOf{t: t, state: s}
		verb := Amend
		if s.Entities[entity.String()].Retired() {
			verb = Publish
		}
		branch.accept(verb, entity, `{"values":{"service":"tracker"}}`)
		data, err = branch.state.Encode()
		require.NoError(t, err)
		_, err = DecodeState(data, branch.state.Digest())
		require.NoError(t, err, name)
	}
}
