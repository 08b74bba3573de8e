package rollout

import (
	"sync"
	"time"
)

// Gate enforces the permits of a roll-out at the node beside a backend server, and counts what passes. It is safe for concurrent use.
type Gate struct {
	process int64
	now     func() time.Time

	mu         sync.Mutex
	permit     Permit
	receivedAt time.Time
	limit      int64 // highest limit that was permitted
	versions   map[string]*VersionReport
}

// NewGate returns a gate for a roll-out whose state is known, but for which no decider has sent a permit yet. process identifies the
// running process.
func NewGate(state State, process int64) *Gate {
	g := &Gate{process: process, now: time.Now, versions: make(map[string]*VersionReport)}
	g.permit = InitialPermit(state)
	return g
}

// InitialPermit returns what applies as long as no decider says otherwise. While requests move, a node that has restarted may have
// confirmed that the base versions are closed, so they stay closed.
func InitialPermit(s State) Permit {
	p := Permit{State: s, Epoch: s.Epoch, Target: Closed, Base: Open}
	switch s.Phase {
	case Moving:
		p.Base = Closed
	case Completed:
		p.Target, p.Base = Open, Closed
	}
	return p
}

// State returns the state of the roll-out that the gate enforces.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.permit.State
}

// Apply replaces the permit unless one of a later decider or order is known, or the roll-out has ended in another phase: the store may have
// lost that. It reports whether it did.
func (g *Gate) Apply(p Permit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.permit.State
	if p.Epoch < g.permit.Epoch || known.Phase.IsFinal() && p.State.Order.Position == known.Order.Position && p.State.Phase != known.Phase {
		return false
	}
	g.permit, g.receivedAt = p, g.now()
	if p.Target == Limited {
		g.limit = max(g.limit, p.Limit)
	}
	return true
}

// modeOf returns the mode that applies to the version now. The caller must hold mu.
func (g *Gate) modeOf(version string) Mode {
	if version != g.permit.State.Order.Target {
		if g.permit.State.Phase == Completed && g.versions[version] == nil {
			return Open // a version that came after the roll-out
		}
		return g.permit.Base
	}
	if g.permit.Lease > 0 && g.now().Sub(g.receivedAt) > g.permit.Lease {
		return Closed
	}
	return g.permit.Target
}

// Mode returns the mode that applies to the version now.
func (g *Gate) Mode(version string) Mode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.modeOf(version)
}

// Enter asks to forward a request to an instance of the version, and counts it if that is allowed. After an allowed request, call Leave.
func (g *Gate) Enter(version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.report(version)
	switch g.modeOf(version) {
	case Closed:
		return false
	case Limited:
		if v.Forwarded >= g.permit.Limit {
			return false
		}
	}
	v.Forwarded++
	v.InFlight++
	return true
}

// Outcome says how a request ended.
type Outcome int

// Outcomes of requests.
const (
	Succeeded Outcome = iota
	Failed
	NoVerdict // the caller left, or the backend server turned the request away, or was in its cold start
)

// Leave records the end of a request that Enter allowed.
func (g *Gate) Leave(version, class string, outcome Outcome, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.report(version)
	v.InFlight--
	if outcome == NoVerdict {
		return
	}
	c := v.Classes[class]
	if c == nil {
		c = &Counts{}
		v.Classes[class] = c
	}
	c.observe(outcome == Failed, took)
}

// report returns the counts of a version. The caller must hold mu.
func (g *Gate) report(version string) *VersionReport {
	v := g.versions[version]
	if v == nil {
		v = &VersionReport{Classes: make(map[string]*Counts)}
		g.versions[version] = v
	}
	return v
}

// Report returns the counts. version is that of the present backend server.
func (g *Gate) Report(version string) *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Report{
		Process: g.process, Version: version, InUse: g.modeOf(version) == Open, Epoch: g.permit.Epoch, Target: g.modeOf(g.permit.State.Order.Target), Base: g.permit.Base,
		Limit: g.limit, Versions: make(map[string]*VersionReport),
	}
	if g.permit.State.Phase.IsFinal() {
		r.Ended = g.permit.State.Phase
	}
	for name, v := range g.versions {
		copied := &VersionReport{Forwarded: v.Forwarded, InFlight: v.InFlight, Classes: make(map[string]*Counts)}
		for class, c := range v.Classes {
			counts := *c
			copied.Classes[class] = &counts
		}
		r.Versions[name] = copied
	}
	return r
}
