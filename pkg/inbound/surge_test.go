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

// The simulation drives admission on a virtual clock: calls arrive in a Poisson process for each rank, and service times
// are log-normal. It measures what each rank gets in time and how the slots are used.

const (
	simSigma = 0.4             // of the logarithm of the service time
	simStart = 5 * time.Second // not measured: the limit grows from its initial value
	simEnd   = 30 * time.Second
	simTick  = 100 * time.Millisecond
)

// simulation is one run. Loads are the slot seconds that each rank asks for in a second, as a part of all slots. It is
// measured from start to end: the ratio in time by arrival, the use of the slots by the end of the calls.
type simulation struct {
	slots      int
	service    [3]time.Duration // mean service time of each rank
	loads      func(at time.Duration) [3]float64
	start, end time.Duration
}

// falaj has the slots of a backend server of Falaj, icicle those of Van der Merwe, where the least urgent work is slow.
func falaj(loads [3]float64) simulation {
	const service = 50 * time.Millisecond
	return simulation{10, [3]time.Duration{service, service, service}, constant(loads), simStart, simEnd}
}

func icicle(loads [3]float64) simulation {
	const service = 40 * time.Millisecond
	return simulation{6, [3]time.Duration{service, service, 4 * service}, constant(loads), simStart, simEnd}
}

var simRanks = []rankPolicy{
	{name: "urgent", share: 0.4, target: 250 * time.Millisecond},
	{name: "normal", share: 0.3, target: 500 * time.Millisecond},
	{name: "bulk", share: 0.1, target: time.Second},
}

// simCall is one call in the simulation.
type simCall struct {
	rank              int
	arrived, deadline time.Time
	service           time.Duration
	measured          bool
	call              *call // of the scheduler under test
}

// discipline is an admission algorithm in the simulation. Its methods return the calls that start now.
type discipline interface {
	offer(now time.Time, c *simCall) []*simCall
	finish(now time.Time, c *simCall) []*simCall
	tick(now time.Time) []*simCall
}

// rankStats is what one rank got.
type rankStats struct {
	offered, inTime, late int
	served                float64 // slot seconds spent on calls in time
}

type simResult struct {
	ranks      []rankStats
	busy, good float64 // slot seconds in use, and those spent on calls that finished in time
	capacity   float64 // slot seconds of the measured period
}

func (r simResult) inTime(rank int) float64 {
	return float64(r.ranks[rank].inTime) / float64(max(1, r.ranks[rank].offered))
}

// share returns the part of all slot seconds that a rank spent on calls in time.
func (r simResult) share(rank int) float64 {
	return r.ranks[rank].served / r.capacity
}

type simKind int

const (
	simArrival simKind = iota
	simEnded
	simTicked
	simIdle // a rank without load looks again
)

type simEvent struct {
	at   time.Time
	kind simKind
	rank int      // of simArrival and simIdle
	call *simCall // of simEnded
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

// simulate runs a discipline with fixed seeds.
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
			heap.Push(events, simEvent{at: now.Add(c.service), kind: simEnded, call: c})
		}
	}
	for rank := range simRanks {
		schedule(rank, origin)
	}
	heap.Push(events, simEvent{at: origin, kind: simTicked})
	for events.Len() > 0 {
		e := heap.Pop(events).(simEvent)
		arriving := e.at.Sub(origin) < sim.end
		switch e.kind {
		case simEnded:
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
				deadline: e.at.Add(2 * simRanks[e.rank].target),
				service:  time.Duration(factor * float64(sim.service[e.rank])),
				measured: e.at.Sub(origin) >= sim.start,
			}
			if c.measured {
				result.ranks[c.rank].offered++
			}
			launch(e.at, d.offer(e.at, c))
		case simTicked:
			if arriving {
				heap.Push(events, simEvent{at: e.at.Add(simTick), kind: simTicked})
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

// count adds an ended call. During tells whether it ended in the measured period.
func (r *simResult) count(c *simCall, ended time.Time, during bool) {
	stats := &r.ranks[c.rank]
	inTime := ended.Sub(c.arrived) <= simRanks[c.rank].target
	switch {
	case c.measured && inTime:
		stats.inTime++
	case c.measured:
		stats.late++
	}
	if !during {
		return
	}
	r.busy += c.service.Seconds()
	if inTime {
		r.good += c.service.Seconds()
		stats.served += c.service.Seconds()
	}
}

// underTest adapts the scheduler to the simulation.
type underTest struct {
	scheduler      *scheduler
	waiting        []*simCall
	inFlight, peak int
}

func newUnderTest(slots int) *underTest {
	return &underTest{scheduler: newScheduler(newLimiter(slots, 2), 100, simRanks)}
}

func (u *underTest) offer(now time.Time, c *simCall) []*simCall {
	c.call = &call{rank: u.scheduler.rank(simRanks[c.rank].name), arrived: now, deadline: c.deadline, decided: make(chan decision, 1)}
	u.waiting = append(u.waiting, c)
	u.scheduler.offer(now, c.call)
	return u.collect()
}

func (u *underTest) finish(now time.Time, c *simCall) []*simCall {
	u.inFlight--
	u.scheduler.finish(now, c.call, result{answered: true})
	return u.collect()
}

func (u *underTest) tick(now time.Time) []*simCall {
	u.scheduler.tick(now)
	return u.collect()
}

func (u *underTest) collect() []*simCall {
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

// baseline serves calls in order of arrival or by strict priority, with bounded queues and without shares or refusals
// of hopeless calls.
type baseline struct {
	slots    int
	strict   bool
	queues   [][]*simCall
	inFlight int
}

func newBaseline(slots int, strict bool) *baseline {
	return &baseline{slots: slots, strict: strict, queues: make([][]*simCall, len(simRanks))}
}

func (b *baseline) offer(_ time.Time, c *simCall) []*simCall {
	queue := 0
	if b.strict {
		queue = c.rank
	}
	if len(b.queues[queue]) < 100 {
		b.queues[queue] = append(b.queues[queue], c)
	}
	return b.start()
}

func (b *baseline) finish(time.Time, *simCall) []*simCall {
	b.inFlight--
	return b.start()
}

func (b *baseline) tick(time.Time) []*simCall { return nil }

func (b *baseline) start() []*simCall {
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
	text := fmt.Sprintf("%-6s slots_in_time=%.3f used=%.3f", name, r.good/max(r.busy, 1e-9), r.busy/r.capacity)
	for i, rank := range simRanks {
		text += fmt.Sprintf(" %s(in_time=%.3f late=%d share=%.3f)", rank.name, r.inTime(i), r.ranks[i].late, r.share(i))
	}
	return text
}

// compare runs the scheduler and both baselines, logs them and returns the scheduler's result. Requirements that hold
// for every load: the slots are never exceeded, work in time fills them, and every rank keeps its share.
func compare(t *testing.T, sim simulation) simResult {
	t.Helper()
	u := newUnderTest(sim.slots)
	tested := simulate(u, sim)
	t.Log(describeResult("shares", tested))
	t.Log(describeResult("fifo", simulate(newBaseline(sim.slots, false), sim)))
	t.Log(describeResult("strict", simulate(newBaseline(sim.slots, true), sim)))
	require.LessOrEqual(t, u.peak, sim.slots)
	require.GreaterOrEqual(t, tested.good/tested.busy, 0.95, "slots used for work in time")
	offered := sim.loads(sim.start)
	total := 0.0
	for i, rank := range simRanks {
		total += offered[i]
		// A twentieth covers the random arrivals of a finite run.
		require.GreaterOrEqual(t, tested.share(i), 0.95*min(rank.share, offered[i])-0.005, rank.name)
	}
	require.GreaterOrEqual(t, tested.good/tested.capacity, 0.9*min(total, 1), "unused share is lent")
	return tested
}

// Guards against a surge of the least urgent work that costs urgent work its service, and against slots that are spent
// on late work. The figures are the targets of design 1.3.
func TestSurgeOfLeastUrgent(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for name, fleet := range map[string]func([3]float64) simulation{"falaj": falaj, "icicle": icicle} {
			t.Run(fmt.Sprintf("%s x%v", name, factor), func(t *testing.T) {
				tested := compare(t, fleet([3]float64{0.25, 0.15, factor - 0.4}))
				require.GreaterOrEqual(t, tested.inTime(0), 0.99, "urgent")
				require.GreaterOrEqual(t, tested.inTime(1), 0.99, "normal")
			})
		}
	}
}

// Guards against a surge of the most urgent work that starves the rest.
func TestSurgeOfMostUrgent(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for name, fleet := range map[string]func([3]float64) simulation{"falaj": falaj, "icicle": icicle} {
			t.Run(fmt.Sprintf("%s x%v", name, factor), func(t *testing.T) {
				others := min(0.25, factor/4)
				compare(t, fleet([3]float64{factor - 2*others, others, others}))
			})
		}
	}
}

// Guards against a rank that asks for a little more than its share and loses part of it in the gaps between random
// arrivals, while the most urgent work surges.
func TestShareWithRandomArrivals(t *testing.T) {
	for name, fleet := range map[string]func([3]float64) simulation{"falaj": falaj, "icicle": icicle} {
		t.Run(name, func(t *testing.T) {
			sim := fleet([3]float64{4, 1.2 * simRanks[1].share, 1.2 * simRanks[2].share})
			sim.end = 2 * time.Minute
			tested := compare(t, sim) // the share of bulk, which has less than one slot of Van der Merwe, failed at 0.082 of 0.1
			require.GreaterOrEqual(t, tested.share(1), 0.98*simRanks[1].share)
		})
	}
}

// Guards against credit or debt from the past: a rank that was idle, or that borrowed all slots, gets its share within a
// second of coming back, and no more than its share.
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
			tested := simulate(newUnderTest(sim.slots), sim)
			t.Log(describeResult("shares", tested))
			require.GreaterOrEqual(t, tested.share(2), 0.8*simRanks[2].share)
			require.GreaterOrEqual(t, tested.share(0), 0.8*simRanks[0].share)
			require.LessOrEqual(t, tested.share(2), 2*simRanks[2].share)
		})
	}
}
