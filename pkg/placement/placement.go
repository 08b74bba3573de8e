// Package placement chooses the endpoint that a call is sent to, from what earlier calls showed: load reports that come
// back with each response, calls under way, failures. Health and load that backend servers claim are not asked.
//
// An endpoint is worth the probability that the call is in time there, less a little for a busy one, and less what bytes
// between data centres cost. The probability follows from the endpoint's queue and from how long calls of the same class take
// there, which differs between backend servers. Of many endpoints only a few are compared, chosen at random, so that callers
// with the same reports do not all go to the same one.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
)

// Endpoint is a candidate.
type Endpoint struct {
	ID          string
	Incarnation uint64 // what was observed on a predecessor does not apply
	Address     string // for requests between nodes
	DataCentre  string
	Slots       int
	Warming     bool // its cold start is not over
	Suspect     bool // it did not answer lately
}

// Load is a report of an endpoint about itself.
type Load struct {
	Running, Queued, Limit int
	SlotTime               time.Duration // mean time that a call holds a slot; 0: unknown
	ClassTime              time.Duration // the same for calls of the class that the report answers; 0: unknown
	ClassSpread            time.Duration // mean deviation from ClassTime
	Slowness               float64       // of its machine now, relative to usual, which the times stand for; 0: unknown
	Answered               float64       // part of the recent calls that its backend server answered, 0 to 1
}

// Requirements is what a call asks for.
type Requirements struct {
	Class        string                 // calls of one class have similar service times
	TimeToTarget time.Duration          // until its target
	DelayCost    float64                // worth that it loses in the time until its target: something waits for it. 0: in time is in time
	Bytes        int                    // of the request and its answer, as far as is known
	Excluded     func(e *Endpoint) bool // endpoints that are not to be chosen again; may be nil
	Busy         map[string]bool        // ids of the endpoints that were asked for a free slot and have none; may be nil
}

// Outcome is what one call says about its endpoint.
type Outcome int

// The outcomes.
const (
	Healthy      Outcome = iota // it answered, or refused for lack of room
	Unavailable                 // it refuses calls of the service at present: leaving, or without a backend server
	Failed                      // no usable response
	Unresponsive                // no response in time, and no sign that the request arrived: the endpoint or the path to it is gone
)

const (
	reportMemory    = time.Second // a report loses its weight over this time
	usageWeight     = 0.05        // of a report in the typical usage
	unknownSlotTime = 50 * time.Millisecond
	unknownSpread   = 0.5 // of the slot time
	minSpread       = 5 * time.Millisecond
	warmingFactor   = 2.0  // slot time of a backend server in its cold start, where no call has shown it
	busyCost        = 0.1  // of the worth of a call, at an endpoint whose slots are all in use
	remoteCostPerKB = 0.04 // of the worth of a call: what a KB between data centres costs; the users' price list has 0.02 to 0.1
	minRemoteCost   = 0.04
	maxRemoteCost   = 0.7                    // what a late answer is worth less than one in time: bytes alone do not make a call go unserved
	doubtFactor     = 0.3                    // of the probability, for an endpoint in a data centre where a call was lost since it answered last
	doubtFor        = 3 * time.Second        // after the loss
	lostToCut       = 2                      // endpoints of a data centre lost in a row, with no answer from there in between: it is cut off
	trialEvery      = 250 * time.Millisecond // one call is sent to a data centre that is cut off, to see whether it is back
	suspectFactor   = 0.2                    // of the probability, for an endpoint that did not answer lately
	// maxSeeks bounds the endpoints that are asked for a free slot before a call waits at one. Reports are older than the load that they
	// tell of, the more so the more endpoints and callers there are; the answers are not. When all slots are in use, nobody is asked.
	maxSeeks         = 2
	sampled          = 3 // endpoints compared in the own data centre, and as many elsewhere
	failuresToEject  = 3 // in a row
	firstEjection    = time.Second
	longestEjection  = 8 * time.Second
	maxEjectionShift = 3
	unusableFor      = 300 * time.Millisecond // until membership usually shows why
	forgetUnusedFor  = time.Minute
	forgetEvery      = 10 * time.Second
	maxClasses       = 64 // remembered for each endpoint
)

type key struct {
	id          string
	incarnation uint64
}

// state is what was observed on one endpoint. The chooser's mutex guards it.
type state struct {
	outstanding int // calls of this node under way
	report      Load
	reportedAt  time.Time
	ownAtReport int
	classes     map[string]classTimes

	answeredAt   time.Time
	failures     int // in a row
	ejections    int // in a row
	ejectedUntil time.Time
	unusableTill time.Time
	used         time.Time
}

// classTimes is how long calls of a class hold a slot.
type classTimes struct {
	mean, spread time.Duration
}

// Chooser is safe for concurrent use.
type Chooser struct {
	dataCentre string
	now        func() time.Time
	random     func(n int) int

	mu     sync.Mutex
	states map[key]*state
	paths  map[string]*path  // by data centre
	usages map[string]*usage // by class
	swept  time.Time
}

// usage is how much of their slots endpoints use that take calls of a class.
type usage struct {
	mean float64
	at   time.Time // of the latest report
}

// path is what calls showed about the way to another data centre.
type path struct {
	lostAt  time.Time           // of the latest silent call
	lost    map[*state]struct{} // endpoints with a silent call since the data centre answered last
	trialAt time.Time           // of the latest call that was sent although it is cut off
}

// isCut reports whether the data centre is taken to be cut off.
func (p *path) isCut() bool { return p != nil && len(p.lost) >= lostToCut }

// New returns a chooser for a node in that data centre.
func New(dataCentre string) *Chooser {
	return &Chooser{dataCentre: dataCentre, now: time.Now, random: rand.IntN, states: make(map[key]*state), paths: make(map[string]*path), usages: make(map[string]*usage)}
}

// Choice is a chosen endpoint. Its holder must call Done once.
type Choice struct {
	*Endpoint
	chooser *Chooser
	state   *state
	class   string
	// InTime is the probability that the call is in time.
	InTime float64
	// NoQueue says that the call is not to wait at the endpoint: if no slot is free there, Pick again, with the endpoint among the busy ones.
	NoQueue bool
	value   float64 // InTime less costs
}

// Pick chooses among the endpoints, or returns nil if none is left.
func (c *Chooser) Pick(endpoints []Endpoint, need Requirements) *Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.sweep(now)
	best := c.pick(now, endpoints, need, true)
	if best == nil {
		best = c.pick(now, endpoints, need, false) // all are ejected: one of them may work again
	}
	if best != nil {
		best.state.outstanding++
		best.NoQueue = len(need.Busy) < maxSeeks && !need.Busy[best.ID] && c.typical(now, need.Class) < 1
		if p := c.paths[best.DataCentre]; p.isCut() {
			p.trialAt = now
		}
	}
	return best
}

func (c *Chooser) pick(now time.Time, endpoints []Endpoint, need Requirements, healthy bool) *Choice {
	near, far := c.candidates(now, endpoints, need, healthy)
	local, remote := c.best(now, near, need), c.best(now, far, need)
	switch {
	case local == nil:
		return remote
	case remote == nil || local.value >= remote.value-need.remoteCost():
		return local
	}
	return remote
}

// remoteCost is what it costs to send the call to another data centre, as a part of its worth.
func (n *Requirements) remoteCost() float64 {
	const bytesPerKB = 1000
	return max(minRemoteCost, min(maxRemoteCost, remoteCostPerKB*float64(n.Bytes)/bytesPerKB))
}

// candidates separates the endpoints of the own data centre from the others.
func (c *Chooser) candidates(now time.Time, endpoints []Endpoint, need Requirements, healthy bool) (near, far []*Endpoint) {
	for i := range endpoints {
		e := &endpoints[i]
		if need.Excluded != nil && need.Excluded(e) {
			continue
		}
		s, p := c.state(e), c.paths[e.DataCentre]
		s.used = now
		trial := p.isCut() && now.Sub(p.trialAt) >= trialEvery
		switch {
		case p.isCut() && !trial:
		case healthy && !trial && (now.Before(s.ejectedUntil) || now.Before(s.unusableTill)):
		case e.DataCentre == c.dataCentre:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	return near, far
}

// best compares a few endpoints and returns the one that is worth most.
func (c *Chooser) best(now time.Time, endpoints []*Endpoint, need Requirements) *Choice {
	for i := 0; i < len(endpoints) && i < sampled; i++ {
		j := i + c.random(len(endpoints)-i)
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	var best *Choice
	for _, e := range endpoints[:min(sampled, len(endpoints))] {
		choice := c.rate(now, e, need)
		if best == nil || choice.value > best.value {
			best = choice
		}
	}
	return best
}

// rate works out what an endpoint is worth to a call.
func (c *Chooser) rate(now time.Time, e *Endpoint, need Requirements) *Choice {
	s := c.state(e)
	calls, limit := s.load(now, e, c.typical(now, need.Class))
	slot := s.report.SlotTime
	if slot == 0 {
		slot = unknownSlotTime
	}
	times, slowness := s.times(e, need.Class, slot), s.slowness(now)
	wait := max(0, calls+1-limit) / limit * float64(slot)
	takes := slowness * (wait + float64(times.mean))
	inTime := probability(float64(need.TimeToTarget)-takes, slowness*float64(times.spread))
	if !s.reportedAt.IsZero() {
		inTime *= s.report.Answered
	}
	if e.Suspect {
		inTime *= suspectFactor
	}
	if p := c.paths[e.DataCentre]; p != nil && now.Sub(p.lostAt) < doubtFor && s.answeredAt.Before(p.lostAt) {
		inTime *= doubtFactor
	}
	// An overloaded endpoint is not worth more than a slightly less overloaded one only because both are hopeless.
	return &Choice{Endpoint: e, chooser: c, state: s, class: need.Class, InTime: inTime, value: inTime - busyCost*calls/limit - need.DelayCost*min(1, takes/float64(need.TimeToTarget))}
}

// slowness is how long work takes at the endpoint now, relative to usual.
func (s *state) slowness(now time.Time) float64 {
	if s.report.Slowness == 0 {
		return 1
	}
	return admission.DecayedSlowness(s.report.Slowness, now.Sub(s.reportedAt))
}

// times is how long a call of the class holds a slot of the endpoint.
func (s *state) times(e *Endpoint, class string, slot time.Duration) classTimes {
	if known, ok := s.classes[class]; ok {
		return known
	}
	if e.Warming {
		slot = time.Duration(float64(slot) * warmingFactor)
	}
	return classTimes{slot, time.Duration(unknownSpread * float64(slot))}
}

// probability is that of a value which deviates by spread on average being at most slack above its mean.
func probability(slack, spread float64) float64 {
	const deviations = 1.25 // standard deviations in a mean deviation, of a normal distribution
	const steepness = 1.702 // of the logistic function that is closest to the normal distribution
	return 1 / (1 + math.Exp(-steepness*slack/(deviations*max(spread, float64(minSpread)))))
}

// typical is the part of their slots that endpoints use lately which take calls of the class.
func (c *Chooser) typical(now time.Time, class string) float64 {
	u := c.usages[class]
	if u == nil {
		return 0
	}
	return u.mean * max(0, 1-now.Sub(u.at).Seconds()/reportMemory.Seconds())
}

// observe takes in how much of its slots an endpoint uses.
func (c *Chooser) observe(now time.Time, class string, l Load) {
	u := c.usages[class]
	if u == nil {
		if len(c.usages) >= maxClasses {
			clear(c.usages)
		}
		u = &usage{}
		c.usages[class] = u
	}
	u.mean += (float64(l.Running+l.Queued)/float64(max(1, l.Limit)) - u.mean) * usageWeight
	u.at = now
}

// load estimates the calls at the endpoint and how many it takes at once. One that has not reported lately is taken for a typical one:
// if it were taken for an idle one, calls would go to those that are known least.
func (s *state) load(now time.Time, e *Endpoint, typical float64) (calls, limit float64) {
	limit = float64(max(e.Slots, 1))
	own := float64(s.outstanding)
	if s.reportedAt.IsZero() {
		return max(own, typical*limit), limit
	}
	if s.report.Limit > 0 {
		limit = float64(s.report.Limit)
	}
	weight := max(0, 1-now.Sub(s.reportedAt).Seconds()/reportMemory.Seconds())
	reported := float64(s.report.Running+s.report.Queued) + own - float64(s.ownAtReport)
	return max(own, weight*reported+(1-weight)*typical*limit), limit
}

func (c *Chooser) state(e *Endpoint) *state {
	k := key{e.ID, e.Incarnation}
	s := c.states[k]
	if s == nil {
		s = &state{}
		c.states[k] = s
	}
	return s
}

// Done ends the call. The load is that of the response; nil if there was none.
func (ch *Choice) Done(o Outcome, load *Load) {
	c := ch.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s := ch.state
	s.outstanding--
	if load != nil {
		s.observe(now, ch.class, *load)
		c.observe(now, ch.class, *load)
	}
	switch o {
	case Healthy:
		s.failures, s.ejections = 0, 0
		s.answeredAt = now
		c.reached(now, ch.DataCentre)
	case Unavailable:
		s.unusableTill = now.Add(unusableFor)
	case Failed:
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(now)
		}
	case Unresponsive:
		c.lost(now, ch.DataCentre, s)
		s.eject(now)
	}
}

// lost notes a silent call to an endpoint of another data centre. The nodes of the own one share no path that could be cut.
func (c *Chooser) lost(now time.Time, dataCentre string, s *state) {
	if dataCentre == c.dataCentre {
		return
	}
	p := c.paths[dataCentre]
	if p == nil {
		p = &path{lost: make(map[*state]struct{})}
		c.paths[dataCentre] = p
	}
	p.lostAt = now
	p.lost[s] = struct{}{}
	if len(p.lost) == lostToCut {
		p.trialAt = now
	}
}

// reached notes an answer from the data centre. If it had been cut off, its endpoints were silent because of the path: they are
// candidates again at once.
func (c *Chooser) reached(now time.Time, dataCentre string) {
	p := c.paths[dataCentre]
	if p == nil || len(p.lost) == 0 {
		return
	}
	if p.isCut() {
		for s := range p.lost {
			s.ejectedUntil, s.ejections, s.failures = now, 0, 0
		}
	}
	clear(p.lost)
}

// observe takes in a report that answered a call of the class.
func (s *state) observe(now time.Time, class string, l Load) {
	s.report, s.reportedAt, s.ownAtReport = l, now, s.outstanding
	if l.ClassTime == 0 {
		return
	}
	if s.classes == nil || len(s.classes) >= maxClasses {
		s.classes = make(map[string]classTimes)
	}
	s.classes[class] = classTimes{l.ClassTime, l.ClassSpread}
}

// eject takes the endpoint out of use for a while. One failure after its return is enough for the next time.
func (s *state) eject(now time.Time) {
	s.ejectedUntil = now.Add(min(firstEjection<<min(s.ejections, maxEjectionShift), longestEjection))
	s.ejections++
	s.failures = failuresToEject - 1
}

// Ejected returns how many endpoints are out of use at present.
func (c *Chooser) Ejected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, n := c.now(), 0
	for _, s := range c.states {
		if now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// sweep forgets endpoints that are no longer candidates.
func (c *Chooser) sweep(now time.Time) {
	if now.Sub(c.swept) < forgetEvery {
		return
	}
	c.swept = now
	for k, s := range c.states {
		if s.outstanding == 0 && now.Sub(s.used) > forgetUnusedFor {
			delete(c.states, k)
		}
	}
}
