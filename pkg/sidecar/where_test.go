package sidecar

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/dryrun"
)

// Guards against an answer that differs from what the node does, and against one that sends or counts something.
func TestWhere_TellsWhereARequestWouldGo(t *testing.T) {
	m, first, second := newForwardingMesh(t)
	ask := func(q dryrun.Query) (a dryrun.Answer, err error) {
		err = second.rpcClient.Call(t.Context(), first.settings.Listen.Control, dryrun.Method, q, &a)
		return a, err
	}
	response, _ := m.call(first, "GET", "/safe/x", "")
	require.Equal(t, http.StatusOK, response.status)
	before, received := first.metrics.Values(), len(second.backend.requests())
	a, err := ask(dryrun.Query{Host: "h.example", Path: "/safe/x"})
	require.NoError(t, err)
	assert.Equal(t, "safe", a.Route)
	assert.Equal(t, []string{"s"}, a.Services)
	assert.Empty(t, a.Refusal)
	require.Len(t, a.Candidates, 1)
	assert.Equal(t, second.settings.ID, a.Candidates[0].ID)
	assert.NotNil(t, a.Candidates[0].ReportAgeMS)
	assert.Nil(t, a.LimitLeft)
	for _, refused := range []struct {
		query dryrun.Query
		cause reason
	}{
		{dryrun.Query{Host: "h.example", Path: "/none/x"}, reasonUnknownRoute},
		{dryrun.Query{Host: "h.example", Path: "/safe/x", Team: "nobody"}, reasonUnknownTeam},
		{dryrun.Query{Host: "h.example", Path: "/safe/x", Service: "other"}, reasonOtherService},
	} {
		a, err := ask(refused.query)
		require.NoError(t, err)
		assert.EqualValues(t, refused.cause, a.Refusal)
	}
	_, err = ask(dryrun.Query{Path: "/safe/x"})
	assert.Equal(t, apierror.Invalid, apierror.KindOf(err))
	assert.Len(t, second.backend.requests(), received)
	for name, value := range first.metrics.Values() {
		if _, known := before[name]; known {
			assert.Equal(t, before[name], value, name)
		}
	}
}
