package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fleet plays calls between many nodes of one data centre in simulated time: each node has a backend server and a chooser of its own,
// and knows of the others only what came back with its own calls.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	callers   []*Chooser
	endpoints []Endpoint
	servers   map[string]*server // by endpoint
	events    timeline
	seek      bool // whether nodes look for a free slot

	calls, waited int
	wait          time.Duration // of all calls
}

// server is a backend server with its node: slots, and a queue in the order of arrival.
type server struct {
	running int
	queue   []func()
}

type moment struct {
	at  time.Time
	run func()
}

type timeline []moment

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(moment)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

const (
	fleetSlots   = 6
	fleetService = 100 * time.Millisecond // mean
)

func newFleet(nodes int, seek bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), seek: seek, servers: map[string]*server{}}
	for i := range nodes {
		c := New("seeb")
		c.now = func() time.Time { return f.now }
		c.random = f.random.IntN
		f.callers = append(f.callers, c)
		e := endpoint("seeb", i)
		e.Slots = fleetSlots
		f.endpoints = append(f.endpoints, e)
		f.servers[e.ID] = &server{}
	}
	return f
}

func (f *fleet) at(after time.Duration, run func()) {
	heap.Push(&f.events, moment{f.now.Add(after), run})
}

// play sends calls that use this part of all slots.
func (f *fleet) play(usage float64, span time.Duration) {
	perSecond := usage * float64(len(f.servers)) * fleetSlots / fleetService.Seconds()
	var arrive func()
	arrive = func() {
		f.call(f.callers[f.random.IntN(len(f.callers))], f.now, map[string]bool{})
		f.at(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	f.at(0, arrive)
	for end := f.now.Add(span); f.events[0].at.Before(end); {
		next := heap.Pop(&f.events).(moment)
		f.now = next.at
		next.run()
	}
}

func (f *fleet) call(c *Chooser, arrived time.Time, busy map[string]bool) {
	choice := c.Pick(f.endpoints, Requirements{Class: "eta", TimeToTarget: 500 * time.Millisecond, Busy: busy})
	s := f.servers[choice.ID]
	if s.running >= fleetSlots && choice.NoQueue && f.seek {
		choice.Done(Healthy, s.report())
		busy[choice.ID] = true
		f.call(c, arrived, busy)
		return
	}
	start := func() {
		f.calls++
		if wait := f.now.Sub(arrived); wait > 0 {
			f.waited++
			f.wait += wait
		}
		s.running++
		f.at(time.Duration(f.random.ExpFloat64()*float64(fleetService)), func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			choice.Done(Healthy, s.report())
		})
	}
	if s.running < fleetSlots {
		start()
		return
	}
	s.queue = append(s.queue, start)
}

func (s *server) report() *Load {
	return &Load{Running: s.running, Queued: len(s.queue), Limit: fleetSlots, SlotTime: fleetService, ClassTime: fleetService, ClassSpread: fleetService / 2, Answered: 1}
}

// Pattern: power of d choices with stale reports. The more nodes there are, the fewer calls each sends to each endpoint, and the older
// are its reports: of the load of some seconds ago nothing is left. Calls that look for a free slot wait as seldom in a data centre of
// many nodes as in one of three, and less than half as long as those that trust the reports.
func TestPick_SlotProbesScaleWithFleetSize(t *testing.T) {
	const usage = 0.8
	var few float64
	for _, nodes := range []int{3, 18, 74, 450} { // in one of four data centres, of 12, 71, 296 and 1,800 nodes
		span := max(400*time.Millisecond, time.Minute/time.Duration(nodes))
		trusting, seeking := newFleet(nodes, false), newFleet(nodes, true)
		trusting.play(usage, span)
		seeking.play(usage, span)
		share := float64(seeking.waited) / float64(seeking.calls)
		t.Logf("%d nodes: %.3f wait, %v on average; without looking %.3f, %v", nodes, share, seeking.wait/time.Duration(seeking.calls),
			float64(trusting.waited)/float64(trusting.calls), trusting.wait/time.Duration(trusting.calls))
		if nodes == 3 {
			few = share
			continue
		}
		assert.LessOrEqual(t, share, few+0.05, nodes)
		assert.Less(t, seeking.wait/time.Duration(seeking.calls), trusting.wait/time.Duration(trusting.calls)/2, nodes)
	}
}

// Pattern: all slots in use. Nobody spends a hop on looking for a free one.
func TestPick_NoSlotProbesDuringOverload(t *testing.T) {
	f := newFixture()
	endpoints := []Endpoint{endpoint("seeb", 1), endpoint("seeb", 2), endpoint("seeb", 3)}
	for range 100 {
		for _, e := range endpoints {
			f.report(e, Load{Running: 9, Queued: 5, Limit: 9, SlotTime: 100 * time.Millisecond, Answered: 1})
		}
	}
	assert.False(t, f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: time.Second}).NoQueue)
	f.now = f.now.Add(reportMemory)
	choice := f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: time.Second})
	assert.True(t, choice.NoQueue, "the reports are too old to tell")
	assert.False(t, f.Pick(endpoints[:1], Requirements{Class: "eta", TimeToTarget: time.Second, Busy: map[string]bool{"seeb-1": true}}).NoQueue, "it is known to be busy")
}
