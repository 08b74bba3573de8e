package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	ranksTemplate = `{"parameters":[{"name":"target","type":"integer","default":200,"min":1,"max":1000}],
		"body":{"ranks":[{"name":"urgent","priority":0,"min_share":0.5,"target_ms":"${target}"},{"name":"normal","priority":1,"min_share":0.2,"target_ms":900}]}}`
	serviceTemplate = `{"parameters":[{"name":"service","type":"string","required":true}],
		"body":{"services":[{"name":"${service}"}]}}`
	routeTemplate = `{"parameters":[{"name":"service","type":"string","required":true},{"name":"rank","type":"string","default":"urgent"},{"name":"path","type":"string","default":"/v1/${team}"}],
		"body":{"routes":[{"name":"${team}-${service}","path_prefix":"/${team}/${service}","service":"${service}","rank":"${rank}","timeout_ms":500}]}}`
)

// testLog replays records at consecutive offsets.
type testLog struct {
	t       testing.TB
	state   *State
	entries []json.RawMessage
}

func newLog(t testing.TB) *testLog {
	return &testLog{t: t, state: NewState()}
}

func (l *testLog) apply(r Record) Result {
	if r.ID == "" {
		r.ID = fmt.Sprintf("record-%d", l.state.Offset+1)
	}
	data, err := json.Marshal(r)
	require.NoError(l.t, err)
	return l.applyRaw(data)
}

func (l *testLog) applyRaw(data json.RawMessage) Result {
	next, result := Apply(l.state, l.state.Offset+1, data)
	l.entries = append(l.entries, data)
	l.state = next
	return result
}

// applyCurrent applies a record whose base is the entity's current revision.
func (l *testLog) applyCurrent(verb Verb, entity Entity, payload string) Result {
	r := Record{Verb: verb, Entity: entity, Base: l.state.Revision(entity), Author: "nura"}
	if payload != "" {
		r.Payload = json.RawMessage(payload)
	}
	return l.apply(r)
}

// applyAccepted is applyCurrent for a record that must be accepted. It returns the record's offset.
func (l *testLog) applyAccepted(verb Verb, entity Entity, payload string) int64 {
	l.t.Helper()
	result := l.applyCurrent(verb, entity, payload)
	require.Equal(l.t, Accepted, result.Outcome, "%v", result.Errors)
	return result.Offset
}

// publishBase publishes two ranks, service "tracker" and a route to it.
func (l *testLog) publishBase() {
	l.t.Helper()
	l.applyAccepted(Publish, TemplateEntity("ranks"), ranksTemplate)
	l.applyAccepted(Publish, TemplateEntity("service"), serviceTemplate)
	l.applyAccepted(Publish, TemplateEntity("route"), routeTemplate)
	l.applyAccepted(Publish, ParametersEntity("core", "ranks"), `{"values":{}}`)
	l.applyAccepted(Publish, ParametersEntity("core", "service"), `{"values":{"service":"tracker"}}`)
	l.applyAccepted(Publish, ParametersEntity("web", "route"), `{"values":{"service":"tracker"}}`)
}

// requireErrors checks that err contains each of the wanted texts and has as many errors as there are texts.
func requireErrors(t *testing.T, err error, wanted ...string) {
	t.Helper()
	if len(wanted) == 0 {
		require.NoError(t, err)
		return
	}
	require.Error(t, err)
	require.Len(t, errorList(err), len(wanted), "%v", err)
	for _, text := range wanted {
		require.Contains(t, err.Error(), text)
	}
}

func spaces(n int) string {
	return strings.Repeat(" ", n)
}
