package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulation simulates calls between many nodes of one data centre. Each node has its own backend server and chooser, and knows the load
// of the others only from the reports in the responses to its own calls.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	callers   []*Chooser
	endpoints []Endpoint
	servers   map[string]*server // by endpoint ID
	events    eventQueue
	probe     bool // whether calls probe endpoints for a free slot

	calls, queued int
	totalWait     time.Duration // summed over all calls
}

// server is a backend server with slots and a FIFO queue.
type server struct {
	running int
	queue   []func()
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (t eventQueue) Len() int           { return len(t) }
func (t eventQueue) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t eventQueue) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)        { *t = append(*t, x.(event)) }
func (t *eventQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

const (
	simulatedSlots       = 6
	simulatedServiceTime = 100 * time.Millisecond // mean
)

func newSimulation(nodes int, probe bool) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), probe: probe, servers: map[string]*server{}}
	for i := range nodes {
		c := New(Options{DataCentre: "seeb", Policy: DefaultPolicy(), Now: func() time.Time { return sim.now }, Random: sim.random.IntN})
		sim.callers = append(sim.callers, c)
		e := endpoint("seeb", i)
		e.Slots = simulatedSlots
		sim.endpoints = append(sim.endpoints, e)
		sim.servers[e.ID] = &server{}
	}
	return sim
}

func (sim *simulation) schedule(after time.Duration, run func()) {
	heap.Push(&sim.events, event{sim.now.Add(after), run})
}

// run simulates calls at a rate that uses the given fraction of all slots.
func (sim *simulation) run(usage float64, span time.Duration) {
	perSecond := usage * float64(len(sim.servers)) * simulatedSlots / simulatedServiceTime.Seconds()
	var arrive func()
	arrive = func() {
		sim.call(sim.callers[sim.random.IntN(len(sim.callers))], sim.now, map[string]bool{})
		sim.schedule(time.Duration(sim.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	sim.schedule(0, arrive)
	for end := sim.now.Add(span); sim.events[0].at.Before(end); {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
}

func (sim *simulation) call(c *Chooser, arrived time.Time, busy map[string]bool) {
	choice := c.Pick(sim.endpoints, Requirements{Class: "eta", TimeToTarget: 500 * time.Millisecond, Busy: busy})
	s := sim.servers[choice.ID]
	if s.running >= simulatedSlots && choice.NoQueue && sim.probe {
		choice.Done(Healthy, s.report())
		busy[choice.ID] = true
		sim.call(c, arrived, busy)
		return
	}
	start := func() {
		sim.calls++
		if wait := sim.now.Sub(arrived); wait > 0 {
			sim.queued++
			sim.totalWait += wait
		}
		s.running++
		sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(simulatedServiceTime)), func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			choice.Done(Healthy, s.report())
		})
	}
	if s.running < simulatedSlots {
		start()
		return
	}
	s.queue = append(s.queue, start)
}

func (s *server) report() *Load {
	return &Load{Running: s.running, Queued: len(s.queue), Limit: simulatedSlots, SlotTime: simulatedServiceTime, ClassTime: simulatedServiceTime, ClassSpread: simulatedServiceTime / 2, Answered: 1}
}

// Guards against queueing that grows with the fleet because of stale load reports: the more nodes there are, the fewer calls each sends to
// each endpoint, and the older its reports are. With slot probes, calls queue as rarely among many nodes as among three, and wait less than
// half as long as without.
func TestPick_SlotProbesScaleWithFleetSize(t *testing.T) {
	const usage = 0.8
	var smallFleetShare float64
	for _, nodes := range []int{3, 18, 74, 450} { // in the largest of four data centres, in fleets of 12, 71, 296 and 1,800 nodes
		span := max(400*time.Millisecond, time.Minute/time.Duration(nodes))
		unprobed, probed := newSimulation(nodes, false), newSimulation(nodes, true)
		unprobed.run(usage, span)
		probed.run(usage, span)
		share := float64(probed.queued) / float64(probed.calls)
		t.Logf("%d nodes: %.3f queued, %v on average; without probes %.3f, %v", nodes, share, probed.totalWait/time.Duration(probed.calls),
			float64(unprobed.queued)/float64(unprobed.calls), unprobed.totalWait/time.Duration(unprobed.calls))
		if nodes == 3 {
			smallFleetShare = share
			continue
		}
		assert.LessOrEqual(t, share, smallFleetShare+0.05, nodes)
		assert.Less(t, probed.totalWait/time.Duration(probed.calls), unprobed.totalWait/time.Duration(unprobed.calls)/2, nodes)
	}
}

// Guards against slot probes that add a hop to every call while all slots are in use.
func TestPick_NoSlotProbesDuringOverload(t *testing.T) {
	f := newFixture()
	endpoints := []Endpoint{endpoint("seeb", 1), endpoint("seeb", 2), endpoint("seeb", 3)}
	for range 100 {
		for _, e := range endpoints {
			f.report(e, Load{Running: 9, Queued: 5, Limit: 9, SlotTime: 100 * time.Millisecond, Answered: 1})
		}
	}
	assert.False(t, f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: time.Second}).NoQueue)
	f.now = f.now.Add(DefaultPolicy().ReportDecay)
	choice := f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: time.Second})
	assert.True(t, choice.NoQueue, "the reports are stale")
	assert.False(t, f.Pick(endpoints[:1], Requirements{Class: "eta", TimeToTarget: time.Second, Busy: map[string]bool{"seeb-1": true}}).NoQueue, "the endpoint was probed and is busy")
}
