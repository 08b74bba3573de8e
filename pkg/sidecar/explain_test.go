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

// chain returns the log lines of all nodes that explain the outcome of a request.
func (m *mesh) chain(id string) []explain.Line {
	m.t.Helper()
	chain, err := explain.FromLogs(id, strings.NewReader(m.log.String()))
	require.NoError(m.t, err)
	return chain
}

// find returns the fields of the first line with the event in a chain.
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

// The cause of a failed request must be visible from its ID and the logs alone.
func TestLogs_ExplainFailedRequest(t *testing.T) {
	t.Run("rejected for lack of slots", func(t *testing.T) {
		m := newMesh(t, 1)
		release := make(chan struct{})
		n := m.nodes[0]
		n.backend.setHandler(func(http.ResponseWriter, *http.Request, string) { <-release })
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
		assert.Contains(t, []string{string(reasonFull), string(reasonDeadlineUnreachable)}, line["reason"])
	})
	t.Run("unknown outcome after forwarding", func(t *testing.T) {
		m := newMesh(t, 1)
		m.nodes[0].backend.setHandler(func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) })
		a, id := m.call(m.nodes[0], "POST", "/unsafe/", "order")
		require.Equal(t, http.StatusBadGateway, a.status)
		chain := m.chain(id)
		inbound, request := find(t, chain, "inbound"), find(t, chain, "request")
		assert.Equal(t, []string{"unknown", "connection_lost", "true", "i-0"}, []string{inbound["verdict"], inbound["reason"], inbound["arrived"], inbound["instance"]})
		assert.Equal(t, []string{"unknown", "node-0", "1"}, []string{request["verdict"], request["to"], request["arrivals"]})
	})
	t.Run("backend server draining", func(t *testing.T) {
		m := newMesh(t, 1)
		m.nodes[0].announce(true)
		known := m.nodes[0].view.Load().byService
		m.nodes[0].view.Store(&endpointView{version: m.nodes[0].membership.Version(), byService: known}) // as before the node learns of the drain
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
		assert.NotEmpty(t, find(t, chain, "request")["version"], "the configuration version must be logged")
	})
}
