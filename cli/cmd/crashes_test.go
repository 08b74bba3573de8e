package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCrashes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	lines := "time=2026-03-09T06:07:45.000Z level=info event=backend_crashed node=a instance=i-1 service=eta running=1 ids=x1 fingerprints=aa\n" +
		"time=2026-03-09T06:07:46.000Z level=info event=backend_crashed node=a instance=i-2 service=eta running=1 ids=x2 fingerprints=aa\n"
	require.NoError(t, os.WriteFile(path, []byte(lines), 0o600))
	run := func(code int, arguments ...string) string {
		var out, errors bytes.Buffer
		assert.Equal(t, code, Run(append([]string{"crashes"}, arguments...), &out, &errors), errors.String())
		return out.String()
	}
	assert.Contains(t, run(ExitOK, "--logs", path), "aa           2        eta       06:07:45.0  06:07:46.0  -        x2")
	assert.Contains(t, run(ExitOK, "--logs", path, "--min", "3"), "no request was running at 3 crashes")
	run(ExitUsage)
	run(ExitUsage, "--logs", path+".none")
}
