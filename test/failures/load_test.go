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
	// callsVariable sets how many calls the failure mix makes at least. The target of the design is 100,000.
	callsVariable  = "LABURNUM_FAILURE_CALLS"
	callsByDefault = 4000

	mixSeed       = 41
	clientRate    = 200.0 // calls a second; a long run makes more, see mixRate
	plainRate     = 100.0
	longRunFactor = 4
	roundDuration = time.Minute // of one schedule; the next one follows while the load goes on
	longTimeoutMS = 60_000      // of calls whose outcome must not depend on the machine's speed
)

// mixCalls returns the least number of calls of the failure mix and the factor on its rates.
func mixCalls() (calls int, factor float64) {
	if wanted, err := strconv.Atoi(os.Getenv(callsVariable)); err == nil && wanted > callsByDefault {
		return wanted, longRunFactor
	}
	return callsByDefault, 1
}

// background is load that goes on until it is stopped.
type background struct {
	c     *cluster
	stop  chan struct{}
	group sync.WaitGroup
	ended atomic.Int64 // calls

	mu      sync.Mutex
	records []load.Record
}

// startLoad sends calls on all routes of the examples through pkg/client and, if plainRate is above 0, through plain HTTP.
func (c *cluster) startLoad(clientRate, plainRate float64) *background {
	c.t.Helper()
	snapshot, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(c.t, err)
	b := &background{c: c, stop: make(chan struct{})}
	b.generate(snapshot, clientRate, false)
	if plainRate > 0 {
		b.generate(snapshot, plainRate, true)
	}
	c.t.Cleanup(b.end)
	return b
}

func (b *background) generate(snapshot *config.Snapshot, rate float64, plain bool) {
	b.group.Go(func() {
		for seed := uint64(mixSeed); !b.stopped(); seed++ {
			records, err := load.Run(b.c.ctx, load.Options{
				Nodes: b.c.CallAddresses(), Streams: demo.Streams(snapshot, rate, 0, roundDuration),
				Seed: seed, Plain: plain, Output: b, Stop: b.stop,
			})
			assert.NoError(b.c.t, err)
			b.add(records...)
		}
	})
}

// Write counts the calls that ended.
func (b *background) Write(line []byte) (int, error) {
	b.ended.Add(1)
	return len(line), nil
}

func (b *background) add(records ...load.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, records...)
}

func (b *background) stopped() bool {
	select {
	case <-b.stop:
		return true
	default:
		return b.c.ctx.Err() != nil
	}
}

// end stops the load and waits until all calls have ended.
func (b *background) end() {
	if !b.stopped() {
		close(b.stop)
	}
	b.group.Wait()
}

// more waits until that many further calls have ended.
func (b *background) more(calls int) {
	b.c.t.Helper()
	wanted := b.ended.Load() + int64(calls)
	b.c.eventually("further calls end", func() bool { return b.ended.Load() >= wanted })
}

// finish stops the load, waits until no call runs anywhere and compares the records with the executions.
func (b *background) finish() []load.Record {
	c := b.c
	c.t.Helper()
	b.end()
	idle := 0
	c.eventually("all calls end everywhere", func() bool {
		idle++
		if !c.idle() {
			idle = 0
		}
		return idle == 3
	})
	executions, err := c.Executions()
	require.NoError(c.t, err)
	v := load.Verify(b.records, executions)
	c.t.Log(v)
	c.t.Log(demo.Outcomes(b.records))
	assert.True(c.t, v.Clean(), "a guarantee was violated: %s", v)
	assert.Zero(c.t, v.Stray, "executions without a call")
	assert.Positive(c.t, v.OK)
	return b.records
}

// idle reports whether no call runs or waits in any backend server or node.
func (c *cluster) idle() bool {
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

// setFaults changes the faults of a backend server.
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

// publishPatient publishes the examples with a long timeout on every route, so that no call misses its deadline.
func (c *cluster) publishPatient() {
	c.t.Helper()
	files, err := fleet.ExampleFiles(c.Options.Deployment.Name)
	require.NoError(c.t, err)
	var version int64
	for _, file := range files {
		version = c.change(c.Nodes[0], config.Publish, file.Entity, patient(c, file))
	}
	require.NoError(c.t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
}

func patient(c *cluster, file bundle.File) []byte {
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

// statusOf returns the status of a member as a node sees it, and the state of its endpoint. Both are empty if the node
// does not answer, which the test log then shows, or does not know the member.
func (c *cluster) statusOf(from, member *fleet.Node) (status, endpoint string) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	list, err := from.Client().Members(ctx)
	if err != nil {
		c.t.Logf("%s does not list its members: %v", from.ID, err)
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

// settled waits until every node is ready and knows all backend servers. The pause lets restarted nodes take
// non-idempotent calls again, which they refuse for the clock bound after their presence record; no verdict depends on it.
func (c *cluster) settled() {
	c.t.Helper()
	require.NoError(c.t, c.WaitReady(c.ctx, settleLimit))
	require.NoError(c.t, c.WaitEndpoints(c.ctx, settleLimit))
	time.Sleep(callctx.MaxClockSkew)
}
