package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/maphash"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/callerretry"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/pipeline"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/socket"
)

const (
	// peerGrace is how long the outbound node waits beyond a call's deadline for a reply that is already in flight.
	peerGrace = 100 * time.Millisecond
	// peerUserTimeout closes a connection to another node that does not acknowledge data. Round trips take a few milliseconds, and a
	// lost packet is first retransmitted after 200 ms.
	peerUserTimeout = 350 * time.Millisecond
	// peerDialTimeout leaves a call enough time to be sent to another node. A lost handshake packet is retransmitted only after 1 s.
	peerDialTimeout = 120 * time.Millisecond
	// notReadyRetryAfter is the Retry-After value of a node that has no configuration yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// defaultRetryAfter is the Retry-After value if no inbound node supplied one.
	defaultRetryAfter = 100 * time.Millisecond
	// logLinesPerSecond and logBurst rate-limit the log lines of requests that were not answered on the first attempt. Without the
	// limit, logging takes a tenth of the CPU under overload. Suppressed lines are counted.
	logLinesPerSecond = 50
	logBurst          = 200
	// attemptOverhead is the time that an additional attempt needs on top of the service time.
	attemptOverhead = 5 * time.Millisecond
)

// outbound accepts requests from clients and from the backend server on its VM, and forwards each to an inbound node.
type outbound struct {
	self      string        // node ID
	service   func() string // service of the backend server on this VM
	headers   Headers
	key       func(http.Header) (string, bool) // Platform.Key
	isBehind  func() bool                      // whether another node has a later configuration
	table     func() *routing.Table
	endpoints func(service string) []placement.Endpoint
	chooser   *placement.Chooser
	shortages *placement.Shortages
	budget    *retry.Budget
	local     *inbound
	link      *link.Link
	client    *hop.Client
	metrics   *metrics.Registry
	logger    *zap.Logger
	stats     routeStats
	teamStats teamStats
	refusals  callerretry.Tracker
	starting  *starting
	limits    *teamLimits
	cutAt     atomic.Int64 // clock.Now at which a stopping process cuts the requests in flight; 0: not stopping
	logLimit  *rate.Limiter
}

// request is the state of one in-flight request.
type request struct {
	*http.Request
	id             string
	received       time.Time
	firstAttempt   time.Time     // arrival of the caller's first attempt
	callerDeadline time.Time     // when the caller stops waiting
	deadline       time.Time     // the earlier of the caller's deadline and the route's timeout
	target         time.Time     // a response after this time counts as late
	maxWait        time.Duration // in a queue, for the requests behind it on the connection; 0: not limited
	callerRetry    bool          // the caller is retrying after a refusal
	version        uint64        // configuration version
	route          *routing.Entry
	team           *routing.Team // nil: none
	counted        time.Duration // clock.Now at which it was counted towards the limit of the team; 0: it was not
	hidesKey       bool          // the backend server must not see the key
	rank           int           // of the team or the route
	service        string        // destination service
	out            *hop.Request
	mayBeLate      bool                    // no node can serve it in time
	verdict        quarantine.Verdict      // for the next attempt
	fingerprint    *quarantine.Fingerprint // once it was needed
}

// rankLabel returns the metric label of the route's priority.
func (q *request) rankLabel() string {
	if q.route == nil {
		return "other"
	}
	return rankLabel(q.rank)
}

// rankLabel returns the metric label of a rank.
func rankLabel(rank int) string {
	const ranks = 10 // bounds the number of metrics; configurations use only a few ranks
	switch {
	case rank == admission.Nested:
		return "inner"
	case rank >= ranks:
		return "other"
	}
	return strconv.Itoa(rank)
}

// result is the outcome of a request or of one attempt.
type result struct {
	callReply
	status   int // HTTP status; 0: derived from the verdict
	response *hop.Response
	node     string // ID of the node that gave the reply
	version  uint64 // version of the configuration used
	attempts int
	arrivals int // number of backend servers that received the request
}

// isSuccess reports whether the backend server answered with a status other than a server error.
func (r *result) isSuccess() bool {
	return r.verdict == verdictAnswered && r.response != nil && r.response.Status < http.StatusInternalServerError
}

// ServeHTTP routes a request and writes the response.
func (o *outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: r, id: r.Header.Get(o.headers.RequestID), received: pipeline.ReceivedAt(r)}
	res := o.serve(w, q)
	if res.verdict == verdictNotRun && res.arrivals == 0 {
		o.uncount(q)
	}
	res.version = q.version
	o.metrics.Observe(time.Since(q.received), "outbound_latency", "rank", q.rankLabel(), "verdict", string(res.verdict))
	o.metrics.Inc("outbound", "verdict", string(res.verdict), "reason", string(res.reason))
	if q.route != nil && o.stats.isNested(q.route.Name) && !res.isSuccess() {
		o.countFailedCall(res.reason)
	}
	if q.team != nil {
		o.teamStats.observe(q.team.Name, res.verdict)
	}
	if q.callerRetry {
		o.metrics.Inc("returned", "verdict", string(res.verdict), "reason", string(res.reason))
	}
	o.logRequest(q, res)
	if !o.deliver(w, q, res) {
		panic(http.ErrAbortHandler) // the response is incomplete; the caller must see the connection break
	}
}

// countFailedCall counts a nested call that was not answered with a success.
func (o *outbound) countFailedCall(r reason) {
	o.local.failedCalls.Add(1)
	if lacksCapacity(r) || r == reasonLinkFull {
		o.local.callsNoRoom.Add(1)
	}
}

func refuse(status int, cause reason) *result {
	return &result{callReply: callReply{verdict: verdictNotRun, reason: cause}, status: status}
}

// serve validates and routes a request, and returns the final result.
func (o *outbound) serve(w http.ResponseWriter, q *request) *result {
	table := o.table()
	if table == nil && o.starting.wait(q.Context(), time.Now().Add(maxStartWait), func() bool { table = o.table(); return table != nil }) {
		o.metrics.Inc("start_wait", "for", "configuration")
	}
	if table == nil {
		res := refuse(http.StatusServiceUnavailable, reasonNotReady)
		res.retryAfter = notReadyRetryAfter
		return res
	}
	q.version = table.Document.Version
	if limit := table.Document.Limits.HeaderBytes; limit > 0 && headerBytes(q.Request) > limit {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge)
	}
	q.route = table.Match(q.Host, q.URL.Path)
	if q.route == nil {
		return o.refuseForGood(http.StatusNotFound, reasonUnknownRoute)
	}
	q.rank = q.route.Priority
	if res := o.identify(q, table); res != nil {
		return res
	}
	if !o.setDeadlines(q) {
		return refuse(http.StatusBadRequest, reasonBadRequest)
	}
	if res := o.refuseOverLimit(q); res != nil {
		return res
	}
	if o.mayOutlastProcess(q) {
		return refuse(http.StatusServiceUnavailable, reasonStopping)
	}
	if res := o.readBody(w, q, table.Document.Limits.BodyBytes); res != nil {
		return res
	}
	q.service = q.route.Destination()
	if res := o.refuseIfBlocked(q); res != nil {
		return res
	}
	return o.sendOrWait(q)
}

// sendOrWait sends the request. If no endpoint is known because the process has just started, the request waits for one, for half of its
// remaining time at most.
func (o *outbound) sendOrWait(q *request) *result {
	hasEndpoint := func() bool { return len(o.endpoints(q.service)) > 0 }
	if !hasEndpoint() && o.starting.wait(q.Context(), q.received.Add(q.deadline.Sub(q.received)/2), hasEndpoint) {
		o.metrics.Inc("start_wait", "for", "endpoint")
	}
	res := o.sendWithRetries(q)
	if res.reason == reasonNoEndpoint && res.retryAfter == 0 && o.starting.signal() != nil {
		res.retryAfter = startRetryAfter
	}
	return res
}

// headerBytes returns the approximate size of the request header on the wire.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// setDeadlines computes the deadlines and the target of a request. The target counts from the caller's first attempt. It reports false if
// the deadline header is malformed.
func (o *outbound) setDeadlines(q *request) bool {
	timeout := q.route.Timeout()
	callerTimeout := timeout
	if text := q.Header.Get(o.headers.DeadlineMS); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(ms) || ms < 0 {
			return false
		}
		callerTimeout = time.Duration(min(ms, float64(time.Hour/time.Millisecond)) * float64(time.Millisecond))
	}
	q.firstAttempt, q.callerDeadline, q.deadline = q.received, q.received.Add(callerTimeout), q.received.Add(min(callerTimeout, timeout))
	if refusal, ok := o.refusals.Take(q.retryKey(), q.callerDeadline); ok {
		q.firstAttempt, q.callerRetry = refusal.FirstAttempt, true
		o.metrics.Observe(q.received.Sub(refusal.RetryAt).Abs(), "returned_off")
	}
	q.target = q.firstAttempt.Add(q.route.Target())
	neighbours := pipeline.NeighboursOf(q.Context())
	neighbours.Observe(q.route.Target())
	if shortest := neighbours.ShortestTarget(); shortest < q.route.Target() {
		q.maxWait = admission.WaitBeforeOthers(shortest)
	}
	return true
}

// keySeed is the per-process hash seed of retry keys.
var keySeed = maphash.MakeSeed()

// retryKey returns a hash of method, host, target and team, by which a caller's retry is recognised.
func (q *request) retryKey() uint64 {
	key := q.Method + " " + q.Host + " " + q.RequestURI
	if q.team != nil {
		key += " " + q.team.Name
	}
	return maphash.String(keySeed, key)
}

// recordRefusal stores what is needed to recognise a retry by the caller.
func (o *outbound) recordRefusal(q *request, retryAfter time.Duration) {
	if q.route == nil {
		return
	}
	now := time.Now()
	o.refusals.Add(now, callerretry.Refusal{Key: q.retryKey(), FirstAttempt: q.firstAttempt, Deadline: q.callerDeadline, RetryAt: now.Add(retryAfter)})
}

// readBody reads the body before an endpoint is chosen, so that a slow caller does not occupy a slot.
func (o *outbound) readBody(w http.ResponseWriter, q *request, limit int64) *result {
	control := http.NewResponseController(w)
	if q.ContentLength != 0 {
		// Not every ResponseWriter supports deadlines; otherwise the server's own limits apply.
		_ = control.SetReadDeadline(q.deadline)
	}
	out, err := newHopRequest(q.Request, q.id, limit)
	switch {
	case err == nil:
		o.setTeamHeader(q, out.Header)
		if out.Stream == nil && q.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Time{})
		}
		q.out = out
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, reasonBodyTimeout)
	}
	return refuse(http.StatusBadRequest, reasonBadRequest)
}

// sendWithRetries sends the request to inbound nodes until one answers or no further attempt is allowed.
func (o *outbound) sendWithRetries(q *request) *result {
	if res := o.rejectEarly(q); res != nil {
		return res
	}
	// A caller who leaves withdraws the request from the queue of the inbound node, which alone knows whether the backend server has received it.
	ctx, cancel := context.WithDeadline(q.Context(), q.deadline.Add(peerGrace))
	defer func() { cancel() }()
	attempted, busy := map[string]bool{}, map[string]bool{}
	last := refuse(0, reasonNoEndpoint)
	var links linkRefusals
	attempts := o.budget.Attempts(retry.Call{Service: q.service, Idempotent: q.route.Idempotent, Returned: q.callerRetry, MaxArrivals: q.route.MaxAttempts})
	if o.stats.isNested(q.route.Name) {
		o.budget.CountRetries(q.service, o.local.retryShare()) // the call is a retry if that of its parent is one
	}
	for attempts.Allowed() {
		o.updateVerdict(q)
		if cause := o.stopReason(q, last); cause != "" {
			if attempts.Sent() == 0 {
				last.reason = cause
			}
			break
		}
		choice := o.pickEndpoint(q, attempted, busy)
		if choice == nil {
			break
		}
		if !attempts.Reserve() {
			choice.Done(placement.Healthy, nil)
			o.metrics.Inc("outbound_retry_denied", "reason", string(reasonRetryBudget))
			break
		}
		if attempts.Sent() > 0 {
			o.metrics.Inc("outbound_retry", "reason", string(last.reason))
		}
		last = o.attempt(ctx, q, choice, attempts)
		if last.reason == reasonBusy {
			busy[choice.ID] = true
			continue
		}
		attempted[choice.ID] = true
		attempts.Observe(attemptOutcome(last))
		links.observe(last)
	}
	if choice := o.pickForLateResponse(q, last, attempts, &links); choice != nil {
		q.mayBeLate = true
		o.metrics.Inc("outbound_late_attempt")
		last = o.attempt(ctx, q, choice, attempts)
		attempts.Observe(attemptOutcome(last))
	}
	o.observeShortage(q, attempts.Sent(), last)
	last.attempts, last.arrivals = attempts.Sent(), attempts.Arrivals()
	if last.verdict == verdictAnswered {
		o.recordAnswer(q, last.response)
		o.stats.observeResponse(q.route.Name, last.response.Length)
		o.stats.setNested(q.route.Name, last.nested)
		if last.response.Rest != nil {
			last.response.Rest = &cancelOnClose{ReadCloser: last.response.Rest, cancel: cancel}
			cancel = func() {}
		}
	}
	if attempts.MayHaveRun() && last.verdict == verdictNotRun {
		last.verdict = verdictUnknown
	}
	return last
}

// linkRefusals holds what the nodes told that refused a request because of their links.
type linkRefusals struct {
	roomiest string // ID of the node with the least backlog; empty: none
	backlog  time.Duration
}

func (l *linkRefusals) observe(res *result) {
	if res.reason != reasonLinkFull || l.roomiest != "" && res.load.LinkBacklog >= l.backlog {
		return
	}
	l.roomiest, l.backlog = res.node, res.load.LinkBacklog
}

// pickForLateResponse returns the node with the least link backlog for a request that no node can answer in time because of the links, or nil if its
// response cannot arrive before the deadline either. That node sends it when it has no response to send that can be in time.
func (o *outbound) pickForLateResponse(q *request, last *result, attempts *retry.Attempts, links *linkRefusals) *placement.Choice {
	if last.reason != reasonLinkFull || attempts.Arrivals() > 0 || attempts.MayHaveRun() || o.stopReason(q, last) != "" || links.backlog >= time.Until(q.deadline) {
		return nil
	}
	choice := o.chooser.Pick(o.candidates(q, func(*placement.Endpoint) bool { return false }), placement.Requirements{
		Class: q.route.Name, TimeToTarget: max(time.Until(q.deadline), time.Millisecond), LongResponse: true,
		Excluded: func(e *placement.Endpoint) bool { return e.ID != links.roomiest },
	})
	if choice != nil {
		choice.NoQueue = false // it is not offered to another node any more
	}
	return choice
}

// rejectEarly refuses a request that the endpoints of the service would refuse, without asking them. It lets nested calls pass, since the work of
// their parents would be lost, and callers who have returned, since they will not return again.
func (o *outbound) rejectEarly(q *request) *result {
	if q.callerRetry || o.stats.isNested(q.route.Name) {
		return nil
	}
	retryAfter, ok := o.shortages.Reject(shortageKey(q))
	if !ok {
		return nil
	}
	res := refuse(0, reasonServiceFull)
	res.retryAfter = retryAfter
	return res
}

// observeShortage records whether the endpoints accepted a request. A deadline that cannot be met says nothing about requests with later ones.
func (o *outbound) observeShortage(q *request, sent int, last *result) {
	refused := last.reason == reasonFull || last.reason == reasonBackendLimit
	if sent == 0 || lacksCapacity(last.reason) && !refused {
		return
	}
	o.shortages.ObserveCall(shortageKey(q), !refused, last.retryAfter)
}

func shortageKey(q *request) placement.ShortageKey {
	return placement.ShortageKey{Service: q.service, Class: q.route.Name, Rank: q.rank}
}

// attemptOutcome returns what the result of an attempt shows about the call.
func attemptOutcome(res *result) retry.Outcome {
	return retry.Outcome{
		Answered: res.verdict == verdictAnswered, MayHaveRun: res.verdict == verdictUnknown, Arrived: res.arrived, Nested: res.nested,
		Full: lacksCapacity(res.reason),
	}
}

// lacksCapacity reports whether a call was refused because the backend server cannot serve it in time now.
func lacksCapacity(r reason) bool {
	switch r {
	case reasonFull, reasonHoldsUpOthers, reasonBackendLimit, reasonCallsNoRoom, reasonSuspectWaits, reasonDeadlineUnreachable:
		return true
	}
	return false
}

// stopReason returns the reason for which the last result or the deadline rules out another attempt, or "" if one is possible.
func (o *outbound) stopReason(q *request, last *result) reason {
	switch {
	case q.verdict == quarantine.Blocked:
		return reasonRequestBlocked
	case !time.Now().Add(attemptOverhead).Before(q.deadline):
		return reasonDeadline
	case last.reason == reasonCancelled, last.reason == reasonBodyFailed, last.reason == reasonRequestBlocked:
		return last.reason
	case q.out.Stream != nil && (last.arrived || last.node != "" && last.node != o.self):
		return last.reason // part of the body may have been sent and cannot be replayed
	case lacksCapacity(last.reason) && q.verdict == quarantine.Suspect:
		return last.reason // another copy of the request may be running there
	}
	return ""
}

func (o *outbound) pickEndpoint(q *request, attempted, busy map[string]bool) *placement.Choice {
	excluded := func(e *placement.Endpoint) bool { return attempted[e.ID] }
	return o.chooser.Pick(o.candidates(q, excluded), placement.Requirements{
		Class:        q.route.Name,
		Bytes:        o.stats.callBytes(q.route.Name) + len(q.out.Body),
		LongResponse: o.stats.meanResponseBytes(q.route.Name) > link.MaxShortBytes,
		TimeToTarget: max(o.timeToTarget(q), time.Millisecond),
		DelayCost:    o.latencyWeight(q),
		Excluded:     excluded,
		Busy:         busy,
	})
}

// timeToTarget returns the time left until the response must reach this node's link to be in time.
func (o *outbound) timeToTarget(q *request) time.Duration {
	return time.Until(q.target) - o.link.EstimateWait(o.stats.meanResponseBytes(q.route.Name))
}

// latencyWeight returns the weight of latency in the choice of an endpoint: 1 if other work waits for the call, otherwise 0. That is so if
// more urgent requests follow it on its connection, or if it is nested and the backend server on this VM has no free slot, since the parent
// call occupies one meanwhile.
func (o *outbound) latencyWeight(q *request) float64 {
	if q.maxWait > 0 || o.stats.isNested(q.route.Name) && o.local.isFull() {
		return 1
	}
	return 0
}

// attempt sends the request to one inbound node.
func (o *outbound) attempt(ctx context.Context, q *request, choice *placement.Choice, attempts *retry.Attempts) *result {
	c := &call{
		service: q.service, class: q.route.Name, caller: o.service(), node: choice.ID, rank: q.rank,
		idempotent: q.route.Idempotent, callerRetry: q.callerRetry, retry: attempts.Arrivals() > 0, noQueue: choice.NoQueue && q.out.Stream == nil,
		lastNode: attempts.LastForCapacity(), maxWait: q.maxWait, parentRank: admission.Nested,
		fingerprint:     q.fingerprint,
		targetRemaining: o.timeToTarget(q), deadlineRemaining: time.Until(q.deadline), mayBeLate: q.mayBeLate,
	}
	if o.stats.isNested(q.route.Name) {
		c.parentRank = o.local.runningRanks.MostUrgent()
	}
	res := &result{node: choice.ID}
	out := *q.out
	out.Header = q.out.Header.Clone()
	switch {
	case choice.ID == o.self:
		reply, response := o.local.serve(ctx, c, &out)
		res.callReply, res.response = *reply, response
	case socket.CallerLeft(q.Context()):
		res.callReply = callReply{verdict: verdictNotRun, reason: reasonCancelled}
	default:
		out.Header.Set(headerCall, c.encode())
		setExtension(out.Header, c.extension())
		o.link.CountShort(headerBytesPerMessage + int64(len(out.Body)))
		out.FreshOnly = !q.route.Idempotent
		response, failed := o.client.Do(ctx, choice.Address, &out)
		o.readReply(res, response, failed)
	}
	choice.Done(endpointOutcome(res), reportedLoad(res))
	if res.hasLoad {
		o.shortages.ObserveReport(q.service, res.load)
	}
	o.metrics.Inc("outbound_tries", "rank", q.rankLabel())
	return res
}

// readReply decodes the response of an inbound node into res.
func (o *outbound) readReply(res *result, response *hop.Response, failed *hop.Failure) {
	if failed != nil {
		res.callReply = failureReply(failed)
		return
	}
	reply, ok := decodeReply(response.Header)
	if !ok {
		discard(response)
		res.callReply = callReply{verdict: verdictUnknown, reason: reasonMalformedResponse, arrived: true}
		return
	}
	res.callReply = *reply
	if reply.verdict != verdictAnswered {
		discard(response)
		return
	}
	response.Header.Del(headerReply)
	res.response = response
}

func failureReply(f *hop.Failure) callReply {
	return callReply{verdict: failureVerdict(f), reason: failureReason(f, reasonNodeLost), arrived: f.Sent}
}

func reportedLoad(res *result) *placement.Load {
	if !res.hasLoad {
		return nil
	}
	return &res.load
}

// endpointOutcome maps the result of an attempt to the health outcome of its endpoint.
func endpointOutcome(res *result) placement.Outcome {
	switch res.reason {
	case reasonNodeLost:
		return placement.Unresponsive
	case reasonMalformedResponse, reasonInvalidStatus:
		return placement.Failed
	case reasonDraining, reasonNoBackend, reasonOtherService, reasonOtherNode, reasonStopping, reasonUnreachable, reasonOtherInstance,
		reasonVersionHeld:
		return placement.Unavailable
	case reasonConnectionLost, reasonTruncatedResponse, reasonUnsignedResponse:
		return placement.Healthy // the load report already accounts for the calls that the backend server did not answer
	case reasonDeadline:
		if !res.hasLoad {
			return placement.Failed
		}
	}
	return placement.Healthy
}

// refusalBody is the JSON body of a response that the node itself generates.
type refusalBody struct {
	Outcome verdict `json:"outcome"`
	Reason  reason  `json:"reason"`
}

// deliver writes the response to the caller. It reports false if a streamed response was truncated, so that the connection must be closed.
func (o *outbound) deliver(w http.ResponseWriter, q *request, res *result) bool {
	if res.response != nil {
		copyHeader(w.Header(), res.response.Header)
		if q.Method == http.MethodHead {
			writeHead(w, res.response.Status, res.response.Length)
			return true
		}
		return writeResponse(q.Context(), w, res.response, o.link, link.Due{Target: q.target, Deadline: q.deadline})
	}
	body, err := json.Marshal(refusalBody{res.verdict, res.reason})
	if err != nil {
		body = nil // the status code is sufficient
	}
	if q.id != "" {
		w.Header().Set(o.headers.RequestID, q.id)
	}
	status := httpStatus(res)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		after := cmp.Or(max(0, res.retryAfter), defaultRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		o.recordRefusal(q, after)
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", o.headers.Challenge)
	}
	w.Header().Set("Content-Type", "application/json")
	writeHead(w, status, int64(len(body)))
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
	return true
}

// httpStatus returns the HTTP status of a result. 503 guarantees that the request was not executed and will not be.
func httpStatus(res *result) int {
	switch {
	case res.status != 0:
		return res.status
	case res.verdict == verdictNotRun:
		return http.StatusServiceUnavailable
	case res.reason == reasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// logRequest logs a request that was late or was not answered on the first attempt. Lines are rate-limited.
func (o *outbound) logRequest(q *request, res *result) {
	late := time.Duration(0)
	if res.verdict == verdictAnswered {
		late = max(0, time.Since(q.target))
	}
	if res.verdict == verdictAnswered && res.attempts <= 1 && late == 0 {
		return
	}
	if !o.logLimit.Allow() {
		o.metrics.Inc("log_limited", "event", "request")
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	fields := []zap.Field{zap.String("id", q.id), zap.String("route", route), zap.String("service", q.service),
		zap.String("verdict", string(res.verdict)), zap.String("reason", string(res.reason)), zap.String("to", res.node), zap.Uint64("version", res.version),
		zap.Int("tries", res.attempts), zap.Int("arrivals", res.arrivals), zap.Bool("returned", q.callerRetry), zap.Int64("ms", time.Since(q.received).Milliseconds()),
		zap.Int64("left_ms", time.Until(q.deadline).Milliseconds())}
	if q.team != nil {
		fields = append(fields, zap.String("team", q.team.Name))
	}
	if late > 0 {
		fields = append(fields, zap.Int64("late_ms", late.Milliseconds()))
	}
	o.logger.Info("request", fields...)
}
