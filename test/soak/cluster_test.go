package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
	"github.com/laburnumcleat/laburnumcleat/standin/child"
)

const (
	host               = "soak.example"
	versionRoutePrefix = "epoch-" // followed by the version; only that version contains the route
	slowPath           = "/slow/"
	slowRouteWork      = 700 * time.Millisecond
	startTimeout       = 30 * time.Second // reached only if a seed fails
	routeTimeout       = 2 * time.Second
	readinessInterval  = 500 * time.Millisecond
	signalSetupTime    = time.Second // time until a process has installed its signal handlers
)

var (
	services     = []string{"alpha", "beta", "gamma"}
	dataCentres  = []string{"north", "east", "south"}
	clusterCount atomic.Int64 // gives each cluster its own loopback addresses
)

// cluster is a set of sidecar processes with stand-ins for callers, backend servers, network and store.
type cluster struct {
	t               *testing.T
	dir             string
	program         string
	store           *standin.Store
	checker         *checker
	nodes           []*node
	toxiproxyServer *toxiproxy.ApiServer
	links           map[link][]*toxiproxy.Proxy

	mu            sync.Mutex // guards document and replacedTimes
	document      *routing.Document
	replacedTimes map[uint64]time.Time // by version: when a newer one was published

	done     chan struct{} // closed to stop the callers
	callers  sync.WaitGroup
	watchers sync.WaitGroup
}

// link is one direction of the connection between two data centres.
type link struct{ from, to string }

// node is one sidecar process with its backend server.
type node struct {
	id          string
	dataCentre  string
	settings    *sidecar.Settings
	storeServer *standin.Server
	backend     *backend
	process     *child.Process

	knowsNoTeams bool // its build is one without teams

	lifecycle         sync.Mutex   // held while the process is stopped and started again
	starts            atomic.Int64 // number of starts
	stopRequested     atomic.Bool  // the process was asked to stop
	unresponsiveUntil atomic.Int64 // Unix ns; until then the process may be slow because it was frozen or started

	mu             sync.Mutex
	serviceName    string // of the backend server
	serviceChanged bool   // the service has changed at least once
}

func (n *node) service() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serviceName
}

func (n *node) changedService() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serviceChanged
}

// setService records the service of the backend server.
func (n *node) setService(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serviceChanged = n.serviceChanged || n.serviceName != service
	n.serviceName = service
}

func (n *node) mayBeUnresponsive() bool { return time.Now().UnixNano() < n.unresponsiveUntil.Load() }

// expectUnresponsive marks the node as possibly unresponsive for at least d from now. It never shortens an earlier mark.
func (n *node) expectUnresponsive(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	for {
		current := n.unresponsiveUntil.Load()
		if current >= until || n.unresponsiveUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// newCluster starts a cluster and waits until every node serves every route.
func newCluster(t *testing.T, program string, size int) *cluster {
	return newAdjustedCluster(t, program, size, func(*sidecar.Settings) {})
}

// newAdjustedCluster starts a cluster whose nodes have adjusted settings, data centre included.
func newAdjustedCluster(t *testing.T, program string, size int, adjust func(*sidecar.Settings)) *cluster {
	cl := &cluster{
		t: t, program: program, store: standin.NewStore(), checker: newChecker(),
		toxiproxyServer: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), links: make(map[link][]*toxiproxy.Proxy),
		replacedTimes: make(map[uint64]time.Time), done: make(chan struct{}),
	}
	var err error
	cl.dir, err = os.MkdirTemp("", "laburnum-soak-")
	require.NoError(t, err)
	t.Cleanup(cl.stop)
	network := 100 + (int64(os.Getpid())+clusterCount.Add(1))%100
	for i := range size {
		n := cl.newNode(i, fmt.Sprintf("127.%d.%d.%d", network, i/250, i%250+1))
		adjust(n.settings)
		n.dataCentre = n.settings.DataCentre
		cl.nodes = append(cl.nodes, n)
	}
	cl.connect()
	cl.publish(func(*routing.Document) {})
	for _, n := range cl.nodes {
		require.NoError(t, n.backend.start(n.service()))
		require.NoError(t, cl.start(n))
	}
	require.Empty(t, cl.unservedRoutes(startTimeout), "routes not served after the start; logs in %s", cl.dir)
	cl.watchers.Go(func() { cl.checker.watchStalls(cl.done) })
	return cl
}

func (cl *cluster) newNode(i int, ip string) *node {
	n := &node{
		id: fmt.Sprintf("n%d", i), dataCentre: dataCentres[i/len(services)%len(dataCentres)], serviceName: services[i%len(services)],
		storeServer: cl.store.Serve(),
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n.settings = &sidecar.Settings{
		ID: n.id, Region: "soak", DataCentre: n.dataCentre, LogLevel: "info",
		Listen: sidecar.Listen{
			Callers: address(7001), Nodes: address(7002), Control: address(7003), Announcements: address(7004), Readiness: address(7005), Metrics: address(7006),
		},
		Backend: sidecar.Backend{Service: n.serviceName, Address: address(8080), AnnouncementInterval: sidecar.Duration(heartbeatInterval)},
		Store:   sidecar.Store{Address: n.storeServer.Address},
		Bounds: sidecar.Bounds{
			GracePeriod: sidecar.Duration(gracePeriod), Drain: sidecar.Duration(drainBound), ConfigApply: sidecar.Duration(configApply),
			RetryRatio: budgetRatio, RetrySlack: budgetSlack, RetryWindow: sidecar.Duration(budgetWindow), ReadinessInterval: sidecar.Duration(readinessInterval),
			ExposureShare: exposureShare, ExposureSlack: exposureSlack,
		},
		DialOverrides: make(map[string]string),
	}
	n.backend = newBackend(cl.checker, n, n.settings.Backend.Address)
	program := cl.program
	if *before != "" && i%2 == 1 {
		program, n.knowsNoTeams = *before, true
	}
	n.process = child.New(filepath.Join(cl.dir, n.id+".log"), program, "--settings", cl.settingsFile(n))
	return n
}

func (cl *cluster) settingsFile(n *node) string { return filepath.Join(cl.dir, n.id+".json") }

// connect creates a proxy to each address of each node for each of the other data centres.
func (cl *cluster) connect() {
	for _, n := range cl.nodes {
		for _, address := range []string{n.settings.Listen.Nodes, n.settings.Listen.Control} {
			for _, dc := range dataCentres {
				if dc == n.dataCentre {
					continue
				}
				proxy := toxiproxy.NewProxy(cl.toxiproxyServer, dc+">"+address, "127.0.0.1:0", address)
				require.NoError(cl.t, proxy.Start())
				cl.links[link{dc, n.dataCentre}] = append(cl.links[link{dc, n.dataCentre}], proxy)
				for _, from := range cl.nodes {
					if from.dataCentre == dc {
						from.settings.DialOverrides[address] = proxy.Listen
					}
				}
			}
		}
	}
}

// forEachProxy calls f concurrently for each proxy of a link and waits for all calls.
func (cl *cluster) forEachProxy(l link, f func(*toxiproxy.Proxy)) {
	var group sync.WaitGroup
	for _, proxy := range cl.links[l] {
		group.Go(func() { f(proxy) })
	}
	group.Wait()
}

// publish applies a change to the current configuration and publishes the result as the next version.
func (cl *cluster) publish(change func(*routing.Document)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	d := baseDocument()
	if cl.document != nil {
		copied := *cl.document
		d = &copied
		d.Routes = append([]routing.Route(nil), cl.document.Routes...)
		cl.replacedTimes[cl.document.Version] = time.Now()
	}
	d.Version++
	for i := range d.Routes {
		if strings.HasPrefix(d.Routes[i].Name, versionRoutePrefix) {
			d.Routes[i] = versionRoute(d.Version)
		}
	}
	d.Teams = nil
	for _, name := range teams {
		d.Teams = append(d.Teams, routing.Team{Name: name})
	}
	change(d)
	cl.checker.recordConfiguration(d)
	cl.document = d
	require.NoError(cl.t, cl.store.PublishWithKeys(d, keysOf(d.Version)))
}

// version returns the newest published version.
func (cl *cluster) version() uint64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.document.Version
}

// replacedAt returns the time at which a version was replaced by a newer one, or the zero time.
func (cl *cluster) replacedAt(version uint64) time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.replacedTimes[version]
}

func route(name string, idempotent bool, destinations ...routing.Destination) routing.Route {
	return routing.Route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Idempotent: idempotent, TargetMS: 500, TimeoutMS: routeTimeout.Milliseconds(),
		MaxAttempts: 3, Destinations: destinations,
	}
}

// versionRoute returns a route that only the given version contains, to probe which version a node uses.
func versionRoute(version uint64) routing.Route {
	r := route(fmt.Sprintf("%s%d", versionRoutePrefix, version), true, routing.Destination{Service: "gamma", Weight: 1})
	r.PathPrefix = fmt.Sprintf("/epoch/%d/", version)
	return r
}

func baseDocument() *routing.Document {
	d := &routing.Document{Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for _, s := range services {
		d.Services = append(d.Services, routing.Service{Name: s, HealthPath: healthPath, MaxConnections: 200})
	}
	to := func(service string, weight int) routing.Destination {
		return routing.Destination{Service: service, Weight: weight}
	}
	d.Routes = []routing.Route{
		route("read", true, to("alpha", 1)), route("pay", false, to("beta", 1)), route("split", true, to("alpha", 70), to("gamma", 30)),
		route("slow", true, to("gamma", 1)), versionRoute(1),
	}
	return d
}

// teams are the teams of all configurations.
var teams = []string{"red", "green", "blue"}

// versionKeyTeam is the team that has another key in each version.
const versionKeyTeam = "green"

// versionKey returns a key that only the given version has.
func versionKey(version uint64) string { return fmt.Sprint("key-of-version-", version) }

func permanentKey(team string) string { return "key-of-" + team }

// keysOf returns the keys of each team in a version.
func keysOf(version uint64) map[string][]string {
	keys := make(map[string][]string, len(teams))
	for _, name := range teams {
		keys[name] = []string{permanentKey(name)}
	}
	keys[versionKeyTeam] = append(keys[versionKeyTeam], versionKey(version))
	return keys
}

// permanentRoutes are the routes that every configuration contains.
var permanentRoutes = []string{"read", "pay", "split", "slow"}

// start writes the settings and starts the process. Except in newCluster, the caller must hold n.lifecycle.
func (cl *cluster) start(n *node, env ...string) error {
	if err := cl.writeSettings(n); err != nil {
		return err
	}
	n.process.SetEnv(env...)
	n.expectUnresponsive(settleTime)
	n.starts.Add(1)
	n.stopRequested.Store(false)
	if err := n.process.Start(); err != nil {
		return err
	}
	done, start := n.process.Done(), n.starts.Load()
	cl.watchers.Go(func() {
		<-done
		if !n.stopRequested.Load() && n.starts.Load() == start {
			cl.checker.addViolation(guaranteeProcessLifetime, "%s ended without being asked to stop, see %s", n.id, n.process.Output())
		}
	})
	return nil
}

func (cl *cluster) writeSettings(n *node) error {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(cl.settingsFile(n), data, 0o600)
}

// restart ends a process with a signal and starts it again after a pause. env may set a stepping clock.
func (cl *cluster) restart(n *node, signal syscall.Signal, pause time.Duration, env ...string) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	n.stopRequested.Store(true)
	wasUnresponsive := n.mayBeUnresponsive()
	// Until the process has installed its handlers, SIGTERM ends it immediately; it has no requests to finish then.
	starting := time.Since(n.process.Started()) < signalSetupTime
	if err := n.process.Signal(signal); err != nil {
		cl.checker.addViolation(guaranteeProcessLifetime, "%s ended before it was asked to stop: %v", n.id, err)
	}
	if n.process.Wait(gracePeriod) != nil {
		select {
		case <-n.process.Done():
			if signal == syscall.SIGTERM && !starting {
				cl.checker.addViolation(guaranteeProcessLifetime, "%s failed on a planned stop, see %s", n.id, n.process.Output())
			}
		default:
			if signal == syscall.SIGTERM && !wasUnresponsive && !n.mayBeUnresponsive() {
				cl.checker.addViolation(guaranteeProcessLifetime, "%s still runs %s after it was asked to stop", n.id, gracePeriod)
			}
			n.process.Kill()
		}
	}
	time.Sleep(pause)
	if err := cl.start(n, env...); err != nil {
		cl.checker.addViolation(guaranteeProcessLifetime, "%s does not start: %v", n.id, err)
	}
}

// endFaults ends all faults and makes sure that all processes and backend servers run.
func (cl *cluster) endFaults() {
	for l := range cl.links {
		cl.forEachProxy(l, func(p *toxiproxy.Proxy) { p.Toxics.ResetToxics(context.Background()) })
	}
	for _, n := range cl.nodes {
		n.storeServer.SetFault(standin.Fault{})
		n.backend.misbehave(correct)
		n.lifecycle.Lock()
		// SIGCONT has no effect on a running process; an error means that the process has ended.
		_ = n.process.Signal(syscall.SIGCONT)
		n.lifecycle.Unlock()
		cl.startBackend(n, n.service())
	}
}

// unservedRoutes returns the node and name of each permanent route that is not served within the given time.
func (cl *cluster) unservedRoutes(within time.Duration) []string {
	deadline := time.Now().Add(within)
	var mu sync.Mutex
	var missing []string
	var group sync.WaitGroup
	for _, n := range cl.nodes {
		for _, name := range permanentRoutes {
			group.Go(func() {
				c := &caller{cluster: cl, node: n, name: n.id + "-" + name + "-check"}
				defer c.closeConn()
				for !c.requestSucceeds(name) {
					if time.Now().After(deadline) {
						mu.Lock()
						defer mu.Unlock()
						missing = append(missing, n.id+" "+name)
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return missing
}

// routedServices returns the services that the newest configuration has a route to.
func (cl *cluster) routedServices() map[string]bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	routed := make(map[string]bool)
	for _, r := range cl.document.Routes {
		for _, d := range r.Destinations {
			routed[d.Service] = true
		}
	}
	return routed
}

// unusedBackends returns the instances of services with a route that have executed no request since a time, within a duration after it.
func (cl *cluster) unusedBackends(since time.Time, within time.Duration) []string {
	routed := cl.routedServices()
	for {
		var unused []string
		for _, n := range cl.nodes {
			if id := n.backend.unusedSince(since); id != "" && routed[n.service()] {
				unused = append(unused, id)
			}
		}
		if len(unused) == 0 || time.Since(since) > within {
			return unused
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stop stops all callers, processes, backend servers and proxies. It keeps the logs of a failed seed.
func (cl *cluster) stop() {
	select {
	case <-cl.done:
	default:
		close(cl.done)
	}
	cl.callers.Wait()
	for _, n := range cl.nodes {
		n.stopRequested.Store(true)
		n.process.Kill()
		n.backend.crash()
		n.storeServer.Close()
	}
	cl.watchers.Wait()
	for l := range cl.links {
		cl.forEachProxy(l, func(p *toxiproxy.Proxy) { p.Stop() })
	}
	if !cl.t.Failed() {
		os.RemoveAll(cl.dir)
	}
}
