package quota

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	step          = 10 * time.Millisecond
	lostAfter     = 300 * time.Millisecond // an exchange without a response has failed
	dataCentres   = 4
	usualOfLimit  = 1.6
	checkInterval = 50 * time.Millisecond // of schedules
)

var testBound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// fleet plays nodes that exchange reports, in virtual time.
type fleet struct {
	now     time.Duration
	random  *rand.Rand
	nodes   []*fleetNode
	teams   []*fleetTeam
	version uint64
	events  map[time.Duration][]func()

	cut      func(a, b *fleetNode) bool // messages are dropped
	messages int
	bytes    int
	abroad   int // bytes between data centres
}

type fleetNode struct {
	f        *fleet
	id       string
	dc       string
	index    int
	ledger   *Ledger
	schedule *Schedule
	origin   time.Duration // the node's clock starts here
	running  bool
	paused   time.Duration // until when it neither sends nor handles messages
	process  int
	weight   float64 // of the callers' choice
}

type fleetTeam struct {
	name     string
	limit    Limit
	rate     float64 // demand of all callers
	admitted []time.Duration
	asked    []time.Duration
	granted  int // of those below the limit
	below    int
}

func newFleet(seed uint64, nodes int, limits []Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), events: make(map[time.Duration][]func()), cut: func(a, b *fleetNode) bool { return false }}
	for i, l := range limits {
		f.teams = append(f.teams, &fleetTeam{name: fmt.Sprintf("team-%02d", i), limit: l, rate: l.RatePerS / usualOfLimit})
	}
	for i := range nodes {
		n := &fleetNode{f: f, id: fmt.Sprintf("vm-%03d", i), dc: fmt.Sprintf("dc-%d", i%dataCentres), index: i, weight: 1}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (n *fleetNode) clock() time.Duration { return n.f.now - n.origin }

func (n *fleetNode) start() {
	n.process++
	n.origin = n.f.now - time.Duration(n.f.random.IntN(5000))*time.Millisecond
	n.running = true
	n.ledger = New(Options{Bound: testBound, Timing: DefaultTiming(), Nodes: func() int { return len(n.f.nodes) }, Random: n.f.random.Float64})
	n.schedule = NewSchedule(n.id, n.ledger)
	n.setLimits()
	n.f.version++
}

func (n *fleetNode) setLimits() {
	limits := make(map[string]Limit)
	for _, t := range n.f.teams {
		limits[t.name] = t.limit
	}
	n.ledger.SetLimits(n.clock(), limits)
}

func (f *fleet) after(d time.Duration, do func()) {
	at := (f.now + d).Truncate(step)
	if at <= f.now {
		at = f.now + step
	}
	f.events[at] = append(f.events[at], do)
}

func (f *fleet) members() []Member {
	var all []Member
	for _, n := range f.nodes {
		all = append(all, Member{ID: n.id, DataCentre: n.dc, Alive: true})
	}
	return all
}

func (f *fleet) node(id string) *fleetNode {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// send delivers a report, unless it is lost on the way.
func (f *fleet) send(from, to *fleetNode, r Report, deliver func(Report), refused func()) {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += len(text)
	delay := time.Duration(1+f.random.IntN(5)) * time.Millisecond
	if from.dc != to.dc {
		f.abroad += len(text)
		delay = time.Duration(10+f.random.IntN(30)) * time.Millisecond
	}
	process := to.process
	arrive := func() {
		switch {
		case f.cut(from, to):
		case to.running && to.process == process:
			deliver(r)
		case refused != nil:
			f.after(delay, refused) // nobody listens there
		}
	}
	f.after(delay, func() {
		if to.paused > f.now {
			f.after(to.paused-f.now, arrive)
			return
		}
		arrive()
	})
}

func (n *fleetNode) exchange(e Exchange) {
	f := n.f
	to := f.node(e.To.ID)
	process, done := n.process, false
	towards := Child
	if e.Relation == Peer {
		towards = Peer
	}
	failed := func() {
		if !done && n.process == process && n.running {
			done = true
			n.schedule.Failed(n.clock(), e.To.ID)
		}
	}
	f.send(n, to, n.ledger.Report(n.clock(), n.id, to.id, e.Relation, e.Next), func(r Report) {
		to.ledger.Merge(to.clock(), r, towards)
		f.send(to, n, to.ledger.Report(to.clock(), to.id, n.id, towards, e.Next), func(r Report) {
			if done {
				return
			}
			done = true
			n.ledger.Merge(n.clock(), r, e.Relation)
		}, nil)
	}, failed)
	f.after(lostAfter, failed)
}

// run plays some time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, do := range f.events[f.now] {
			do()
		}
		delete(f.events, f.now)
		for _, n := range f.nodes {
			if !n.running || n.paused > f.now || (f.now+time.Duration(n.index)*step)%checkInterval != 0 {
				continue
			}
			for _, e := range n.schedule.Due(n.clock(), f.version, f.members) {
				n.exchange(e)
			}
		}
		f.load()
	}
}

func (f *fleet) load() {
	total := 0.0
	for _, n := range f.nodes {
		if n.running && n.paused <= f.now {
			total += n.weight
		}
	}
	if total == 0 {
		return
	}
	for _, t := range f.teams {
		for range f.poisson(t.rate * step.Seconds()) {
			f.request(t, f.pick(total))
		}
	}
}

func (f *fleet) pick(total float64) *fleetNode {
	x := f.random.Float64() * total
	for _, n := range f.nodes {
		if n.running && n.paused <= f.now {
			if x -= n.weight; x < 0 {
				return n
			}
		}
	}
	return f.nodes[0]
}

func (f *fleet) request(t *fleetTeam, n *fleetNode) {
	// Below the limit: the window has room for the request, even if all that was asked in it had been granted.
	t.asked = append(trim(t.asked, f.now), f.now)
	isBelow := float64(len(t.asked)) <= testBound.Owed(t.limit)
	d := n.ledger.Admit(n.clock(), t.name)
	if isBelow {
		t.below++
	}
	if d.Granted {
		t.admitted = append(t.admitted, f.now)
		if isBelow {
			t.granted++
		}
	}
}

func trim(times []time.Duration, now time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= now-testBound.Window {
		times = times[1:]
	}
	return times
}

func (f *fleet) poisson(mean float64) int {
	n := 0
	for p := f.random.Float64(); p > math.Exp(-mean); p *= f.random.Float64() {
		n++
	}
	return n
}

// worstWindow returns the largest number of requests that ran in a window, as a part of what may.
func (t *fleetTeam) worstWindow(from time.Duration) float64 {
	first, worst := 0, 0
	for i, at := range t.admitted {
		for t.admitted[first] <= at-testBound.Window {
			first++
		}
		if at >= from {
			worst = max(worst, i-first+1)
		}
	}
	return float64(worst) / testBound.Max(t.limit)
}

func (t *fleetTeam) share() float64 { return float64(t.granted) / float64(max(1, t.below)) }

// resetShares starts to count what is granted below the limit.
func (f *fleet) resetShares() {
	for _, t := range f.teams {
		t.granted, t.below = 0, 0
	}
}

// share returns the share granted of all that was below the limits.
func (f *fleet) share() float64 {
	granted, below := 0, 0
	for _, t := range f.teams {
		granted, below = granted+t.granted, below+t.below
	}
	return float64(granted) / float64(max(1, below))
}

// eachUpper calls do for the first node of each data centre.
func (f *fleet) eachUpper(do func(*fleetNode)) {
	seen := make(map[string]bool)
	for _, m := range ordered(f.members()) {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			do(f.node(m.ID))
		}
	}
}
