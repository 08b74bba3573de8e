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

// Phases of a seed. In the first only planned things happen, in series and overlapping, so that what they cut is judged strictly.
const (
	plannedPhase  = 9 * time.Second
	faultPhase    = 14 * time.Second
	shortestFault = 300 * time.Millisecond
	longestFault  = 4 * time.Second
	longestPause  = 1500 * time.Millisecond // between the end of a process and its next start
	clockStep     = 2 * 60 * 60             // seconds, at most, in both directions
	clockAfter    = 5 * time.Second         // of running, at most, until the clock steps
	manyRoutes    = 300

	firstInstruction = 300 * time.Millisecond // after the start of a process, on a machine with much load
)

// kind is what an event does.
type kind string

const (
	stopNode      kind = "stop"   // SIGTERM, then a start
	reloadNode    kind = "reload" // SIGHUP with other settings, or with a file that cannot be read
	moveRoutes    kind = "move"   // routes go to other services
	growRoutes    kind = "grow"   // hundreds of routes more
	shrinkRoutes  kind = "shrink" // and less
	retireBackend kind = "retire" // a backend server leaves and is replaced

	killNode      kind = "kill"
	freezeNode    kind = "freeze"
	clockNode     kind = "clock" // a restart with a clock that is wrong, and steps while the process runs
	delayLink     kind = "delay"
	resetLink     kind = "reset"
	oneWayLink    kind = "one-way"
	silenceLink   kind = "silence"
	isolateCentre kind = "isolate" // a data centre is cut from the others and from the store
	storeFaults   kind = "store"
	storeForgets  kind = "forget"
	crashBackend  kind = "crash"
	otherService  kind = "other-service" // the address of a backend server goes to one of another service
	misbehaving   kind = "misbehave"     // the backend servers of a data centre
	serviceFails  kind = "service-fails" // all backend servers of a service misbehave
)

var (
	plannedKinds   = []kind{stopNode, stopNode, reloadNode, moveRoutes, growRoutes, shrinkRoutes, retireBackend, retireBackend}
	unplannedKinds = []kind{
		killNode, killNode, freezeNode, freezeNode, clockNode, clockNode, delayLink, resetLink, oneWayLink, silenceLink, isolateCentre, storeFaults,
		storeFaults, storeForgets, crashBackend, otherService, otherService,
		misbehaving, misbehaving, misbehaving, misbehaving, misbehaving, serviceFails, serviceFails, serviceFails, serviceFails,
	}
	linkKinds     = []kind{delayLink, resetLink, oneWayLink, silenceLink}
	misbehaviours = []misbehaviour{cutsAnswers, cutsUnsized, addsAnswers, resets, silent, isSlow, fails, unsigned, noise}
	doorFaults    = []standin.Fault{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Reset: true}, {Silent: true}, {LoseAppendResponse: true},
		{AppendDelay: 2 * time.Second}, {ResponseDelay: 400 * time.Millisecond}, {TruncateBody: true},
	}
)

// event is one thing that happens in a seed. What does not matter to its kind is 0.
type event struct {
	at    time.Duration // after the start of the schedule
	lasts time.Duration
	kind  kind
	node  int
	link  link
	which int  // variant of the kind
	all   bool // of the store: for all nodes
}

func (e event) String() string {
	return fmt.Sprintf("%6.2fs %-13s node=%d link=%s>%s lasts=%s which=%d all=%v", e.at.Seconds(), e.kind, e.node, e.link.from, e.link.to,
		e.lasts.Round(10*time.Millisecond), e.which, e.all)
}

// schedule returns the events of a seed. It depends on its arguments alone.
func schedule(seed uint64, size int) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []event
	add := func(kinds []kind, from, length time.Duration, count int) {
		for range count {
			from1, to := random.IntN(len(dataCentres)), random.IntN(len(dataCentres)-1)
			events = append(events, event{
				at: from + time.Duration(random.Int64N(int64(length))), lasts: shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
				kind: kinds[random.IntN(len(kinds))], node: random.IntN(size), which: random.IntN(1 << 20), all: random.IntN(2) == 0,
				link: link{dataCentres[from1], dataCentres[(from1+1+to)%len(dataCentres)]},
			})
		}
	}
	add(plannedKinds, 0, plannedPhase-3*time.Second, 6+size/6)
	add(append(slices.Clone(plannedKinds), unplannedKinds...), plannedPhase, faultPhase-longestFault, 24+size/2)
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

// play has the events happen and returns when the last one is over.
func (w *world) play(events []event) {
	begun := time.Now()
	var group sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(begun.Add(e.at)))
		group.Go(func() {
			if !slices.Contains(plannedKinds, e.kind) {
				defer w.judge.disturb()()
			}
			w.perform(e)
		})
	}
	group.Wait()
}

func (w *world) perform(e event) {
	n := w.nodes[e.node]
	switch e.kind {
	case stopNode:
		w.restart(n, syscall.SIGTERM, e.lasts%longestPause)
	case reloadNode:
		w.reload(n, e.which)
	case moveRoutes, growRoutes, shrinkRoutes:
		w.publish(func(d *routing.Document) { changeRoutes(d, e.kind) })
	case retireBackend:
		w.replaceBackend(n, n.backend.retire, e.lasts%longestPause, n.service())
	case killNode:
		w.restart(n, syscall.SIGKILL, e.lasts%longestPause)
	case clockNode:
		step := e.which%(2*clockStep) - clockStep
		w.restart(n, syscall.SIGKILL, 0, fmt.Sprintf("%s=%d", clockStepVariable, step), fmt.Sprintf("%s=%d", clockAfterVariable, (e.lasts%clockAfter).Milliseconds()))
	case freezeNode:
		w.freeze(n, e.lasts)
	case storeForgets:
		w.store.CompactConfigurations()
	case storeFaults:
		w.storeFault(e)
	case crashBackend:
		w.replaceBackend(n, n.backend.crash, e.lasts%longestPause, n.service())
	case otherService:
		w.replaceBackend(n, n.backend.crash, addressReuse, otherThan(n.service(), e.which))
	case misbehaving:
		w.misbehave(e, func(other *node) bool { return other.dataCentre == n.dataCentre })
	case serviceFails:
		service := services[e.which%len(services)]
		w.misbehave(e, func(other *node) bool { return other.service() == service })
	case isolateCentre:
		w.isolate(e)
	default:
		w.harm(e.link, e)
	}
}

// replaceBackend ends a backend server and starts one of a service after a pause.
func (w *world) replaceBackend(n *node, end func(), pause time.Duration, service string) {
	end()
	time.Sleep(pause)
	w.startBackend(n, service)
}

// startBackend starts a backend server, unless one runs.
func (w *world) startBackend(n *node, service string) {
	if err := n.backend.start(service); err != nil {
		w.judge.broken(promiseRecovery, "the backend server of %s does not start: %v", n.id, err)
	}
}

func otherThan(service string, which int) string {
	i := slices.Index(services, service)
	return services[(i+1+which%(len(services)-1))%len(services)]
}

// reload changes the settings file and tells the process.
func (w *world) reload(n *node, which int) {
	n.life.Lock()
	defer n.life.Unlock()
	// Before its first instruction no program can keep a signal from ending it, and the file that it starts with is a good one.
	time.Sleep(time.Until(n.process.Started().Add(firstInstruction)))
	copied := *n.settings
	copied.LogLevel = []string{"debug", "info", "not a level"}[which%3]
	other := &node{id: n.id, settings: &copied}
	require.NoError(w.t, w.writeSettings(other))
	// It may have been killed.
	_ = n.process.Signal(syscall.SIGHUP)
}

// freeze stops a process for a while, as the machine below it may.
func (w *world) freeze(n *node, d time.Duration) {
	n.hold(d + settleWindow)
	// It may be between two starts; then there is nothing to freeze.
	_ = n.process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.hold(settleWindow)
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
		for i := range manyRoutes {
			d.Routes = append(d.Routes, route(fmt.Sprintf("extra-%d", i), true, routing.Destination{Service: "alpha", Weight: 1}))
		}
	case shrinkRoutes:
		d.Routes = slices.DeleteFunc(d.Routes, isExtra)
	}
}

func isExtra(r routing.Route) bool { return strings.HasPrefix(r.Name, "extra-") }

func (w *world) storeFault(e event) {
	fault := doorFaults[e.which%len(doorFaults)]
	for i, n := range w.nodes {
		if e.all || (i+e.which)%2 == 0 {
			n.door.SetFault(fault)
		}
	}
	time.Sleep(e.lasts)
	for _, n := range w.nodes {
		n.door.SetFault(standin.Fault{})
	}
}

func (w *world) misbehave(e event, chosen func(*node) bool) {
	how := misbehaviours[e.which/len(services)%len(misbehaviours)]
	set := func(m misbehaviour) {
		for _, n := range w.nodes {
			if chosen(n) {
				n.backend.misbehave(m)
			}
		}
	}
	set(how)
	time.Sleep(e.lasts)
	set(behaves)
}

// isolate cuts a data centre from all others and from the store.
func (w *world) isolate(e event) {
	var group sync.WaitGroup
	for _, other := range dataCentres {
		if other != e.link.from {
			for _, l := range []link{{e.link.from, other}, {other, e.link.from}} {
				group.Go(func() { w.harm(l, event{kind: silenceLink, at: e.at, lasts: e.lasts}) })
			}
		}
	}
	set := func(f standin.Fault) {
		for _, n := range w.nodes {
			if n.dataCentre == e.link.from {
				n.door.SetFault(f)
			}
		}
	}
	set(standin.Fault{Silent: true})
	group.Wait()
	set(standin.Fault{})
}

// toxics by kind of a link fault, without their names. A delay of more than the slack of a deadline would have the judge blame the
// system for it.
var toxics = map[kind][]string{
	delayLink:   {`"type":"latency","stream":"upstream","attributes":{"latency":60,"jitter":60}`, `"type":"latency","stream":"downstream","attributes":{"latency":60,"jitter":60}`},
	resetLink:   {`"type":"reset_peer","stream":"downstream","attributes":{"timeout":0}`},
	oneWayLink:  {`"type":"timeout","stream":"downstream","attributes":{"timeout":0}`},
	silenceLink: {`"type":"timeout","stream":"upstream","attributes":{"timeout":0}`, `"type":"timeout","stream":"downstream","attributes":{"timeout":0}`},
}

// harm disturbs the connections from one data centre to another for a while.
func (w *world) harm(l link, e event) {
	name := func(i int) string { return fmt.Sprintf("%s-%d-%d", e.kind, e.at, i) }
	w.eachProxy(l, func(p *toxiproxy.Proxy) {
		for i, toxic := range toxics[e.kind] {
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":%q,%s}`, name(i), toxic))); err != nil {
				w.t.Errorf("the fault %s cannot be made: %v", e, err)
			}
		}
	})
	time.Sleep(e.lasts)
	w.eachProxy(l, func(p *toxiproxy.Proxy) {
		for i := range toxics[e.kind] {
			// It is gone if everything was healed meanwhile.
			_ = p.Toxics.RemoveToxic(context.Background(), name(i))
		}
	})
}
