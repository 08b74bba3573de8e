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
// that ran, under every failure of design section 10 that calls can meet (G4, G5, G6).
func TestCallsUnderFailureMix(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	c.settled()
	calls, factor := mixCalls()
	b := c.startLoad(clientRate*factor, plainRate*factor)
	b.startResends()
	for round := 0; round == 0 || int(b.ended.Load()) < calls; round++ {
		for i, fail := range callFailures {
			fail(c, b, c.Nodes[(round*len(callFailures)+5*i+3)%len(c.Nodes)])
			b.more(calls / 40)
		}
	}
	records := b.finish()
	resends, elsewhere := 0, 0
	for i := range records {
		for k, send := range records[i].Sends {
			if send.Attempt > 1 {
				resends++
			}
			if k > 0 && send.Attempt > 1 && send.Node != records[i].Sends[k-1].Node {
				elsewhere++
			}
		}
	}
	t.Logf("resends=%d through_another_node=%d", resends, elsewhere)
	assert.Positive(t, elsewhere, "the mix caused no resend through another node")
}

// callFailures each cause one failure around a node, wait until the fleet has noticed it, and end it.
var callFailures = []func(c *cluster, b *background, n *fleet.Node){
	nodeDies, backendServerDies, nodeFreezes, dataCentreCutOff, backendServersFault, logServiceDown,
}

// nodeDies kills a node while several calls pass through it in each of its roles.
func nodeDies(c *cluster, b *background, n *fleet.Node) {
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: 150})
	b.more(100)
	n.Kill()
	c.setAllFaults(backend.Faults{})
	b.more(100)
	require.NoError(c.t, n.Restart())
	c.settled()
}

func backendServerDies(c *cluster, b *background, n *fleet.Node) {
	n.KillBackend()
	b.more(100)
	require.NoError(c.t, n.RestartBackend())
	c.settled()
}

func nodeFreezes(c *cluster, b *background, n *fleet.Node) {
	require.NoError(c.t, n.Freeze())
	defer func() { _ = n.Resume() }()
	other := c.outside(n.DataCentre)[0]
	c.eventually("the frozen node is suspected", func() bool {
		status, _ := c.statusOf(other, n)
		return status != "" && status != "alive"
	})
	require.NoError(c.t, n.Resume())
	c.settled()
}

func dataCentreCutOff(c *cluster, b *background, n *fleet.Node) {
	c.isolate(n.DataCentre)
	b.more(200)
	c.rejoin(n.DataCentre)
	c.settled()
}

func backendServersFault(c *cluster, b *background, _ *fleet.Node) {
	c.setAllFaults(backend.Faults{Truncate: 0.05, Close: 0.05, NoLength: 0.02, Delay: 0.1, DelayMS: 300})
	b.more(400)
	c.setAllFaults(backend.Faults{})
}

func logServiceDown(c *cluster, b *background, _ *fleet.Node) {
	c.setLog(logservice.Down, 0)
	b.more(200)
	c.setLog(logservice.Up, 0)
}

// startResends makes payments whose caller hangs up at a random moment and then sends the same id again through two
// other nodes at the same time.
func (b *background) startResends() {
	b.group.Go(func() {
		random := rand.New(rand.NewPCG(mixSeed, 0))
		sender := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: callctx.ConnectionIdleTimeout}}
		defer sender.CloseIdleConnections()
		for !b.stopped() {
			first := random.IntN(len(b.c.Nodes))
			patience := time.Duration(random.IntN(30)) * time.Millisecond
			b.add(b.c.resend(sender, first, patience))
		}
	})
}

func (c *cluster) resend(sender *http.Client, first int, patience time.Duration) load.Record {
	record := load.Record{Stream: "resend", ID: callctx.NewRequestID(), Outcome: callctx.Unknown}
	outcome, foreign := c.pay(sender, c.Nodes[first], record.ID, 1, patience)
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
		group.Go(func() { outcomes[i], foreigns[i] = c.pay(sender, through, record.ID, 2+i, callTimeout) })
	}
	group.Wait()
	// A "not-run" covers all attempts, so that it must be true whatever the others say.
	for i, outcome := range outcomes {
		record.Sends = append(record.Sends, client.Send{RequestID: record.ID, Attempt: 2 + i, Node: c.Nodes[(first+1+i)%len(c.Nodes)].ID, Outcome: outcome})
		record.Foreign = record.Foreign || foreigns[i]
		if outcome == callctx.NotRun || outcome == callctx.Answered && record.Outcome == callctx.Unknown {
			record.Outcome = outcome
		}
	}
	return record
}

// pay sends one attempt of a payment.
func (c *cluster) pay(sender *http.Client, through *fleet.Node, id string, attempt int, patience time.Duration) (outcome callctx.Outcome, foreign bool) {
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, through.CallURL+"/v1/payments/resend", strings.NewReader("amount"))
	require.NoError(c.t, err)
	request.GetBody = nil // net/http must not repeat it
	request.Header.Set(callctx.HeaderRequestID, id)
	request.Header.Set(callctx.HeaderAttempt, strconv.Itoa(attempt))
	response, err := sender.Do(request)
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

// Guards against planned stops that abort calls or leave their outcome open (G8).
func TestRollingStops(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishPatient()
	c.settled()
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: 150}) // several calls pass through each node when it is stopped
	b := c.startLoad(clientRate, 0)
	for _, n := range c.inDataCentre("seeb") { // one after the other
		c.stopAndRestart([]*fleet.Node{n}, func() {})
	}
	for _, dataCentre := range c.Options.Deployment.DataCentres { // all nodes
		c.stopAndRestart(c.inDataCentre(dataCentre), func() {})
	}
	c.eachControlProxy("seeb", c.drop)
	c.stopAndRestart(c.inDataCentre("seeb"), func() { c.eachControlProxy("seeb", c.restore) })
	b.finishWithoutLoss()
}

// stopAndRestart stops nodes gracefully at the same time and starts them again.
func (c *cluster) stopAndRestart(nodes []*fleet.Node, stopped func()) {
	c.t.Helper()
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() { assert.NoError(c.t, n.Stop(), n.ID) })
	}
	group.Wait()
	stopped()
	for _, n := range nodes {
		require.NoError(c.t, n.Restart())
	}
	c.settled()
}

// eachControlProxy acts on the path of gossip and look-ups between a data centre and all others. Calls have another path.
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

// finishWithoutLoss also requires that every request has a known outcome, so that a resend cannot hide an aborted call.
func (b *background) finishWithoutLoss() {
	b.c.t.Helper()
	for _, r := range b.finish() {
		known := r.Outcome == callctx.Answered || r.Outcome == callctx.NotRun
		for _, send := range r.Sends {
			known = known && send.Outcome != callctx.Unknown
		}
		assert.True(b.c.t, known, "call %s on %s: %s/%s, sends %+v", r.ID, r.Stream, r.Outcome, r.Reason, r.Sends)
	}
}

// noNewWork is how long after its announcement a leaving backend server may still receive new work (G7).
const noNewWork = 3 * time.Second

// Guards against new work for a backend server that is leaving, also when the other data centres cannot hear that it
// leaves, and against calls that its drain aborts (G7, G8).
func TestDrainOfBackendServer(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), func(o *fleet.Options) {
		o.BackendArgs = func(string) []string { return []string{"--drain-hold-ms", "8000"} }
	})
	c.publishPatient()
	c.settled()
	b := c.startLoad(clientRate, 0)
	// Then only seeb has backend servers of the service, so that the others send their calls there.
	var group sync.WaitGroup
	for _, id := range []string{"nizwa-records-2", "sohar-records-3", "nizwa-records-5"} {
		group.Go(func() { c.drain(b, c.node(id)) })
	}
	group.Wait()
	c.eachControlProxy("seeb", c.drop)
	c.drain(b, c.node("seeb-records-1"))
	c.eachControlProxy("seeb", c.restore)
	b.finishWithoutLoss()
}

// drain stops a backend server under load. Its process stays up for a while, so that new work would reach it.
func (c *cluster) drain(b *background, n *fleet.Node) {
	c.t.Helper()
	b.more(200)
	stopped := make(chan error, 1)
	go func() { stopped <- n.StopBackend() }()
	c.eventually("the node hears of the drain", func() bool {
		_, state := c.statusOf(n, n)
		return state == "draining"
	})
	limit := time.Now().Add(noNewWork)
	require.NoError(c.t, <-stopped)
	b.more(100)
	list, err := c.ExecutionList()
	require.NoError(c.t, err)
	before, late, elsewhere := 0, 0, 0
	for _, e := range list {
		switch {
		case e.Node != n && e.At.After(limit):
			elsewhere++
		case e.Node == n && e.At.After(limit):
			late++
		case e.Node == n:
			before++
		}
	}
	assert.Positive(c.t, before, "the backend server had work")
	assert.Positive(c.t, elsewhere, "the load went on")
	assert.Zero(c.t, late, "new work for %s later than %s after its announcement", n.ID, noNewWork)
}

// Guards against a stopping node that closes its connections right after its last call, when callers may already send the
// next one on them (G8).
func TestStopLingersAfterLastCall(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishPatient()
	c.settled()
	const delay = 2 * time.Second
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: int(delay.Milliseconds())})
	n := c.node("seeb-records-1")
	answered := make(chan int, 1)
	go func() {
		status := 0
		if response, err := http.Get(n.CallURL + "/v1/tanks/1"); err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
		answered <- status
	}()
	c.eventually("a backend server works on the call", func() bool { return !c.idle() })
	require.NoError(t, n.Stop())
	require.Equal(t, http.StatusOK, <-answered)
	drained, stopped := c.logged(n, "node_drained"), c.logged(n, "node_stopped")
	require.GreaterOrEqual(t, stopped.Sub(drained), callctx.DrainLinger)
}

// logged returns when a node last logged an event.
func (c *cluster) logged(n *fleet.Node, event string) time.Time {
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

// Guards against a slot that stays busy for a client that hung up, and against a backend server that goes on working for
// it, when the call goes through two nodes.
func TestClientHangsUp(t *testing.T) {
	c := startCluster(t, fleet.Falaj(), nil)
	c.publishExamples()
	c.change(c.Nodes[0], config.Publish, config.Entity{Kind: config.KindTemplate, Name: "slow"}, []byte(slowTemplate))
	version := c.change(c.Nodes[0], config.Publish, config.ParametersEntity("test", "slow"), []byte(`{"values":{}}`))
	require.NoError(t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
	c.settled()
	c.setAllFaults(backend.Faults{Delay: 1, DelayMS: 600_000}) // far beyond settleLimit
	ctx, hangUp := context.WithCancel(c.ctx)
	ended := make(chan error, 1)
	go func() {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, c.node("seeb-records-1").CallURL+"/slow/", nil)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
		ended <- err
	}()
	var busy *fleet.Node
	c.eventually("a backend server works on the call", func() bool {
		for _, n := range c.Nodes {
			if stats, err := n.BackendStats(); err == nil && stats.Busy == 1 {
				busy = n
			}
		}
		return busy != nil
	})
	hangUp()
	require.ErrorIs(t, <-ended, context.Canceled)
	c.eventually("the backend server hears that the client is gone", func() bool {
		stats, err := busy.BackendStats()
		return err == nil && stats.Busy == 0 && stats.Cancelled == 1
	})
	c.eventually("the slot is free", func() bool {
		values, err := busy.Metrics()
		return err == nil && values["laburnum_inbound_in_flight"] == 0
	})
}
