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

// Guards against wrong outcomes of concurrent, duplicate and delayed records.
func TestApplyOutcomes(t *testing.T) {
	l := newLog(t)
	entity := TemplateEntity("ranks")
	first := l.applyAccepted(Publish, entity, ranksTemplate)
	result := l.apply(Record{ID: "record-1", Verb: Publish, Entity: entity, Payload: json.RawMessage(ranksTemplate)})
	require.Equal(t, Duplicate, result.Outcome)
	result = l.apply(Record{Verb: Publish, Entity: entity, Payload: json.RawMessage(ranksTemplate)})
	require.Equal(t, Conflict, result.Outcome)
	require.Contains(t, result.Errors[0].Message, "revision 1 by nura (publish, record record-1), not 0")
	require.Equal(t, Duplicate, l.apply(Record{ID: result.RecordID, Verb: Retire, Entity: entity, Base: first}).Outcome)
	require.Equal(t, Rejected, l.applyCurrent(Publish, entity, ranksTemplate).Outcome)
	require.Equal(t, Conflict, l.applyCurrent(Amend, TemplateEntity("other"), ranksTemplate).Outcome)

	second := l.applyAccepted(Amend, entity, strings.Replace(ranksTemplate, "200", "300", 1))
	retired := l.applyAccepted(Retire, entity, "")
	require.Equal(t, Rejected, l.applyCurrent(Amend, entity, ranksTemplate).Outcome)
	require.Equal(t, Rejected, l.applyCurrent(Retire, entity, "").Outcome)
	require.Equal(t, Conflict, l.apply(Record{Verb: Publish, Entity: entity, Payload: json.RawMessage(ranksTemplate)}).Outcome, "a delayed publish must not restore a retired entity")
	require.Equal(t, Rejected, l.apply(Record{Verb: Rollback, Entity: entity, Base: retired, Restore: retired}).Outcome)
	restored := l.apply(Record{Verb: Rollback, Entity: entity, Base: retired, Restore: second})
	require.Equal(t, Accepted, restored.Outcome, "%v", restored.Errors)
	require.Contains(t, string(l.state.currentPayload(entity.String())), "300")
	require.Equal(t, restored.Offset, l.state.Version)
	require.Equal(t, Rejected, l.applyRaw(json.RawMessage(`nonsense`)).Outcome)
	require.Equal(t, Rejected, l.applyRaw(nil).Outcome)
}

// Guards against one record id with two outcomes: the id of a malformed record is used up, and a later record with it is a
// duplicate.
func TestApplyMalformedRecordConsumesID(t *testing.T) {
	l := newLog(t)
	result := l.applyRaw(json.RawMessage(`{"id":"a","verb":"erase","entity":{"kind":"template","name":"t"}}`))
	require.Equal(t, Rejected, result.Outcome)
	require.Equal(t, "a", result.RecordID)
	require.Equal(t, Duplicate, l.apply(Record{ID: "a", Verb: Publish, Entity: TemplateEntity("ranks"), Payload: json.RawMessage(ranksTemplate)}).Outcome)
}

// Checks that entities that are referred to cannot be removed, and that the error lists the referrers.
func TestApplyRemovalErrorListsReferrers(t *testing.T) {
	l := newLog(t)
	l.publishBase()
	l.applyAccepted(Publish, ParametersEntity("field", "route"), `{"values":{"service":"tracker","rank":"normal"}}`)
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
			result := l.applyCurrent(c.verb, c.entity, c.payload)
			require.Equal(t, Rejected, result.Outcome)
			requireErrors(t, result.Errors, c.wanted...)
			require.Same(t, before.Snapshot(), l.state.Snapshot())
			require.Empty(t, DiffStates(before, l.state))
		})
	}
}

// Guards against unbounded history of one entity and of the complete state.
func TestHistoryIsBounded(t *testing.T) {
	l := newLog(t)
	for range maxRevisionsPerEntity {
		for _, name := range []string{"a", "b"} {
			verb := Amend
			if l.state.Revision(TemplateEntity(name)) == 0 {
				verb = Publish
			}
			l.applyAccepted(verb, TemplateEntity(name), `{"body":{}}`)
		}
	}
	l.applyAccepted(Amend, TemplateEntity("a"), `{"body":{}}`)
	require.Len(t, l.state.Entities["template a"].Revisions, maxRevisionsPerEntity)

	oversized := *l.state
	oversized.Entities = maps.Clone(l.state.Entities)
	oversized.totalBytes = maxStateBytes + 1
	oversized.dropHistory()
	require.Equal(t, int64(4), oversized.Entities["template b"].Revisions[0].Revision, "the oldest revision of all is dropped first")
	require.Len(t, oversized.Entities["template a"].Revisions, maxRevisionsPerEntity)
	oversized.totalBytes = 2 * maxStateBytes
	oversized.dropHistory()
	for _, entity := range oversized.Entities {
		require.Len(t, entity.Revisions, 1, "the current revision is never dropped")
	}
	require.Len(t, l.state.Entities["template b"].Revisions, maxRevisionsPerEntity, "an earlier state does not change")

	oversized.currentBytes = maxCurrentBytes + 1
	requireErrors(t, oversized.checkSize(), "exceeds 8 MiB")
}

// Guards against applying a duplicate record because its id was evicted from the window too early.
func TestRecordIDWindow(t *testing.T) {
	l := newLog(t)
	for i := range minRecordIDs + 3*idsPerChunk {
		l.applyRaw(json.RawMessage(fmt.Sprintf(`{"id":"n%d","verb":"erase","entity":{"kind":"template","name":"t"}}`, i)))
	}
	newest := minRecordIDs + 3*idsPerChunk - 1
	require.True(t, l.state.HasRecordID(fmt.Sprint("n", newest)))
	require.True(t, l.state.HasRecordID(fmt.Sprint("n", newest-minRecordIDs+1)))
	require.False(t, l.state.HasRecordID("n0"))
	data, err := l.state.Encode()
	require.NoError(t, err)
	restored, err := DecodeState(data, l.state.Digest())
	require.NoError(t, err)
	require.Equal(t, l.state.recordIDs.ids(), restored.recordIDs.ids())
}

// Guards against accepting a checkpoint that is corrupt or does not match its digest.
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

// Guards against two different states with the same digest, and against states derived from one state that share mutable data.
func TestDigestCoversReplayInputs(t *testing.T) {
	l := newLog(t)
	l.publishBase()
	entity := ParametersEntity("web", "route")
	l.applyAccepted(Amend, entity, `{"values":{"service":"tracker"}}`)
	l.applyAccepted(Amend, entity, `{"values":{"service":"tracker"}}`)
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
		other, found := digests[next.Digest()]
		require.False(t, found, "%s and %s have the same digest", name, other)
		digests[next.Digest()], states[name] = name, next
	}
	for name, s := range states {
		data, err := s.Encode()
		require.NoError(t, err)
		_, err = DecodeState(data, s.Digest())
		require.NoError(t, err, name)
		branch := &testLog{t: t, state: s}
		verb := Amend
		if s.Entities[entity.String()].Retired() {
			verb = Publish
		}
		branch.applyAccepted(verb, entity, `{"values":{"service":"tracker"}}`)
		data, err = branch.state.Encode()
		require.NoError(t, err)
		_, err = DecodeState(data, branch.state.Digest())
		require.NoError(t, err, name)
	}
}
