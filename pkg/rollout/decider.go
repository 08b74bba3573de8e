package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits bound the exposure to a version that may be bad.
type Limits struct {
	Share float64 // of the requests of the service that the target may get during the duration of the order
	Slack float64 // requests that it may get besides
}

const (
	exposureUsed   = 0.7                    // part of the limits that is granted; the rest covers requests between two decisions
	maxCanaryShare = 0.08                   // of the service's instances that get requests at the same time
	minCanaries    = 2                      // if there are as many, so that a fault of one machine is told from one of the version
	minOthers      = 20                     // responses of the other canaries that tell it
	maxOutlierBad  = 25                     // bad responses up to which the others are waited for; half of those that the roll-back is due after
	permitLease    = 2 * time.Second        // for a limited permit
	settleTime     = 700 * time.Millisecond // until other nodes know that instances of the target version accept requests
	moveTime       = 2500 * time.Millisecond
	maxMoveShare   = 0.4                    // of the duration, if that is short
	statusTime     = 600 * time.Millisecond // from the last decision until the operators know of it
	reportTTL      = time.Second
	onlyTargetTime = 2 * time.Second // until all instances of other versions would have been found
)

// Intervals between polls of a node.
const (
	PollInterval    = 100 * time.Millisecond // of one that does not follow the current state yet
	settledInterval = 500 * time.Millisecond // of one that does

	maxBasePolls = 100 // a second, of nodes beside base instances in the canary phase
)

// Node is a node beside a backend server of the service.
type Node struct{ ID, DataCentre string }

// Decider decides the course of one roll-out from the reports of the nodes. It does no I/O and is not safe for concurrent use.
type Decider struct {
	limits  Limits
	state   State
	started time.Time
	nodes   map[string]*nodeRecord

	granted         int64     // exposure granted so far, over all processes
	openedAt        time.Time // all targets were open, in phase Moving
	onlyTargetSince time.Time // no base instance was found; zero: there is one
	verdict         Judgement
	outlier         string // node whose instance differs from the other ones of the target; "": none
	ended           Phase  // that a node knows of, although the state is an earlier one; "": none does
}

// nodeRecord is what the decider knows of a node beside a backend server of the service.
type nodeRecord struct {
	dataCentre string
	polledAt   time.Time
	first      *Report // of the present process; nil: it has not answered yet
	latest     *Report // nil likewise
	at         time.Time
	granted    int64 // exposure granted to the present process
}

// NewDecider returns a decider for a roll-out that started at the given time.
func NewDecider(state State, started time.Time, limits Limits) *Decider {
	return &Decider{limits: limits, state: state, started: started, nodes: make(map[string]*nodeRecord)}
}

// State returns the current state.
func (d *Decider) State() State { return d.state }

// Judgement returns the latest comparison of the versions.
func (d *Decider) Judgement() Judgement { return d.verdict }

// Granted returns the exposure that was granted so far, in requests.
func (d *Decider) Granted() int64 { return d.granted }

// Agreed records that the fleet agreed on a state. It returns an error if the state may not follow the current one.
func (d *Decider) Agreed(s State) error {
	if s.Phase != d.state.Phase && !s.Phase.mayFollow(d.state.Phase) {
		return fmt.Errorf("the roll-out of service %.40q may not change from %s to %s", s.Order.Service, d.state.Phase, s.Phase)
	}
	d.state = s
	return nil
}

// Observe records the report of a polled node.
func (d *Decider) Observe(now time.Time, node string, r *Report) {
	n := d.nodes[node]
	if n == nil {
		return // it has left
	}
	if n.first == nil || n.first.Process != r.Process {
		n.first, n.granted = r, 0
	}
	n.latest, n.at = r, now
	if !d.state.Phase.IsFinal() && r.Ended != "" {
		d.ended = r.Ended
	}
	// An earlier decider may have granted more. What is not known to be unused counts as exposed.
	exposed := max(r.Limit, r.forwarded(d.state.Order.Target))
	if exposed > n.granted {
		d.granted += exposed - n.granted
		n.granted = exposed
	}
}

// Poll returns the permits for those of the nodes that are to be polled now. nodes are all that are alive: the others are forgotten, but
// their exposure counts on.
func (d *Decider) Poll(now time.Time, nodes []Node) map[string]Permit {
	maps.DeleteFunc(d.nodes, func(id string, _ *nodeRecord) bool {
		return !slices.ContainsFunc(nodes, func(n Node) bool { return n.ID == id })
	})
	var due []string
	base := d.baseMode(now)
	for _, node := range nodes {
		n := d.nodes[node.ID]
		if n == nil {
			n = &nodeRecord{}
			d.nodes[node.ID] = n
		}
		n.dataCentre = node.DataCentre
		if interval, polled := d.pollInterval(n, base); polled && now.Sub(n.polledAt) >= interval {
			n.polledAt = now
			due = append(due, node.ID)
		}
	}
	return d.permits(now, due)
}

// pollInterval returns the time between polls of a node. base is the mode of the base versions in phase Moving. polled is false if the node
// need not be polled again.
func (d *Decider) pollInterval(n *nodeRecord, base Mode) (interval time.Duration, polled bool) {
	switch {
	case n.latest == nil || n.latest.Epoch != d.state.Epoch:
		return PollInterval, true
	case d.state.Phase.IsFinal():
		return 0, false
	case d.state.Phase == Canary && n.latest.Version != d.state.Order.Target:
		return max(settledInterval, time.Duration(len(d.nodes))*time.Second/maxBasePolls), true
	case d.state.Phase == Moving && (n.latest.Target != Open || n.latest.Base != base || d.hasBaseRequest(n)):
		return PollInterval, true
	}
	return settledInterval, true
}

func (r *Report) forwarded(version string) int64 {
	if v := r.Versions[version]; v != nil {
		return v.Forwarded
	}
	return 0
}

// endedBefore is the reason to end a roll-out whose end the fleet had agreed on.
const endedBefore = "it had ended before the store came back from a copy"

// Next returns the state that the roll-out should change to, and whether that is another phase.
func (d *Decider) Next(now time.Time) (next State, changes bool) {
	if d.state.Phase.IsFinal() {
		return d.state, false
	}
	d.verdict = d.judge()
	isInUse := d.isTargetInUse(now)
	end := d.started.Add(max(d.state.Order.Duration/2, d.state.Order.Duration-statusTime))
	switch {
	case d.ended == RolledBack, d.ended == Completed && d.state.Phase == Moving:
		return d.change(d.ended, endedBefore)
	case d.ended == Completed:
		return d.change(Moving, endedBefore)
	case d.state.Phase == Moving && d.hasMoved(now):
		return d.change(Completed, "no base version has a request")
	case d.state.NoBase:
		return d.state, false
	case d.verdict.Verdict == Bad:
		return d.change(RolledBack, fmt.Sprintf("%d of %d responses of class %q were bad", d.verdict.BadCount, d.verdict.Answered, d.verdict.Class))
	case isInUse, !now.Before(end) && d.isOnlyTargetInUse():
		return d.changeWithoutBase()
	case !now.Before(end):
		return d.change(RolledBack, "not completed within the duration; the comparison is "+string(d.verdict.Verdict))
	case d.state.Phase == Canary && d.verdict.Verdict == Good && !now.Before(d.moveAt()):
		return d.change(Moving, fmt.Sprintf("%d of %d responses were bad", d.verdict.BadCount, d.verdict.Answered))
	}
	return d.state, false
}

// Withdraw returns the state that the roll-out should change to since its order was withdrawn or replaced by a later one, and whether that is
// another phase.
func (d *Decider) Withdraw() (next State, changes bool) {
	switch {
	case d.state.Phase.IsFinal(), d.state.NoBase:
		return d.state, false
	case d.isOnlyTargetInUse():
		return d.changeWithoutBase()
	}
	return d.change(RolledBack, "a later order replaced or withdrew this one")
}

func (d *Decider) change(phase Phase, cause string) (State, bool) {
	next := d.state
	next.Phase, next.Cause = phase, cause
	return next, true
}

// changeWithoutBase ends a roll-out to the version that is in use.
func (d *Decider) changeWithoutBase() (State, bool) {
	next, _ := d.change(Moving, "the version is in use, and no other")
	next.NoBase = true
	return next, true
}

// isOnlyTargetInUse reports, in phase Canary, whether the target has instances and no other version is in use, so that a roll-back would leave
// none.
func (d *Decider) isOnlyTargetInUse() bool {
	return d.state.Phase == Canary && len(d.targets()) > 0 && !d.hasBase()
}

// moveAt returns when the requests should start to move. Until then the exposure is limited, so it is as late as possible.
func (d *Decider) moveAt() time.Time {
	duration := d.state.Order.Duration
	move := min(moveTime, time.Duration(maxMoveShare*float64(duration)))
	return d.started.Add(duration - move)
}

// judge compares the versions. A bad verdict that is due to slow responses of one instance alone is put down to its machine: the instance gets
// no more requests, and the others are judged. Failures are always put down to the version.
func (d *Decider) judge() Judgement {
	base, target := d.classes(false, ""), d.classes(true, d.outlier)
	all := Judge(target, base)
	if all.Verdict != Bad || d.outlier != "" || len(d.targets()) < minCanaries || 2*failures(target, all.Class) > all.BadCount {
		return all
	}
	outlier, most := "", int64(-1)
	for _, id := range d.targets() {
		others := d.classes(true, id)
		if bad := all.BadCount - judgeLike(all, others, base).BadCount; bad > most {
			outlier, most = id, bad
		}
	}
	others := d.classes(true, outlier)
	without := judgeLike(all, others, base)
	switch {
	case without.Answered < minOthers && all.BadCount <= maxOutlierBad:
		all.Verdict = Undecided // one instance is not enough
	case without.Answered >= minOthers && without.Evidence <= 0:
		d.outlier = outlier
		return Judge(others, base)
	}
	return all
}

// failures returns the number of responses of a class, or of all classes if it is "", that failed.
func failures(counts map[string]*Counts, class string) int64 {
	n := int64(0)
	for name, c := range counts {
		if class == "" || name == class {
			n += c.Failed
		}
	}
	return n
}

// judgeLike compares the versions in the class that decided a verdict, or in all classes together.
func judgeLike(v Judgement, target, base map[string]*Counts) Judgement {
	if v.Class == "" {
		return Judge(target, base)
	}
	t, b := target[v.Class], base[v.Class]
	if t == nil {
		t = &Counts{}
	}
	if b == nil {
		b = &Counts{}
	}
	return judgeClass(t, b)
}

// classes sums the counts of the target version, or of all others, since the nodes were first seen, without those of one node.
func (d *Decider) classes(target bool, without string) map[string]*Counts {
	sums := make(map[string]*Counts)
	for id, n := range d.nodes {
		if n.latest == nil || id == without {
			continue
		}
		for version, v := range n.latest.Versions {
			if (version == d.state.Order.Target) != target {
				continue
			}
			for class, c := range v.Classes {
				if sums[class] == nil {
					sums[class] = &Counts{}
				}
				sums[class].add(c)
			}
		}
	}
	return sums
}

// requests returns the number of requests that reached the service since the nodes were first seen.
func (d *Decider) requests() int64 {
	n := int64(0)
	for _, record := range d.nodes {
		if record.latest == nil {
			continue
		}
		for version, v := range record.latest.Versions {
			n += v.Forwarded - record.first.forwarded(version)
		}
	}
	return n
}

// targets returns the IDs of the nodes whose backend server has the target version. Nodes of different data centres alternate.
func (d *Decider) targets() []string {
	byDataCentre := make(map[string][]string)
	for id, n := range d.nodes {
		if n.latest != nil && n.latest.Version == d.state.Order.Target {
			byDataCentre[n.dataCentre] = append(byDataCentre[n.dataCentre], id)
		}
	}
	for _, ids := range byDataCentre {
		slices.Sort(ids)
	}
	var targets []string
	dataCentres := slices.Sorted(maps.Keys(byDataCentre))
	for i := 0; len(dataCentres) > 0; i++ {
		dataCentres = slices.DeleteFunc(dataCentres, func(name string) bool { return len(byDataCentre[name]) <= i })
		for _, name := range dataCentres {
			targets = append(targets, byDataCentre[name][i])
		}
	}
	return targets
}

// isTargetInUse reports whether all nodes have confirmed for a while that no other version than the target is in use. Then the limits of the
// canary phase would only take capacity away.
func (d *Decider) isTargetInUse(now time.Time) bool {
	confirmed := d.isOnlyTargetInUse()
	for _, n := range d.nodes {
		confirmed = confirmed && n.latest != nil && now.Sub(n.at) <= reportTTL
	}
	if !confirmed {
		d.onlyTargetSince = time.Time{}
		return false
	}
	if d.onlyTargetSince.IsZero() {
		d.onlyTargetSince = now
	}
	return now.Sub(d.onlyTargetSince) >= onlyTargetTime
}

// hasMoved reports whether every node confirmed that it sends no request to a base version and that none is being served there.
func (d *Decider) hasMoved(now time.Time) bool {
	if !d.mayCloseBase(now) {
		return false
	}
	for _, n := range d.nodes {
		if !d.isConfirmed(now, n) || n.latest.Base != Closed || d.hasBaseRequest(n) {
			return false
		}
	}
	return true
}

// hasBaseRequest reports whether a base instance beside the node has a request.
func (d *Decider) hasBaseRequest(n *nodeRecord) bool {
	for version, v := range n.latest.Versions {
		if version != d.state.Order.Target && v.InFlight > 0 {
			return true
		}
	}
	return false
}

// isConfirmed reports whether the latest report of a node is recent and shows that it follows the current state.
func (d *Decider) isConfirmed(now time.Time, n *nodeRecord) bool {
	return n.latest != nil && n.latest.Epoch == d.state.Epoch && now.Sub(n.at) <= reportTTL
}

// mayCloseBase reports whether the instances of the target version have been open for long enough to take over all requests.
func (d *Decider) mayCloseBase(now time.Time) bool {
	targets := d.targets()
	if d.state.Phase != Moving || len(targets) == 0 {
		return false
	}
	for _, id := range targets {
		if n := d.nodes[id]; !d.isConfirmed(now, n) || n.latest.Target != Open {
			return false
		}
	}
	if d.openedAt.IsZero() {
		d.openedAt = now
	}
	return now.Sub(d.openedAt) >= settleTime
}

// baseMode returns the mode of the base versions in phase Moving.
func (d *Decider) baseMode(now time.Time) Mode {
	if d.state.NoBase || d.mayCloseBase(now) {
		return Closed
	}
	return Open
}

// permits returns the permit for each of the nodes.
func (d *Decider) permits(now time.Time, nodes []string) map[string]Permit {
	permits := make(map[string]Permit, len(nodes))
	for _, id := range nodes {
		permits[id] = InitialPermit(d.state)
	}
	switch d.state.Phase {
	case Canary:
		if !d.hasBase() {
			for id := range permits {
				permits[id] = inquiry(d.state)
			}
			return permits
		}
		d.grant(permits)
	case Moving:
		base := d.baseMode(now)
		for id, p := range permits {
			p.Target, p.Base = Open, base
			permits[id] = p
		}
	}
	return permits
}

// hasBase reports whether another version than the target is in use.
func (d *Decider) hasBase() bool {
	for _, n := range d.nodes {
		if n.latest != nil && n.latest.InUse && n.latest.Version != "" && n.latest.Version != d.state.Order.Target {
			return true
		}
	}
	return false
}

// grant distributes the exposure that is left among the first instances of the target version. The others get no request, so that these
// few are loaded as they will be later.
func (d *Decider) grant(permits map[string]Permit) {
	targets := slices.DeleteFunc(d.targets(), func(id string) bool { return id == d.outlier })
	if len(targets) == 0 {
		return
	}
	canaries := min(len(targets), max(minCanaries, int(maxCanaryShare*float64(len(d.nodes)-len(targets)))))
	allowed := int64(exposureUsed * (d.limits.Share*float64(d.requests()) + d.limits.Slack))
	each := max(0, allowed-d.granted) / int64(canaries)
	for _, id := range targets[:canaries] {
		p, known := permits[id]
		if !known {
			continue
		}
		n := d.nodes[id]
		d.granted += each
		n.granted += each
		p.Target, p.Limit, p.Lease = Limited, n.granted, permitLease
		permits[id] = p
	}
}
