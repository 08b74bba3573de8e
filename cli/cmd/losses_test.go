package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLosses_TableCSVAndPlot(t *testing.T) {
	dir := t.TempDir()
	logPath, csvPath, plotPath := filepath.Join(dir, "a.log"), filepath.Join(dir, "losses.csv"), filepath.Join(dir, "losses.png")
	lines := "time=2026-03-09T06:07:43.100Z level=info event=request route=r service=s verdict=not-run reason=full returned=true\n" +
		"time=2026-03-09T06:07:45.100Z level=info event=request route=r service=s verdict=unknown reason=node_lost\n" +
		"time=2026-03-09T06:07:45.200Z level=info event=inbound service=s verdict=not-run reason=full running=9 queued=3 limit=9 slot_time=120ms\n"
	require.NoError(t, os.WriteFile(logPath, []byte(lines), 0o600))
	run := func(code int, arguments ...string) (string, string) {
		var out, errors bytes.Buffer
		assert.Equal(t, code, Run(arguments, &out, &errors), errors.String())
		return out.String(), errors.String()
	}
	out, _ := run(ExitOK, "losses", "--logs", logPath, "--csv", csvPath, "--plot", plotPath)
	assert.Contains(t, out, "refused again after coming back")
	assert.Contains(t, out, "node lost                        1      9.0      9.0    3.0     120ms")
	csvContent, err := os.ReadFile(csvPath)
	require.NoError(t, err)
	assert.Equal(t, "TIME,SERVICE,ROUTE,CAUSE,COUNT,RUNNING,LIMIT,QUEUED,SLOT TIME\n"+
		"06:07:43.0,s,r,refused again after coming back,1,,,,\n06:07:45.0,s,r,node lost,1,9.0,9.0,3.0,120ms\n", string(csvContent))
	plotContent, err := os.ReadFile(plotPath)
	require.NoError(t, err)
	assert.Equal(t, "\x89PNG", string(plotContent[:4]))

	metricsPath := filepath.Join(dir, "a.metrics")
	require.NoError(t, os.WriteFile(metricsPath, []byte("laburnum_log_limited{event=\"request\"} 17\n"), 0o600))
	out, _ = run(ExitOK, "losses", "--logs", logPath, "--metrics", metricsPath)
	assert.Contains(t, out, "17 request lines were not logged")
	run(ExitUsage, "losses", "--logs", logPath, "--metrics", filepath.Join(dir, "none"))

	require.NoError(t, os.WriteFile(logPath, nil, 0o600))
	out, _ = run(ExitOK, "losses", "--logs", logPath)
	assert.Contains(t, out, "no loss")
	assert.Len(t, secondTicks(47, time.Second), 12, "the labels of the time axis do not overlap")
	assert.Equal(t, "4", secondTicks(3, 2*time.Second)[2].Label)
	for _, arguments := range [][]string{{}, {"--logs", logPath, "--every", "-1s"}, {"--logs", filepath.Join(dir, "none")}} {
		_, stderr := run(ExitUsage, append([]string{"losses"}, arguments...)...)
		assert.Contains(t, stderr, ";", "the message names a remedy")
	}
}
