package sidecar

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// chain returns the decisions about a request and what led to them, from the logs of all nodes.
func (m *mesh) chain(id string) []explain.Line {
	m.t.Helper()
	chain, err := explain.FromLogs(id, strings.NewReader(m.log.String()))
	require.NoError(m.t, err)
	return chain
}

// find returns the first line of an event in a chain.
func find(t *testing.T, chain []explain.Line, event string) map[string]string {
	t.Helper()
	for _, line := range chain {
		if line.Event == event {
			return line.Fields
		}
	}
	require.Fail(t, "no line "+event, "%v", chain)
	return nil
}

// An on-call engineer has the id of a failed request and the logs.
func TestCauseOfAFailedRequestIsInTheLogs(t *testing.T) {
	t.Run("refused, short of slots", func(t *testing.T) {
		m := newMesh(t, 1)
		release := make(chan struct{})
		n := m.nodes[0]
		n.backend.on(func(http.ResponseWriter, *http.Request, string) { <-release })
		const slots = 4
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range slots {
			r, _ := m.request(ctx, n, "GET", "/safe/", "")
			go send(r)
		}
		m.eventually("the slots are taken", func() bool { return len(n.backend.requests()) == slots })

		a, id := m.call(n, "GET", "/short/", "")
		close(release)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		line := find(t, m.chain(id), "inbound")
		assert.Equal(t, []string{"not-run", "4", "4"}, []string{line["verdict"], line["running"], line["limit"]})
		assert.Contains(t, []string{string(reasonFull), string(reasonHopeless)}, line["reason"])
	})
	t.Run("unknown after it was handed over", func(t *testing.T) {
		m := newMesh(t, 1)
		m.nodes[0].backend.on(func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) })
		a, id := m.call(m.nodes[0], "POST", "/unsafe/", "order")
		require.Equal(t, http.StatusBadGateway, a.status)
		chain := m.chain(id)
		inbound, request := find(t, chain, "inbound"), find(t, chain, "request")
		assert.Equal(t, []string{"unknown", "connection_lost", "true", "i-0"}, []string{inbound["verdict"], inbound["reason"], inbound["arrived"], inbound["instance"]})
		assert.Equal(t, []string{"unknown", "node-0", "1"}, []string{request["verdict"], request["to"], request["arrivals"]})
	})
	t.Run("the backend server had left", func(t *testing.T) {
		m := newMesh(t, 1)
		m.nodes[0].announce(true)
		known := m.nodes[0].view.Load().byService
		m.nodes[0].view.Store(&endpointView{version: m.nodes[0].membership.Version(), byService: known}) // other nodes learn it later
		a, id := m.call(m.nodes[0], "GET", "/safe/", "")
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		chain := m.chain(id)
		assert.Equal(t, "draining", find(t, chain, "inbound")["reason"])
		var states []string
		for _, line := range chain {
			if line.Event == "backend_changed" {
				states = append(states, line.Fields["state"])
			}
		}
		require.NotEmpty(t, states)
		assert.Equal(t, "draining", states[len(states)-1])
		assert.NotEmpty(t, find(t, chain, "request")["version"], "the configuration that decided")
	})
}
