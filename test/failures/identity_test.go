package failures

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

// Guards against two processes with the same node id that both accept calls. Lookups would not reach the request table of
// the earlier process, so that a resend could run twice (docs/guarantees.md, G6).
func TestDuplicateNodeIDStopsEarlierProcess(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	replaced := c.Nodes[0]
	file := filepath.Join(c.Options.WorkDir, replaced.ID+".json")
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	address := strings.TrimPrefix(replaced.APIURL, "http://")
	host := address[:strings.IndexByte(address, ':')]
	duplicateHost := fmt.Sprintf("127.9.%d.%d", os.Getpid()/256%256, os.Getpid()%256) // another run of this test may hold the same ports
	duplicateSettings := bytes.ReplaceAll(content, []byte(`"`+host+":"), []byte(`"`+duplicateHost+":"))
	file = filepath.Join(c.Options.WorkDir, "second.json")
	require.NoError(t, os.WriteFile(file, duplicateSettings, 0o600))
	command := exec.CommandContext(c.ctx, filepath.Join(binDir, "laburnumd"), "--settings", file)
	require.NoError(t, command.Start())
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	require.ErrorContains(t, replaced.Wait(settleTimeout), "exit status 1")
	c.eventually("another node sees the second process under the node id", func() bool {
		list, err := c.Nodes[1].Client().Members(c.ctx)
		require.NoError(t, err)
		for _, m := range list.Members {
			if m.ID == replaced.ID {
				return m.Status == "alive" && strings.HasPrefix(m.APIAddress, duplicateHost+":")
			}
		}
		return false
	})
}
