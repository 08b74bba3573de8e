// Package failures holds failure tests. They run complete fleets of real processes, with fault-injecting proxies between
// the data centres and in front of the log service.
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
	// settleTimeout is the longest wait for an expected state. It only ends a hanging test and is not a performance bound.
	settleTimeout = 90 * time.Second
	callTimeout   = 5 * time.Second
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
	t          *testing.T
	ctx        context.Context
	server     *toxiproxy.ApiServer
	proxies    map[link][]*toxiproxy.Proxy
	logProxies map[string]*toxiproxy.Proxy // by data centre name
	probers    []*canary.Prober

	generation int // highest canary generation that a node may serve
}

// link is one direction of the network path between two data centres.
type link struct {
	from, to string
}

// startCluster starts a deployment and waits until its nodes are ready. A non-nil configure adjusts the options first.
// The work directory is removed at the end of the test; the logs of a failed test are copied first.
func startCluster(t *testing.T, d fleet.Deployment, configure func(*fleet.Options)) *cluster {
	t.Helper()
	c := &cluster{
		t: t, ctx: t.Context(), server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: make(map[link][]*toxiproxy.Proxy), logProxies: make(map[string]*toxiproxy.Proxy),
	}
	options := fleet.Options{
		Deployment: d, BinDir: binDir, WorkDir: t.TempDir(),
		DialOverrides: c.proxyDataCentres, LogURLFor: c.proxyLog,
	}
	if configure != nil {
		configure(&options)
	}
	started, err := fleet.Start(c.ctx, options)
	require.NoError(t, err)
	c.Fleet = started
	t.Cleanup(c.stop)
	require.NoError(t, c.WaitReady(c.ctx, settleTimeout))
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
	for _, proxy := range c.logProxies {
		proxy.Stop()
	}
}

// keepLogs copies the work directory of a failed test before the test framework removes it.
func (c *cluster) keepLogs() {
	savedDir, err := os.MkdirTemp("", "laburnum-failed-")
	if err == nil {
		err = os.CopyFS(savedDir, os.DirFS(c.Options.WorkDir))
	}
	c.t.Logf("process logs copied to %s (error: %v)", savedDir, err)
}

func (c *cluster) newProxy(name, upstream string) *toxiproxy.Proxy {
	proxy := toxiproxy.NewProxy(c.server, name, "127.0.0.1:0", upstream)
	require.NoError(c.t, proxy.Start())
	return proxy
}

// proxyDataCentres starts a proxy for every address in another data centre and returns the dial overrides of dataCentre.
func (c *cluster) proxyDataCentres(dataCentre string, nodes []fleet.Address) map[string]string {
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

func (c *cluster) proxyLog(dataCentre, logURL string) string {
	if c.logProxies[dataCentre] == nil {
		c.logProxies[dataCentre] = c.newProxy(dataCentre+">log", strings.TrimPrefix(logURL, "http://"))
	}
	return "http://" + c.logProxies[dataCentre].Listen
}

// Toxics of a network partition: both directions drop all data, and connections stay open.
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

// partitionDataCentres drops all traffic between two data centres.
func (c *cluster) partitionDataCentres(a, b string) {
	c.eachProxy(a, b, c.drop)
}

// healDataCentres ends the partition between two data centres.
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

// isolate partitions a data centre from all others and from the log service.
func (c *cluster) isolate(dataCentre string) {
	for _, other := range c.Options.Deployment.DataCentres {
		if other != dataCentre {
			c.partitionDataCentres(dataCentre, other)
		}
	}
	c.drop(c.logProxies[dataCentre])
}

// rejoin reverts isolate.
func (c *cluster) rejoin(dataCentre string) {
	for _, other := range c.Options.Deployment.DataCentres {
		if other != dataCentre {
			c.healDataCentres(dataCentre, other)
		}
	}
	c.restore(c.logProxies[dataCentre])
}

// setLogMode sets the mode of the log service; delay applies to logservice.Slow.
func (c *cluster) setLogMode(mode logservice.Mode, delay time.Duration) {
	body, err := json.Marshal(logservice.Control{Mode: mode, DelayMS: int(delay.Milliseconds())})
	require.NoError(c.t, err)
	response, err := http.Post(c.LogURL+"/control", "application/json", bytes.NewReader(body))
	require.NoError(c.t, err)
	response.Body.Close()
	require.Less(c.t, response.StatusCode, 300)
}

// node returns the node with the id.
func (c *cluster) node(id string) *fleet.Node {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n
		}
	}
	require.FailNow(c.t, "no node "+id)
	return nil
}

// nodesIn returns the nodes of a data centre.
func (c *cluster) nodesIn(dataCentre string) []*fleet.Node {
	return c.nodesWhere(func(n *fleet.Node) bool { return n.DataCentre == dataCentre })
}

// nodesOutside returns the nodes of the other data centres.
func (c *cluster) nodesOutside(dataCentre string) []*fleet.Node {
	return c.nodesWhere(func(n *fleet.Node) bool { return n.DataCentre != dataCentre })
}

func (c *cluster) nodesWhere(match func(*fleet.Node) bool) []*fleet.Node {
	var nodes []*fleet.Node
	for _, n := range c.Nodes {
		if match(n) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// publishExamples publishes the deployment's templates and parameters and waits until every node has their version.
func (c *cluster) publishExamples() {
	c.t.Helper()
	files, err := fleet.ExampleFiles(c.Options.Deployment.Name)
	require.NoError(c.t, err)
	var version int64
	for _, file := range files {
		version = c.mustPublish(c.Nodes[0], config.Publish, file.Entity, file.Payload)
	}
	require.NoError(c.t, c.WaitVersion(c.ctx, settleTimeout, version, c.Nodes))
}

// mustPublish publishes a record through a node and returns its version. It fails the test unless the record is accepted.
func (c *cluster) mustPublish(through *fleet.Node, verb config.Verb, entity config.Entity, payload []byte) int64 {
	c.t.Helper()
	result, err := c.publish(through, verb, entity, payload)
	require.NoError(c.t, err)
	require.Equal(c.t, config.Accepted, result.Outcome, "%v", result.Errors)
	return result.Offset
}

// publish publishes a record whose base is the entity's current revision on the node.
func (c *cluster) publish(through *fleet.Node, verb config.Verb, entity config.Entity, payload []byte) (config.Result, error) {
	return c.publishWithBase(through, verb, entity, c.revision(through, entity), payload)
}

// revision returns the latest revision of an entity on a node, 0 if there is none.
func (c *cluster) revision(n *fleet.Node, entity config.Entity) int64 {
	response, err := n.Client().Entity(c.ctx, entity)
	if err != nil {
		return 0
	}
	return response.Revisions[len(response.Revisions)-1].Revision
}

// publishWithBase publishes a record with the given base revision.
func (c *cluster) publishWithBase(through *fleet.Node, verb config.Verb, entity config.Entity, base int64, payload []byte) (config.Result, error) {
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
	c.allowGeneration(1)
	c.mustPublish(c.Nodes[0], config.Publish, canary.TemplateEntity(), []byte(canary.Template))
	return c.mustPublish(c.Nodes[0], config.Publish, canaryParameters, c.canaryPayload(1))
}

// canaryPayload returns the parameters of a generation of the canary route.
func (c *cluster) canaryPayload(generation int) []byte {
	snapshot, err := c.Nodes[0].Client().Snapshot(c.ctx)
	require.NoError(c.t, err)
	services := c.Options.Deployment.Services
	return canary.Parameters(snapshot, services[len(services)-1].Name, generation)
}

// allowGeneration raises the highest generation that probers accept from now on.
func (c *cluster) allowGeneration(generation int) {
	c.generation = max(c.generation, generation)
	for _, p := range c.probers {
		p.Accepted(generation, time.Now())
	}
}

// startProber probes nodes until the test ends, and fails the test if a node served an older version than before or a
// dangling route.
func (c *cluster) startProber(nodes []*fleet.Node) *canary.Prober {
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

// servesGeneration reports whether a call to the canary route of a generation succeeds through a node.
func (c *cluster) servesGeneration(n *fleet.Node, generation int) bool {
	return canary.NewProber(nil).Probe(c.ctx, n, generation) == canary.Served
}

// eventually polls until the condition holds, and fails the test after settleTimeout.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(c.t, "timeout", "%s: condition not met within %s", description, settleTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
