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
	require.NoError(t, c.WaitEndpoints(c.ctx, settleLimit))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, c.publishCanary(), c.Nodes))
	return c
}

// amendCanary publishes a generation through a node that can reach the log.
func (c *cluster) amendCanary(through *fleet.Node, generation int) int64 {
	c.t.Helper()
	c.announceGeneration(generation)
	return c.change(through, config.Amend, canaryParameters, c.canary(generation))
}

// Guards against a node that runs an older version after it was killed and restarted while the platform is down (G1).
func TestRestartWithPlatformDownKeepsVersion(t *testing.T) {
	c := startConfigured(t)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, c.amendCanary(c.Nodes[0], 2), c.Nodes))
	c.watch(c.Nodes)
	c.setLog(logservice.Down, 0)
	killed := c.node("seeb-tracker-1")
	killed.Kill()
	require.NoError(t, killed.Restart())
	prober := canary.NewProber(nil)
	c.eventually("the restarted node serves generation 2", func() bool {
		result := prober.Probe(c.ctx, killed, 2)
		assert.NotEqual(t, canary.Missing, result, "the restarted node ran an older version or none")
		return result == canary.Served
	})
}

// Guards against a version that never reaches, or is lost in, a data centre that was cut off from everything while it
// was published, and against a cut that stops calls inside the data centre (G9, G1).
func TestDataCentreCutOffDuringPublish(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	c.isolate("sohar")
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.outside("sohar")))
	for _, n := range c.inDataCentre("sohar") {
		c.eventually(n.ID+" serves its version while it is cut off", func() bool { return c.serves(n, 1) })
	}
	c.rejoin("sohar")
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	for _, n := range c.Nodes {
		c.eventually(n.ID+" serves generation 2", func() bool { return c.serves(n, 2) })
	}
}

// Guards against configuration that depends on the platform's path to each data centre: readers of other data centres
// must pass records on (G9).
func TestDataCentreCutFromPlatformOnly(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	c.drop(c.logs["nizwa"])
	version := c.amendCanary(c.inDataCentre("seeb")[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
}

// Guards against old entries from a reader that was frozen and resumes: no node may go back, and the frozen ones must
// catch up (G1, G9). Two thirds of a data centre are frozen, so that readers are among them whatever the hashing.
func TestFrozenReadersResume(t *testing.T) {
	c := startConfigured(t)
	frozen := c.inDataCentre("seeb")[1:]
	running := c.nodesWhere(func(n *fleet.Node) bool { return n.DataCentre != "seeb" || n == c.Nodes[0] })
	c.watch(c.Nodes)
	for _, n := range frozen {
		require.NoError(t, n.Freeze())
	}
	begin := time.Now()
	generation := 2
	var version int64
	// The brief asks for a freeze of 10 s; changes go on all the time.
	for ; time.Since(begin) < 10*time.Second; generation++ {
		version = c.amendCanary(c.Nodes[0], generation)
		require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, running))
	}
	for _, n := range frozen {
		require.NoError(t, n.Resume())
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, c.amendCanary(frozen[0], generation), c.Nodes))
}

// Guards against a publish that is reported wrongly or applied twice when the log's answer is lost after the append took
// effect.
func TestLostAppendAnswers(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	c.setLog(logservice.LoseAppendResponses, 0)
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	c.setLog(logservice.Up, 0)
	answer, err := c.Nodes[1].Client().Entity(c.ctx, canaryParameters)
	require.NoError(t, err)
	require.Len(t, answer.Revisions, 2, "the record took effect once")
	require.Equal(t, version, answer.Revisions[1].Revision, "the operator heard the true revision")
}

// Guards against a publish that is lost or reported wrongly while the platform is slow.
func TestSlowPlatform(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	c.setLog(logservice.Slow, 2*time.Second)
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
}

// Guards against operators that race each other through different nodes and both hear "accepted", and against nodes
// that disagree about the winner.
func TestOperatorsRace(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	const rounds = 5
	base := c.revision(c.Nodes[0], canaryParameters)
	for round := range rounds {
		c.announceGeneration(round + 2)
		payload := c.canary(round + 2)
		results := make([]config.Result, len(c.Nodes))
		errs := make([]error, len(c.Nodes))
		var group sync.WaitGroup
		for i, n := range c.Nodes {
			group.Go(func() { results[i], errs[i] = c.changeFrom(n, config.Amend, canaryParameters, base, payload) })
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
		require.NoError(t, c.WaitVersion(c.ctx, settleLimit, base, c.Nodes))
		for _, n := range c.Nodes {
			require.Equal(t, base, c.revision(n, canaryParameters), n.ID)
		}
	}
	c.requireSameState()
}

// requireSameState checks that all nodes come to the same version and digest.
func (c *cluster) requireSameState() {
	c.t.Helper()
	c.eventually("all nodes have one digest", func() bool {
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

// Guards against a route to a service that another operator deletes at the same time (G2).
func TestDeleteAndReferRace(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	service := config.Entity{Kind: config.KindTemplate, Name: "extra"}
	parameters := config.ParametersEntity("test", "extra")
	c.change(c.Nodes[0], config.Publish, service, []byte(`{"body":{"services":[{"name":"extra"}]}}`))
	c.change(c.Nodes[0], config.Publish, parameters, []byte(`{"values":{}}`))
	version := c.change(c.Nodes[0], config.Publish, config.Entity{Kind: config.KindTemplate, Name: "extra-route"},
		[]byte(`{"body":{"routes":[{"name":"extra","path_prefix":"/extra/","service":"extra","rank":"history","timeout_ms":1000}]}}`))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	var group sync.WaitGroup
	var deleted, referred config.Result
	group.Go(func() { deleted, _ = c.tryChange(c.Nodes[1], config.Retire, parameters, nil) })
	group.Go(func() {
		referred, _ = c.tryChange(c.Nodes[2], config.Publish, config.ParametersEntity("test", "extra-route"), []byte(`{"values":{}}`))
	})
	group.Wait()
	require.NotEqual(t, deleted.Outcome == config.Accepted, referred.Outcome == config.Accepted, "%+v %+v", deleted, referred)
	c.requireSameState()
	for _, n := range c.Nodes {
		snapshot, err := n.Client().Snapshot(c.ctx)
		require.NoError(t, err)
		require.NoError(t, snapshot.Validate())
	}
}

// Guards against invalid data in the log that stops a node or is applied in part (G3).
func TestBadRecordsInTheLog(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	log := logstore.NewHTTPLog([]string{c.LogURL}, http.DefaultTransport)
	before, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(t, err)
	half := fmt.Sprintf(`{"id":"0190a2b4-0000-7000-8000-000000000001","verb":"publish","entity":{"kind":"template","name":"half"},"base":0,"payload":%s,"author":"x"}`,
		`{"body":{"services":[{"name":"good"}],"routes":[{"name":"bad","path_prefix":"/bad/","service":"missing","rank":"none","timeout_ms":0}]}}`)
	for _, data := range []string{`"not a record"`, `{}`, `[1,2]`, `null`, `{"id":1}`, half} {
		_, err := log.Append(c.ctx, logstore.StreamConfig, json.RawMessage(data))
		require.NoError(t, err)
	}
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	c.requireSameState()
	after, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(t, err)
	require.Equal(t, before.Services, after.Services)
}

// Guards against nodes that are killed while they activate versions and come back with an older or partial one (G1, G3).
func TestKillsDuringActivation(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	var version int64
	for generation := 2; generation < 8; generation++ {
		victim := c.Nodes[generation%len(c.Nodes)]
		killed := make(chan struct{})
		go func() { victim.Kill(); close(killed) }()
		version = c.amendCanary(c.Nodes[0], generation)
		<-killed
		require.NoError(t, victim.Restart())
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	c.requireSameState()
}

// Guards against nodes that cannot come back, or come back with an older version, when the log has dropped records that
// they have not read: first a data centre that was cut off for longer than the retention, then the whole fleet at once,
// which has nothing but the last checkpoint and the rest of the log.
func TestRetentionShorterThanOutage(t *testing.T) {
	const retained, changes = 200, 520 // a checkpoint is due after 500 records
	c := startCluster(t, fleet.Falaj(), func(o *fleet.Options) { o.LogArgs = []string{"--retain-count", strconv.Itoa(retained)} })
	c.publishExamples()
	require.NoError(t, c.WaitEndpoints(c.ctx, settleLimit))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, c.publishCanary(), c.Nodes))
	c.watch(c.Nodes)
	c.isolate("sohar")
	base := c.revision(c.Nodes[0], canaryParameters)
	for generation := 2; generation < 2+changes; generation++ {
		c.announceGeneration(generation)
		result, err := c.changeFrom(c.Nodes[0], config.Amend, canaryParameters, base, c.canary(generation))
		require.NoError(t, err)
		require.Equal(t, config.Accepted, result.Outcome, "%v", result.Errors)
		base = result.Offset
	}
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, base, c.outside("sohar")))
	c.rejoin("sohar")
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, base, c.Nodes))
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
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, base, c.Nodes))
	c.requireSameState()
}

// Guards against a reconnect storm: a third of the fleet, then a whole data centre, is killed and comes back at once. The
// log must not be asked more often than its limit, and the nodes that stay must go on serving (G9).
func TestMassRestart(t *testing.T) {
	c := startConfigured(t)
	c.watch(c.Nodes)
	version := c.amendCanary(c.Nodes[0], 2)
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	for _, herd := range [][]*fleet.Node{c.Nodes[:len(c.Nodes)/3], c.inDataCentre("nizwa")} {
		before := c.logRequests()
		var group sync.WaitGroup
		for _, n := range herd {
			group.Go(n.Kill)
		}
		group.Wait()
		for _, n := range herd {
			require.NoError(t, n.Restart())
		}
		require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, herd))
		// Each restarted node may read the three streams to their tails and append its presence once; readers poll on.
		require.Less(t, c.logRequests()-before, int64(20*len(herd)+100))
		require.NoError(t, c.WaitEndpoints(c.ctx, settleLimit))
	}
}

// logRequests returns the appends and reads at the log service so far.
func (c *cluster) logRequests() int64 {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	total, err := c.LogStats(ctx)
	require.NoError(c.t, err)
	return total.Appends + total.Reads
}
