package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Load: machines are short of processor time, so that a quarter of the reports arrive too late, while each team sends its usual. Guards against callers below
// their limit that are refused since too much is set aside for nodes whose reports are late.
func TestAdmit_LateReportsRefuseNobody(t *testing.T) {
	f := newFleet(5, 80, someLimits())
	f.run(15 * time.Second)
	f.resetShares()
	f.cut = func(a, b *fleetNode) bool { return f.random.Float64() < 0.25 }
	f.run(10 * time.Second)
	assert.GreaterOrEqual(t, f.share(), 0.95)
	for _, team := range f.teams {
		assert.LessOrEqual(t, team.worstWindow(0), 1.0, team.name)
	}
}

// Guards against baselines that keep a team above a limit that was lowered below its use.
func TestBaseline_FollowsALoweredLimit(t *testing.T) {
	l := New(Options{Bound: testBound, Timing: DefaultTiming(), Nodes: func() int { return 1 }, Random: func() float64 { return 0.5 }})
	l.SetLimits(0, map[string]Limit{"a": {RatePerS: 100, Burst: 100}})
	l.teams["a"].baseline = baseline{requests: 300, samples: 5}
	l.SetLimits(time.Second, map[string]Limit{"a": {RatePerS: 10, Burst: 10}})
	assert.Less(t, l.teams["a"].baseline.requests, 10*testBound.Window.Seconds())
}
