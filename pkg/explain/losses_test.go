package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const surgeLog = `time=2026-03-09T06:07:43.100Z level=info event=request node=a route=r service=s verdict=not-run reason=full returned=false
time=2026-03-09T06:07:43.200Z level=info event=request node=b route=r service=s verdict=not-run reason=full returned=true
time=2026-03-09T06:07:43.300Z level=info event=request node=a route=r service=s verdict=answered tries=2
time=2026-03-09T06:07:43.400Z level=info event=request node=a route=r service=s verdict=answered tries=1 late_ms=40
what a collector adds time=2026-03-09T06:07:44.400Z level=info event=request node=a route=r service=s verdict=unknown reason=node_lost
time=2026-03-09T06:07:45.400Z level=info event=request node=a route=r service=s verdict=unknown reason=new_reason
no line of a node
time=2026-03-09T06:07:43.150Z level=info event=inbound node=c service=s verdict=not-run reason=full running=9 queued=2 limit=9 slot_time=100ms
time=2026-03-09T06:07:43.160Z level=info event=inbound node=c service=s verdict=not-run reason=full running=9 queued=4 limit=9 slot_time=200ms
time=2026-03-09T06:07:43.170Z level=info event=inbound node=c service=s verdict=not-run reason=no_backend running=0 queued=0 limit=0 slot_time=0s
`

func TestFindLosses_CountsByCauseAndAveragesSlots(t *testing.T) {
	got, err := FindLosses(2*time.Second, strings.NewReader(surgeLog))
	require.NoError(t, err)
	from := time.Date(2026, 3, 9, 6, 7, 42, 0, time.UTC)
	assert.Equal(t, []Loss{
		{from, "s", "r", CauseLate, 1}, {from, "s", "r", CauseRetryRefused, 1}, {from, "s", "r", CauseSlots, 1},
		{from.Add(2 * time.Second), "s", "r", CauseNode, 1}, {from.Add(2 * time.Second), "s", "r", CauseOther, 1},
	}, got.Rows)
	assert.Equal(t, SlotUsage{Refusals: 2, Running: 9, Queued: 3, Limit: 9, SlotTime: 150 * time.Millisecond}, got.SlotUsage[SlotUsageKey{from, "s"}])
	assert.Len(t, got.Causes(), 5)
}

func TestFindLosses_EmptyLog(t *testing.T) {
	got, err := FindLosses(time.Second, strings.NewReader(""))
	require.NoError(t, err)
	assert.Empty(t, got.Rows)
	assert.Empty(t, got.Causes())
}

// A request that no configuration allows is refused by every node, so it is no loss.
func TestFindLosses_LeavesOutInvalidRequests(t *testing.T) {
	got, err := FindLosses(time.Second, strings.NewReader("time=2026-03-09T06:07:43.100Z level=info event=request verdict=not-run reason=unknown_route\n"))
	require.NoError(t, err)
	assert.Empty(t, got.Rows)
}

func TestSuppressedLines_SumsProcesses(t *testing.T) {
	got, err := SuppressedLines(
		strings.NewReader("laburnum_log_limited{event=\"inbound\"} 7\nlaburnum_log_limited{event=\"request\"} 40\n"), strings.NewReader(""),
		strings.NewReader("laburnum_log_limited{event=\"request\"} 2\nlaburnum_other 1\n"))
	require.NoError(t, err)
	assert.EqualValues(t, 42, got)
	_, err = SuppressedLines(strings.NewReader("laburnum_log_limited{event=\"request\"} many\n"))
	require.Error(t, err)
}
