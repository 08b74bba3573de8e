package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against steps that are shown out of order, with the figures of another decision, or that a node decided but the fleet did not agree on.
func TestFindRollouts(t *testing.T) {
	first := `time=2026-03-09T06:07:45.000Z level=info event=rollout_decision node=a service=pay target=v2 phase=moving cause="as good" comparison=good evidence=3 answered=400 bad=2 base_rate=0.004 exposure_granted=410
time=2026-03-09T06:07:45.010Z level=info event=rollout_agreed node=a service=pay target=v2 phase=moving cause="as good" epoch=9
time=2026-03-09T06:07:47.000Z level=info event=rollout_decision node=a service=pay target=v2 phase=completed cause=closed comparison=good answered=500 bad=2 base_rate=0.004 exposure_granted=410
not a log line
`
	second := `time=2026-03-09T06:07:40.000Z level=info event=rollout_agreed node=b service=pay target=v2 phase=canary cause= epoch=7
time=2026-03-09T06:07:41.000Z level=warn event=rollout_order_not_valid node=b service=eta error="the order names no target" remedy="order it again"
time=2026-03-09T06:07:48.000Z level=info event=rollout_withdrawn node=b service=pay
`
	steps, err := FindRollouts("", strings.NewReader(first), strings.NewReader(second))
	require.NoError(t, err)
	require.Len(t, steps, 4)
	var phases []string
	for _, s := range steps {
		phases = append(phases, s.Node+" "+s.Service+" "+s.Phase)
	}
	assert.Equal(t, []string{"b pay canary", "b eta " + RolloutRefused, "a pay moving", "b pay " + RolloutWithdrawn}, phases)
	assert.Empty(t, steps[0].Comparison)
	assert.Equal(t, "the order names no target", steps[1].Cause)
	assert.Equal(t, []string{"good", "400", "2", "0.004", "410"}, []string{steps[2].Comparison, steps[2].Answered, steps[2].Bad, steps[2].BaseRate, steps[2].Granted})

	steps, err = FindRollouts("eta", strings.NewReader(first), strings.NewReader(second))
	require.NoError(t, err)
	assert.Len(t, steps, 1)
}
