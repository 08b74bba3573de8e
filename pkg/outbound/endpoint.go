package outbound

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// Parameters of endpoint selection and ejection.
const (
	maxLoadReportAge    = time.Second      // older load reports are ignored as stale
	slowStartDuration   = 10 * time.Second // time until a new endpoint has its full weight
	minWeight           = 0.1              // weight at the beginning of the slow start and while the endpoint is warming
	endpointIdleTimeout = 5 * time.Minute  // state of an endpoint that was not a candidate for this time is deleted

	// An endpoint is ejected after consecutive failures. The duration doubles with each consecutive ejection.
	failureThreshold     = 3
	errorThreshold       = 10 // status 500 or 502 of the backend server; higher, since callers can also cause these
	ejectionBase         = time.Second
	ejectionMax          = time.Minute
	maxEjectionDoublings = 6 // limits the exponent of the backoff
	ejectionResetAfter   = 2 * time.Minute
	avoidDuration        = time.Second // other endpoints are preferred for this time after a refusal that is independent of load
)

// endpointKey identifies one incarnation of a node. Observations of earlier incarnations do not apply to it.
type endpointKey struct {
	id          string
	incarnation uint64
}

func keyOf(m *membership.Member) endpointKey {
	return endpointKey{id: m.ID, incarnation: m.Incarnation}
}

// endpoint holds this node's observations of one endpoint.
type endpoint struct {
	inFlight atomic.Int64 // calls from this node

	// Read for every candidate of every call, hence without a lock.
	lastUsed                atomicTime // last time as a candidate, with lastUsedResolution
	ejectedUntil            atomicTime
	avoidUntil              atomicTime // set by a recent refusal of all calls
	avoidFirstAttemptsUntil atomicTime // set by a recent refusal of non-idempotent first attempts

	mu                 sync.Mutex
	slowStartAt        time.Time // start of the slow-start period
	report             callctx.Load
	reportedAt         time.Time
	inFlightAtReport   int64 // inFlight when the report arrived
	failures           int   // consecutive transport failures
	errors             int   // consecutive responses with status 500 or 502
	ejections          int   // consecutive ejections
	ejectedAt          time.Time
	ejectionEndPending bool // the end of the ejection has not been reported yet
}

// lastUsedResolution limits writes to lastUsed, which concurrent calls share.
const lastUsedResolution = time.Second

// atomicTime is a point in time that is safe for concurrent use. The zero value precedes all other times.
type atomicTime struct {
	at atomic.Pointer[time.Duration] // clock.SinceStart
}

func (a *atomicTime) set(t time.Time) {
	at := clock.SinceStart(t)
	a.at.Store(&at)
}

// after reports whether the stored time is later than t.
func (a *atomicTime) after(t time.Time) bool {
	at := a.at.Load()
	return at != nil && *at > clock.SinceStart(t)
}

// load returns the estimated number of calls at the endpoint and its concurrency limit. Without a recent load report it
// returns the calls of this node and the number of slots.
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

// weight returns the slow-start weight, which rises from minWeight to 1.
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

// ejected reports whether the endpoint is ejected at the given time.
func (e *endpoint) ejected(now time.Time) bool {
	return e.ejectedUntil.after(now)
}

// healthSignal is the information that one call gives about the health of its endpoint.
type healthSignal int

const (
	neutral      healthSignal = iota // a refusal, or a call cancelled by the caller
	success                          // a complete response
	backendError                     // a complete response with status 500 or 502
	failure                          // no complete response, or the node could not reach its backend server
)

// recordSignal counts a health signal and reports whether the endpoint has reached an ejection threshold.
func (e *endpoint) recordSignal(signal healthSignal, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch signal {
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

// eject ejects the endpoint and returns the duration. After the ejection a single failure causes the next one; the slow
// start limits how many calls that failure can affect.
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

// recordRefusal makes calls avoid the endpoint for a while after a refusal that would also apply to the next calls.
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

// avoided reports whether other endpoints are preferred for a call. Set firstAttempt for a non-idempotent first attempt.
func (e *endpoint) avoided(firstAttempt bool, now time.Time) bool {
	return e.avoidUntil.after(now) || firstAttempt && e.avoidFirstAttemptsUntil.after(now)
}

func (e *endpoint) touch(now time.Time) {
	if !e.lastUsed.after(now.Add(-lastUsedResolution)) {
		e.lastUsed.set(now)
	}
}

// endpoints holds this node's observations of all endpoints.
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

// statesOf appends the state of each member to states, creating it if missing, and marks each as used now.
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

// takeEjectionEnd reports whether an ejection has ended. It returns true once per ejection.
func (e *endpoint) takeEjectionEnd(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ejectionEndPending || e.ejected(now) {
		return false
	}
	e.ejectionEndPending = false
	return true
}

// expire deletes endpoints that have been idle for endpointIdleTimeout. It returns the number of ejected endpoints and the
// keys of those whose ejection has ended since the last call.
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
