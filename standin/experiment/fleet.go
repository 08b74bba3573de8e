package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
)

const (
	// warmUp is the time before the events and the counting start, so that the nodes have learnt how long calls take.
	warmUp = 5 * time.Second
	// returnLimit bounds the time that a caller waits before it returns: the time left divided by it.
	returnLimit = admission.RetryAfterDivisor
	// settle is the time after the end of the load in which calls may still end.
	settle = 5 * time.Second
	// minLearnTime and maxLearnTime bound the time from the start of a node until it knows the endpoints.
	minLearnTime = 140 * time.Millisecond
	maxLearnTime = 500 * time.Millisecond
	// detectionTime is the time until the other nodes stop using a machine that has lost power.
	detectionTime = 2 * time.Second
	// slowShiftInterval is the length of a time in which a machine is slow.
	slowShiftInterval = 600 * time.Millisecond
	// usageInterval is the simulated time between two samples of the slots in use.
	usageInterval = 50 * time.Millisecond
	// cancelInterval is the simulated time between checks whether the play was cancelled.
	cancelInterval = 100 * time.Millisecond
)

// epoch is the simulated time at which the fleet starts.
var epoch = time.Unix(1_700_000_000, 0)

// fleet is a simulated deployment.
type fleet struct {
	timeline
	scenario  *Scenario
	policies  *policies
	random    *rand.Rand
	nodes     []*node
	byID      map[string]*node
	endpoints map[string][]placement.Endpoint // by service
	start     time.Time                       // end of the warm-up
	rates     map[string]float64              // factor on the rate of a class
	teams     []float64                       // calls of each team, in relation to those of the others
	demand    map[string]float64              // phase of the demand, by data centre
	cut       string                          // data centre that is cut off
	returning Event                           // callers that return at once; zero value: none
	slowShift *Event
	tally     *tally
	requests  uint64
}

func newFleet(s *Scenario, p *policies, seed uint64) *fleet {
	f := &fleet{
		timeline: timeline{now: epoch}, scenario: s, policies: p, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*node),
		endpoints: make(map[string][]placement.Endpoint), start: epoch.Add(warmUp), rates: make(map[string]float64), demand: make(map[string]float64), tally: newTally(s),
	}
	for i, name := range s.DataCentres {
		f.demand[name] = s.Demand.PhaseStep * float64(i)
	}
	placed := 0
	for i := range s.Services {
		service := &s.Services[i]
		for j := range service.Servers {
			speed := 1.0
			if len(service.Speeds) > 0 {
				speed = service.Speeds[j%len(service.Speeds)]
			}
			n := &node{fleet: f, id: fmt.Sprintf("%s-%d", service.Name, j), dataCentre: s.DataCentres[placed%len(s.DataCentres)], service: service, speed: speed}
			placed++
			n.startProcess()
			n.knowsAt = f.now
			f.nodes = append(f.nodes, n)
			f.byID[n.id] = n
		}
	}
	f.updateEndpoints()
	return f
}

// play runs the load and the events, and returns the result, or the error of ctx if that ends first.
func (f *fleet) play(ctx context.Context) (*Result, error) {
	for _, team := range f.scenario.Teams {
		f.teams = append(f.teams, team.Share)
	}
	for i := range f.scenario.Classes {
		if c := &f.scenario.Classes[i]; c.PerSecond > 0 {
			f.rates[c.Name] = 1
			f.scheduleArrival(c)
		}
	}
	f.after(warmUp, f.sampleUsage)
	for i := range f.scenario.Events {
		if e := &f.scenario.Events[i]; e.AtS < f.scenario.Seconds {
			f.after(warmUp+seconds(e.AtS), func() { f.begin(e) })
		}
	}
	for end := f.start.Add(seconds(f.scenario.Seconds)); f.now.Before(end); {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		next := f.now.Add(cancelInterval)
		if next.After(end) {
			next = end
		}
		f.runUntil(next)
	}
	f.rates = nil
	f.runUntil(f.now.Add(settle))
	return f.tally.result(), nil
}

// scheduleArrival schedules the next call of a class by a caller, until the load ends.
func (f *fleet) scheduleArrival(c *Class) {
	rate, ok := f.rates[c.Name]
	if !ok {
		return
	}
	highest := c.PerSecond * rate * f.teamFactor() * (1 + f.scenario.Demand.Swing)
	f.after(time.Duration(f.random.ExpFloat64()/highest*float64(time.Second)), func() {
		if f.rates == nil {
			return
		}
		f.scheduleArrival(c)
		n := f.nodes[f.random.IntN(len(f.nodes))]
		if !n.up || !f.isDemanded(n.dataCentre) {
			return // callers are on the same machines
		}
		f.requests++
		r := &request{
			class: c, key: f.requests, node: n, first: f.now, deadline: f.now.Add(milliseconds(c.DeadlineMS)),
			returns: c.Returns, counted: !f.now.Before(f.start), team: f.pickTeam(),
		}
		f.tally.asked(f, r)
		f.send(r)
	})
}

// teamFactor returns the calls of all teams, relative to those without a surge of a team.
func (f *fleet) teamFactor() float64 {
	now, usual := 0.0, 0.0
	for i, share := range f.teams {
		now, usual = now+share, usual+f.scenario.Teams[i].Share
	}
	if usual == 0 {
		return 1
	}
	return now / usual
}

// pickTeam returns the team of a new request, or nil if there are no teams.
func (f *fleet) pickTeam() *Team {
	if len(f.teams) == 0 {
		return nil
	}
	sum := 0.0
	for _, share := range f.teams {
		sum += share
	}
	at := f.random.Float64() * sum
	for i, share := range f.teams {
		if at -= share; at < 0 {
			return &f.scenario.Teams[i]
		}
	}
	return &f.scenario.Teams[len(f.teams)-1]
}

// isDemanded thins out the calls of a data centre that come at the highest rate of its demand.
func (f *fleet) isDemanded(dataCentre string) bool {
	d := f.scenario.Demand
	if d.Swing == 0 {
		return true
	}
	cycles := f.now.Sub(epoch).Seconds()/d.PeriodS - f.demand[dataCentre]
	return f.random.Float64()*(1+d.Swing) < 1+d.Swing*math.Sin(2*math.Pi*cycles)
}

// hasIdleSlot reports whether a backend server of the service that the node can reach has a free slot and no queue.
func (f *fleet) hasIdleSlot(from *node, service *Service) bool {
	for _, n := range f.nodes {
		if n.service != service || !n.up || n.draining || f.isCut(from, n) {
			continue
		}
		if l := n.scheduler.Load(f.now, ""); l.Queued == 0 && l.Running < l.Limit {
			return true
		}
	}
	return false
}

// sampleUsage records, until the load ends, how evenly the slots of each service are in use.
func (f *fleet) sampleUsage() {
	if f.rates == nil {
		return
	}
	for i := range f.scenario.Services {
		var usages []float64
		for _, n := range f.nodes {
			if n.service != &f.scenario.Services[i] || !n.up || n.draining {
				continue
			}
			l := n.scheduler.Load(f.now, "")
			usages = append(usages, float64(l.Running)/float64(max(1, l.Limit)))
		}
		f.tally.usage(usages)
	}
	f.after(usageInterval, f.sampleUsage)
}

// updateEndpoints recomputes the endpoints that the nodes know.
func (f *fleet) updateEndpoints() {
	clear(f.endpoints)
	for _, n := range f.nodes {
		if n.draining || n.gone {
			continue
		}
		f.endpoints[n.service.Name] = append(f.endpoints[n.service.Name], placement.Endpoint{
			ID: n.id, Incarnation: n.incarnation, DataCentre: n.dataCentre, Slots: n.service.Slots, Warming: f.now.Before(n.coldUntil),
		})
	}
}

// latency returns the one-way latency between two nodes.
func (f *fleet) latency(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.dataCentre == b.dataCentre:
		return milliseconds(f.scenario.Network.WithinMS)
	}
	return milliseconds(f.scenario.Network.BetweenMS)
}

// isCut reports whether a partition separates two nodes.
func (f *fleet) isCut(a, b *node) bool {
	return f.cut != "" && a.dataCentre != b.dataCentre && (a.dataCentre == f.cut || b.dataCentre == f.cut)
}

// chosen returns a share of the nodes of a service, or of all nodes if service is empty, spread over the data centres.
func (f *fleet) chosen(service string, share float64) []*node {
	var candidates []*node
	for _, n := range f.nodes {
		if service == "" || n.service.Name == service {
			candidates = append(candidates, n)
		}
	}
	f.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:int(math.Round(share*float64(len(candidates))))]
}

// begin starts an event and schedules its end.
func (f *fleet) begin(e *Event) {
	end := func(run func()) { f.after(seconds(e.Seconds), run) }
	forEach := func(change, undo func(*node)) {
		nodes := f.chosen(e.Service, e.Share)
		for _, n := range nodes {
			change(n)
		}
		end(func() {
			for _, n := range nodes {
				undo(n)
			}
		})
	}
	switch e.Kind {
	case Surge:
		if e.Team != "" {
			team := f.scenario.team(e.Team)
			f.teams[team] *= e.Factor
			end(func() { f.teams[team] /= e.Factor })
			return
		}
		f.rates[e.Class] *= e.Factor
		end(func() {
			if f.rates != nil {
				f.rates[e.Class] /= e.Factor
			}
		})
	case Returning:
		f.returning = *e
		end(func() { f.returning = Event{} })
	case Shed:
		forEach(func(n *node) { n.shed = e.Factor }, func(n *node) { n.shed = 0 })
	case Fail:
		forEach(func(n *node) { n.fail, n.failFrom = e.Factor, e.DataCentre }, func(n *node) { n.fail = 0 })
	case Slow:
		forEach(func(n *node) { n.slow = e.Factor }, func(n *node) { n.slow = 1 })
	case Limit:
		forEach(func(n *node) { n.nameLimit(e.Factor) }, (*node).liftLimit)
	case SlowShift:
		f.slowShift = e
		end(func() { f.slowShift = nil })
	case Partition:
		f.cut = e.DataCentre
		end(func() { f.cut = "" })
	case Leave:
		for _, n := range f.chosen(e.Service, e.Share) {
			n.drain()
		}
		f.updateEndpoints()
	case Restart:
		forEach((*node).losePower, (*node).restart)
	}
}

// sample draws a value of a distribution.
func (f *fleet) sample(d Distribution) float64 {
	sigma := math.Sqrt(math.Log(1 + d.Spread*d.Spread))
	value := d.Mean * math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2)
	if f.random.Float64() < d.Tail {
		value *= max(1, d.TailFactor)
	}
	if d.Max > 0 {
		value = min(value, d.Max)
	}
	return value
}

// isSlowNow reports whether a machine is slow because of other processes on it.
func (f *fleet) isSlowNow(n *node) bool {
	if f.slowShift == nil || f.slowShift.Service != "" && f.slowShift.Service != n.service.Name {
		return false
	}
	interval := uint64(f.now.Sub(epoch) / slowShiftInterval)
	return rand.New(rand.NewPCG(interval, n.number())).Float64() < f.slowShift.Share
}

// retryOptions returns the options of a node's retry budget.
func (f *fleet) retryOptions() retry.Options {
	r := f.scenario.Retry
	return retry.Options{
		Bound: retry.Bound{Ratio: r.Ratio, Slack: r.Slack, Window: seconds(r.WindowS)}, Policy: f.policies.retry,
		Nodes: func() int { return len(f.nodes) }, Now: func() time.Duration { return f.now.Sub(epoch) },
	}
}
