// Package placement chooses the endpoint that a call is sent to (load balancing). It relies on what earlier calls showed: the load report
// in each response, the number of outstanding calls, and failures. It does not use health or load that backend servers claim themselves.
//
// The score of an endpoint is the probability that the call is in time there, minus a cost for a busy endpoint and minus the cost of
// bytes between data centres. The probability follows from the endpoint's queue and from how long calls of the same class take there,
// which differs between backend servers. A call also leaves its data centre if it would wait longer there than the way and its bytes are
// worth. Only a few endpoints, sampled at random, are compared (power of d choices), so that callers with the same reports do not all
// choose the same one.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
)

// Endpoint is a candidate for a call.
type Endpoint struct {
	ID          string
	Incarnation uint64 // observations of an earlier incarnation do not apply
	Address     string // of the node, for requests between nodes
	DataCentre  string
	Slots       int
	Warming     bool // its backend server is in its cold start
	Suspect     bool // it did not respond recently
}

// Load is a load report of an endpoint.
type Load struct {
	Running, Queued, Limit int
	SlotTime               time.Duration // mean time that a call holds a slot; 0: unknown
	ClassTime              time.Duration // the same for the class of the call whose response contained the report; 0: unknown
	ClassSpread            time.Duration // mean deviation from ClassTime
	Slowness               float64       // time that work takes on its machine now, relative to the mean there; the times above are given for 1; 0: unknown
	LinkBacklog            time.Duration // how long the machine's link takes to send what it already has to send
	Answered               float64       // fraction of the recent calls that its backend server answered, 0 to 1
}

// Requirements describes the call that an endpoint is chosen for.
type Requirements struct {
	Class        string                 // calls of one class have similar service times
	TimeToTarget time.Duration          // time left until its target
	DelayCost    float64                // score lost by a call that takes all of TimeToTarget; above 0 if other work waits for it
	Bytes        int                    // of the request and the expected response
	LongResponse bool                   // its response queues for the link of the endpoint
	Excluded     func(e *Endpoint) bool // reports endpoints that must not be chosen again; may be nil
	Busy         map[string]bool        // IDs of the endpoints that were probed for a free slot and had none; may be nil
}

// Outcome says what a finished call shows about its endpoint.
type Outcome int

// Outcomes of calls.
const (
	Healthy      Outcome = iota // it responded, or refused the call for lack of capacity
	Unavailable                 // it currently refuses all calls of the service: it is draining, or has no backend server
	Failed                      // no usable response
	Unresponsive                // no response in time, and no sign that the request arrived: the endpoint or the network path to it has failed
)

// Policy holds the parameters of the decisions. Costs are in units of the score, in which a call that is certainly in time counts 1.
type Policy struct {
	ReportDecay  time.Duration // age at which a load report has no weight
	FailureDecay time.Duration // age at which a reported share of failed calls has no weight
	// SampleSize is the number of endpoints compared in the own data centre, and as many in the others. While typically all slots are in
	// use, FullSampleSize are compared: what the best of many reports says is then out of date when the call arrives.
	SampleSize     int
	FullSampleSize int
	// MaxSlotProbes bounds the endpoints that a call probes for a free slot before it queues at one. Reports are stale, the more so the
	// more endpoints and callers there are; the results of probes are not. While typically all slots are in use, calls do not probe.
	MaxSlotProbes int
	// BusyCost is lost at an endpoint whose slots are all in use, in proportion below and above. A call that takes the last slot delays those
	// that arrive until a slot is free, among them calls of nodes whose reports still show room there.
	BusyCost float64
	// RemoteBusyCost replaces BusyCost in the choice between the own data centre and another one: calls stay while there is room.
	RemoteBusyCost float64
	// EqualScores is the difference up to which scores count as equal, so that an endpoint that seemed a little slower once is not left out
	// for ever while there is little load.
	EqualScores float64

	// RemoteCostPerKB, MinRemoteCost and MaxRemoteCost apply to calls that another data centre would serve with a higher probability in time.
	RemoteCostPerKB float64 // lost per KB between data centres
	MinRemoteCost   float64 // lost by any call to another data centre
	MaxRemoteCost   float64 // lost by a late response; the cost of bytes alone never leaves a call unserved
	// WaitPricePerKB applies to calls that would wait for a slot: how much of the caller's time a KB between data centres is worth. A call
	// leaves if it would wait that much longer than the way takes, for an endpoint that seems to have room. Where both are full, the estimates
	// differ by chance, and calls that moved would meet others on the way. 0: calls do not leave because of a wait alone.
	WaitPricePerKB time.Duration

	SuspectFactor       float64       // on the probability at endpoints that did not respond recently
	LossFactor          float64       // on the probability at endpoints without a response since a loss in their data centre
	LossPenaltyDuration time.Duration // how long LossFactor applies after a lost call to the data centre
	FailuresToEject     int           // consecutive failures
	BaseEjection        time.Duration
	MaxEjection         time.Duration
}

// DefaultPolicy returns the parameters that the nodes use.
func DefaultPolicy() Policy {
	return Policy{
		ReportDecay: time.Second, FailureDecay: 5 * time.Second, SampleSize: 8, FullSampleSize: 3, MaxSlotProbes: 2, BusyCost: 0.5, RemoteBusyCost: 0.25, EqualScores: 0.01,
		RemoteCostPerKB: 0.04, MinRemoteCost: 0.04, MaxRemoteCost: 0.7, WaitPricePerKB: 100 * time.Microsecond,
		SuspectFactor: 0.2, LossFactor: 0.3, LossPenaltyDuration: 3 * time.Second, FailuresToEject: 3, BaseEjection: time.Second, MaxEjection: 8 * time.Second,
	}
}

const (
	usageWeight         = 0.05 // weight of a report in the typical usage
	unknownSlotTime     = 50 * time.Millisecond
	unknownSpread       = 0.5 // spread relative to the slot time, if unknown
	minSpread           = 5 * time.Millisecond
	warmingFactor       = 2.0                    // how much longer calls are expected to take during a cold start
	lossesToPartition   = 2                      // unresponsive endpoints since the last response that make a data centre count as partitioned
	probeInterval       = 250 * time.Millisecond // interval of the calls sent to a partitioned data centre to detect its recovery
	maxEjectionShift    = 3
	unavailableDuration = 300 * time.Millisecond // by then, membership usually shows the reason
	stateTTL            = time.Minute
	sweepInterval       = 10 * time.Second
	maxClasses          = 64 // kept per endpoint
)

type stateKey struct {
	id          string
	incarnation uint64
}

// endpointState holds the observations of one endpoint. It is guarded by the chooser's mutex.
type endpointState struct {
	outstanding         int // in-flight calls of this node
	report              Load
	reportedAt          time.Time
	outstandingAtReport int
	classes             map[string]classTimes
	warming             bool // the report and the class times are of a cold start

	answeredAt       time.Time
	failures         int // consecutive
	ejections        int // consecutive
	ejectedUntil     time.Time
	unresponsive     bool // it was ejected because it did not respond, and has not responded since
	unavailableUntil time.Time
	usedAt           time.Time
}

// classTimes describes how long calls of a class hold a slot.
type classTimes struct {
	mean, spread time.Duration
}

// Chooser chooses endpoints for the calls of one node. It is safe for concurrent use.
type Chooser struct {
	dataCentre string
	policy     Policy
	now        func() time.Time
	random     func(n int) int

	mu      sync.Mutex
	states  map[stateKey]*endpointState
	paths   map[string]*path  // by data centre, except the own one
	delays  map[string]*delay // by data centre
	usages  map[string]*usage // by class
	sweptAt time.Time
}

// usage is the mean slot usage of the endpoints that serve a class, the mean fraction of calls that they answer, the mean time for which
// its calls hold a slot, and the mean backlog of their links.
type usage struct {
	mean        float64
	answered    float64
	classTime   time.Duration
	linkBacklog time.Duration
	at          time.Time // time of the latest report
}

// path holds the observations of the network path to another data centre.
type path struct {
	lostAt       time.Time                   // time of the latest unresponsive call
	unresponsive map[*endpointState]struct{} // endpoints with an unresponsive call since the last response from the data centre
	probedAt     time.Time                   // time of the latest call that was sent to it while partitioned
}

// isPartitioned reports whether the data centre counts as partitioned from this node.
func (p *path) isPartitioned() bool { return p != nil && len(p.unresponsive) >= lossesToPartition }

// Options configure a Chooser.
type Options struct {
	DataCentre string // of the node
	Policy     Policy
	Now        func() time.Time // nil: time.Now
	Random     func(n int) int  // returns a number below n; nil: rand.IntN
}

// New returns a chooser.
func New(o Options) *Chooser {
	c := &Chooser{
		dataCentre: o.DataCentre, policy: o.Policy, now: o.Now, random: o.Random,
		states: make(map[stateKey]*endpointState), paths: make(map[string]*path), delays: make(map[string]*delay), usages: make(map[string]*usage),
	}
	if c.now == nil {
		c.now = time.Now
	}
	if c.random == nil {
		c.random = rand.IntN
	}
	return c
}

// Choice is the endpoint chosen for a call. Its holder must call Done exactly once.
type Choice struct {
	*Endpoint
	chooser *Chooser
	state   *endpointState
	class   string
	sentAt  time.Time
	// InTime is the estimated probability that the call is in time.
	InTime float64
	// NoQueue says that the call must not queue at the endpoint. If no slot is free there, add the endpoint to Requirements.Busy and call
	// Pick again.
	NoQueue bool
	score   float64       // InTime minus costs
	usage   float64       // estimated slots in use and calls queued, relative to the slots
	wait    time.Duration // expected time in the queue
}

// Pick chooses one of the endpoints, or returns nil if none is eligible.
func (c *Chooser) Pick(endpoints []Endpoint, req Requirements) *Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.sweep(now)
	best := c.pick(now, endpoints, req, true)
	if best == nil {
		best = c.pick(now, endpoints, req, false) // all are ejected or unavailable: one of them may have recovered
	}
	if best != nil {
		best.state.outstanding++
		best.sentAt = now
		best.NoQueue = len(req.Busy) < c.policy.MaxSlotProbes && !req.Busy[best.ID] && c.typicalUsage(now, req.Class) < 1
		if p := c.paths[best.DataCentre]; p.isPartitioned() {
			p.probedAt = now
		}
	}
	return best
}

func (c *Chooser) pick(now time.Time, endpoints []Endpoint, req Requirements, skipEjected bool) *Choice {
	// A call that was refused elsewhere does not wait for an endpoint that probably does not respond.
	near, far := c.candidates(now, endpoints, req, skipEjected, req.excludesAny(endpoints))
	local, remote := c.bestOf(now, near, req), c.bestOf(now, far, req)
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	case c.leavesQueue(now, local, remote, req):
		return remote
	case c.homeScore(local) >= c.homeScore(remote)-c.remoteCost(req):
		return local
	}
	return remote
}

// excludesAny reports whether one of the endpoints must not be chosen again.
func (r *Requirements) excludesAny(endpoints []Endpoint) bool {
	for i := range endpoints {
		if r.Excluded != nil && r.Excluded(&endpoints[i]) {
			return true
		}
	}
	return false
}

// homeScore returns the score of a choice for the comparison with another data centre.
func (c *Chooser) homeScore(ch *Choice) float64 {
	return ch.score + (c.policy.BusyCost-c.policy.RemoteBusyCost)*ch.usage
}

const bytesPerKB = 1000

// leavesQueue reports whether the call would wait so long in the own data centre that the way to a free slot of another one is worth it.
func (c *Chooser) leavesQueue(now time.Time, local, remote *Choice, req Requirements) bool {
	if c.policy.WaitPricePerKB == 0 || remote.wait > 0 || local.score >= remote.score {
		return false
	}
	price := c.policy.WaitPricePerKB * time.Duration(req.Bytes) / bytesPerKB
	return local.wait > price+c.extraDelay(now, remote.DataCentre)
}

// remoteCost returns the score lost by sending the call to another data centre.
func (c *Chooser) remoteCost(req Requirements) float64 {
	return max(c.policy.MinRemoteCost, min(c.policy.MaxRemoteCost, c.policy.RemoteCostPerKB*float64(req.Bytes)/bytesPerKB))
}

// candidates returns the eligible endpoints of the own data centre and of the others. skipEjected leaves out those that are ejected or unavailable,
// skipUnresponsive those that are ejected because they did not respond.
func (c *Chooser) candidates(now time.Time, endpoints []Endpoint, req Requirements, skipEjected, skipUnresponsive bool) (near, far []*Endpoint) {
	for i := range endpoints {
		e := &endpoints[i]
		if req.Excluded != nil && req.Excluded(e) {
			continue
		}
		s, p := c.stateOf(e), c.paths[e.DataCentre]
		s.usedAt = now
		probe := p.isPartitioned() && now.Sub(p.probedAt) >= probeInterval
		switch {
		case p.isPartitioned() && !probe:
		case skipUnresponsive && !probe && s.unresponsive && now.Before(s.ejectedUntil):
		case skipEjected && !probe && (now.Before(s.ejectedUntil) || now.Before(s.unavailableUntil)):
		case e.DataCentre == c.dataCentre:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	return near, far
}

// bestOf returns the endpoint with the highest score of a random sample, or nil if there are no endpoints.
func (c *Chooser) bestOf(now time.Time, endpoints []*Endpoint, req Requirements) *Choice {
	size := min(c.sampleSize(now, req.Class), len(endpoints))
	for i := range size {
		j := i + c.random(len(endpoints)-i)
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	var best Choice
	for _, e := range endpoints[:size] {
		choice := c.evaluate(now, e, req)
		if best.Endpoint == nil || choice.score > best.score+c.policy.EqualScores {
			best = choice
		}
	}
	if best.Endpoint == nil {
		return nil
	}
	return &best
}

// sampleSize returns the number of endpoints to compare for a call of the class.
func (c *Chooser) sampleSize(now time.Time, class string) int {
	if c.typicalUsage(now, class) >= 1 {
		return c.policy.FullSampleSize
	}
	return c.policy.SampleSize
}

// evaluate computes the score of an endpoint for a call.
func (c *Chooser) evaluate(now time.Time, e *Endpoint, req Requirements) Choice {
	s := c.stateOf(e)
	if s.warming && !e.Warming {
		s.endWarming()
	}
	calls, limit := c.load(now, e, s, req.Class)
	slot := s.report.SlotTime
	if slot == 0 {
		slot = c.optimisticTime(req.Class)
	}
	times, slowness := s.classTimesOf(e, req.Class, slot), s.slowness(now)
	wait := slowness * max(0, calls+1-limit) / limit * float64(slot)
	duration := wait + slowness*float64(times.mean)
	if req.LongResponse {
		duration += float64(c.linkBacklog(now, s, req.Class))
	}
	inTime := probability(float64(req.TimeToTarget)-duration, slowness*float64(times.spread))
	inTime *= c.answered(now, s, req.Class)
	if e.Suspect {
		inTime *= c.policy.SuspectFactor
	}
	if p := c.paths[e.DataCentre]; p != nil && now.Sub(p.lostAt) < c.policy.LossPenaltyDuration && s.answeredAt.Before(p.lostAt) {
		inTime *= c.policy.LossFactor
	}
	// BusyCost is not capped, so that of two endpoints that would both be late, the less loaded one has the higher score.
	score := inTime - c.policy.BusyCost*calls/limit - req.DelayCost*min(1, duration/float64(req.TimeToTarget))
	return Choice{Endpoint: e, chooser: c, state: s, class: req.Class, InTime: inTime, wait: time.Duration(wait), score: score, usage: calls / limit}
}

// linkBacklog estimates how long the link of an endpoint takes now to send what it has to send. Without a recent report, it assumes that of a typical
// endpoint of the class.
func (c *Chooser) linkBacklog(now time.Time, s *endpointState, class string) time.Duration {
	typical := time.Duration(0)
	if u := c.usages[class]; u != nil {
		typical = u.linkBacklog
	}
	if s.reportedAt.IsZero() {
		return typical
	}
	return typical + time.Duration(float64(s.report.LinkBacklog-typical)*reportWeight(now, s, c.policy.ReportDecay))
}

// slowness estimates how long work takes at the endpoint now, relative to the mean there.
func (s *endpointState) slowness(now time.Time) float64 {
	if s.report.Slowness == 0 {
		return 1
	}
	return admission.DecayedSlowness(s.report.Slowness, now.Sub(s.reportedAt))
}

// classTimesOf returns how long calls of the class hold a slot of the endpoint, derived from its slot time if the class is unknown.
func (s *endpointState) classTimesOf(e *Endpoint, class string, slot time.Duration) classTimes {
	if known, ok := s.classes[class]; ok {
		return known
	}
	if e.Warming {
		slot = time.Duration(float64(slot) * warmingFactor)
	}
	return classTimes{slot, time.Duration(unknownSpread * float64(slot))}
}

// probability returns the probability that a normally distributed value with mean deviation spread exceeds its mean by at most slack.
func probability(slack, spread float64) float64 {
	const deviations = 1.25 // standard deviation of a normal distribution, in mean deviations
	const steepness = 1.702 // of the logistic function that approximates the normal distribution best
	return 1 / (1 + math.Exp(-steepness*slack/(deviations*max(spread, float64(minSpread)))))
}

// typicalUsage returns the recent mean slot usage of the endpoints that serve the class: 1 if all slots are in use.
func (c *Chooser) typicalUsage(now time.Time, class string) float64 {
	u := c.usages[class]
	if u == nil {
		return 0
	}
	return u.mean * max(0, 1-now.Sub(u.at).Seconds()/c.policy.ReportDecay.Seconds())
}

// typicalAnswered returns the recent mean fraction of calls that the endpoints which serve the class answer.
func (c *Chooser) typicalAnswered(class string) float64 {
	if u := c.usages[class]; u != nil {
		return u.answered
	}
	return 1
}

// answered estimates the fraction of calls that the backend server of an endpoint answers now. The report loses its weight with age: an
// endpoint that is not called because it failed cannot report that it has recovered.
func (c *Chooser) answered(now time.Time, s *endpointState, class string) float64 {
	typical := c.typicalAnswered(class)
	if s.reportedAt.IsZero() {
		return typical
	}
	return typical + (s.report.Answered-typical)*reportWeight(now, s, c.policy.FailureDecay)
}

// reportWeight returns the weight of an endpoint's latest report, which falls from 1 to 0 within the given time.
func reportWeight(now time.Time, s *endpointState, decay time.Duration) float64 {
	return max(0, 1-now.Sub(s.reportedAt).Seconds()/decay.Seconds())
}

// optimisticTime returns the slot time to assume for an endpoint without a report. It is not longer than the mean of the class: otherwise
// the endpoint would never be chosen, and so never report.
func (c *Chooser) optimisticTime(class string) time.Duration {
	if u := c.usages[class]; u != nil && u.classTime > 0 {
		return min(u.classTime, unknownSlotTime)
	}
	return unknownSlotTime
}

// observe records the slot usage and the class time in a load report.
func (c *Chooser) observe(now time.Time, class string, l Load) {
	u := c.usages[class]
	if u == nil {
		if len(c.usages) >= maxClasses {
			clear(c.usages)
		}
		u = &usage{answered: l.Answered}
		c.usages[class] = u
	}
	u.answered += (l.Answered - u.answered) * usageWeight
	u.mean += (float64(l.Running+l.Queued)/float64(max(1, l.Limit)) - u.mean) * usageWeight
	u.linkBacklog += time.Duration(float64(l.LinkBacklog-u.linkBacklog) * usageWeight)
	u.at = now
	switch {
	case l.ClassTime == 0:
	case u.classTime == 0:
		u.classTime = l.ClassTime
	default:
		u.classTime += time.Duration(float64(l.ClassTime-u.classTime) * usageWeight)
	}
}

// load estimates the calls at the endpoint and its concurrency limit. Without a recent report, it assumes typical usage: if it assumed an
// idle endpoint, calls would prefer the endpoints with the least information.
func (c *Chooser) load(now time.Time, e *Endpoint, s *endpointState, class string) (calls, limit float64) {
	typicalUsage := c.typicalUsage(now, class)
	limit = float64(max(e.Slots, 1))
	outstanding := float64(s.outstanding)
	if s.reportedAt.IsZero() {
		return max(outstanding, typicalUsage*limit), limit
	}
	if s.report.Limit > 0 {
		limit = float64(s.report.Limit)
	}
	weight := reportWeight(now, s, c.policy.ReportDecay)
	reported := float64(s.report.Running+s.report.Queued) + outstanding - float64(s.outstandingAtReport)
	return max(outstanding, weight*reported+(1-weight)*typicalUsage*limit), limit
}

func (c *Chooser) stateOf(e *Endpoint) *endpointState {
	k := stateKey{e.ID, e.Incarnation}
	s := c.states[k]
	if s == nil {
		s = &endpointState{}
		c.states[k] = s
	}
	return s
}

// Done reports the end of the call. load is the report in the response, or nil if there was none.
func (ch *Choice) Done(o Outcome, load *Load) {
	c := ch.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s := ch.state
	s.outstanding--
	if load != nil {
		s.observe(now, ch.class, *load)
		s.warming = ch.Warming
		c.observe(now, ch.class, *load)
	}
	switch o {
	case Healthy:
		s.failures, s.ejections, s.unresponsive = 0, 0, false
		s.answeredAt = now
		c.recordResponse(now, ch.DataCentre)
		c.observeDelay(now, ch.DataCentre, now.Sub(ch.sentAt))
	case Unavailable:
		s.unavailableUntil = now.Add(unavailableDuration)
	case Failed:
		s.failures++
		if s.failures >= c.policy.FailuresToEject {
			c.eject(now, s)
		}
	case Unresponsive:
		c.recordLoss(now, ch.DataCentre, s)
		s.unresponsive = true
		c.eject(now, s)
	}
}

// recordLoss records an unresponsive call to an endpoint of another data centre. It ignores the own data centre, whose nodes share no
// network path that could be partitioned.
func (c *Chooser) recordLoss(now time.Time, dataCentre string, s *endpointState) {
	if dataCentre == c.dataCentre {
		return
	}
	p := c.paths[dataCentre]
	if p == nil {
		p = &path{unresponsive: make(map[*endpointState]struct{})}
		c.paths[dataCentre] = p
	}
	p.lostAt = now
	p.unresponsive[s] = struct{}{}
	if len(p.unresponsive) == lossesToPartition {
		p.probedAt = now
	}
}

// recordResponse records a response from the data centre. If it was partitioned, its endpoints were unresponsive because of the network
// path, and become eligible again immediately.
func (c *Chooser) recordResponse(now time.Time, dataCentre string) {
	p := c.paths[dataCentre]
	if p == nil || len(p.unresponsive) == 0 {
		return
	}
	if p.isPartitioned() {
		for s := range p.unresponsive {
			s.ejectedUntil, s.ejections, s.failures = now, 0, 0
		}
	}
	clear(p.unresponsive)
}

// observe records the load report in the response to a call of the class.
func (s *endpointState) observe(now time.Time, class string, l Load) {
	s.report, s.reportedAt, s.outstandingAtReport = l, now, s.outstanding
	if l.ClassTime == 0 {
		return
	}
	if s.classes == nil || len(s.classes) >= maxClasses {
		s.classes = make(map[string]classTimes)
	}
	s.classes[class] = classTimes{l.ClassTime, l.ClassSpread}
}

// endWarming replaces the times of a cold start by what calls are expected to take after it. Otherwise an endpoint would not be chosen, and so
// not report its times, as long as others have room.
func (s *endpointState) endWarming() {
	s.warming = false
	warm := func(d time.Duration) time.Duration { return time.Duration(float64(d) / warmingFactor) }
	s.report.SlotTime = warm(s.report.SlotTime)
	for class, t := range s.classes {
		s.classes[class] = classTimes{warm(t.mean), warm(t.spread)}
	}
}

// eject makes the endpoint ineligible, with exponential backoff over consecutive ejections. Afterwards a single failure ejects it again.
func (c *Chooser) eject(now time.Time, s *endpointState) {
	s.ejectedUntil = now.Add(min(c.policy.BaseEjection<<min(s.ejections, maxEjectionShift), c.policy.MaxEjection))
	s.ejections++
	s.failures = c.policy.FailuresToEject - 1
}

// Ejected returns the number of endpoints that are currently ejected.
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

// sweep drops the state of endpoints that are no longer candidates.
func (c *Chooser) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for k, s := range c.states {
		if s.outstanding == 0 && now.Sub(s.usedAt) > stateTTL {
			delete(c.states, k)
		}
	}
}
