package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRollouts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	lines := "time=2026-03-09T06:07:45.000Z level=info event=rollout_decision node=a service=pay target=v2 phase=rolled_back cause=\"worse on one route\" comparison=bad answered=40 bad=12 base_rate=0.01 exposure_granted=60\n" +
		"time=2026-03-09T06:07:45.010Z level=info event=rollout_agreed node=a service=pay target=v2 phase=rolled_back cause=\"worse on one route\" epoch=9\n"
	require.NoError(t, os.WriteFile(path, []byte(lines), 0o600))
	run := func(code int, arguments ...string) (string, string) {
		var out, errors bytes.Buffer
		assert.Equal(t, code, Run(append([]string{"rollouts"}, arguments...), &out, &errors), errors.String())
		return out.String(), errors.String()
	}
	out, _ := run(ExitOK, "--logs", path)
	assert.Contains(t, out, "06:07:45.0  pay      v2      rolled_back  a     bad         40        12   0.01       60       worse on one route")
	out, _ = run(ExitOK, "--logs", path, "--service", "eta")
	assert.Contains(t, out, "no roll-outs in the logs")
	_, stderr := run(ExitUsage)
	assert.Contains(t, stderr, ";", "the message names a remedy")
	run(ExitUsage, "--logs", path+".none")
}
