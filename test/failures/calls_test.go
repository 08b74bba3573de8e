package failures

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/client"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/backend"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// Guards against calls that run twice, responses that are incomplete or belong to another call, and "not-run" for calls
// that ran. The mix covers every failure of docs/design.md, section 10, that affects calls (docs/guarantees.md, G4, G5, G6).
func TestCallsUnderFailureMix(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	c.waitSettled()
	calls, rateFactor := failureMixLoad()
	b := c.startLoad(clientRate*rateFactor, plainRate*rateFactor)
	b.startResends()
	for round := 0; round == 0 || int(b.completed.Load()) < calls; round++ {
		for i, fail := range callFailures {
			fail(c, b, c.Nodes[(round*len(callFailures)+5*i+3)%len(c.Nodes)])
			b.waitForCalls(calls / 40)
		}
	}
	records := b.stopAndVerify()
	resends, viaOtherNode := 0, 0
	for i := range records {
		for k, send := range records[i].Sends {
			if send.Attempt > 1 {
				resends++
			}
			if k > 0 && send.Attempt > 1 && send.Node != records[i].Sends[k-1].Node {
				viaOtherNode++
			}
		}
	}
	t.Logf("resends=%d resends_through_another_node=%d", resends, viaOtherNode)
	assert.Positive(t, viaOtherNode, "at least one call must be resent through another node")
}

// callFailures lists the failures of the mix. Each function injects one failure at or around a node, waits until it has
// taken effect, and reverts it.
var callFailures = []func(c *cluster, b *backgroundLoad, n *fleet.Node){
	crashNode, crashBackendServer, freezeNode, isolateDataCentre, injectBackendFaults, stopLogService,
}

// crashNode kills a node that has several calls in flight in each of its roles (inbound and outbound).
func crashNode(c *cluster, b *backgroundLoad, n *fleet.Node) {
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: 150})
	b.waitForCalls(100)
	n.Kill()
	c.setAllFaults(backend.Faults{})
	b.waitForCalls(100)
	require.NoError(c.t, n.Restart())
	c.waitSettled()
}

func crashBackendServer(c *cluster, b *backgroundLoad, n *fleet.Node) {
	n.KillBackend()
	b.waitForCalls(100)
	require.NoError(c.t, n.RestartBackend())
	c.waitSettled()
}

func freezeNode(c *cluster, b *backgroundLoad, n *fleet.Node) {
	require.NoError(c.t, n.Freeze())
	defer func() { _ = n.Resume() }()
	other := c.nodesOutside(n.DataCentre)[0]
	c.eventually("another data centre suspects the frozen node", func() bool {
		status, _ := c.statusOf(other, n)
		return status != "" && status != "alive"
	})
	require.NoError(c.t, n.Resume())
	c.waitSettled()
}

func isolateDataCentre(c *cluster, b *backgroundLoad, n *fleet.Node) {
	c.isolate(n.DataCentre)
	b.waitForCalls(200)
	c.rejoin(n.DataCentre)
	c.waitSettled()
}

func injectBackendFaults(c *cluster, b *backgroundLoad, _ *fleet.Node) {
	c.setAllFaults(backend.Faults{Truncate: 0.05, Close: 0.05, NoLength: 0.02, Delay: 0.1, DelayMS: 300})
	b.waitForCalls(400)
	c.setAllFaults(backend.Faults{})
}

func stopLogService(c *cluster, b *backgroundLoad, _ *fleet.Node) {
	c.setLogMode(logservice.Down, 0)
	b.waitForCalls(200)
	c.setLogMode(logservice.Up, 0)
}

// startResends sends payments that time out at random, and then resends each under the same request id through two other
// nodes concurrently.
func (b *backgroundLoad) startResends() {
	b.group.Go(func() {
		rng := rand.New(rand.NewPCG(mixSeed, 0))
		httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: callctx.ConnectionIdleTimeout}}
		defer httpClient.CloseIdleConnections()
		for !b.stopped() {
			first := rng.IntN(len(b.c.Nodes))
			timeout := time.Duration(rng.IntN(30)) * time.Millisecond
			b.add(b.c.resend(httpClient, first, timeout))
		}
	})
}

// resend sends a payment through node first with a short timeout. If its outcome is unknown, it resends the payment through
// the next two nodes concurrently and records all attempts.
func (c *cluster) resend(httpClient *http.Client, first int, timeout time.Duration) load.Record {
	record := load.Record{Stream: "resend", ID: callctx.NewRequestID(), Outcome: callctx.Unknown}
	outcome, foreign := c.sendPayment(httpClient, c.Nodes[first], record.ID, 1, timeout)
	record.Foreign = foreign
	record.Sends = []client.Send{{RequestID: record.ID, Attempt: 1, Node: c.Nodes[first].ID, Outcome: outcome}}
	if outcome != callctx.Unknown {
		record.Outcome = outcome
		return record
	}
	outcomes := make([]callctx.Outcome, 2)
	foreigns := make([]bool, len(outcomes))
	var group sync.WaitGroup
	for i := range outcomes {
		through := c.Nodes[(first+1+i)%len(c.Nodes)]
		group.Go(func() { outcomes[i], foreigns[i] = c.sendPayment(httpClient, through, record.ID, 2+i, callTimeout) })
	}
	group.Wait()
	// "not-run" covers all attempts of the id, so it decides the outcome whatever the other attempts return.
	for i, outcome := range outcomes {
		record.Sends = append(record.Sends, client.Send{RequestID: record.ID, Attempt: 2 + i, Node: c.Nodes[(first+1+i)%len(c.Nodes)].ID, Outcome: outcome})
		record.Foreign = record.Foreign || foreigns[i]
		if outcome == callctx.NotRun || outcome == callctx.Answered && record.Outcome == callctx.Unknown {
			record.Outcome = outcome
		}
	}
	return record
}

// sendPayment sends one attempt of a payment. The outcome is Unknown if no complete response arrives within
// timeout; foreign is set if the response belongs to another request.
func (c *cluster) sendPayment(httpClient *http.Client, through *fleet.Node, id string, attempt int, timeout time.Duration) (outcome callctx.Outcome, foreign bool) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, through.CallURL+"/v1/payments/resend", strings.NewReader("amount"))
	require.NoError(c.t, err)
	request.GetBody = nil // keeps net/http from retrying the request
	request.Header.Set(callctx.HeaderRequestID, id)
	request.Header.Set(callctx.HeaderAttempt, strconv.Itoa(attempt))
	response, err := httpClient.Do(request)
	if err != nil {
		return callctx.Unknown, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callctx.Unknown, false
	}
	outcome = callctx.Outcome(response.Header.Get(callctx.HeaderOutcome))
	var reply backend.Reply
	if outcome == callctx.Answered && response.StatusCode == http.StatusOK {
		foreign = json.Unmarshal(body, &reply) != nil || reply.RequestID != id
	}
	return outcome, foreign
}

// Guards against graceful stops that abort calls or leave their outcome unknown (docs/guarantees.md, G8).
func TestRollingRestartLosesNoCalls(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishLongTimeouts()
	c.waitSettled()
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: 150}) // keeps several calls in flight at each node when it stops
	b := c.startLoad(clientRate, 0)
	for _, n := range c.nodesIn("seeb") { // one at a time
		c.stopAndRestart([]*fleet.Node{n}, func() {})
	}
	for _, dataCentre := range c.Options.Deployment.DataCentres { // all nodes of a data centre at the same time
		c.stopAndRestart(c.nodesIn(dataCentre), func() {})
	}
	c.eachControlProxy("seeb", c.drop)
	c.stopAndRestart(c.nodesIn("seeb"), func() { c.eachControlProxy("seeb", c.restore) })
	b.stopAndVerifyNoUnknown()
}

// stopAndRestart stops nodes gracefully and concurrently, calls afterStop, and restarts them.
func (c *cluster) stopAndRestart(nodes []*fleet.Node, afterStop func()) {
	c.t.Helper()
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() { assert.NoError(c.t, n.Stop(), n.ID) })
	}
	group.Wait()
	afterStop()
	for _, n := range nodes {
		require.NoError(c.t, n.Restart())
	}
	c.waitSettled()
}

// eachControlProxy applies action to the proxies of the control ports between a data centre and all others. Gossip and
// lookups use these ports; calls do not.
func (c *cluster) eachControlProxy(dataCentre string, action func(*toxiproxy.Proxy)) {
	for direction, proxies := range c.proxies {
		if direction.from != dataCentre && direction.to != dataCentre {
			continue
		}
		for _, proxy := range proxies {
			if strings.HasSuffix(proxy.Upstream, fleet.ControlPort) {
				action(proxy)
			}
		}
	}
}

// stopAndVerifyNoUnknown is like stopAndVerify and also requires a known outcome of every request and every attempt, so
// that a resend cannot hide an aborted call.
func (b *backgroundLoad) stopAndVerifyNoUnknown() {
	b.c.t.Helper()
	for _, r := range b.stopAndVerify() {
		known := r.Outcome == callctx.Answered || r.Outcome == callctx.NotRun
		for _, send := range r.Sends {
			known = known && send.Outcome != callctx.Unknown
		}
		assert.True(b.c.t, known, "call %s on %s: %s/%s, sends %+v", r.ID, r.Stream, r.Outcome, r.Reason, r.Sends)
	}
}

// drainPropagationLimit is how long a backend server may receive new calls after it has announced its drain
// (docs/guarantees.md, G7).
const drainPropagationLimit = 3 * time.Second

// Guards against new calls to a draining backend server, also when gossip of the drain cannot reach the other data
// centres, and against calls that the drain aborts (docs/guarantees.md, G7, G8).
func TestBackendServerDrain(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), func(o *fleet.Options) {
		o.BackendArgs = func(string) []string { return []string{"--drain-hold-ms", "8000"} }
	})
	c.publishLongTimeouts()
	c.waitSettled()
	b := c.startLoad(clientRate, 0)
	// Leaves only seeb with backend servers of the service, so that the other data centres send their calls there.
	var group sync.WaitGroup
	for _, id := range []string{"nizwa-records-2", "sohar-records-3", "nizwa-records-5"} {
		group.Go(func() { c.drainAndVerify(b, c.node(id)) })
	}
	group.Wait()
	c.eachControlProxy("seeb", c.drop)
	c.drainAndVerify(b, c.node("seeb-records-1"))
	c.eachControlProxy("seeb", c.restore)
	b.stopAndVerifyNoUnknown()
}

// drainAndVerify stops a backend server under load and checks that it receives no new calls after
// drainPropagationLimit. Its process stays up for some seconds, so that a new call would be executed and counted.
func (c *cluster) drainAndVerify(b *backgroundLoad, n *fleet.Node) {
	c.t.Helper()
	b.waitForCalls(200)
	stopped := make(chan error, 1)
	go func() { stopped <- n.StopBackend() }()
	c.eventually("the node reports the drain", func() bool {
		_, state := c.statusOf(n, n)
		return state == "draining"
	})
	limit := time.Now().Add(drainPropagationLimit)
	require.NoError(c.t, <-stopped)
	b.waitForCalls(100)
	list, err := c.ExecutionList()
	require.NoError(c.t, err)
	beforeLimit, afterLimit, otherNodes := 0, 0, 0
	for _, e := range list {
		switch {
		case e.Node != n && e.At.After(limit):
			otherNodes++
		case e.Node == n && e.At.After(limit):
			afterLimit++
		case e.Node == n:
			beforeLimit++
		}
	}
	assert.Positive(c.t, beforeLimit, "executions at the backend server before the limit")
	assert.Positive(c.t, otherNodes, "executions at other backend servers after the limit")
	assert.Zero(c.t, afterLimit, "executions at %s later than %s after it announced its drain", n.ID, drainPropagationLimit)
}

// Guards against a stopping node that closes its connections right after its last call, while callers may already send
// the next call on them (docs/guarantees.md, G8).
func TestStopLingersAfterLastCall(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishLongTimeouts()
	c.waitSettled()
	const delay = 2 * time.Second
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: int(delay.Milliseconds())})
	n := c.node("seeb-records-1")
	statuses := make(chan int, 1)
	go func() {
		status := 0
		if response, err := http.Get(n.CallURL + "/v1/tanks/1"); err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
		statuses <- status
	}()
	c.eventually("a backend server processes the call", func() bool { return !c.noCallsRunning() })
	require.NoError(t, n.Stop())
	require.Equal(t, http.StatusOK, <-statuses)
	drained, stopped := c.lastLogTime(n, "node_drained"), c.lastLogTime(n, "node_stopped")
	require.GreaterOrEqual(t, stopped.Sub(drained), callctx.DrainLinger)
}

// lastLogTime returns the time of the latest log line of a node with the event.
func (c *cluster) lastLogTime(n *fleet.Node, event string) time.Time {
	c.t.Helper()
	data, err := os.ReadFile(filepath.Join(c.Options.WorkDir, n.ID+".node.log"))
	require.NoError(c.t, err)
	var last time.Time
	for _, line := range strings.Split(string(data), "\n") {
		_, text, found := strings.Cut(line, "time=")
		if !found || !strings.Contains(line, "event="+event+" ") {
			continue
		}
		text, _, _ = strings.Cut(text, " ")
		last, err = time.Parse(time.RFC3339Nano, strings.Trim(text, `"`))
		require.NoError(c.t, err)
	}
	require.False(c.t, last.IsZero(), "%s did not log %s", n.ID, event)
	return last
}

const slowTemplate = `{"parameters":[],"body":{"routes":[{"name":"slow","methods":["POST"],"path_prefix":"/slow/","service":"dispatch","rank":"order","timeout_ms":600000,"idempotent":true}]}}`

// Guards against a slot that stays occupied, and a backend server that keeps working, after the client of a call through
// two nodes has disconnected.
func TestClientDisconnectCancelsCall(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	c.mustPublish(c.Nodes[0], config.Publish, config.Entity{Kind: config.KindTemplate, Name: "slow"}, []byte(slowTemplate))
	version := c.mustPublish(c.Nodes[0], config.Publish, config.ParametersEntity("test", "slow"), []byte(`{"values":{}}`))
	require.NoError(t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
	c.waitSettled()
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: 600_000}) // far beyond settleTimeout
	ctx, disconnect := context.WithCancel(c.ctx)
	result := make(chan error, 1)
	go func() {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, c.node("seeb-records-1").CallURL+"/slow/", nil)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
		result <- err
	}()
	var busy *fleet.Node
	c.eventually("a backend server processes the call", func() bool {
		for _, n := range c.Nodes {
			if stats, err := n.BackendStats(); err == nil && stats.Busy == 1 {
				busy = n
			}
		}
		return busy != nil
	})
	disconnect()
	require.ErrorIs(t, <-result, context.Canceled)
	c.eventually("the backend server sees the call cancelled", func() bool {
		stats, err := busy.BackendStats()
		return err == nil && stats.Busy == 0 && stats.Cancelled == 1
	})
	c.eventually("the slot is free", func() bool {
		values, err := busy.Metrics()
		return err == nil && values["laburnum_inbound_in_flight"] == 0
	})
}
