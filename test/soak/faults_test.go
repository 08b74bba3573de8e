package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
)

// Phases of a seed. The first phase has only planned events, some of them overlapping, so that any request that they interrupt counts as
// a violation.
const (
	plannedPhase      = 9 * time.Second
	faultPhase        = 14 * time.Second
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	maxRestartPause   = 1500 * time.Millisecond // between the end of a process and its restart
	maxClockStepS     = 2 * 60 * 60             // in either direction
	maxClockStepDelay = 5 * time.Second         // running time of the process until the clock steps
	extraRoutes       = 300

	maxExecDelay = 300 * time.Millisecond // from the start of a process to its first instruction, on a heavily loaded machine
)

// kind is the kind of an event.
type kind string

const (
	stopNode      kind = "stop"   // SIGTERM, then a restart
	reloadNode    kind = "reload" // SIGHUP with changed or invalid settings
	moveRoutes    kind = "move"   // changes the services of routes
	growRoutes    kind = "grow"   // adds hundreds of routes
	shrinkRoutes  kind = "shrink" // removes the added routes
	retireBackend kind = "retire" // a backend server leaves gracefully and is replaced

	killNode      kind = "kill"
	freezeNode    kind = "freeze"
	stepClock     kind = "clock" // restart with a clock that steps while the process runs
	delayLink     kind = "delay"
	resetLink     kind = "reset"
	oneWayLink    kind = "one-way"
	silenceLink   kind = "silence"
	isolateCentre kind = "isolate" // disconnects a data centre from the others and from the store
	storeFaults   kind = "store"
	compactStore  kind = "forget"
	crashBackend  kind = "crash"
	otherService  kind = "other-service" // a backend server of another service takes over the address of a crashed one
	misbehaving   kind = "misbehave"     // all backend servers of a data centre misbehave
	serviceFails  kind = "service-fails" // all backend servers of a service misbehave
)

var (
	plannedKinds   = []kind{stopNode, stopNode, reloadNode, moveRoutes, growRoutes, shrinkRoutes, retireBackend, retireBackend}
	unplannedKinds = []kind{
		killNode, killNode, freezeNode, freezeNode, stepClock, stepClock, delayLink, resetLink, oneWayLink, silenceLink, isolateCentre, storeFaults,
		storeFaults, compactStore, crashBackend, otherService, otherService,
		misbehaving, misbehaving, misbehaving, misbehaving, misbehaving, serviceFails, serviceFails, serviceFails, serviceFails,
	}
	linkKinds         = []kind{delayLink, resetLink, oneWayLink, silenceLink}
	misbehaviours     = []misbehaviour{truncatesResponse, truncatesUnsizedResponse, sendsExtraResponse, resetsConnection, neverResponds, respondsSlowly, respondsWith500, omitsSignature, sendsGarbage}
	storeServerFaults = []standin.Fault{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Reset: true}, {Silent: true}, {LoseAppendResponse: true},
		{AppendDelay: 2 * time.Second}, {ResponseDelay: 400 * time.Millisecond}, {TruncateBody: true},
	}
)

// event is one scheduled event of a seed. Each kind uses only some of the fields.
type event struct {
	at       time.Duration // after the start of the schedule
	duration time.Duration
	kind     kind
	node     int
	link     link
	variant  int  // variant of the kind
	allNodes bool // a store fault affects all nodes
}

func (e event) String() string {
	return fmt.Sprintf("%6.2fs %-13s node=%d link=%s>%s lasts=%s which=%d all=%v", e.at.Seconds(), e.kind, e.node, e.link.from, e.link.to,
		e.duration.Round(10*time.Millisecond), e.variant, e.allNodes)
}

// schedule returns the events of a seed. It is deterministic in its arguments.
func schedule(seed uint64, size int) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []event
	add := func(kinds []kind, from, length time.Duration, count int) {
		for range count {
			fromIndex, offset := random.IntN(len(dataCentres)), random.IntN(len(dataCentres)-1)
			events = append(events, event{
				at: from + time.Duration(random.Int64N(int64(length))), duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
				kind: kinds[random.IntN(len(kinds))], node: random.IntN(size), variant: random.IntN(1 << 20), allNodes: random.IntN(2) == 0,
				link: link{dataCentres[fromIndex], dataCentres[(fromIndex+1+offset)%len(dataCentres)]},
			})
		}
	}
	add(plannedKinds, 0, plannedPhase-3*time.Second, 6+size/6)
	add(append(slices.Clone(plannedKinds), unplannedKinds...), plannedPhase, faultPhase-maxFaultDuration, 24+size/2)
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

// runEvents runs the events at their times and returns when all have ended.
func (cl *cluster) runEvents(events []event) {
	start := time.Now()
	var group sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(start.Add(e.at)))
		group.Go(func() {
			if !slices.Contains(plannedKinds, e.kind) {
				defer cl.checker.beginFault()()
			}
			cl.apply(e)
		})
	}
	group.Wait()
}

func (cl *cluster) apply(e event) {
	n := cl.nodes[e.node]
	switch e.kind {
	case stopNode:
		cl.restart(n, syscall.SIGTERM, e.duration%maxRestartPause)
	case reloadNode:
		cl.reload(n, e.variant)
	case moveRoutes, growRoutes, shrinkRoutes:
		cl.publish(func(d *routing.Document) { changeRoutes(d, e.kind) })
	case retireBackend:
		cl.replaceBackend(n, n.backend.retire, e.duration%maxRestartPause, n.service())
	case killNode:
		cl.restart(n, syscall.SIGKILL, e.duration%maxRestartPause)
	case stepClock:
		step := e.variant%(2*maxClockStepS) - maxClockStepS
		cl.restart(n, syscall.SIGKILL, 0, fmt.Sprintf("%s=%d", clockStepVariable, step), fmt.Sprintf("%s=%d", clockAfterVariable, (e.duration%maxClockStepDelay).Milliseconds()))
	case freezeNode:
		cl.freezeProcess(n, e.duration)
	case compactStore:
		cl.store.CompactConfigurations()
	case storeFaults:
		cl.storeFault(e)
	case crashBackend:
		cl.replaceBackend(n, n.backend.crash, e.duration%maxRestartPause, n.service())
	case otherService:
		cl.replaceBackend(n, n.backend.crash, addressReuseDelay, differentService(n.service(), e.variant))
	case misbehaving:
		cl.setMisbehaviour(e, func(other *node) bool { return other.dataCentre == n.dataCentre })
	case serviceFails:
		service := services[e.variant%len(services)]
		cl.setMisbehaviour(e, func(other *node) bool { return other.service() == service })
	case isolateCentre:
		cl.isolateDataCentre(e)
	default:
		cl.disruptLink(e.link, e)
	}
}

// replaceBackend stops the backend server of a node and, after a pause, starts one of the given service.
func (cl *cluster) replaceBackend(n *node, stop func(), pause time.Duration, service string) {
	stop()
	time.Sleep(pause)
	cl.startBackend(n, service)
}

// startBackend starts a backend server unless one is running.
func (cl *cluster) startBackend(n *node, service string) {
	if err := n.backend.start(service); err != nil {
		cl.checker.addViolation(guaranteeRecovery, "the backend server of %s does not start: %v", n.id, err)
	}
}

func differentService(service string, variant int) string {
	i := slices.Index(services, service)
	return services[(i+1+variant%(len(services)-1))%len(services)]
}

// reload changes the settings file and sends SIGHUP.
func (cl *cluster) reload(n *node, variant int) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	// SIGHUP ends a process that has not yet executed its first instruction, and a process must not start with invalid settings.
	time.Sleep(time.Until(n.process.Started().Add(maxExecDelay)))
	copied := *n.settings
	copied.LogLevel = []string{"debug", "info", "not a level"}[variant%3]
	other := &node{id: n.id, settings: &copied}
	require.NoError(cl.t, cl.writeSettings(other))
	// The process may have been killed.
	_ = n.process.Signal(syscall.SIGHUP)
}

// freezeProcess stops a process with SIGSTOP for d, as a pause of its VM would.
func (cl *cluster) freezeProcess(n *node, d time.Duration) {
	n.expectUnresponsive(d + settleTime)
	// Between two starts there is no process to freeze.
	_ = n.process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.expectUnresponsive(settleTime)
	_ = n.process.Signal(syscall.SIGCONT)
}

func changeRoutes(d *routing.Document, k kind) {
	other := map[string]string{"alpha": "beta", "beta": "gamma", "gamma": "alpha"}
	switch k {
	case moveRoutes:
		for i := range d.Routes {
			if r := &d.Routes[i]; r.Name == "read" || r.Name == "pay" {
				r.Destinations = []routing.Destination{{Service: other[r.Destinations[0].Service], Weight: 1}}
			}
		}
	case growRoutes:
		d.Routes = slices.DeleteFunc(d.Routes, isExtra)
		for i := range extraRoutes {
			d.Routes = append(d.Routes, route(fmt.Sprintf("extra-%d", i), true, routing.Destination{Service: "alpha", Weight: 1}))
		}
	case shrinkRoutes:
		d.Routes = slices.DeleteFunc(d.Routes, isExtra)
	}
}

func isExtra(r routing.Route) bool { return strings.HasPrefix(r.Name, "extra-") }

func (cl *cluster) storeFault(e event) {
	fault := storeServerFaults[e.variant%len(storeServerFaults)]
	for i, n := range cl.nodes {
		if e.allNodes || (i+e.variant)%2 == 0 {
			n.storeServer.SetFault(fault)
		}
	}
	time.Sleep(e.duration)
	for _, n := range cl.nodes {
		n.storeServer.SetFault(standin.Fault{})
	}
}

func (cl *cluster) setMisbehaviour(e event, chosen func(*node) bool) {
	how := misbehaviours[e.variant/len(services)%len(misbehaviours)]
	set := func(m misbehaviour) {
		for _, n := range cl.nodes {
			if chosen(n) {
				n.backend.misbehave(m)
			}
		}
	}
	set(how)
	time.Sleep(e.duration)
	set(correct)
}

// isolateDataCentre disconnects a data centre from all others and from the store.
func (cl *cluster) isolateDataCentre(e event) {
	var group sync.WaitGroup
	for _, other := range dataCentres {
		if other != e.link.from {
			for _, l := range []link{{e.link.from, other}, {other, e.link.from}} {
				group.Go(func() { cl.disruptLink(l, event{kind: silenceLink, at: e.at, duration: e.duration}) })
			}
		}
	}
	set := func(f standin.Fault) {
		for _, n := range cl.nodes {
			if n.dataCentre == e.link.from {
				n.storeServer.SetFault(f)
			}
		}
	}
	set(standin.Fault{Silent: true})
	group.Wait()
	set(standin.Fault{})
}

// toxics are the toxiproxy toxics of each link fault, without their names. A latency above deadlineSlack would be reported as a
// violation of the deadline guarantee.
var toxics = map[kind][]string{
	delayLink:   {`"type":"latency","stream":"upstream","attributes":{"latency":60,"jitter":60}`, `"type":"latency","stream":"downstream","attributes":{"latency":60,"jitter":60}`},
	resetLink:   {`"type":"reset_peer","stream":"downstream","attributes":{"timeout":0}`},
	oneWayLink:  {`"type":"timeout","stream":"downstream","attributes":{"timeout":0}`},
	silenceLink: {`"type":"timeout","stream":"upstream","attributes":{"timeout":0}`, `"type":"timeout","stream":"downstream","attributes":{"timeout":0}`},
}

// disruptLink applies a link fault to the connections from one data centre to another.
func (cl *cluster) disruptLink(l link, e event) {
	name := func(i int) string { return fmt.Sprintf("%s-%d-%d", e.kind, e.at, i) }
	cl.forEachProxy(l, func(p *toxiproxy.Proxy) {
		for i, toxic := range toxics[e.kind] {
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":%q,%s}`, name(i), toxic))); err != nil {
				cl.t.Errorf("cannot inject fault %s: %v", e, err)
			}
		}
	})
	time.Sleep(e.duration)
	cl.forEachProxy(l, func(p *toxiproxy.Proxy) {
		for i := range toxics[e.kind] {
			// endFaults may have removed it already.
			_ = p.Toxics.RemoveToxic(context.Background(), name(i))
		}
	})
}
