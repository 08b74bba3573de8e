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
	host         = "soak.example"
	epochRoute   = "epoch-" // followed by the version; only that version has the route
	slowPath     = "/slow/"
	slowWork     = 700 * time.Millisecond
	startLimit   = 30 * time.Second // only reached when a seed fails
	routeTimeout = 2 * time.Second
	readyCheck   = 500 * time.Millisecond
	startTime    = time.Second // of a process, until it handles signals
)

var (
	services    = []string{"alpha", "beta", "gamma"}
	dataCentres = []string{"north", "east", "south"}
	worlds      atomic.Int64 // for addresses
)

// world is a system of real processes with the stand-ins around it.
type world struct {
	t       *testing.T
	dir     string
	program string
	store   *standin.Store
	judge   *judge
	nodes   []*node
	toxic   *toxiproxy.ApiServer
	links   map[link][]*toxiproxy.Proxy

	mu       sync.Mutex // guards what follows
	document *routing.Document
	newer    map[uint64]time.Time // when a version was replaced by a newer one

	done     chan struct{} // closed when the callers are to stop
	callers  sync.WaitGroup
	watchers sync.WaitGroup
}

// link is a direction between two data centres.
type link struct{ from, to string }

// node is one process with its backend server.
type node struct {
	id         string
	dataCentre string
	settings   *sidecar.Settings
	door       *standin.Server
	backend    *backend
	process    *child.Process

	life    sync.Mutex   // held while the process is stopped and started again
	boot    atomic.Int64 // number of starts
	meantTo atomic.Bool  // the process was told to end
	held    atomic.Int64 // Unix ns until which it counts as held up: it was frozen, or starts

	mu       sync.Mutex
	current  string // service of the backend server
	switched bool   // there were several
}

func (n *node) service() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

func (n *node) changedService() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.switched
}

// serving notes the service of the backend server.
func (n *node) serving(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.switched = n.switched || n.current != service
	n.current = service
}

func (n *node) heldUp() bool { return time.Now().UnixNano() < n.held.Load() }

// hold has the node count as held up until so long after now, or longer if it does already.
func (n *node) hold(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	for {
		held := n.held.Load()
		if held >= until || n.held.CompareAndSwap(held, until) {
			return
		}
	}
}

// newWorld starts a system and waits until every node serves every route.
func newWorld(t *testing.T, program string, size int) *world {
	w := &world{
		t: t, program: program, store: standin.NewStore(), judge: newJudge(),
		toxic: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), links: make(map[link][]*toxiproxy.Proxy),
		newer: make(map[uint64]time.Time), done: make(chan struct{}),
	}
	var err error
	w.dir, err = os.MkdirTemp("", "laburnum-soak-")
	require.NoError(t, err)
	t.Cleanup(w.stop)
	network := 100 + (int64(os.Getpid())+worlds.Add(1))%100
	for i := range size {
		w.nodes = append(w.nodes, w.newNode(i, fmt.Sprintf("127.%d.%d.%d", network, i/250, i%250+1)))
	}
	w.connect()
	w.publish(func(*routing.Document) {})
	for _, n := range w.nodes {
		require.NoError(t, n.backend.start(n.service()))
		require.NoError(t, w.start(n))
	}
	require.Empty(t, w.unserved(startLimit), "nodes that do not serve at the start; logs in %s", w.dir)
	w.watchers.Go(func() { w.judge.watchStalls(w.done) })
	return w
}

func (w *world) newNode(i int, ip string) *node {
	n := &node{
		id: fmt.Sprintf("n%d", i), dataCentre: dataCentres[i/len(services)%len(dataCentres)], current: services[i%len(services)],
		door: w.store.Serve(),
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n.settings = &sidecar.Settings{
		ID: n.id, Region: "soak", DataCentre: n.dataCentre, LogLevel: "info",
		Listen: sidecar.Listen{
			Callers: address(7001), Nodes: address(7002), Control: address(7003), Announcements: address(7004), Readiness: address(7005), Metrics: address(7006),
		},
		Backend: sidecar.Backend{Service: n.current, Address: address(8080), AnnouncementInterval: sidecar.Duration(beatInterval)},
		Store:   sidecar.Store{Address: n.door.Address},
		Bounds: sidecar.Bounds{
			GracePeriod: sidecar.Duration(gracePeriod), Drain: sidecar.Duration(drainBound), ConfigApply: sidecar.Duration(configApply),
			RetryRatio: budgetRatio, RetrySlack: budgetSlack, RetryWindow: sidecar.Duration(budgetWindow), ReadinessInterval: sidecar.Duration(readyCheck),
		},
		DialOverrides: make(map[string]string),
	}
	n.backend = newBackend(w.judge, n, n.settings.Backend.Address)
	n.process = child.New(filepath.Join(w.dir, n.id+".log"), w.program, "--settings", w.settingsFile(n))
	return n
}

func (w *world) settingsFile(n *node) string { return filepath.Join(w.dir, n.id+".json") }

// connect puts a proxy before each address of a node for each of the other data centres.
func (w *world) connect() {
	for _, n := range w.nodes {
		for _, address := range []string{n.settings.Listen.Nodes, n.settings.Listen.Control} {
			for _, dc := range dataCentres {
				if dc == n.dataCentre {
					continue
				}
				proxy := toxiproxy.NewProxy(w.toxic, dc+">"+address, "127.0.0.1:0", address)
				require.NoError(w.t, proxy.Start())
				w.links[link{dc, n.dataCentre}] = append(w.links[link{dc, n.dataCentre}], proxy)
				for _, from := range w.nodes {
					if from.dataCentre == dc {
						from.settings.DialOverrides[address] = proxy.Listen
					}
				}
			}
		}
	}
}

// eachProxy does something with the proxies of a link.
func (w *world) eachProxy(l link, do func(*toxiproxy.Proxy)) {
	var group sync.WaitGroup
	for _, proxy := range w.links[l] {
		group.Go(func() { do(proxy) })
	}
	group.Wait()
}

// publish publishes the configuration in force with a change and the next version.
func (w *world) publish(change func(*routing.Document)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := firstDocument()
	if w.document != nil {
		copied := *w.document
		d = &copied
		d.Routes = append([]routing.Route(nil), w.document.Routes...)
		w.newer[w.document.Version] = time.Now()
	}
	d.Version++
	for i := range d.Routes {
		if strings.HasPrefix(d.Routes[i].Name, epochRoute) {
			d.Routes[i] = epoch(d.Version)
		}
	}
	change(d)
	w.judge.allow(d)
	w.document = d
	require.NoError(w.t, w.store.Publish(d))
}

// version is the newest that was published.
func (w *world) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document.Version
}

// replacedAt is when a version was replaced by a newer one, or the zero time.
func (w *world) replacedAt(version uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newer[version]
}

func route(name string, idempotent bool, destinations ...routing.Destination) routing.Route {
	return routing.Route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Idempotent: idempotent, TargetMS: 500, TimeoutMS: routeTimeout.Milliseconds(),
		MaxAttempts: 3, Destinations: destinations,
	}
}

// epoch is the route that shows that a version is in force.
func epoch(version uint64) routing.Route {
	r := route(fmt.Sprintf("%s%d", epochRoute, version), true, routing.Destination{Service: "gamma", Weight: 1})
	r.PathPrefix = fmt.Sprintf("/epoch/%d/", version)
	return r
}

func firstDocument() *routing.Document {
	d := &routing.Document{Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for _, s := range services {
		d.Services = append(d.Services, routing.Service{Name: s, HealthPath: healthPath, MaxConnections: 200})
	}
	to := func(service string, weight int) routing.Destination {
		return routing.Destination{Service: service, Weight: weight}
	}
	d.Routes = []routing.Route{
		route("read", true, to("alpha", 1)), route("pay", false, to("beta", 1)), route("split", true, to("alpha", 70), to("gamma", 30)),
		route("slow", true, to("gamma", 1)), epoch(1),
	}
	return d
}

// standing are the routes that every configuration has.
var standing = []string{"read", "pay", "split", "slow"}

// start writes the settings and starts the process. The caller holds n.life, except at the beginning.
func (w *world) start(n *node, env ...string) error {
	if err := w.writeSettings(n); err != nil {
		return err
	}
	n.process.SetEnv(env...)
	n.hold(settleWindow)
	n.boot.Add(1)
	n.meantTo.Store(false)
	if err := n.process.Start(); err != nil {
		return err
	}
	ended, boot := n.process.Done(), n.boot.Load()
	w.watchers.Go(func() {
		<-ended
		if !n.meantTo.Load() && n.boot.Load() == boot {
			w.judge.broken(promiseRuns, "%s ended by itself, see %s", n.id, n.process.Output())
		}
	})
	return nil
}

func (w *world) writeSettings(n *node) error {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(w.settingsFile(n), data, 0o600)
}

// restart ends a process with a signal and starts it again after a pause, with a clock that may be wrong.
func (w *world) restart(n *node, signal syscall.Signal, pause time.Duration, env ...string) {
	n.life.Lock()
	defer n.life.Unlock()
	n.meantTo.Store(true)
	frozen := n.heldUp()
	// Before it has taken over the signal, SIGTERM ends any process at once, and it has nothing to answer then.
	starting := time.Since(n.process.Started()) < startTime
	if err := n.process.Signal(signal); err != nil {
		w.judge.broken(promiseRuns, "%s had ended before it was told to: %v", n.id, err)
	}
	if n.process.Wait(gracePeriod) != nil {
		select {
		case <-n.process.Done():
			if signal == syscall.SIGTERM && !starting {
				w.judge.broken(promiseRuns, "%s failed on a planned stop, see %s", n.id, n.process.Output())
			}
		default:
			if signal == syscall.SIGTERM && !frozen && !n.heldUp() {
				w.judge.broken(promiseRuns, "%s still runs %s after it was told to end", n.id, gracePeriod)
			}
			n.process.Kill()
		}
	}
	time.Sleep(pause)
	if err := w.start(n, env...); err != nil {
		w.judge.broken(promiseRuns, "%s does not start: %v", n.id, err)
	}
}

// heal ends all faults and has everything run.
func (w *world) heal() {
	for l := range w.links {
		w.eachProxy(l, func(p *toxiproxy.Proxy) { p.Toxics.ResetToxics(context.Background()) })
	}
	for _, n := range w.nodes {
		n.door.SetFault(standin.Fault{})
		n.backend.misbehave(behaves)
		n.life.Lock()
		// It may run already.
		_ = n.process.Signal(syscall.SIGCONT)
		n.life.Unlock()
		w.startBackend(n, n.service())
	}
}

// unserved returns the routes that nodes have not served within a time from now.
func (w *world) unserved(within time.Duration) []string {
	deadline := time.Now().Add(within)
	var mu sync.Mutex
	var missing []string
	var group sync.WaitGroup
	for _, n := range w.nodes {
		for _, name := range standing {
			group.Go(func() {
				c := &caller{world: w, node: n, name: n.id + "-" + name + "-check"}
				defer c.hangUp()
				for !c.serves(name) {
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

// stop ends everything that was started. The logs of a seed that failed are kept.
func (w *world) stop() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	w.callers.Wait()
	for _, n := range w.nodes {
		n.meantTo.Store(true)
		n.process.Kill()
		n.backend.crash()
		n.door.Close()
	}
	w.watchers.Wait()
	for l := range w.links {
		w.eachProxy(l, func(p *toxiproxy.Proxy) { p.Stop() })
	}
	if !w.t.Failed() {
		os.RemoveAll(w.dir)
	}
}
