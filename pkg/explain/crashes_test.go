package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const crashLogA = `time=2026-03-09T06:07:45.000Z level=info event=backend_crashed node=a instance=i-1 service=eta running=2 ids=x1,x2 fingerprints=aa,bb
time=2026-03-09T06:07:46.000Z level=info event=backend_crashed node=a instance=i-2 service=eta running=1 ids=x3,x4 fingerprints=aa,aa
not a log line
`

const crashLogB = `time=2026-03-09T06:07:45.500Z level=info event=backend_crashed node=b instance=i-9 service=dispatch running=1 ids=x5 fingerprints=aa
time=2026-03-09T06:07:45.600Z level=warn event=request_blocked node=b fingerprint=aa from=crash for=10m
time=2026-03-09T06:07:45.700Z level=warn event=request_blocked node=c fingerprint=aa from=push for=10m
time=2026-03-09T06:07:45.800Z level=info event=backend_crashed node=b
`

// Guards against attempts that ran on one process and count as several crashes, and against requests that only ran beside the cause.
func TestFindCrashingRequests(t *testing.T) {
	find := func(minCrashes int) []CrashingRequest {
		found, err := FindCrashingRequests(minCrashes, strings.NewReader(crashLogA), strings.NewReader(crashLogB))
		require.NoError(t, err)
		return found
	}
	at := func(ms int) time.Time {
		return time.Date(2026, 3, 9, 6, 7, 45, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	}
	assert.Equal(t, []CrashingRequest{{
		Fingerprint: "aa", Crashes: 3, Services: []string{"dispatch", "eta"}, First: at(0), Last: at(1000), ID: "x4", BlockedAt: at(600),
	}}, find(2))
	assert.Len(t, find(1), 2)
}

// Guards against a request whose line of the crash is missing from its explanation, since that line lists many ids.
func TestFromLogs_RequestThatRanAtACrash(t *testing.T) {
	lines, err := FromLogs("x2", strings.NewReader(crashLogA), strings.NewReader(crashLogB))
	require.NoError(t, err)
	require.Len(t, lines, 1)
	assert.Equal(t, "backend_crashed", lines[0].Event)
}
