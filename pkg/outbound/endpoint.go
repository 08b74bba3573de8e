package outbound

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// Parameters of endpoint choice.
const (
	maxLoadReportAge    = time.Second      // a load report older than this says little about the present
	slowStartDuration   = 10 * time.Second // a new endpoint reaches its full weight after this time
	minWeight           = 0.1              // weight of an endpoint at the start of its slow start, and while it is warming
	endpointIdleTimeout = 5 * time.Minute  // an endpoint that was not a candidate for this time is forgotten

	// Ejection: failures in a row, and the time without calls, which doubles with each ejection in a row.
	failureThreshold     = 3
	errorThreshold       = 10 // failures by the backend server's own status 500 or 502: these can also be caused by callers
	ejectionBase         = time.Second
	ejectionMax          = time.Minute
	maxEjectionDoublings = 6 // doublings
	ejectionResetAfter   = 2 * time.Minute
	avoidDuration        = time.Second // preference of other endpoints after a refusal that does not depend on load
)

// endpointKey identifies one incarnation of a node: what was observed on a predecessor does not apply to it.
type endpointKey struct {
	id          string
	incarnation uint64
}

func keyOf(m *membership.Member) endpointKey {
	return endpointKey{id: m.ID, incarnation: m.Incarnation}
}

// endpoint is what this node observed on one endpoint.
type endpoint struct {
	inFlight atomic.Int64 // calls of this node

	// Read for every candidate of every call, so without a lock.
	lastUsed                atomicTime // last time it was a candidate, to within lastUsedResolution
	ejectedUntil            atomicTime
	avoidUntil              atomicTime // it refused calls lately
	avoidFirstAttemptsUntil atomicTime // it refused non-idempotent first attempts lately

	mu                 sync.Mutex
	slowStartAt        time.Time // start of the slow start
	report             callctx.Load
	reportedAt         time.Time
	inFlightAtReport   int64 // inFlight when the report arrived
	failures           int   // transport failures in a row
	errors             int   // status 500 or 502 in a row
	ejections          int   // in a row
	ejectedAt          time.Time
	ejectionEndPending bool // ejected, and its return not reported yet
}

// lastUsedResolution keeps calls from writing to the same memory all the time.
const lastUsedResolution = time.Second

// atomicTime is a point in time that can be read and written concurrently. The zero value is long ago.
type atomicTime struct {
	at atomic.Pointer[time.Duration] // clock.Of
}

func (i *atomicTime) set(t time.Time) {
	at := clock.Of(t)
	i.at.Store(&at)
}

// after reports whether the instant is later than t.
func (i *atomicTime) after(t time.Time) bool {
	at := i.at.Load()
	return at != nil && *at > clock.Of(t)
}

// load returns the estimated calls at the endpoint and how many it can run at once.
func (e *endpoint) load(now time.Time, slots int) (calls, limit float64) {
	own := e.inFlight.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	limit = float64(max(slots, 1))
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > maxLoadReportAge {
		return float64(own), limit
	}
	startedSince := max(own-e.inFlightAtReport, 0)
	calls = float64(int64(e.report.InFlight+e.report.Queued) + startedSince)
	return calls, float64(e.report.Limit)
}

// weight is the part of its normal share that a new endpoint receives, between minWeight and 1.
func (e *endpoint) weight(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now.Sub(e.slowStartAt)
	if age >= slowStartDuration {
		return 1
	}
	return max(minWeight, age.Seconds()/slowStartDuration.Seconds())
}

// recordLoad stores a load report of the endpoint.
func (e *endpoint) recordLoad(report callctx.Load, now time.Time) {
	own := e.inFlight.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report, e.reportedAt, e.inFlightAtReport = report, now, own
}

// ejected reports whether the endpoint is ejected at this time.
func (e *endpoint) ejected(now time.Time) bool {
	return e.ejectedUntil.after(now)
}

// healthSignal is what one call says about its endpoint.
type healthSignal int

const (
	neutral      healthSignal = iota // a refusal, or a call that the caller gave up
	success                          // a complete response
	backendError                     // a complete response with status 500 or 502
	failure                          // no complete response, or the node cannot reach its backend server
)

// recordSignal counts a verdict and reports whether the endpoint is due for ejection.
func (e *endpoint) recordSignal(v healthSignal, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch v {
	case success:
		e.failures, e.errors = 0, 0
		if now.Sub(e.ejectedAt) > ejectionResetAfter {
			e.ejections = 0
		}
	case backendError:
		e.failures = 0
		e.errors++
	case failure:
		e.failures++
	}
	return e.failures >= failureThreshold || e.errors >= errorThreshold
}

// eject takes the endpoint out of use. After its return one failure is enough for the next ejection, and the slow
// start limits the calls that this failure can hit.
func (e *endpoint) eject(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	duration := min(ejectionBase<<min(e.ejections, maxEjectionDoublings), ejectionMax)
	e.ejections++
	e.ejectedAt = now
	e.ejectionEndPending = true
	e.ejectedUntil.set(now.Add(duration))
	e.slowStartAt = now.Add(duration)
	e.failures = failureThreshold - 1
	e.errors = errorThreshold - 1
	return duration
}

// recordRefusal notes a refusal that the next calls would meet as well.
func (e *endpoint) recordRefusal(r *reply, now time.Time) {
	if r.outcome != callctx.NotRun {
		return
	}
	switch r.reason {
	case callctx.Draining, callctx.NotReady, callctx.UnknownService, callctx.WrongIncarnation, callctx.BackendUnreachable:
		e.avoidUntil.set(now.Add(avoidDuration))
	case callctx.PresenceUnconfirmed, callctx.IDBeforePresence, callctx.PresenceExpiring, callctx.TableFull:
		e.avoidFirstAttemptsUntil.set(now.Add(avoidDuration))
	}
}

// avoided reports whether other endpoints are preferred for a call. First tells whether it is a non-idempotent first
// attempt.
func (e *endpoint) avoided(firstAttempt bool, now time.Time) bool {
	return e.avoidUntil.after(now) || firstAttempt && e.avoidFirstAttemptsUntil.after(now)
}

func (e *endpoint) touch(now time.Time) {
	if !e.lastUsed.after(now.Add(-lastUsedResolution)) {
		e.lastUsed.set(now)
	}
}

// endpoints holds what this node observed on each endpoint.
type endpoints struct {
	mu    sync.RWMutex
	byKey map[endpointKey]*endpoint
}

func newEndpoints() *endpoints {
	return &endpoints{byKey: make(map[endpointKey]*endpoint)}
}

func (t *endpoints) get(key endpointKey, now time.Time) *endpoint {
	t.mu.RLock()
	found := t.byKey[key]
	t.mu.RUnlock()
	if found != nil {
		return found
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if found = t.byKey[key]; found == nil {
		found = &endpoint{slowStartAt: now}
		found.lastUsed.set(now)
		t.byKey[key] = found
	}
	return found
}

// statesOf appends the state of each member to states and notes that it is a candidate.
func (t *endpoints) statesOf(members []membership.Member, states []*endpoint, now time.Time) []*endpoint {
	missing := false
	t.mu.RLock()
	for i := range members {
		state := t.byKey[keyOf(&members[i])]
		missing = missing || state == nil
		states = append(states, state)
	}
	t.mu.RUnlock()
	for i := range states {
		if missing && states[i] == nil {
			states[i] = t.get(keyOf(&members[i]), now)
		}
		states[i].touch(now)
	}
	return states
}

// takeEjectionEnd reports once that an ejection has ended.
func (e *endpoint) takeEjectionEnd(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ejectionEndPending || e.ejected(now) {
		return false
	}
	e.ejectionEndPending = false
	return true
}

// expire forgets endpoints that have left. It returns how many are ejected and which ones are in use again.
func (t *endpoints) expire(now time.Time) (ejected int, readmitted []endpointKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.byKey {
		switch {
		case !e.lastUsed.after(now.Add(-endpointIdleTimeout)) && e.inFlight.Load() == 0:
			delete(t.byKey, key)
		case e.ejected(now):
			ejected++
		case e.takeEjectionEnd(now):
			readmitted = append(readmitted, key)
		}
	}
	return ejected, readmitted
}
