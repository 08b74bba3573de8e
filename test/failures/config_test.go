package failures

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// Guards against a node that runs an older version after it was killed and restarted while the platform is down (G1).
func TestRestartWithPlatformDownKeepsVersion(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	c.publishCanary()
	version := c.change(c.Nodes[0], config.Amend, canaryParameters, c.canary(2))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))

	c.setLog(logservice.Down, 0)
	killed := c.node("seeb-tracker-1")
	killed.Kill()
	require.NoError(t, killed.Restart())
	c.eventually("the restarted node serves generation 2", func() bool {
		assert.False(t, c.serves(killed, 1), "the restarted node ran an older version")
		return c.serves(killed, 2)
	})
}

// Guards against a version that never reaches, or is lost in, a data centre that was cut off from everything while it was published,
// and against a cut that stops calls inside the data centre (G9, G1).
func TestDataCentreCutOffDuringPublish(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	version := c.publishCanary()
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	c.isolate("sohar")
	defer c.rejoin("sohar")
	version = c.change(c.Nodes[0], config.Amend, canaryParameters, c.canary(2))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.outside("sohar")))
	for _, n := range c.inDataCentre("sohar") {
		assert.True(t, c.serves(n, 1), "%s serves its version while it is cut off", n.ID)
	}
	c.rejoin("sohar")
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	for _, n := range c.Nodes {
		assert.True(t, c.serves(n, 2), n.ID)
	}
}
