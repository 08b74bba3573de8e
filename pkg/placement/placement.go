// Package placement chooses the endpoint that a call is sent to, from what earlier calls showed: load reports that come
// back with each response, calls under way, failures. Health and load that backend servers claim are not asked.
//
// An endpoint in the caller's own data centre is preferred as long as the call is expected to be in time there, because bytes
// between data centres are dear. Otherwise the endpoint with the shortest expected time is chosen. Of many endpoints only a
// few are compared, chosen at random, so that callers with the same reports do not all go to the same one.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"
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
	Answered               float64       // part of the recent calls that its backend server answered, 0 to 1
}

// Need is what a call asks for.
type Need struct {
	Left  time.Duration          // until its target
	Tried func(e *Endpoint) bool // endpoints that are not to be chosen again; may be nil
}

// Outcome is what one call says about its endpoint.
type Outcome int

// The outcomes.
const (
	Good     Outcome = iota // it answered, or refused for lack of room
	Unusable                // it refuses calls of the service at present: leaving, or without a backend server
	Failed                  // no usable response
)

const (
	reportMemory     = time.Second // a report loses its weight over this time
	unknownSlotTime  = 50 * time.Millisecond
	warmingFactor    = 2.0  // slot time of a backend server in its cold start, relative to later
	comfortable      = 0.6  // of the time until the target: an own data centre is preferred while the call is expected within it
	busy             = 0.9  // of the slots of an endpoint of the own data centre, above which others are compared too
	remotePenalty    = 0.1  // of the time until the target, added for another data centre
	minAnswered      = 0.05 // bounds the expected number of tries
	sampled          = 3    // endpoints compared in the own data centre, and as many elsewhere
	failuresToEject  = 3    // in a row
	firstEjection    = time.Second
	longestEjection  = 8 * time.Second
	unusableFor      = 300 * time.Millisecond // until membership usually shows why
	forgetUnusedFor  = time.Minute
	forgetEvery      = 10 * time.Second
	suspectPenalty   = 1.0 // of the time until the target
	maxEjectionShift = 3
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

	failures     int // in a row
	ejections    int // in a row
	ejectedUntil time.Time
	unusableTill time.Time
	used         time.Time
}

// Chooser is safe for concurrent use.
type Chooser struct {
	dataCentre string
	now        func() time.Time
	random     func(n int) int

	mu     sync.Mutex
	states map[key]*state
	swept  time.Time
}

// New returns a chooser for a node in that data centre.
func New(dataCentre string) *Chooser {
	return &Chooser{dataCentre: dataCentre, now: time.Now, random: rand.IntN, states: make(map[key]*state)}
}

// Choice is a chosen endpoint. Its holder must call Done once.
type Choice struct {
	*Endpoint
	chooser *Chooser
	state   *state
	// Expected is how long the call is expected to take.
	Expected time.Duration
}

// Pick chooses among the endpoints, or returns nil if none is left.
func (c *Chooser) Pick(endpoints []Endpoint, need Need) *Choice {
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
	}
	return best
}

func (c *Chooser) pick(now time.Time, endpoints []Endpoint, need Need, healthy bool) *Choice {
	near, far := c.candidates(now, endpoints, need, healthy)
	local := c.best(now, near, need)
	if local != nil && local.Expected <= time.Duration(comfortable*float64(need.Left)) && !c.isBusy(now, local) {
		return local
	}
	remote := c.best(now, far, need)
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	case remote.Expected+time.Duration(remotePenalty*float64(need.Left)) < local.Expected:
		return remote
	}
	return local
}

// candidates separates the endpoints of the own data centre from the others.
func (c *Chooser) candidates(now time.Time, endpoints []Endpoint, need Need, healthy bool) (near, far []*Endpoint) {
	for i := range endpoints {
		e := &endpoints[i]
		if need.Tried != nil && need.Tried(e) {
			continue
		}
		s := c.state(e)
		s.used = now
		if healthy && (now.Before(s.ejectedUntil) || now.Before(s.unusableTill)) {
			continue
		}
		if e.DataCentre == c.dataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	return near, far
}

// best compares a few endpoints and returns the one with the shortest expected time.
func (c *Chooser) best(now time.Time, endpoints []*Endpoint, need Need) *Choice {
	for i := 0; i < len(endpoints) && i < sampled; i++ {
		j := i + c.random(len(endpoints)-i)
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	var best *Choice
	for _, e := range endpoints[:min(sampled, len(endpoints))] {
		s := c.state(e)
		choice := &Choice{Endpoint: e, chooser: c, state: s, Expected: s.expected(now, e, need)}
		if best == nil || choice.Expected < best.Expected {
			best = choice
		}
	}
	return best
}

func (c *Chooser) isBusy(now time.Time, choice *Choice) bool {
	calls, limit := choice.state.load(now, choice.Endpoint)
	return calls+1 > busy*limit
}

// load estimates the calls at the endpoint and how many it takes at once.
func (s *state) load(now time.Time, e *Endpoint) (calls, limit float64) {
	limit = float64(max(e.Slots, 1))
	own := float64(s.outstanding)
	if s.reportedAt.IsZero() {
		return own, limit
	}
	if s.report.Limit > 0 {
		limit = float64(s.report.Limit)
	}
	weight := max(0, 1-now.Sub(s.reportedAt).Seconds()/reportMemory.Seconds())
	reported := float64(s.report.Running+s.report.Queued) + own - float64(s.ownAtReport)
	return max(own, weight*reported+(1-weight)*own), limit
}

// expected is how long a call is expected to take, tries that the backend server fails included.
func (s *state) expected(now time.Time, e *Endpoint, need Need) time.Duration {
	calls, limit := s.load(now, e)
	slot := s.report.SlotTime
	if slot == 0 {
		slot = unknownSlotTime
	}
	run := float64(slot)
	if e.Warming {
		run *= warmingFactor
	}
	wait := max(0, calls+1-limit) / limit * run
	// Slightly longer for a busier endpoint, so that idle ones are preferred among equals.
	run *= 1 + 0.2*min(1, calls/limit)
	tries := 1.0
	if !s.reportedAt.IsZero() {
		tries = 1 / max(minAnswered, s.report.Answered)
	}
	expected := (wait + run) * tries
	if e.Suspect {
		expected += suspectPenalty * float64(need.Left)
	}
	return time.Duration(expected)
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
		s.report, s.reportedAt, s.ownAtReport = *load, now, s.outstanding
	}
	switch o {
	case Good:
		s.failures, s.ejections = 0, 0
	case Unusable:
		s.unusableTill = now.Add(unusableFor)
	case Failed:
		s.failures++
		if s.failures >= failuresToEject {
			s.eject(now)
		}
	}
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
