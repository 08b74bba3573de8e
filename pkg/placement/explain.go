package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Candidate is an endpoint with what the choice for a call would base on.
type Candidate struct {
	Endpoint
	LeftOut     Exclusion
	InTime      float64 // probability that the call is in time
	BusyCost    float64 // for slots in use and for delay
	RemoteCost  float64 // for another data centre
	Calls       float64 // estimate of running and queued calls
	Limit       float64
	Answered    float64
	ClassTime   time.Duration
	LinkBacklog time.Duration
	Outstanding int           // calls of this node
	ReportAge   time.Duration // -1: there was no report
}

// Score returns the value by which candidates are compared.
func (c *Candidate) Score() float64 { return c.InTime - c.BusyCost - c.RemoteCost }

// Exclusion says why an endpoint is not chosen while there are others.
type Exclusion string

// Reasons for exclusions.
const (
	NotExcluded      Exclusion = ""
	IsEjected        Exclusion = "ejected"     // its calls failed
	IsUnresponsive   Exclusion = "no response" // it was ejected because it did not respond
	IsUnavailable    Exclusion = "unavailable" // it has refused all calls of the service
	IsBehindDeadPath Exclusion = "data centre cut off"
)

// Explain returns all endpoints as the choice for a call would see them now, the best first. It changes nothing that later choices base on.
func (c *Chooser) Explain(endpoints []Endpoint, req Requirements) []Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, copied := c.now(), c.copyFor(endpoints)
	candidates := make([]Candidate, 0, len(endpoints))
	for i := range endpoints {
		candidates = append(candidates, copied.explain(now, &endpoints[i], req))
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		switch aOut, bOut := a.LeftOut != NotExcluded, b.LeftOut != NotExcluded; {
		case aOut && !bOut:
			return 1
		case bOut && !aOut:
			return -1
		}
		return cmp.Compare(b.Score(), a.Score())
	})
	return candidates
}

// copyFor returns a chooser with a copy of the state of the endpoints, since evaluating an endpoint updates its state. The caller must hold mu.
func (c *Chooser) copyFor(endpoints []Endpoint) *Chooser {
	out := &Chooser{
		dataCentre: c.dataCentre, policy: c.policy, now: c.now, random: c.random, states: make(map[stateKey]*endpointState, len(endpoints)), paths: c.paths, usages: c.usages,
	}
	for i := range endpoints {
		k := stateKey{endpoints[i].ID, endpoints[i].Incarnation}
		if s := c.states[k]; s != nil {
			state := *s
			state.classes = maps.Clone(s.classes)
			out.states[k] = &state
		}
	}
	return out
}

func (c *Chooser) explain(now time.Time, e *Endpoint, req Requirements) Candidate {
	choice, s := c.evaluate(now, e, req), c.stateOf(e)
	out := Candidate{
		Endpoint: *e, LeftOut: c.exclusion(now, e, s), InTime: choice.InTime, BusyCost: choice.InTime - choice.score,
		Answered: c.answered(now, s, req.Class), ClassTime: s.classTimesOf(e, req.Class, s.report.SlotTime).mean, Outstanding: s.outstanding, ReportAge: -1,
	}
	out.Calls, out.Limit = c.load(now, e, s, req.Class)
	if req.LongResponse {
		out.LinkBacklog = c.linkBacklog(now, s, req.Class)
	}
	if e.DataCentre != c.dataCentre {
		out.RemoteCost = c.remoteCost(req)
	}
	if !s.reportedAt.IsZero() {
		out.ReportAge = now.Sub(s.reportedAt)
	}
	return out
}

// exclusion returns why an endpoint is not chosen while there are others.
func (c *Chooser) exclusion(now time.Time, e *Endpoint, s *endpointState) Exclusion {
	switch {
	case c.paths[e.DataCentre].isPartitioned():
		return IsBehindDeadPath
	case now.Before(s.ejectedUntil) && s.unresponsive:
		return IsUnresponsive
	case now.Before(s.ejectedUntil):
		return IsEjected
	case now.Before(s.unavailableUntil):
		return IsUnavailable
	}
	return NotExcluded
}
