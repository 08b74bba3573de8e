package admission

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// class describes a class of calls in a simulated load.
type class struct {
	name     string
	rank     int
	rate     func(at time.Duration) float64 // calls per second
	service  time.Duration                  // mean
	target   time.Duration
	deadline time.Duration
	tail     float64 // fraction of the calls that take tailFactor times the mean service time
	retries  bool    // callers retry once after a refusal
	kind     string  // class of the calls; default: name
	team     string
	nested   bool
	lastNode bool // no other node is asked
	patient  bool // callers retry twice
}

// classResult counts the outcomes of the calls of a class.
type classResult struct {
	offered, inTime, late, refused int
	retried, retriedInTime         int
	firstAttemptRefused            int
}

func (t *classResult) inTimeShare() float64 { return float64(t.inTime) / float64(max(1, t.offered)) }

func (t *classResult) servedShare() float64 {
	return float64(t.inTime+t.late) / float64(max(1, t.offered))
}

// event is an action at a simulated time.
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

// simulation drives a scheduler with a load in simulated time.
type simulation struct {
	scheduler       *Scheduler
	random          *rand.Rand
	queue           events
	now             time.Duration
	speed           func(at time.Duration) float64
	results         map[string]*classResult
	countFrom       time.Duration // calls with an earlier first attempt are not counted
	reportsSlowness bool          // the backend server reports its slowness with each response
	refusedWaiting  int           // calls that were refused after they waited beyond their target
}

// simulatedCall is one attempt of a call.
type simulatedCall struct {
	*Ticket
	class        *class
	firstAttempt time.Duration // arrival of the caller's first attempt
	isRetry      bool
	isLast       bool
}

func simulate(slots int, length time.Duration, speed func(time.Duration) float64, countFrom time.Duration, classes ...class) map[string]*classResult {
	return newSimulation(slots, speed, countFrom).run(length, classes...)
}

func newSimulation(slots int, speed func(time.Duration) float64, countFrom time.Duration) *simulation {
	return &simulation{
		scheduler: NewScheduler(slots, DefaultPolicy()), random: rand.New(rand.NewPCG(7, 7)), speed: speed,
		results: make(map[string]*classResult), countFrom: countFrom,
	}
}

func (s *simulation) run(length time.Duration, classes ...class) map[string]*classResult {
	for i := range classes {
		c := &classes[i]
		s.results[c.name] = &classResult{}
		s.scheduleArrival(c, 0, length)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s.results
}

func (s *simulation) time(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

func (s *simulation) schedule(at time.Duration, run func()) { heap.Push(&s.queue, event{at, run}) }

func (s *simulation) scheduleArrival(c *class, after, length time.Duration) {
	next := after + time.Duration(s.random.ExpFloat64()/max(c.rate(after), 0.001)*float64(time.Second))
	if next >= length {
		return
	}
	s.schedule(next, func() {
		s.arrive(c, next, false)
		s.scheduleArrival(c, next, length)
	})
}

func (s *simulation) arrive(c *class, firstAttempt time.Duration, isRetry bool) {
	s.attempt(&simulatedCall{class: c, firstAttempt: firstAttempt, isRetry: isRetry, isLast: isRetry})
}

func (s *simulation) arriveAgain(earlier *simulatedCall) {
	s.attempt(&simulatedCall{class: earlier.class, firstAttempt: earlier.firstAttempt, isRetry: true, isLast: earlier.isRetry || !earlier.class.patient})
}

func (s *simulation) attempt(call *simulatedCall) {
	c, firstAttempt, isRetry := call.class, call.firstAttempt, call.isRetry
	call.Ticket = &Ticket{
		Call: Call{
			Class: cmp.Or(c.kind, c.name), Rank: c.rank, Nested: c.nested, Team: c.team, Target: s.time(firstAttempt + c.target), Deadline: s.time(firstAttempt + c.deadline),
			IsRetry: isRetry, LastNode: c.lastNode,
		},
		Decide: func(r *Refusal) { s.handleDecision(call, r) },
	}
	if t := s.resultOf(call); t != nil {
		if isRetry {
			t.retried++
		} else {
			t.offered++
		}
	}
	s.scheduler.Offer(s.time(s.now), call.Ticket)
}

func (s *simulation) resultOf(c *simulatedCall) *classResult {
	if c.firstAttempt < s.countFrom {
		return nil
	}
	return s.results[c.class.name]
}

func (s *simulation) handleDecision(c *simulatedCall, refused *Refusal) {
	t := s.resultOf(c)
	if refused == nil {
		spread := 0.5 + s.random.Float64()
		if s.random.Float64() < c.class.tail {
			spread = tailFactor
		}
		duration := time.Duration(float64(c.class.service) * spread / s.speed(s.now))
		s.schedule(s.now+duration, func() {
			if t != nil {
				s.countResponse(t, c)
			}
			if s.reportsSlowness {
				s.scheduler.ObserveSlowness(s.time(s.now), 1/s.speed(s.now))
			}
			s.scheduler.Finish(s.time(s.now), c.Ticket, Answered)
		})
		return
	}
	if refused.Delay == DelayLate {
		s.refusedWaiting++
	}
	if c.class.retries && !c.isLast && refused.RetryAfter > 0 {
		s.schedule(s.now+refused.RetryAfter, func() { s.arriveAgain(c) })
		if t != nil {
			t.firstAttemptRefused++
		}
		return
	}
	if t != nil {
		t.refused++
	}
}

func (s *simulation) countResponse(t *classResult, c *simulatedCall) {
	switch elapsed := s.now - c.firstAttempt; {
	case elapsed <= c.class.target:
		t.inTime++
		if c.isRetry {
			t.retriedInTime++
		}
	case elapsed <= c.class.deadline:
		t.late++
	default:
		t.refused++
	}
}

func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burstRate returns a rate that is high inside the interval and base outside it.
func burstRate(base, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return base
	}
}

func normalSpeed(time.Duration) float64 { return 1 }

const tailFactor = 7

// sharedMachineSpeed models other processes on the machine: in 15% of the 600 ms intervals, work takes 2.5 times as long.
func sharedMachineSpeed(at time.Duration) float64 {
	const span = 600 * time.Millisecond
	if rand.New(rand.NewPCG(uint64(at/span), 3)).Float64() < 0.15 {
		return 1 / 2.5
	}
	return 1
}

// Guards against slots spent on late calls during a surge at a backend server on a shared machine, with a few very long calls. Reported
// slowness lets the scheduler prefer calls that can be in time.
func TestScheduler_ReportedSlownessReducesLateResponses(t *testing.T) {
	reads := class{name: "reads", rank: 2, rate: constantRate(18), service: 200 * time.Millisecond, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, tail: 0.03, retries: true}
	payments := class{name: "pays", rank: 1, rate: constantRate(8), service: 220 * time.Millisecond, target: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, tail: 0.03, retries: true}
	run := func(reported bool) (inTime, late int) {
		s := newSimulation(6, sharedMachineSpeed, 5*time.Second)
		s.reportsSlowness = reported
		for name, got := range s.run(125*time.Second, reads, payments) {
			t.Logf("slowness reported %v: %s in time %.3f, late %d of %d", reported, name, got.inTimeShare(), got.late, got.offered)
			inTime, late = inTime+got.inTime, late+got.late
		}
		return inTime, late
	}
	inTimeUnreported, lateUnreported := run(false)
	inTime, late := run(true)
	assert.Less(t, late, lateUnreported)
	assert.GreaterOrEqual(t, inTime, inTimeUnreported)
}

// testSlots serves 45 calls of 200 ms per second.
const testSlots = 9

func urgentClass(rate func(time.Duration) float64) class {
	return class{name: "urgent", rank: 0, rate: rate, service: 200 * time.Millisecond, target: 500 * time.Millisecond, deadline: time.Second, retries: true}
}

func backgroundClass(rate func(time.Duration) float64) class {
	return class{name: "leisurely", rank: 2, rate: rate, service: 200 * time.Millisecond, target: 2 * time.Second, deadline: 3 * time.Second, retries: true}
}

// Guards against an overload by the least urgent rank, at four times the capacity, that delays urgent calls.
func TestScheduler_LeastUrgentRankOverload(t *testing.T) {
	got := simulate(testSlots, 30*time.Second, normalSpeed, 2*time.Second, urgentClass(constantRate(25)), backgroundClass(burstRate(10, 180, 5*time.Second, 25*time.Second)))
	assert.Greater(t, got["urgent"].inTimeShare(), 0.95)
	assert.Greater(t, got["leisurely"].servedShare(), 0.05, "it does not starve")
}

// Guards against starvation of less urgent ranks during an overload by the most urgent one. Their served share stays above a
// fraction of that of the most urgent rank, and never exceeds it.
func TestScheduler_MostUrgentRankOverload(t *testing.T) {
	got := simulate(testSlots, 30*time.Second, normalSpeed, 5*time.Second, urgentClass(burstRate(20, 120, 5*time.Second, 30*time.Second)), backgroundClass(constantRate(10)))
	high, low := got["urgent"].servedShare(), got["leisurely"].servedShare()
	t.Logf("served: urgent %.2f, leisurely %.2f", high, low)
	assert.Greater(t, low, 0.25*high, "it does not starve")
	assert.Less(t, low, high+0.05, "it is not served more often than the more urgent ones")
	utilisation := float64(got["urgent"].inTime+got["urgent"].late+got["leisurely"].inTime+got["leisurely"].late) * 0.2 / (testSlots * 25)
	assert.Greater(t, utilisation, 0.9, "fraction of the slots in use")
}

// Guards against estimates from the slow seconds after a start that cause refusals after the cold start is over.
func TestScheduler_ColdStart(t *testing.T) {
	cold := func(at time.Duration) float64 {
		if at < 3*time.Second {
			return 0.4
		}
		return 1
	}
	got := simulate(testSlots, 10*time.Second, cold, 4*time.Second, urgentClass(constantRate(30)))
	assert.Greater(t, got["urgent"].inTimeShare(), 0.95, "share of calls in time, from one second after the end of the cold start")
}

// Guards against estimates that stay as long as during the cold start until many calls have ended.
func TestScheduler_EndOfColdStart(t *testing.T) {
	const cold, warm = 400 * time.Millisecond, 200 * time.Millisecond
	s := NewScheduler(4, DefaultPolicy())
	now := time.Unix(1000, 0)
	s.SetColdUntil(now.Add(10 * cold))
	serve := func(duration time.Duration) {
		ticket := &Ticket{Call: Call{Class: "eta", Target: now.Add(time.Second), Deadline: now.Add(time.Second)}, Decide: func(*Refusal) {}}
		s.Offer(now, ticket)
		now = now.Add(duration)
		s.Finish(now, ticket, Answered)
	}
	for range 10 {
		serve(cold)
	}
	for range 4 {
		serve(warm)
	}
	assert.Less(t, s.Load(now, "eta").ClassTime, 5*warm/4)
}

// Guards against refusing retries as often as first attempts in a steady overload by one class whose callers retry once.
func TestScheduler_RetriesGoFirst(t *testing.T) {
	got := simulate(testSlots, 30*time.Second, normalSpeed, 5*time.Second, urgentClass(constantRate(70)))["urgent"]
	firstAttempts := float64(got.offered-got.firstAttemptRefused) / float64(got.offered)
	retries := float64(got.retriedInTime) / float64(max(1, got.retried))
	t.Logf("first attempts accepted %.2f, retries in time %.2f", firstAttempts, retries)
	assert.Greater(t, retries, firstAttempts)
	assert.Greater(t, float64(got.inTime)*0.2/(testSlots*25), 0.85, "fraction of the slots used by calls in time")
}

// Guards against refusing nested calls in an overload: a refused nested call wastes the slot that its parent call holds.
// Pattern: a service is short of slots for a long time, and a route with a longer target has few calls of the same rank. Guards against a
// queue so short that calls with earlier targets fill it, so that those of the other route starve.
func TestScheduler_LongerTargetsAreNotStarved(t *testing.T) {
	short := class{name: "short", rate: constantRate(140), service: 90 * time.Millisecond, target: 400 * time.Millisecond, deadline: time.Second, retries: true}
	long := class{name: "long", rate: constantRate(3), service: 90 * time.Millisecond, target: time.Second, deadline: 1100 * time.Millisecond}
	got := simulate(9, 40*time.Second, normalSpeed, 5*time.Second, short, long)
	assert.Greater(t, got["long"].servedShare(), got["short"].servedShare()/4)
}

func TestScheduler_NestedCallsGoFirst(t *testing.T) {
	nested := class{name: "inner", rank: Nested, rate: constantRate(60), service: 30 * time.Millisecond, target: 120 * time.Millisecond, deadline: 400 * time.Millisecond}
	got := simulate(testSlots, 30*time.Second, normalSpeed, 2*time.Second, nested, urgentClass(constantRate(90)))
	assert.Greater(t, got["inner"].servedShare(), 0.99)
}

// Guards against refusals under light load.
func TestScheduler_LightLoadIsNotRefused(t *testing.T) {
	got := simulate(testSlots, 60*time.Second, normalSpeed, 0, urgentClass(constantRate(15)), backgroundClass(constantRate(5)))
	assert.Zero(t, got["urgent"].refused+got["leisurely"].refused)
	assert.Zero(t, got["urgent"].firstAttemptRefused+got["leisurely"].firstAttemptRefused)
}

func TestScheduler_ShedLowersLimitTemporarily(t *testing.T) {
	s := NewScheduler(4, DefaultPolicy())
	now := time.Unix(1000, 0)
	var calls []*Ticket
	for range 4 {
		c := &Ticket{Call: Call{Target: now.Add(time.Second), Deadline: now.Add(time.Second)}, Decide: func(*Refusal) {}}
		s.Offer(now, c)
		calls = append(calls, c)
	}
	s.Finish(now, calls[0], Shed)
	assert.Equal(t, 3, s.limit(now))
	assert.Equal(t, 4, s.limit(now.Add(DefaultPolicy().ShedLimitDuration)))
}

func TestOriginTracker_Observe(t *testing.T) {
	o := NewOriginTracker()
	for i := range 200 {
		nested := o.Observe("verify", "tracker", "records")
		spread := o.Observe("order", []string{"tracker", "dispatch", "records"}[i%3], "records")
		assert.Equal(t, i+1 >= minOriginSamples, nested)
		assert.False(t, spread)
	}
	for i := range 2 * originDecayCount { // clients on machines of both services send the class
		o.Observe("verify", []string{"tracker", "dispatch"}[i%2], "records")
	}
	assert.False(t, o.Observe("verify", "tracker", "records"))
}

// Guards against classifying client calls as nested in a data centre whose machines all belong to one service.
func TestOriginTracker_SingleServiceDataCentre(t *testing.T) {
	o := NewOriginTracker()
	for range 2 * originDecayCount {
		assert.False(t, o.Observe("booking", "records", "records"))
	}
}
