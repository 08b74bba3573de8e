package failures

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/standin/canary"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// startConfigured starts the Falaj fleet with its configuration and generation 1 of the canary route on every node.
func startConfigured(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, c.publishCanary(), c.Nodes))
	return c
}

// amendCanary publishes a generation of the canary route through a node that can reach the log.
func (c *cluster) amendCanary(through *fleet.Node, generation int) int64 {
	c.t.Helper()
	c.allowGeneration(generation)
	return c.mustPublish(through, config.Amend, canaryParameters, c.canaryPayload(generation))
}

// Guards against a node that serves an older version after a crash and restart while the platform is down
// (docs/guarantees.md, G1).
func TestRestartWithPlatformDownKeepsVersion(t *testing.T) {
	c := startConfigured(t)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, c.amendCanary(c.Nodes[0], 2), c.Nodes))
	c.startProber(c.Nodes)
	c.setLogMode(logservice.Down, 0)
	killed := c.node("seeb-tracker-1")
	killed.Kill()
	require.NoError(t, killed.Restart())
	prober := canary.NewProber(nil)
	c.eventually("the restarted node serves generation 2", func() bool {
		result := prober.Probe(c.ctx, killed, 2)
		assert.NotEqual(t, canary.Missing, result, "the restarted node must not serve an older version or none")
		return result == canary.Served
	})
}

// Guards against a version that never reaches, or is lost in, a data centre that was isolated while it was published, and
// against an isolation that stops calls inside the data centre (docs/guarantees.md, G1, G9).
func TestDataCentreIsolatedDuringPublish(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	c.isolate("sohar")
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.nodesOutside("sohar")))
	for _, n := range c.nodesIn("sohar") {
		c.eventually(n.ID+" serves its version while its data centre is isolated", func() bool { return c.servesGeneration(n, 1) })
	}
	c.rejoin("sohar")
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	for _, n := range c.Nodes {
		c.eventually(n.ID+" serves generation 2", func() bool { return c.servesGeneration(n, 2) })
	}
}

// Guards against distribution that needs a path from the platform to every data centre: readers in other data centres
// forward records (docs/guarantees.md, G9).
func TestDataCentreWithoutPlatformReceivesRecords(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	c.drop(c.logProxies["nizwa"])
	version := c.amendCanary(c.nodesIn("seeb")[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
}

// Guards against stale entries from a reader that resumes after a freeze: no node may return to an older version, and
// the resumed nodes must catch up (docs/guarantees.md, G1, G9). The test freezes all but one node of a data centre, so that
// readers are among them whatever the hashing.
func TestFrozenReadersResume(t *testing.T) {
	c := startConfigured(t)
	frozen := c.nodesIn("seeb")[1:]
	running := c.nodesWhere(func(n *fleet.Node) bool { return n.DataCentre != "seeb" || n == c.Nodes[0] })
	c.startProber(c.Nodes)
	for _, n := range frozen {
		require.NoError(t, n.Freeze())
	}
	begin := time.Now()
	generation := 2
	var version int64
	// The requirement is a freeze of 10 s with continuous changes.
	for ; time.Since(begin) < 10*time.Second; generation++ {
		version = c.amendCanary(c.Nodes[0], generation)
		require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, running))
	}
	for _, n := range frozen {
		require.NoError(t, n.Resume())
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, c.amendCanary(frozen[0], generation), c.Nodes))
}

// Guards against a publish that is reported wrongly or applied twice when the log appends a record but its response is
// lost.
func TestLostAppendResponses(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	c.setLogMode(logservice.LoseAppendResponses, 0)
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	c.setLogMode(logservice.Up, 0)
	response, err := c.Nodes[1].Client().Entity(c.ctx, canaryParameters)
	require.NoError(t, err)
	require.Len(t, response.Revisions, 2, "the record took effect once")
	require.Equal(t, version, response.Revisions[1].Revision, "the operator received the actual revision")
}

// Guards against a publish that is lost or reported wrongly while the platform is slow.
func TestSlowPlatform(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	c.setLogMode(logservice.Slow, 2*time.Second)
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
}

// Guards against concurrent amends through different nodes that are all reported as accepted, and against nodes that
// disagree about the winner.
func TestConcurrentAmends(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	const rounds = 5
	base := c.revision(c.Nodes[0], canaryParameters)
	for round := range rounds {
		c.allowGeneration(round + 2)
		payload := c.canaryPayload(round + 2)
		results := make([]config.Result, len(c.Nodes))
		errs := make([]error, len(c.Nodes))
		var group sync.WaitGroup
		for i, n := range c.Nodes {
			group.Go(func() { results[i], errs[i] = c.publishWithBase(n, config.Amend, canaryParameters, base, payload) })
		}
		group.Wait()
		winners := 0
		for i, result := range results {
			require.NoError(t, errs[i])
			if result.Outcome == config.Accepted {
				winners++
				base = result.Offset
				continue
			}
			require.Equal(t, config.Conflict, result.Outcome)
		}
		require.Equal(t, 1, winners)
		require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, base, c.Nodes))
		for _, n := range c.Nodes {
			require.Equal(t, base, c.revision(n, canaryParameters), n.ID)
		}
	}
	c.requireConverged()
}

// requireConverged waits until all nodes have the same version and digest.
func (c *cluster) requireConverged() {
	c.t.Helper()
	c.eventually("all nodes have the same version and digest", func() bool {
		digests := make(map[string]bool)
		for _, n := range c.Nodes {
			status, err := n.Client().Status(c.ctx, 0)
			if err != nil {
				return false
			}
			digests[fmt.Sprint(status.Version, status.Digest)] = true
		}
		return len(digests) == 1
	})
}

// Guards against a dangling route when one operator retires a service while another publishes a route to it
// (docs/guarantees.md, G2).
func TestConcurrentRetireAndReference(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	service := config.Entity{Kind: config.KindTemplate, Name: "extra"}
	parameters := config.ParametersEntity("test", "extra")
	c.mustPublish(c.Nodes[0], config.Publish, service, []byte(`{"body":{"services":[{"name":"extra"}]}}`))
	c.mustPublish(c.Nodes[0], config.Publish, parameters, []byte(`{"values":{}}`))
	version := c.mustPublish(c.Nodes[0], config.Publish, config.Entity{Kind: config.KindTemplate, Name: "extra-route"},
		[]byte(`{"body":{"routes":[{"name":"extra","path_prefix":"/extra/","service":"extra","rank":"history","timeout_ms":1000}]}}`))
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	var group sync.WaitGroup
	var retired, published config.Result
	group.Go(func() { retired, _ = c.publish(c.Nodes[1], config.Retire, parameters, nil) })
	group.Go(func() {
		published, _ = c.publish(c.Nodes[2], config.Publish, config.ParametersEntity("test", "extra-route"), []byte(`{"values":{}}`))
	})
	group.Wait()
	require.NotEqual(t, retired.Outcome == config.Accepted, published.Outcome == config.Accepted, "%+v %+v", retired, published)
	c.requireConverged()
	for _, n := range c.Nodes {
		snapshot, err := n.Client().Snapshot(c.ctx)
		require.NoError(t, err)
		require.NoError(t, snapshot.Validate())
	}
}

// Guards against invalid records in the log that stop a node or are applied in part (docs/guarantees.md, G3).
func TestInvalidLogRecords(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	log := logstore.NewHTTPLog([]string{c.LogURL}, http.DefaultTransport)
	before, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(t, err)
	partlyValid := fmt.Sprintf(`{"id":"0190a2b4-0000-7000-8000-000000000001","verb":"publish","entity":{"kind":"template","name":"half"},"base":0,"payload":%s,"author":"x"}`,
		`{"body":{"services":[{"name":"good"}],"routes":[{"name":"bad","path_prefix":"/bad/","service":"missing","rank":"none","timeout_ms":0}]}}`)
	for _, data := range []string{`"not a record"`, `{}`, `[1,2]`, `null`, `{"id":1}`, partlyValid} {
		_, err := log.Append(c.ctx, logstore.StreamConfig, json.RawMessage(data))
		require.NoError(t, err)
	}
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	c.requireConverged()
	after, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(t, err)
	require.Equal(t, before.Services, after.Services)
}

// Guards against nodes that restart with an older or partial version after a crash during activation
// (docs/guarantees.md, G1, G3).
func TestCrashDuringActivation(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	var version int64
	for generation := 2; generation < 8; generation++ {
		victim := c.Nodes[generation%len(c.Nodes)]
		killed := make(chan struct{})
		go func() { victim.Kill(); close(killed) }()
		version = c.amendCanary(c.Nodes[0], generation)
		<-killed
		require.NoError(t, victim.Restart())
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	c.requireConverged()
}

// Guards against nodes that cannot catch up, or return to an older version, when the log has expired records that they
// have not read. First a data centre is isolated for longer than the retention; then all nodes restart at the same time
// and have only the latest checkpoint and the retained records.
func TestRetentionShorterThanOutage(t *testing.T) {
	const retained, changes = 200, 520 // a checkpoint is written after 500 records
	c := startCluster(t, fleet.Falaj(), func(o *fleet.Options) { o.LogArgs = []string{"--retain-count", strconv.Itoa(retained)} })
	c.publishExamples()
	require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, c.publishCanary(), c.Nodes))
	c.startProber(c.Nodes)
	c.isolate("sohar")
	base := c.revision(c.Nodes[0], canaryParameters)
	for generation := 2; generation < 2+changes; generation++ {
		c.allowGeneration(generation)
		result, err := c.publishWithBase(c.Nodes[0], config.Amend, canaryParameters, base, c.canaryPayload(generation))
		require.NoError(t, err)
		require.Equal(t, config.Accepted, result.Outcome, "%v", result.Errors)
		base = result.Offset
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, base, c.nodesOutside("sohar")))
	c.rejoin("sohar")
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, base, c.Nodes))
	c.eventually("a checkpoint is in the log", func() bool {
		log := logstore.NewHTTPLog([]string{c.LogURL}, http.DefaultTransport)
		batch, err := log.Read(c.ctx, logstore.StreamCheckpoints, 1, 1, 0)
		return err == nil && len(batch.Entries) > 0
	})
	var group sync.WaitGroup
	for _, n := range c.Nodes {
		group.Go(n.Kill)
	}
	group.Wait()
	for _, n := range c.Nodes {
		require.NoError(t, n.Restart())
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, base, c.Nodes))
	c.requireConverged()
}

// Guards against a reconnect storm when many nodes crash and restart at the same time: first a third of the fleet, then a data
// centre. Requests to the log stay below a limit, and the other nodes keep serving (docs/guarantees.md, G9).
func TestMassRestart(t *testing.T) {
	c := startConfigured(t)
	c.startProber(c.Nodes)
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	for _, restarted := range [][]*fleet.Node{c.Nodes[:len(c.Nodes)/3], c.nodesIn("nizwa")} {
		before := c.logRequestCount()
		var group sync.WaitGroup
		for _, n := range restarted {
			group.Go(n.Kill)
		}
		group.Wait()
		for _, n := range restarted {
			require.NoError(t, n.Restart())
		}
		require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, restarted))
		// Allows each restarted node to read the three streams to their tails and to append its presence once, plus the
		// long polls of the readers.
		require.Less(t, c.logRequestCount()-before, int64(20*len(restarted)+100))
		require.NoError(t, c.WaitEndpoints(c.ctx, settleTimeout))
	}
}

// logRequestCount returns the number of appends and reads that the log service has received.
func (c *cluster) logRequestCount() int64 {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	total, err := c.LogStats(ctx)
	require.NoError(c.t, err)
	return total.Appends + total.Reads
}
