package sidecar

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/dryrun"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
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

// Guards against an answer that shows no limit, or one that uses up a part of it.
func TestWhere_TellsWhatIsLeftOfALimit(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	limited := testDocument(2)
	limited.Teams = []routing.Team{{Name: "blue", Keys: []routing.KeyDigest{routing.DigestKey("blue-key")}, RatePerS: 10, Burst: 5}, {Name: "free", Keys: []routing.KeyDigest{routing.DigestKey("free-key")}}}
	m.platform.publish(limited)
	ask := func(team string) *dryrun.Answer {
		return n.outbound.where(&dryrun.Query{Host: "h.example", Path: "/safe/x", Team: team})
	}
	whole := 10*defaultLimitBound.Window.Seconds() + 5
	m.eventually("a node that has just started assumes the limit to be used for a window", func() bool {
		left := ask("blue").LimitLeft
		return left != nil && *left > whole-1
	})
	for range 3 {
		a := ask("blue")
		assert.Equal(t, "blue", a.Team)
		assert.InDelta(t, whole, *a.LimitLeft, 1)
	}
	assert.Nil(t, ask("free").LimitLeft)
}
