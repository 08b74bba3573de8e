// Package failures holds the tests of failures: whole fleets of real processes, with a fault-injecting proxy between
// data centres and in front of the log service.
package failures

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/canary"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

const (
	// settleLimit is how long a test waits for a state that must come. It bounds a hanging test and measures nothing: a
	// slow machine only takes longer.
	settleLimit = 90 * time.Second
	callTimeout = 5 * time.Second
)

var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnum-failures-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, output)
		return 1
	}
	binDir = dir
	return m.Run()
}

// cluster is a fleet whose data centres are connected through fault-injecting proxies.
type cluster struct {
	*fleet.Fleet
	t       *testing.T
	ctx     context.Context
	server  *toxiproxy.ApiServer
	proxies map[link][]*toxiproxy.Proxy
	logs    map[string]*toxiproxy.Proxy // by data centre
	probers []*canary.Prober

	generation int // highest generation that may be in force
}

// link is a direction between two data centres.
type link struct {
	from, to string
}

// startCluster starts a deployment and waits until its nodes are ready. Without keepWork the work folder is removed
// when the test passes.
func startCluster(t *testing.T, d fleet.Deployment, change func(*fleet.Options)) *cluster {
	t.Helper()
	c := &cluster{
		t: t, ctx: t.Context(), server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: make(map[link][]*toxiproxy.Proxy), logs: make(map[string]*toxiproxy.Proxy),
	}
	options := fleet.Options{
		Deployment: d, BinDir: binDir, WorkDir: t.TempDir(),
		DialOverrides: c.connectDataCentres, LogURLFor: c.connectLog,
	}
	if change != nil {
		change(&options)
	}
	started, err := fleet.Start(c.ctx, options)
	require.NoError(t, err)
	c.Fleet = started
	t.Cleanup(c.stop)
	require.NoError(t, c.WaitReady(c.ctx, settleLimit))
	return c
}

func (c *cluster) stop() {
	c.Kill()
	if c.t.Failed() {
		c.keepLogs()
	}
	for _, proxies := range c.proxies {
		for _, proxy := range proxies {
			proxy.Stop()
		}
	}
	for _, proxy := range c.logs {
		proxy.Stop()
	}
}

// keepLogs copies the work folder of a failed test, which the test framework removes.
func (c *cluster) keepLogs() {
	kept, err := os.MkdirTemp("", "laburnum-failed-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(c.Options.WorkDir))
	}
	c.t.Logf("the logs of the processes are kept in %s (error: %v)", kept, err)
}

func (c *cluster) newProxy(name, upstream string) *toxiproxy.Proxy {
	proxy := toxiproxy.NewProxy(c.server, name, "127.0.0.1:0", upstream)
	require.NoError(c.t, proxy.Start())
	return proxy
}

// connectDataCentres puts a proxy in front of every address of another data centre.
func (c *cluster) connectDataCentres(dataCentre string, nodes []fleet.Address) map[string]string {
	overrides := make(map[string]string)
	for _, address := range nodes {
		if address.DataCentre == dataCentre {
			continue
		}
		direction := link{from: dataCentre, to: address.DataCentre}
		proxy := c.newProxy(dataCentre+">"+address.HostPort, address.HostPort)
		c.proxies[direction] = append(c.proxies[direction], proxy)
		overrides[address.HostPort] = proxy.Listen
	}
	return overrides
}

func (c *cluster) connectLog(dataCentre, logURL string) string {
	if c.logs[dataCentre] == nil {
		c.logs[dataCentre] = c.newProxy(dataCentre+">log", strings.TrimPrefix(logURL, "http://"))
	}
	return "http://" + c.logs[dataCentre].Listen
}

// A partition drops everything in both directions and keeps the connections open, as a broken network does.
const (
	dropDown = `{"name":"drop_down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`
	dropUp   = `{"name":"drop_up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`
)

func (c *cluster) drop(proxy *toxiproxy.Proxy) {
	for _, toxic := range []string{dropDown, dropUp} {
		_, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
		require.NoError(c.t, err)
	}
}

func (c *cluster) restore(proxy *toxiproxy.Proxy) {
	proxy.Toxics.ResetToxics(c.ctx)
}

// cutDataCentres separates two data centres in both directions.
func (c *cluster) cutDataCentres(a, b string) {
	c.eachProxy(a, b, c.drop)
}

// healDataCentres ends a cut.
func (c *cluster) healDataCentres(a, b string) {
	c.eachProxy(a, b, c.restore)
}

func (c *cluster) eachProxy(a, b string, action func(*toxiproxy.Proxy)) {
	var group sync.WaitGroup
	for _, direction := range []link{{a, b}, {b, a}} {
		for _, proxy := range c.proxies[direction] {
			group.Go(func() { action(proxy) })
		}
	}
	group.Wait()
}

// isolate cuts a data centre from all others and from the log service.
func (c *cluster) isolate(dataCentre string) {
	for _, other := range c.Options.Deployment.DataCentres {
		if other != dataCentre {
			c.cutDataCentres(dataCentre, other)
		}
	}
	c.drop(c.logs[dataCentre])
}

// rejoin ends an isolation.
func (c *cluster) rejoin(dataCentre string) {
	for _, other := range c.Options.Deployment.DataCentres {
		if other != dataCentre {
			c.healDataCentres(dataCentre, other)
		}
	}
	c.restore(c.logs[dataCentre])
}

// setLog changes the behaviour of the log service.
func (c *cluster) setLog(mode logservice.Mode, delay time.Duration) {
	body, err := json.Marshal(logservice.Control{Mode: mode, DelayMS: int(delay.Milliseconds())})
	require.NoError(c.t, err)
	response, err := http.Post(c.LogURL+"/control", "application/json", bytes.NewReader(body))
	require.NoError(c.t, err)
	response.Body.Close()
	require.Less(c.t, response.StatusCode, 300)
}

// node returns a node by id.
func (c *cluster) node(id string) *fleet.Node {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n
		}
	}
	require.FailNow(c.t, "no node "+id)
	return nil
}

// inDataCentre returns the nodes of a data centre.
func (c *cluster) inDataCentre(dataCentre string) []*fleet.Node {
	return c.nodesWhere(func(n *fleet.Node) bool { return n.DataCentre == dataCentre })
}

// outside returns the nodes of the other data centres.
func (c *cluster) outside(dataCentre string) []*fleet.Node {
	return c.nodesWhere(func(n *fleet.Node) bool { return n.DataCentre != dataCentre })
}

func (c *cluster) nodesWhere(wanted func(*fleet.Node) bool) []*fleet.Node {
	var nodes []*fleet.Node
	for _, n := range c.Nodes {
		if wanted(n) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// publishExamples publishes the deployment's templates and parameters and waits until every node runs them.
func (c *cluster) publishExamples() {
	c.t.Helper()
	files, err := fleet.ExampleFiles(c.Options.Deployment.Name)
	require.NoError(c.t, err)
	var version int64
	for _, file := range files {
		version = c.change(c.Nodes[0], config.Publish, file.Entity, file.Payload)
	}
	require.NoError(c.t, c.WaitVersion(c.ctx, settleLimit, version, c.Nodes))
}

// change publishes or amends an entity through a node and returns the version. It fails the test unless the record is
// accepted.
func (c *cluster) change(through *fleet.Node, verb config.Verb, entity config.Entity, payload []byte) int64 {
	c.t.Helper()
	result, err := c.tryChange(through, verb, entity, payload)
	require.NoError(c.t, err)
	require.Equal(c.t, config.Accepted, result.Outcome, "%v", result.Errors)
	return result.Offset
}

// tryChange sends a record based on the revision that the node has.
func (c *cluster) tryChange(through *fleet.Node, verb config.Verb, entity config.Entity, payload []byte) (config.Result, error) {
	return c.changeFrom(through, verb, entity, c.revision(through, entity), payload)
}

// revision returns the revision of an entity on a node, 0 if it has none.
func (c *cluster) revision(n *fleet.Node, entity config.Entity) int64 {
	answer, err := n.Client().Entity(c.ctx, entity)
	if err != nil {
		return 0
	}
	return answer.Revisions[len(answer.Revisions)-1].Revision
}

// changeFrom sends a record based on a revision.
func (c *cluster) changeFrom(through *fleet.Node, verb config.Verb, entity config.Entity, base int64, payload []byte) (config.Result, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return config.Result{}, err
	}
	record := &config.Record{ID: id.String(), Verb: verb, Entity: entity, Base: base, Payload: payload, Author: "test"}
	return through.Client().Publish(c.ctx, record)
}

var canaryParameters = canary.ParametersEntity("test")

// publishCanary publishes generation 1 of the canary route.
func (c *cluster) publishCanary() int64 {
	c.t.Helper()
	c.announceGeneration(1)
	c.change(c.Nodes[0], config.Publish, canary.TemplateEntity(), []byte(canary.Template))
	return c.change(c.Nodes[0], config.Publish, canaryParameters, c.canary(1))
}

// canary returns the parameters of a generation.
func (c *cluster) canary(generation int) []byte {
	snapshot, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(c.t, err)
	services := c.Options.Deployment.Services
	return canary.Parameters(snapshot, services[len(services)-1].Name, generation)
}

// announceGeneration tells the probers which generations may be in force from now on.
func (c *cluster) announceGeneration(generation int) {
	c.generation = max(c.generation, generation)
	for _, p := range c.probers {
		p.Accepted(generation, time.Now())
	}
}

// watch probes nodes until the test ends and fails it if one went back to an older version or had a dangling route.
func (c *cluster) watch(nodes []*fleet.Node) *canary.Prober {
	prober := canary.NewProber(nodes)
	c.probers = append(c.probers, prober)
	prober.Accepted(c.generation, time.Now())
	ctx, stop := context.WithCancel(c.ctx)
	done := make(chan struct{})
	go func() { prober.Run(ctx); close(done) }()
	c.t.Cleanup(func() {
		stop()
		<-done
		older, dangling := prober.Violations()
		require.Zero(c.t, older, "older versions")
		require.Zero(c.t, dangling, "dangling routes")
	})
	return prober
}

// serves reports whether a node has the canary route of a generation, as a caller sees it.
func (c *cluster) serves(n *fleet.Node, generation int) bool {
	return canary.NewProber(nil).Probe(c.ctx, n, generation) == canary.Served
}

// eventually waits until the condition holds.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(settleLimit)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(c.t, "timeout", "%s did not come true within %s", what, settleLimit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
