package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// class is a kind of call in a simulated load.
type class struct {
	name     string
	rank     int
	rate     func(at time.Duration) float64 // calls a second
	service  time.Duration                  // mean
	target   time.Duration
	deadline time.Duration
	tail     float64 // part of the calls that take tailFactor as long
	retries  bool    // callers come back once after a refusal
}

// tally counts what became of the calls of a class.
type tally struct {
	offered, inTime, late, refused int
	returned, returnedInTime       int
	refusedFirst                   int
}

func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(max(1, t.offered)) }

func (t *tally) servedShare() float64 { return float64(t.inTime+t.late) / float64(max(1, t.offered)) }

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation drives a scheduler with a load in virtual time.
type simulation struct {
	scheduler *scheduler
	random    *rand.Rand
	queue     events
	now       time.Duration
	speed     func(at time.Duration) float64
	tallies   map[string]*tally
	from      time.Duration // calls that arrive earlier are not counted
	tells     bool          // the backend server states its slowness with each answer
	waiting   []*simulated
}

// simulated is one call on its way.
type simulated struct {
	*waiting
	class    *class
	first    time.Duration // of the caller's first attempt
	returned bool
}

func simulate(slots int, length time.Duration, speed func(time.Duration) float64, from time.Duration, classes ...class) map[string]*tally {
	return newSimulation(slots, speed, from).run(length, classes...)
}

func newSimulation(slots int, speed func(time.Duration) float64, from time.Duration) *simulation {
	return &simulation{
		scheduler: newScheduler(slots), random: rand.New(rand.NewPCG(7, 7)), speed: speed,
		tallies: make(map[string]*tally), from: from,
	}
}

func (s *simulation) run(length time.Duration, classes ...class) map[string]*tally {
	for i := range classes {
		c := &classes[i]
		s.tallies[c.name] = &tally{}
		s.scheduleArrival(c, 0, length)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
		s.collect()
	}
	return s.tallies
}

func (s *simulation) time(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

func (s *simulation) at(at time.Duration, run func()) { heap.Push(&s.queue, event{at, run}) }

func (s *simulation) scheduleArrival(c *class, after, length time.Duration) {
	next := after + time.Duration(s.random.ExpFloat64()/max(c.rate(after), 0.001)*float64(time.Second))
	if next >= length {
		return
	}
	s.at(next, func() {
		s.arrive(c, next, false)
		s.scheduleArrival(c, next, length)
	})
}

func (s *simulation) arrive(c *class, first time.Duration, returned bool) {
	call := &simulated{class: c, first: first, returned: returned}
	call.waiting = &waiting{
		Call:    Call{Class: c.name, Rank: c.rank, Target: s.time(first + c.target), Deadline: s.time(first + c.deadline), IsRetry: returned},
		decided: make(chan *Refusal, 1),
	}
	if t := s.tally(call); t != nil {
		if returned {
			t.returned++
		} else {
			t.offered++
		}
	}
	s.waiting = append(s.waiting, call)
	s.scheduler.offer(s.time(s.now), call.waiting)
}

func (s *simulation) tally(c *simulated) *tally {
	if c.first < s.from {
		return nil
	}
	return s.tallies[c.class.name]
}

// collect acts on the decisions that the latest event has led to.
func (s *simulation) collect() {
	for again := true; again; {
		again = false
		calls := s.waiting
		s.waiting = nil
		for _, c := range calls {
			select {
			case refused := <-c.decided:
				again = true
				s.decided(c, refused)
			default:
				s.waiting = append(s.waiting, c)
			}
		}
	}
}

func (s *simulation) decided(c *simulated, refused *Refusal) {
	t := s.tally(c)
	if refused == nil {
		spread := 0.5 + s.random.Float64()
		if s.random.Float64() < c.class.tail {
			spread = tailFactor
		}
		took := time.Duration(float64(c.class.service) * spread / s.speed(s.now))
		s.at(s.now+took, func() {
			if t != nil {
				s.count(t, c)
			}
			if s.tells {
				s.scheduler.observe(s.time(s.now), 1/s.speed(s.now))
			}
			s.scheduler.finish(s.time(s.now), c.waiting, Answered)
		})
		return
	}
	if c.class.retries && !c.returned && refused.RetryAfter > 0 {
		s.at(s.now+refused.RetryAfter, func() { s.arrive(c.class, c.first, true) })
		if t != nil {
			t.refusedFirst++
		}
		return
	}
	if t != nil {
		t.refused++
	}
}

func (s *simulation) count(t *tally, c *simulated) {
	switch elapsed := s.now - c.first; {
	case elapsed <= c.class.target:
		t.inTime++
		if c.returned {
			t.returnedInTime++
		}
	case elapsed <= c.class.deadline:
		t.late++
	default:
		t.refused++
	}
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// between returns a rate that is higher for some time.
func between(usual, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return usual
	}
}

func normal(time.Duration) float64 { return 1 }

const tailFactor = 7

// neighbours share the machine: in some spans of 600 ms work takes 2.5 times as long.
func neighbours(at time.Duration) float64 {
	const span = 600 * time.Millisecond
	if rand.New(rand.NewPCG(uint64(at/span), 3)).Float64() < 0.15 {
		return 1 / 2.5
	}
	return 1
}

// Pattern: a surge at a backend server whose machine others use, too, with a few very long calls. Slots go to calls that end in
// time, not to those that will be late.
func TestScheduler_ReportedSlownessReducesLateAnswers(t *testing.T) {
	reads := class{name: "reads", rank: 2, rate: steady(18), service: 200 * time.Millisecond, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, tail: 0.03, retries: true}
	pays := class{name: "pays", rank: 1, rate: steady(8), service: 220 * time.Millisecond, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, tail: 0.03, retries: true}
	play := func(tells bool) (inTime, late int) {
		s := newSimulation(6, neighbours, 5*time.Second)
		s.tells = tells
		for name, got := range s.run(125*time.Second, reads, pays) {
			t.Logf("told %v: %s in time %.3f, late %d of %d", tells, name, got.inTimeShare(), got.late, got.offered)
			inTime, late = inTime+got.inTime, late+got.late
		}
		return inTime, late
	}
	inTimeUntold, lateUntold := play(false)
	inTime, late := play(true)
	assert.Less(t, late, lateUntold)
	assert.GreaterOrEqual(t, inTime, inTimeUntold)
}

// Nine slots take 45 calls of 200 ms a second.
const testSlots = 9

func urgent(rate func(time.Duration) float64) class {
	return class{name: "urgent", rank: 0, rate: rate, service: 200 * time.Millisecond, target: 500 * time.Millisecond, deadline: time.Second, retries: true}
}

func leisurely(rate func(time.Duration) float64) class {
	return class{name: "leisurely", rank: 2, rate: rate, service: 200 * time.Millisecond, target: 2 * time.Second, deadline: 3 * time.Second, retries: true}
}

// Pattern: the least urgent calls flood in at four times what fits.
func TestScheduler_LeastUrgentRankOverload(t *testing.T) {
	got := simulate(testSlots, 30*time.Second, normal, 2*time.Second, urgent(steady(25)), leisurely(between(10, 180, 5*time.Second, 25*time.Second)))
	assert.Greater(t, got["urgent"].inTimeShare(), 0.95)
	assert.Greater(t, got["leisurely"].servedShare(), 0.05, "it does not starve")
}

// Pattern: the most urgent calls flood in. The others keep a part of what these get, and never more than they do.
func TestScheduler_MostUrgentRankOverload(t *testing.T) {
	got := simulate(testSlots, 30*time.Second, normal, 5*time.Second, urgent(between(20, 120, 5*time.Second, 30*time.Second)), leisurely(steady(10)))
	high, low := got["urgent"].servedShare(), got["leisurely"].servedShare()
	t.Logf("served: urgent %.2f, leisurely %.2f", high, low)
	assert.Greater(t, low, 0.25*high, "it does not starve")
	assert.Less(t, low, high+0.05, "it is not served more often than the more urgent ones")
	busy := float64(got["urgent"].inTime+got["urgent"].late+got["leisurely"].inTime+got["leisurely"].late) * 0.2 / (testSlots * 25)
	assert.Greater(t, busy, 0.9, "part of the slots that are in use")
}

// Pattern: a backend server is slow for some seconds after its start. The estimates must not keep calls away afterwards.
func TestScheduler_ColdStart(t *testing.T) {
	cold := func(at time.Duration) float64 {
		if at < 3*time.Second {
			return 0.4
		}
		return 1
	}
	got := simulate(testSlots, 10*time.Second, cold, 4*time.Second, urgent(steady(30)))
	assert.Greater(t, got["urgent"].inTimeShare(), 0.95, "from a second after the cold start on")
}

// Pattern: steady overload by one class whose callers come back once. Those who come back go first.
func TestScheduler_RetriesGoFirst(t *testing.T) {
	got := simulate(testSlots, 30*time.Second, normal, 5*time.Second, urgent(steady(70)))["urgent"]
	firstTime := float64(got.offered-got.refusedFirst) / float64(got.offered)
	again := float64(got.returnedInTime) / float64(max(1, got.returned))
	t.Logf("accepted at first %.2f, in time after a return %.2f", firstTime, again)
	assert.Greater(t, again, firstTime)
	assert.Greater(t, float64(got.inTime)*0.2/(testSlots*25), 0.85, "part of the slots that are busy with calls in time")
}

// Pattern: overload while backend servers call each other. A refused inner call wastes the slot that its parent holds.
func TestScheduler_InnerCallsGoFirst(t *testing.T) {
	inner := class{name: "inner", rank: Inner, rate: steady(60), service: 30 * time.Millisecond, target: 120 * time.Millisecond, deadline: 400 * time.Millisecond}
	got := simulate(testSlots, 30*time.Second, normal, 2*time.Second, inner, urgent(steady(90)))
	assert.Greater(t, got["inner"].servedShare(), 0.99)
}

// Pattern: a light load. Nobody is refused.
func TestScheduler_LightLoadIsNotRefused(t *testing.T) {
	got := simulate(testSlots, 60*time.Second, normal, 0, urgent(steady(15)), leisurely(steady(5)))
	assert.Zero(t, got["urgent"].refused+got["leisurely"].refused)
	assert.Zero(t, got["urgent"].refusedFirst+got["leisurely"].refusedFirst)
}

func TestScheduler_ShedLowersLimitTemporarily(t *testing.T) {
	s := newScheduler(4)
	now := time.Unix(1000, 0)
	var calls []*waiting
	for range 4 {
		c := &waiting{Call: Call{Target: now.Add(time.Second), Deadline: now.Add(time.Second)}, decided: make(chan *Refusal, 1)}
		s.offer(now, c)
		calls = append(calls, c)
	}
	s.finish(now, calls[0], Shed)
	assert.Equal(t, 3, s.limit(now))
	assert.Equal(t, 4, s.limit(now.Add(shedHold)))
}

func TestOriginTracker_Observe(t *testing.T) {
	o := NewOriginTracker()
	for i := range 200 {
		inner := o.Observe("verify", "tracker", "records")
		spread := o.Observe("order", []string{"tracker", "dispatch", "records"}[i%3], "records")
		assert.Equal(t, i+1 >= originSamples, inner)
		assert.False(t, spread)
	}
	for i := range 2 * originMemory { // clients begin to send it
		o.Observe("verify", []string{"tracker", "dispatch"}[i%2], "records")
	}
	assert.False(t, o.Observe("verify", "tracker", "records"))
}

// Pattern: a data centre whose only machines belong to one service. The calls of the clients there are not taken for calls on behalf of
// admitted work.
func TestOriginTracker_SingleServiceDataCentre(t *testing.T) {
	o := NewOriginTracker()
	for range 2 * originMemory {
		assert.False(t, o.Observe("booking", "records", "records"))
	}
}
