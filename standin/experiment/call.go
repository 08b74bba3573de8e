package experiment

import (
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/callerretry"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
)

const (
	// dialTimeout and silenceTimeout are the times after which a node gives up a node that it does not reach, before and after a call was
	// sent. They are those of pkg/sidecar, as are attemptOverhead and startRetryAfter.
	dialTimeout     = 120 * time.Millisecond
	silenceTimeout  = 350 * time.Millisecond
	attemptOverhead = 5 * time.Millisecond
	startRetryAfter = 300 * time.Millisecond
	// refusedReturn is how long a caller needs to return if its node does not accept connections.
	refusedReturn = 100 * time.Millisecond
)

// request is what a caller wants, over all its attempts.
type request struct {
	class    *Class
	key      uint64 // of the requested resource
	node     *node
	first    time.Time // of the first attempt, at the caller
	deadline time.Time // at the caller
	returns  int       // left
	returned bool
	counted  bool
	team     *Team // nil: none
}

// rank returns the rank of the request's calls.
func (r *request) rank() int {
	if r.team != nil && r.team.Rank != nil {
		return *r.team.Rank
	}
	return r.class.Rank
}

// status is the outcome of a call.
type status int

const (
	succeeded status = iota
	failed           // answered with an error, or may have run
	notRun
)

// call is one attempt of a caller, or a call that a backend server makes.
type call struct {
	class       *Class
	rank        int
	parentRank  int // of a nested call: the most urgent rank that its backend server runs
	team        string
	node        *node // that sends it
	target      time.Time
	deadline    time.Time
	callerRetry bool
	nested      bool // made by a backend server; the nodes find that out by themselves
	lastNode    bool // if the next node refuses the call for lack of capacity, no other is asked
	repeated    bool // made by a backend server that serves a retry, so that the call repeats an earlier one
	attempts    *retry.Attempts
	attempted   map[string]bool
	busy        map[string]bool
	last        reply
	asked       bool // an endpoint was asked
	done        func(reply)
}

func (c *call) shortageKey() placement.ShortageKey {
	return placement.ShortageKey{Service: c.class.Service, Class: c.class.Name, Rank: c.class.Rank}
}

// reply is the outcome of an attempt.
type reply struct {
	status     status
	arrived    bool
	full, busy bool
	hopeless   bool // refused since the deadline cannot be met
	nested     bool // according to the inbound node
	retryAfter time.Duration
	outcome    placement.Outcome
	load       *placement.Load
}

// send sends a caller's request to its node.
func (f *fleet) send(r *request) {
	path := milliseconds(f.scenario.Network.ToCallersMS)
	if !r.node.up {
		f.after(refusedReturn, func() { f.retryOrGiveUp(r, notRun, 0) })
		return
	}
	f.after(path, func() {
		n := r.node
		callerDeadline := r.deadline.Add(-path)
		c := &call{class: r.class, rank: r.rank(), node: n, target: f.now.Add(milliseconds(r.class.TargetMS)), deadline: callerDeadline}
		if r.team != nil {
			c.team = r.team.Name
		}
		if timeout := f.now.Add(milliseconds(r.class.TimeoutMS)); r.class.TimeoutMS > 0 && timeout.Before(c.deadline) {
			c.deadline = timeout
		}
		if refusal, ok := n.refusals.Take(r.key, callerDeadline); ok && f.policies.has(ReturnsRecognised) {
			c.target, c.callerRetry = refusal.FirstAttempt.Add(milliseconds(r.class.TargetMS)), true
		}
		received := f.now
		c.done = func(res reply) {
			if res.status == notRun {
				first := c.target.Add(-milliseconds(r.class.TargetMS))
				n.refusals.Add(f.now, callerretry.Refusal{Key: r.key, FirstAttempt: first, Deadline: callerDeadline, RetryAt: f.now.Add(res.retryAfter)})
				f.tally.refusal(r, f.now.Sub(received))
			}
			f.after(path, func() {
				if res.status == succeeded {
					f.tally.answered(f, r)
					return
				}
				f.retryOrGiveUp(r, res.status, res.retryAfter)
			})
		}
		n.serve(c)
	})
}

// retryOrGiveUp lets a caller return whose attempt was refused or failed.
func (f *fleet) retryOrGiveUp(r *request, s status, retryAfter time.Duration) {
	left := r.deadline.Sub(f.now)
	if r.returns == 0 || left <= 0 || s == failed && !r.class.Idempotent {
		f.tally.lost(f, r, s)
		return
	}
	r.returns--
	r.returned = true
	wait := min(retryAfter, left/returnLimit)
	if f.random.Float64() < f.returning.Share {
		wait = 0
	}
	f.after(wait, func() { f.send(r) })
}

// serve handles a call at the node of its caller, as the outbound side of pkg/sidecar does.
func (n *node) serve(c *call) {
	c.attempts = n.budget.Attempts(retry.Call{Service: c.class.Service, Idempotent: c.class.Idempotent, Returned: c.callerRetry, MaxArrivals: c.class.MaxAttempts})
	c.attempted, c.busy = make(map[string]bool), make(map[string]bool)
	c.last = reply{status: notRun}
	if c.nested {
		n.budget.CountRetries(c.class.Service, n.retryShare())
	}
	n.fleet.tally.firstAttempt(n.fleet, c.class.Service)
	if retryAfter, ok := n.shortages.Reject(c.shortageKey()); ok && !c.nested && !c.callerRetry && n.fleet.policies.has(EarlyRejection) {
		c.last.retryAfter = retryAfter
		n.fleet.tally.rejected++
		n.end(c)
		return
	}
	c.asked = true
	n.next(c)
}

// next makes the next attempt of a call, or ends the call.
func (n *node) next(c *call) {
	f := n.fleet
	if !c.attempts.Allowed() || !f.now.Add(attemptOverhead).Before(c.deadline) {
		n.end(c)
		return
	}
	var endpoints []placement.Endpoint
	if !f.now.Before(n.knowsAt) {
		endpoints = f.endpoints[c.class.Service]
	}
	choice := n.chooser.Pick(endpoints, placement.Requirements{
		Class: c.class.Name, Bytes: c.class.Bytes, TimeToTarget: max(c.target.Sub(f.now), time.Millisecond), DelayCost: n.delayCost(c),
		Excluded: func(e *placement.Endpoint) bool { return c.attempted[e.ID] }, Busy: c.busy,
	})
	if choice == nil {
		if c.attempts.Sent() == 0 {
			c.last.retryAfter = startRetryAfter
		}
		n.end(c)
		return
	}
	if !c.attempts.Reserve() {
		choice.Done(placement.Healthy, nil)
		f.tally.budgetDenied++
		n.end(c)
		return
	}
	n.exchange(c, choice, func(res reply) {
		choice.Done(res.outcome, res.load)
		c.last = res
		if res.load != nil {
			n.shortages.ObserveReport(c.class.Service, *res.load)
		}
		if res.busy {
			c.busy[choice.ID] = true
		} else {
			c.attempted[choice.ID] = true
			c.attempts.Observe(retry.Outcome{
				Answered: res.status == succeeded || res.status == failed && res.load != nil, MayHaveRun: res.status == failed && res.load == nil,
				Arrived: res.arrived, Full: res.full, Nested: res.nested,
			})
		}
		n.next(c)
	})
}

func (n *node) end(c *call) {
	if c.asked && c.attempts.Sent() > 0 && !c.last.hopeless {
		n.shortages.ObserveCall(c.shortageKey(), !c.last.full, c.last.retryAfter)
	}
	if c.attempts.MayHaveRun() && c.last.status == notRun {
		c.last.status = failed
	}
	if c.last.status == notRun && n.fleet.hasIdleSlot(n, n.fleet.scenario.service(c.class.Service)) {
		n.fleet.tally.refusedBesideIdle++
	}
	c.done(c.last)
}

// delayCost returns the weight of the delay in the choice of an endpoint.
func (n *node) delayCost(c *call) float64 {
	l := n.scheduler.Load(n.fleet.now, "")
	if c.nested && n.fleet.policies.has(DelayCost) && l.Running >= l.Limit {
		return 1
	}
	return 0
}

// exchange sends a call to the chosen node and passes the reply to done.
func (n *node) exchange(c *call, choice *placement.Choice, done func(reply)) {
	f := n.fleet
	f.tally.tries++
	to := f.byID[choice.ID]
	if f.isCut(n, to) || !to.up {
		f.after(dialTimeout, func() { done(reply{status: notRun, outcome: placement.Unresponsive}) })
		return
	}
	if n.dataCentre != to.dataCentre {
		f.tally.remoteBytes += c.class.Bytes
		f.tally.remoteCalls++
	}
	isRetry := c.attempts.Arrivals() > 0
	c.lastNode = c.attempts.LastForCapacity()
	path := f.latency(n, to)
	f.after(path, func() {
		to.admit(c, choice, isRetry, func(res reply) {
			if f.isCut(n, to) {
				f.after(silenceTimeout, func() { done(reply{status: failed, arrived: res.arrived, outcome: placement.Unresponsive}) })
				return
			}
			f.after(path, func() { done(res) })
		})
	})
}

// admit handles a call at the node beside the backend server, as the inbound side of pkg/sidecar does.
func (n *node) admit(c *call, choice *placement.Choice, isRetry bool, respond func(reply)) {
	f := n.fleet
	if !n.up || n.draining || n.incarnation != choice.Incarnation {
		respond(reply{status: notRun, outcome: placement.Unavailable})
		return
	}
	rank := c.rank
	isNested := n.origins.Observe(c.class.Name, c.node.service.Name, n.service.Name)
	if isNested && f.policies.has(NestedFirst) {
		rank = admission.Nested
		if f.policies.has(ParentRank) {
			rank = c.parentRank
		}
	}
	if f.policies.has(ParentAdmission) && !n.parents.Admit(c.class.Name) {
		respond(reply{status: notRun, full: true, nested: isNested, retryAfter: min(refusedReturn, c.deadline.Sub(f.now)/returnLimit), load: n.load(c.class.Name)})
		return
	}
	arrived, besideIdle := f.now, false
	ticket := &admission.Ticket{Call: admission.Call{
		Class: c.class.Name, Rank: rank, Target: c.target, Deadline: c.deadline, IsRetry: c.callerRetry, NoQueue: choice.NoQueue,
		Nested: isNested && f.policies.has(NestedFirst), Team: c.team, LastNode: c.lastNode,
	}}
	ticket.Decide = func(refusal *admission.Refusal) {
		// The scheduler must not be called again before it returns.
		f.after(0, func() {
			if refusal != nil {
				respond(reply{
					status: notRun, busy: refusal.Reason == admission.Busy, hopeless: refusal.Reason == admission.DeadlineUnreachable, full: refusal.Reason == admission.Overloaded || refusal.Reason == admission.RateLimited || refusal.Reason == admission.DeadlineUnreachable,
					nested: isNested, retryAfter: refusal.RetryAfter, load: n.load(c.class.Name),
				})
				return
			}
			f.tally.waited(f.now.Sub(arrived), besideIdle)
			n.execute(&execution{node: n, call: c, ticket: ticket, isNested: isNested, isRetry: isRetry, respond: respond})
		})
	}
	incarnation, scheduler := n.incarnation, n.scheduler
	load := scheduler.Load(f.now, "")
	besideIdle = (load.Queued > 0 || load.Running >= load.Limit) && f.hasIdleSlot(c.node, n.service)
	scheduler.Offer(f.now, ticket)
	n.scheduleGrant()
	f.after(scheduler.MaxQueueTime(f.now, ticket.Call), func() {
		if n.incarnation == incarnation {
			scheduler.Withdraw(f.now, ticket, admission.DeadlineUnreachable)
		}
	})
}

// execution is a call that holds a slot of a backend server.
type execution struct {
	node     *node
	call     *call
	ticket   *admission.Ticket
	isNested bool
	isRetry  bool
	respond  func(reply)
	granted  time.Time
	pending  int  // parts of the work that have not ended
	failed   bool // a call that the backend server made has failed
	noRoom   bool // such a call was refused for lack of room
	ended    bool
}

// rank returns the rank of the call, or of the parent of a nested call.
func (e *execution) rank() int {
	if e.isNested {
		return e.call.parentRank
	}
	return e.call.rank
}

// execute runs a call on the backend server.
func (n *node) execute(e *execution) {
	f, class := n.fleet, e.call.class
	e.granted = f.now
	if !n.up {
		e.lost()
		return
	}
	n.running = append(n.running, e)
	n.ranks.Add(e.rank(), 1)
	if e.isRetry || e.call.repeated {
		f.tally.retry(f, class.Service)
	}
	if f.random.Float64() < n.shed {
		e.end(reply{status: notRun, arrived: true}, admission.Inconclusive, false)
		return
	}
	work := milliseconds(f.sample(class.WorkMS) * n.workFactor())
	if f.random.Float64() < n.fail && (n.failFrom == "" || n.failFrom == e.call.node.dataCentre) {
		f.after(work/2, func() { e.end(reply{status: failed, arrived: true}, admission.Inconclusive, false) })
		return
	}
	f.after(e.call.deadline.Sub(f.now), func() { e.end(reply{status: failed, arrived: true}, admission.Inconclusive, true) })
	e.pending = 1
	var last []*Class
	for _, nested := range class.Calls {
		if f.random.Float64() >= nested.Share {
			continue
		}
		if target := f.scenario.class(nested.Class); nested.Together {
			e.callNested(target)
		} else {
			last = append(last, target)
		}
	}
	f.after(work, func() { e.callInTurn(last) })
}

// callInTurn makes the calls at the end of the work, one after the other.
func (e *execution) callInTurn(classes []*Class) {
	if len(classes) == 0 {
		e.finishPart()
		return
	}
	e.callNested(classes[0])
	e.node.fleet.after(0, func() { e.callInTurn(classes[1:]) })
}

// callNested makes a call on behalf of the call that runs.
func (e *execution) callNested(class *Class) {
	f := e.node.fleet
	e.pending++
	deadline := f.now.Add(milliseconds(class.DeadlineMS))
	if e.call.deadline.Before(deadline) {
		deadline = e.call.deadline
	}
	c := &call{class: class, rank: class.Rank, parentRank: e.node.ranks.MostUrgent(), team: e.call.team, node: e.node, nested: true, repeated: e.isRetry, target: f.now.Add(milliseconds(class.TargetMS)), deadline: deadline}
	c.done = func(res reply) {
		e.failed = e.failed || res.status != succeeded
		e.noRoom = e.noRoom || res.full
		e.finishPart()
	}
	e.node.serve(c)
}

// finishPart ends the call when all parts of its work have ended, or one has failed.
func (e *execution) finishPart() {
	e.pending--
	switch {
	case e.failed:
		e.end(reply{status: failed, arrived: true}, admission.Inconclusive, false)
	case e.pending == 0:
		e.end(reply{status: succeeded, arrived: true}, admission.Answered, true)
	}
}

// end frees the slot and responds.
func (e *execution) end(res reply, result admission.Result, answered bool) {
	if e.ended {
		return
	}
	e.ended = true
	n, f := e.node, e.node.fleet
	n.forget(e)
	n.observeAnswered(answered)
	if f.slowShift != nil && f.policies.has(SlownessReports) {
		n.scheduler.ObserveSlowness(f.now, n.workFactor())
	}
	n.scheduler.Finish(f.now, e.ticket, result)
	n.scheduleGrant()
	f.tally.held(f, e, res.status)
	switch {
	case res.status == succeeded:
		n.parents.Succeeded(e.call.class.Name)
	case e.noRoom:
		n.parents.Lost(e.call.class.Name)
	}
	res.load, res.nested = n.load(e.call.class.Name), e.isNested
	e.respond(res)
}

// forget removes an execution that has ended.
func (n *node) forget(e *execution) {
	n.ranks.Add(e.rank(), -1)
	n.running = slices.DeleteFunc(n.running, func(other *execution) bool { return other == e })
}

// lose ends a call whose machine has lost power.
func (e *execution) lose() {
	if e.ended {
		return
	}
	e.node.forget(e)
	e.lost()
}

// lost lets the caller's node notice that the machine has lost power.
func (e *execution) lost() {
	e.ended = true
	e.node.fleet.after(silenceTimeout, func() { e.respond(reply{status: failed, arrived: true, outcome: placement.Unresponsive}) })
}
