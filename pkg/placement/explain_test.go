package placement

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an explanation that differs from the choice, and against one that changes later choices: it is asked while calls run.
func TestExplain_AgreesWithPickAndChangesNothing(t *testing.T) {
	f := newFixture()
	busy, free, remote, silent := endpoint("seeb", 1), endpoint("seeb", 2), endpoint("nizwa", 3), endpoint("seeb", 4)
	endpoints := []Endpoint{busy, free, remote, silent}
	f.report(busy, fastLoad(30))
	f.report(free, fastLoad(0))
	f.report(remote, fastLoad(0))
	req := Requirements{TimeToTarget: 500 * time.Millisecond}
	f.Pick([]Endpoint{silent}, req).Done(Unresponsive, nil)
	f.states[stateKey{free.ID, free.Incarnation}].warming = true // its times are of a cold start, which ends with the next evaluation
	f.now = f.now.Add(100 * time.Millisecond)
	before := make(map[stateKey]endpointState)
	for k, s := range f.states {
		before[k] = *s
		classes := *s
		classes.classes = maps.Clone(s.classes)
		before[k] = classes
	}
	got := f.Explain(append(endpoints, endpoint("seeb", 5)), req)
	require.Len(t, f.states, len(before))
	for k, s := range f.states {
		assert.Equal(t, before[k], *s)
	}
	require.Len(t, got, 5)
	assert.Equal(t, f.Pick(endpoints, req).ID, got[0].ID)
	assert.Equal(t, IsUnresponsive, got[4].LeftOut)
	assert.Equal(t, silent.ID, got[4].ID)
	for _, c := range got {
		assert.InDelta(t, c.InTime-c.BusyCost-c.RemoteCost, c.Score(), 1e-9)
		assert.Equal(t, c.ID == remote.ID, c.RemoteCost > 0)
		if c.ID == busy.ID {
			assert.Greater(t, c.BusyCost, got[0].BusyCost)
			assert.Equal(t, 100*time.Millisecond, c.ReportAge)
		}
	}
}
