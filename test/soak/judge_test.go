package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// promise is what the system owes its callers or its backend servers whatever fails.
type promise string

const (
	promiseOnce     promise = "a request that is not idempotent runs at most once"
	promiseNotRun   promise = "what is answered 408, 421, 429 or 503 has not run and never will"
	promiseWhole    promise = "an answer is the backend server's own, whole, and belongs to the request"
	promiseAsked    promise = "a backend server gets only requests that a caller sent, unchanged"
	promiseService  promise = "a request runs where a configuration allows it"
	promiseAllowed  promise = "a proper request on a standing route is never denied"
	promiseVersion  promise = "a process never goes back to an older configuration"
	promiseApplied  promise = "a configuration is in force in time"
	promiseDrain    promise = "no request reaches a backend server after its leave was acknowledged and the drain time is over"
	promiseDeadline promise = "a backend server is not handed more time than the caller has left"
	promiseBudget   promise = "repeats stay within the budget of the fleet"
	promiseStop     promise = "a planned stop or change cuts nothing"
	promiseRuns     promise = "a process ends only when it is told to, and then in time"
	promiseRecovery promise = "all nodes serve all routes again soon after the last fault"
)

// Bounds of the promises. They are those that the platform states for its deployments; the budget is a tighter one, which the nodes get
// with their settings, so that the few callers here can exceed it.
const (
	drainBound      = 2500 * time.Millisecond
	configApply     = 2500 * time.Millisecond
	gracePeriod     = 6 * time.Second
	lossSlack       = 200 * time.Millisecond // a request that was not passed on may lose its connection for so long after it was sent
	deadlineSlack   = 500 * time.Millisecond
	recoveryBound   = 15 * time.Second
	settleWindow    = 3 * time.Second // after a fault, in which bounds on time do not hold
	budgetWindow    = 10 * time.Second
	budgetRatio     = 0.05
	budgetSlack     = 5
	stallLimit      = 100 * time.Millisecond // the judge itself was not scheduled for longer: nothing is timed around that
	shownViolations = 20
)

// attempt is one request of a caller.
type attempt struct {
	id         string
	node       *node // that takes it from the caller
	route      string
	path       string
	body       string
	idempotent bool
	patience   time.Duration // stated deadline

	sent    time.Time
	status  int  // 0: no complete answer
	refused bool // the answer promised that it has not run
	runs    []*run
}

// run is one arrival of a request at a backend server that began to work on it.
type run struct {
	attempt  *attempt
	instance string
	service  string
	node     *node
	at       time.Time
	status   int // of the answer that the backend server made
}

// violation is a broken promise.
type violation struct {
	promise promise
	text    string
}

// judge compares what callers and backend servers saw. It is safe for concurrent use.
type judge struct {
	mu         sync.Mutex
	attempts   map[string]*attempt
	violations []violation
	allowed    map[string]map[string]bool // services by route, in any configuration so far
	current    map[string]map[string]bool // the same, in the two newest ones
	former     map[string]map[string]bool // the same, in the newest but one
	requests   map[string][]time.Time     // by service
	repeats    map[string][]time.Time     // by service
	faults     []span                     // unplanned ones
	stalls     []span                     // in which this process was not scheduled
	answers    map[int]int                // by status
}

// span is a time in which something was wrong. An open one has no end yet.
type span struct {
	from, to time.Time
}

func newJudge() *judge {
	return &judge{
		attempts: make(map[string]*attempt), allowed: make(map[string]map[string]bool),
		requests: make(map[string][]time.Time), repeats: make(map[string][]time.Time), answers: make(map[int]int),
	}
}

// fail records a broken promise. The caller holds mu.
func (j *judge) fail(p promise, format string, args ...any) {
	j.violations = append(j.violations, violation{p, time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)})
}

// broken records a broken promise.
func (j *judge) broken(p promise, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail(p, format, args...)
}

// disturb notes an unplanned fault from now on, and returns the function that ends it.
func (j *judge) disturb() func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(j.faults)
	j.faults = append(j.faults, span{from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.faults[i].to = time.Now()
	}
}

// calm reports whether there was no unplanned fault from settleWindow before a moment until now. The caller holds mu.
func (j *judge) calm(from time.Time) bool {
	from = from.Add(-settleWindow)
	return !endedAfter(j.faults, from) && !endedAfter(j.stalls, from)
}

// watchStalls notes the times in which this process was not scheduled, until stop is closed.
func (j *judge) watchStalls(stop <-chan struct{}) {
	const step = 20 * time.Millisecond
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(step):
		}
		now := time.Now()
		if now.Sub(last) > step+stallLimit {
			j.mu.Lock()
			j.stalls = append(j.stalls, span{last, now})
			j.mu.Unlock()
		}
		last = now
	}
}

// allow notes where the routes of a configuration lead, before it is published.
func (j *judge) allow(d *routing.Document) {
	j.mu.Lock()
	defer j.mu.Unlock()
	newest := make(map[string]map[string]bool)
	add := func(to map[string]map[string]bool, route, service string) {
		if to[route] == nil {
			to[route] = make(map[string]bool)
		}
		to[route][service] = true
	}
	for _, r := range d.Routes {
		for _, destination := range r.Destinations {
			add(newest, r.Name, destination.Service)
			add(j.allowed, r.Name, destination.Service)
		}
	}
	j.current = make(map[string]map[string]bool)
	for _, version := range []map[string]map[string]bool{j.former, newest} {
		for route, services := range version {
			for service := range services {
				add(j.current, route, service)
			}
		}
	}
	j.former = newest
}

// sending notes a request before its first byte is sent.
func (j *judge) sending(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.sent = time.Now()
	j.attempts[a.id] = a
	for s := range j.current[a.route] {
		j.requests[s] = append(j.requests[s], a.sent)
	}
}

// arrival is what a backend server sees of a request.
type arrival struct {
	id, path, body, caller string
	deadline               time.Duration // handed over; negative: none
	instance, service      string
	node                   *node
	drained                time.Time // when the drain time was over; zero: not leaving
	refusing               bool      // the backend server does not run it
	status                 int       // of the answer that it will make
}

// arrived judges a request that a backend server begins to work on, or refuses. It returns nil in the latter case and for requests
// that nobody sent.
func (j *judge) arrived(v *arrival) *run {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	a := j.attempts[v.id]
	if a == nil {
		j.fail(promiseAsked, "%s got %q with id %q, which nobody sent", v.instance, v.path, v.id)
		return nil
	}
	r := &run{attempt: a, instance: v.instance, service: v.service, node: v.node, at: now, status: v.status}
	if len(a.runs) > 0 {
		j.repeats[v.service] = append(j.repeats[v.service], now)
	}
	if v.refusing {
		return nil
	}
	if a.path != v.path || a.body != v.body {
		j.fail(promiseAsked, "id %s: %s got %q with %d bytes, sent were %q and %d bytes", a.id, v.instance, v.path, len(v.body), a.path, len(a.body))
	}
	if v.caller != a.node.service() && !a.node.changedService() {
		j.fail(promiseAsked, "id %s: the caller's service is stated as %q, it is %q", a.id, v.caller, a.node.service())
	}
	if !a.idempotent && len(a.runs) > 0 {
		first := a.runs[0]
		j.fail(promiseOnce, "id %s ran at %s (%s) and again %s later at %s (%s)", a.id, first.instance, first.node.id, now.Sub(first.at), v.instance, v.node.id)
	}
	if a.refused && !a.idempotent {
		j.fail(promiseNotRun, "id %s was answered %d by %s and then ran at %s", a.id, a.status, a.node.id, v.instance)
	}
	if !j.allowed[a.route][v.service] {
		j.fail(promiseService, "id %s of route %s ran at service %s", a.id, a.route, v.service)
	}
	if !v.drained.IsZero() && now.After(v.drained) {
		j.fail(promiseDrain, "id %s reached %s %s after its drain time", a.id, v.instance, now.Sub(v.drained))
	}
	left := a.patience - now.Sub(a.sent)
	if v.deadline < 0 || v.deadline > left+deadlineSlack {
		if j.timely(v.node, a.node) {
			j.fail(promiseDeadline, "id %s: %s was handed %s, left were %s", a.id, v.instance, v.deadline, left)
		}
	}
	a.runs = append(a.runs, r)
	return r
}

// timely reports whether neither this process nor the nodes of a request were held up lately. The caller holds mu.
func (j *judge) timely(nodes ...*node) bool {
	for _, n := range nodes {
		if n.heldUp() {
			return false
		}
	}
	return !endedAfter(j.stalls, time.Now().Add(-settleWindow))
}

func endedAfter(spans []span, from time.Time) bool {
	return slices.ContainsFunc(spans, func(f span) bool { return f.to.IsZero() || f.to.After(from) })
}

// answer is what a caller got.
type answer struct {
	status    int
	id        string // echoed
	signature string
	body      string
	err       error // the connection ended before the answer was complete
}

// refusals are the statuses with which a node promises that a request has not run and never will.
var refusals = map[int]bool{408: true, 421: true, 429: true, 503: true}

// answered judges what a caller got for a request. written is when the last byte of the request was sent.
func (j *judge) answered(a *attempt, got *answer, written time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if got.err != nil {
		j.answers[0]++
		late := now.Sub(written) > lossSlack
		inTime := now.Sub(a.sent) < a.patience
		if (len(a.runs) > 0 || late) && inTime && j.calm(a.sent) {
			j.fail(promiseStop, "id %s: %s closed the connection after %s, %d runs: %v", a.id, a.node.id, now.Sub(a.sent), len(a.runs), got.err)
		}
		return
	}
	a.status = got.status
	j.answers[got.status]++
	if got.id != a.id {
		j.fail(promiseWhole, "id %s: the answer of %s, status %d, is for %q", a.id, a.node.id, got.status, got.id)
	}
	switch {
	case got.signature != "":
		j.signed(a, got)
	case got.status/100 == 2:
		j.fail(promiseWhole, "id %s: status %d without a signature", a.id, got.status)
	case refusals[got.status]:
		a.refused = true
		if !a.idempotent && len(a.runs) > 0 {
			j.fail(promiseNotRun, "id %s was answered %d by %s, and ran at %s", a.id, got.status, a.node.id, a.runs[0].instance)
		}
	case got.status/100 == 4 && !strings.HasPrefix(a.route, epochRoute):
		j.fail(promiseAllowed, "id %s of route %s was answered %d by %s", a.id, a.route, got.status, a.node.id)
	}
}

// signed judges an answer that a backend server has made. The caller holds mu.
func (j *judge) signed(a *attempt, got *answer) {
	for _, r := range a.runs {
		if got.signature == signatureOf(r.instance, a.id) {
			if got.status != r.status {
				j.fail(promiseWhole, "id %s: %s answered %d, the caller got %d", a.id, r.instance, r.status, got.status)
			}
			if want := answerBody(r.instance, a.id); got.body != want {
				j.fail(promiseWhole, "id %s: the caller got %d bytes, %s sent %d", a.id, len(got.body), r.instance, len(want))
			}
			return
		}
	}
	j.fail(promiseWhole, "id %s: signature %q is of none of its %d runs", a.id, got.signature, len(a.runs))
}

// checkBudget judges the repeats of the whole run.
func (j *judge) checkBudget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, repeats := range j.repeats {
		requests := j.requests[service]
		in := func(times []time.Time, from, to time.Time) int {
			first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
			last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
			return last - first
		}
		for _, end := range repeats {
			end = end.Add(time.Nanosecond)
			count := in(repeats, end.Add(-budgetWindow), end)
			most := max(in(requests, end.Add(-budgetWindow), end), in(requests, end.Add(-budgetWindow*3/2), end.Add(-budgetWindow/2)),
				in(requests, end.Add(-2*budgetWindow), end.Add(-budgetWindow)))
			if allowed := budgetRatio*float64(most) + budgetSlack; float64(count) > allowed {
				j.fail(promiseBudget, "service %s: %d repeats in a window, %.0f are allowed for %d requests", service, count, allowed, most)
				break
			}
		}
	}
}

// summary returns what was seen, for the log of the test.
func (j *judge) summary() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	repeats := 0
	for _, r := range j.repeats {
		repeats += len(r)
	}
	return fmt.Sprintf("attempts=%d answers=%v repeats=%d", len(j.attempts), j.answers, repeats)
}

// verdicts returns the broken promises.
func (j *judge) verdicts() []violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}
