package failures

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/bundle"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/backend"
	"github.com/laburnumcleat/laburnumcleat/standin/demo"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

const (
	// callCountEnv names the variable that sets the minimum number of calls of the failure mix. The target of
	// docs/design.md is 100,000.
	callCountEnv     = "LABURNUM_FAILURE_CALLS"
	defaultCallCount = 4000

	mixSeed          = 41
	clientRate       = 200.0 // calls per second; long runs multiply it by longRunFactor
	plainRate        = 100.0
	longRunFactor    = 4
	scheduleDuration = time.Minute // of one load schedule; the next schedule follows without a pause
	longTimeoutMS    = 60_000      // keeps call outcomes independent of the machine's speed
)

// failureMixLoad returns the minimum number of calls of the failure mix and the multiplier of its call rates.
func failureMixLoad() (calls int, rateFactor float64) {
	if requested, err := strconv.Atoi(os.Getenv(callCountEnv)); err == nil && requested > defaultCallCount {
		return requested, longRunFactor
	}
	return defaultCallCount, 1
}

// backgroundLoad sends calls until it is stopped, and records them.
type backgroundLoad struct {
	c         *cluster
	stop      chan struct{}
	group     sync.WaitGroup
	completed atomic.Int64 // calls

	mu      sync.Mutex
	records []load.Record
}

// startLoad sends calls on all routes of the examples through pkg/client and, if plainRate is positive, over plain HTTP.
// Rates are in calls per second.
func (c *cluster) startLoad(clientRate, plainRate float64) *backgroundLoad {
	c.t.Helper()
	snapshot, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(c.t, err)
	b := &backgroundLoad{c: c, stop: make(chan struct{})}
	b.generate(snapshot, clientRate, false)
	if plainRate > 0 {
		b.generate(snapshot, plainRate, true)
	}
	c.t.Cleanup(b.stopAndWait)
	return b
}

func (b *backgroundLoad) generate(snapshot *config.Snapshot, rate float64, plain bool) {
	b.group.Go(func() {
		for seed := uint64(mixSeed); !b.stopped(); seed++ {
			records, err := load.Run(b.c.ctx, load.Options{
				Nodes: b.c.CallAddresses(), Streams: demo.Streams(snapshot, rate, 0, scheduleDuration),
				Seed: seed, Plain: plain, Output: b, Stop: b.stop,
			})
			assert.NoError(b.c.t, err)
			b.add(records...)
		}
	})
}

// Write counts a completed call; load.Run writes one line per call.
func (b *backgroundLoad) Write(line []byte) (int, error) {
	b.completed.Add(1)
	return len(line), nil
}

func (b *backgroundLoad) add(records ...load.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, records...)
}

func (b *backgroundLoad) stopped() bool {
	select {
	case <-b.stop:
		return true
	default:
		return b.c.ctx.Err() != nil
	}
}

// stopAndWait stops the load and waits until all calls have completed.
func (b *backgroundLoad) stopAndWait() {
	if !b.stopped() {
		close(b.stop)
	}
	b.group.Wait()
}

// waitForCalls waits until the given number of further calls have completed.
func (b *backgroundLoad) waitForCalls(calls int) {
	b.c.t.Helper()
	target := b.completed.Load() + int64(calls)
	b.c.eventually("further calls complete", func() bool { return b.completed.Load() >= target })
}

// stopAndVerify stops the load, waits until no call is in flight in the fleet, and checks the records against the
// executions.
func (b *backgroundLoad) stopAndVerify() []load.Record {
	c := b.c
	c.t.Helper()
	b.stopAndWait()
	idleChecks := 0
	c.eventually("no calls in flight in three consecutive checks", func() bool {
		idleChecks++
		if !c.noCallsRunning() {
			idleChecks = 0
		}
		return idleChecks == 3
	})
	executions, err := c.Executions()
	require.NoError(c.t, err)
	v := load.Verify(b.records, executions)
	c.t.Log(v)
	c.t.Log(demo.Outcomes(b.records))
	assert.True(c.t, v.Clean(), "guarantee violated: %s", v)
	assert.Zero(c.t, v.Stray, "executions without a recorded call")
	assert.Positive(c.t, v.OK)
	return b.records
}

// noCallsRunning reports whether no call is running or queued at any backend server or node. It skips processes that do not
// respond.
func (c *cluster) noCallsRunning() bool {
	for _, n := range c.Nodes {
		stats, err := n.BackendStats()
		if err == nil && stats.Busy > 0 {
			return false
		}
		values, err := n.Metrics()
		if err == nil && values["laburnum_inbound_in_flight"]+values["laburnum_inbound_queued"] > 0 {
			return false
		}
	}
	return true
}

// setFaults sets the faults that a backend server injects.
func (c *cluster) setFaults(n *fleet.Node, faults backend.Faults) {
	body, err := json.Marshal(faults)
	require.NoError(c.t, err)
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPut, n.BackendURL+"/faults", bytes.NewReader(body))
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	response.Body.Close()
	require.Less(c.t, response.StatusCode, 300)
}

func (c *cluster) setAllFaults(faults backend.Faults) {
	for _, n := range c.Nodes {
		c.setFaults(n, faults)
	}
}

// publishLongTimeouts publishes the examples with a long timeout on every route, so that no call misses its deadline.
func (c *cluster) publishLongTimeouts() {
	c.t.Helper()
	files, err := fleet.ExampleFiles(c.Options.Deployment.Name)
	require.NoError(c.t, err)
	var version int64
	for _, file := range files {
		version = c.mustPublish(c.Nodes[0], config.Publish, file.Entity, withLongTimeouts(c, file))
	}
	require.NoError(c.t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
}

// withLongTimeouts returns the payload of file with all its timeouts set to longTimeoutMS.
func withLongTimeouts(c *cluster, file bundle.File) []byte {
	var content map[string]any
	require.NoError(c.t, json.Unmarshal(file.Payload, &content))
	values, _ := content["values"].(map[string]any)
	for name := range values {
		if strings.HasSuffix(name, "timeout_ms") {
			values[name] = longTimeoutMS
		}
	}
	parameters, _ := content["parameters"].([]any)
	for _, p := range parameters {
		if parameter := p.(map[string]any); strings.HasSuffix(parameter["name"].(string), "timeout_ms") {
			parameter["default"] = longTimeoutMS
		}
	}
	payload, err := json.Marshal(content)
	require.NoError(c.t, err)
	return payload
}

// statusOf returns the status of a member in the view of a node, and the state of the member's endpoint. Both are empty if
// the node does not know the member, or does not respond; the latter is written to the test log.
func (c *cluster) statusOf(from, member *fleet.Node) (status, endpoint string) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	list, err := from.Client().Members(ctx)
	if err != nil {
		c.t.Logf("listing the members of %s: %v", from.ID, err)
		return "", ""
	}
	for _, m := range list.Members {
		if m.ID != member.ID {
			continue
		}
		if m.Endpoint != nil {
			endpoint = m.Endpoint.State
		}
		return m.Status, endpoint
	}
	return "", ""
}

// waitSettled waits until every node is ready and knows all backend servers. Restarted nodes refuse non-idempotent calls
// for the clock skew bound after their presence record; the pause covers that time, and no check depends on it.
func (c *cluster) waitSettled() {
	c.t.Helper()
	require.NoError(c.t, c.WaitReady(c.ctx, settleTimeout))
	require.NoError(c.t, c.WaitEndpoints(c.ctx, settleTimeout))
	time.Sleep(callctx.MaxClockSkew)
}
