package inbound

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation runs admission on a virtual clock. Calls of each rank arrive in a Poisson process, and service times are
// log-normal. It measures the calls of each rank that finish within their target, and the use of the slots.

const (
	simSigma = 0.4             // standard deviation of the logarithm of the service time
	simStart = 5 * time.Second // end of the warm-up, in which the limit grows from its initial value
	simEnd   = 30 * time.Second
	simTick  = 100 * time.Millisecond
)

// simulation configures one run. Loads are the offered slot seconds of each rank per second, as a fraction of all slots. Results
// cover the time from start to end: the ratio of calls in time counts calls that arrive in it, the use of the slots counts calls
// that finish in it.
type simulation struct {
	slots      int
	service    [3]time.Duration // mean service time of each rank
	loads      func(at time.Duration) [3]float64
	start, end time.Duration
}

// falaj and vanDerMerwe return simulations with the slots and service times of a backend server of that deployment. The least urgent
// calls of Van der Merwe are slow.
func falaj(loads [3]float64) simulation {
	const service = 50 * time.Millisecond
	return simulation{10, [3]time.Duration{service, service, service}, constant(loads), simStart, simEnd}
}

func vanDerMerwe(loads [3]float64) simulation {
	const service = 40 * time.Millisecond
	return simulation{6, [3]time.Duration{service, service, 4 * service}, constant(loads), simStart, simEnd}
}

var simRanks = []rankPolicy{
	{name: "urgent", minShare: 0.4, targetLatency: 250 * time.Millisecond},
	{name: "normal", minShare: 0.3, targetLatency: 500 * time.Millisecond},
	{name: "bulk", minShare: 0.1, targetLatency: time.Second},
}

// simCall is one call in the simulation.
type simCall struct {
	rank              int
	arrived, deadline time.Time
	service           time.Duration
	measured          bool
	call              *call // of the scheduler under test
}

// discipline is an admission algorithm under simulation. Its methods return the calls that start now.
type discipline interface {
	submit(now time.Time, c *simCall) []*simCall
	finish(now time.Time, c *simCall) []*simCall
	tick(now time.Time) []*simCall
}

// rankStats holds the results of one rank.
type rankStats struct {
	offered, inTime, late int
	inTimeSeconds         float64 // slot seconds of calls that finished in time
}

type simResult struct {
	ranks                      []rankStats
	busySeconds, inTimeSeconds float64 // slot seconds of all calls, and of calls that finished in time
	capacity                   float64 // slot seconds of the measured period
}

func (r simResult) inTime(rank int) float64 {
	return float64(r.ranks[rank].inTime) / float64(max(1, r.ranks[rank].offered))
}

// share returns the fraction of all slot seconds that calls of a rank used and that finished in time.
func (r simResult) share(rank int) float64 {
	return r.ranks[rank].inTimeSeconds / r.capacity
}

type simKind int

const (
	simArrival simKind = iota
	simCompletion
	simTickEvent
	simIdle // a rank without load checks its load again
)

type simEvent struct {
	at   time.Time
	kind simKind
	rank int      // of simArrival and simIdle
	call *simCall // of simCompletion
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulate runs a discipline with a fixed random seed.
func simulate(d discipline, sim simulation) simResult {
	random := rand.New(rand.NewPCG(1, 2))
	origin := time.Unix(1_800_000_000, 0)
	capacity := float64(sim.slots) * (sim.end - sim.start).Seconds()
	result := simResult{ranks: make([]rankStats, len(simRanks)), capacity: capacity}
	events := &simQueue{}
	schedule := func(rank int, now time.Time) {
		rate := sim.loads(now.Sub(origin))[rank] * float64(sim.slots) / sim.service[rank].Seconds()
		if rate == 0 {
			heap.Push(events, simEvent{at: now.Add(simTick), kind: simIdle, rank: rank})
			return
		}
		wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		heap.Push(events, simEvent{at: now.Add(wait), kind: simArrival, rank: rank})
	}
	launch := func(now time.Time, calls []*simCall) {
		for _, c := range calls {
			heap.Push(events, simEvent{at: now.Add(c.service), kind: simCompletion, call: c})
		}
	}
	for rank := range simRanks {
		schedule(rank, origin)
	}
	heap.Push(events, simEvent{at: origin, kind: simTickEvent})
	for events.Len() > 0 {
		e := heap.Pop(events).(simEvent)
		arriving := e.at.Sub(origin) < sim.end
		switch e.kind {
		case simCompletion:
			result.count(e.call, e.at, e.at.Sub(origin) >= sim.start && arriving)
			launch(e.at, d.finish(e.at, e.call))
		case simArrival:
			if !arriving {
				continue
			}
			schedule(e.rank, e.at)
			factor := math.Exp(random.NormFloat64()*simSigma - simSigma*simSigma/2)
			c := &simCall{
				rank:     e.rank,
				arrived:  e.at,
				deadline: e.at.Add(2 * simRanks[e.rank].targetLatency),
				service:  time.Duration(factor * float64(sim.service[e.rank])),
				measured: e.at.Sub(origin) >= sim.start,
			}
			if c.measured {
				result.ranks[c.rank].offered++
			}
			launch(e.at, d.submit(e.at, c))
		case simTickEvent:
			if arriving {
				heap.Push(events, simEvent{at: e.at.Add(simTick), kind: simTickEvent})
			}
			launch(e.at, d.tick(e.at))
		case simIdle:
			if arriving {
				schedule(e.rank, e.at)
			}
		}
	}
	return result
}

// count adds a finished call. During is true if it finished in the measured period.
func (r *simResult) count(c *simCall, ended time.Time, during bool) {
	stats := &r.ranks[c.rank]
	inTime := ended.Sub(c.arrived) <= simRanks[c.rank].targetLatency
	switch {
	case c.measured && inTime:
		stats.inTime++
	case c.measured:
		stats.late++
	}
	if !during {
		return
	}
	r.busySeconds += c.service.Seconds()
	if inTime {
		r.inTimeSeconds += c.service.Seconds()
		stats.inTimeSeconds += c.service.Seconds()
	}
}

// simulatedScheduler adapts the scheduler to the simulation.
type simulatedScheduler struct {
	scheduler      *scheduler
	waiting        []*simCall
	inFlight, peak int
}

func newSimulatedScheduler(slots int) *simulatedScheduler {
	return &simulatedScheduler{scheduler: newScheduler(newLimiter(slots, 2), 100, simRanks)}
}

func (u *simulatedScheduler) submit(now time.Time, c *simCall) []*simCall {
	c.call = &call{rank: u.scheduler.rank(simRanks[c.rank].name), arrivedAt: now, deadline: c.deadline, decided: make(chan decision, 1)}
	u.waiting = append(u.waiting, c)
	u.scheduler.submit(now, c.call)
	return u.collectGranted()
}

func (u *simulatedScheduler) finish(now time.Time, c *simCall) []*simCall {
	u.inFlight--
	u.scheduler.finish(now, c.call, result{answered: true})
	return u.collectGranted()
}

func (u *simulatedScheduler) tick(now time.Time) []*simCall {
	u.scheduler.tick(now)
	return u.collectGranted()
}

func (u *simulatedScheduler) collectGranted() []*simCall {
	var granted []*simCall
	rest := u.waiting[:0]
	for _, c := range u.waiting {
		select {
		case d := <-c.call.decided:
			if d.refusal == nil {
				granted = append(granted, c)
			}
		default:
			rest = append(rest, c)
		}
	}
	u.waiting = rest
	u.inFlight += len(granted)
	u.peak = max(u.peak, u.inFlight)
	return granted
}

// baselineDiscipline serves calls in order of arrival or by strict priority. It has bounded queues, no shares, and does not refuse
// calls that cannot meet their deadline.
type baselineDiscipline struct {
	slots    int
	strict   bool
	queues   [][]*simCall
	inFlight int
}

func newBaselineDiscipline(slots int, strict bool) *baselineDiscipline {
	return &baselineDiscipline{slots: slots, strict: strict, queues: make([][]*simCall, len(simRanks))}
}

func (b *baselineDiscipline) submit(_ time.Time, c *simCall) []*simCall {
	queue := 0
	if b.strict {
		queue = c.rank
	}
	if len(b.queues[queue]) < 100 {
		b.queues[queue] = append(b.queues[queue], c)
	}
	return b.start()
}

func (b *baselineDiscipline) finish(time.Time, *simCall) []*simCall {
	b.inFlight--
	return b.start()
}

func (b *baselineDiscipline) tick(time.Time) []*simCall { return nil }

func (b *baselineDiscipline) start() []*simCall {
	var granted []*simCall
	for i := range b.queues {
		for len(b.queues[i]) > 0 && b.inFlight < b.slots {
			granted = append(granted, b.queues[i][0])
			b.queues[i] = b.queues[i][1:]
			b.inFlight++
		}
	}
	return granted
}

func constant(loads [3]float64) func(time.Duration) [3]float64 {
	return func(time.Duration) [3]float64 { return loads }
}

func describeResult(name string, r simResult) string {
	text := fmt.Sprintf("%-6s slots_in_time=%.3f used=%.3f", name, r.inTimeSeconds/max(r.busySeconds, 1e-9), r.busySeconds/r.capacity)
	for i, rank := range simRanks {
		text += fmt.Sprintf(" %s(in_time=%.3f late=%d share=%.3f)", rank.name, r.inTime(i), r.ranks[i].late, r.share(i))
	}
	return text
}

// compare runs the scheduler and both baselines, logs their results and returns that of the scheduler. It checks the requirements
// for every load: the number of slots is not exceeded, they are used for calls in time, and every rank gets its share.
func compare(t *testing.T, sim simulation) simResult {
	t.Helper()
	u := newSimulatedScheduler(sim.slots)
	tested := simulate(u, sim)
	t.Log(describeResult("shares", tested))
	t.Log(describeResult("fifo", simulate(newBaselineDiscipline(sim.slots, false), sim)))
	t.Log(describeResult("strict", simulate(newBaselineDiscipline(sim.slots, true), sim)))
	require.LessOrEqual(t, u.peak, sim.slots)
	require.GreaterOrEqual(t, tested.inTimeSeconds/tested.busySeconds, 0.95, "slot seconds of calls in time")
	offered := sim.loads(sim.start)
	total := 0.0
	for i, rank := range simRanks {
		total += offered[i]
		// The tolerance of 5% covers the random arrivals of a finite run.
		require.GreaterOrEqual(t, tested.share(i), 0.95*min(rank.minShare, offered[i])-0.005, rank.name)
	}
	require.GreaterOrEqual(t, tested.inTimeSeconds/tested.capacity, 0.9*min(total, 1), "other ranks use unused shares")
	return tested
}

// Guards against a surge of the least urgent calls that degrades more urgent calls, and against slots used for calls that finish
// late. The bounds are the targets in docs/design.md, section 1.3.
func TestSurgeOfLeastUrgent(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for name, fleet := range map[string]func([3]float64) simulation{"falaj": falaj, "icicle": vanDerMerwe} {
			t.Run(fmt.Sprintf("%s x%v", name, factor), func(t *testing.T) {
				tested := compare(t, fleet([3]float64{0.25, 0.15, factor - 0.4}))
				require.GreaterOrEqual(t, tested.inTime(0), 0.99, "urgent")
				require.GreaterOrEqual(t, tested.inTime(1), 0.99, "normal")
			})
		}
	}
}

// Guards against starvation of the other ranks by a surge of the most urgent calls.
func TestSurgeOfMostUrgent(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for name, fleet := range map[string]func([3]float64) simulation{"falaj": falaj, "icicle": vanDerMerwe} {
			t.Run(fmt.Sprintf("%s x%v", name, factor), func(t *testing.T) {
				others := min(0.25, factor/4)
				compare(t, fleet([3]float64{factor - 2*others, others, others}))
			})
		}
	}
}

// Guards against a rank with random arrivals at a little more than its share that loses part of its share between arrivals, while
// the most urgent calls surge. The failure was a share of 0.082 instead of 0.1 for bulk, which has less than one slot of
// Van der Merwe.
func TestShareWithRandomArrivals(t *testing.T) {
	for name, fleet := range map[string]func([3]float64) simulation{"falaj": falaj, "icicle": vanDerMerwe} {
		t.Run(name, func(t *testing.T) {
			sim := fleet([3]float64{4, 1.2 * simRanks[1].minShare, 1.2 * simRanks[2].minShare})
			sim.end = 2 * time.Minute
			tested := compare(t, sim)
			require.GreaterOrEqual(t, tested.share(1), 0.98*simRanks[1].minShare)
		})
	}
}

// Guards against credit or debt that accumulates without bound: a rank that was idle, or that borrowed all slots, gets its share
// within a second of renewed load, and at most twice its share.
func TestShareAfterIdleOrBorrowing(t *testing.T) {
	const turn = 15 * time.Second
	for name, before := range map[string][3]float64{
		"bulk was idle":            {4, 0.3, 0},
		"bulk borrowed every slot": {0, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sim := falaj([3]float64{})
			sim.loads = func(at time.Duration) [3]float64 {
				if at < turn {
					return before
				}
				return [3]float64{4, 4, 4}
			}
			sim.start, sim.end = turn, turn+time.Second
			tested := simulate(newSimulatedScheduler(sim.slots), sim)
			t.Log(describeResult("shares", tested))
			require.GreaterOrEqual(t, tested.share(2), 0.8*simRanks[2].minShare)
			require.GreaterOrEqual(t, tested.share(0), 0.8*simRanks[0].minShare)
			require.LessOrEqual(t, tested.share(2), 2*simRanks[2].minShare)
		})
	}
}
