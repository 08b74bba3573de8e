package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFromLogs_MergesNodesByTime(t *testing.T) {
	first := `time=2026-01-01T00:00:00.000Z level=info event=configuration_activated node=a version=7
time=2026-01-01T00:00:08.000Z level=info event=configuration_activated node=a version=9 before=7
garbage
time=2026-01-01T00:00:10.020Z level=info event=request node=a id=x1 to=b verdict=not-run reason=draining tries=1
time=2026-01-01T00:00:10.030Z level=info event=request node=a id=x2 verdict=answered
`
	second := `collector: time=2026-01-01T00:00:09.500Z level=info event=backend_changed node=b state=draining cause="the \"leave\" of i-1"
time=2026-01-01T00:00:10.010Z level=info event=inbound node=b id=x1 verdict=not-run reason=draining
time=2026-01-01T00:00:11.000Z level=info event=backend_changed node=b state=ready
`
	chain, err := FromLogs("x1", strings.NewReader(first), strings.NewReader(second))
	require.NoError(t, err)
	var events []string
	for _, line := range chain {
		events = append(events, line.Event+" "+line.Fields["node"])
	}
	assert.Equal(t, []string{"configuration_activated a", "backend_changed b", "inbound b", "request a"}, events)
	assert.Equal(t, `the "leave" of i-1`, chain[1].Fields["cause"])
	chain, err = FromLogs("x3", strings.NewReader(first))
	require.NoError(t, err)
	assert.Empty(t, chain)
}

func TestParseLine_RejectsMalformedLines(t *testing.T) {
	for _, text := range []string{"", "time=", "time=yesterday event=x", "time=2026-01-01T00:00:00.000Z", `time=2026-01-01T00:00:00Z event="`} {
		_, ok := ParseLine(text)
		assert.False(t, ok, text)
	}
}
