package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/dependency"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
	"github.com/laburnumcleat/laburnumcleat/pkg/socket"
)

const (
	// backendGrace is how long the node waits for the backend server beyond the deadline that it passed on, so that a response sent
	// right at the deadline is still delivered.
	backendGrace = 60 * time.Millisecond
	// answeredEWMAWeight is the EWMA weight of one call in the reported ratio of answered calls.
	answeredEWMAWeight = 0.1
	// backendIdleTimeout is how long an idle connection to the backend server is kept, unless the backend server states a shorter
	// time. Common servers close idle connections after 5 s or later.
	backendIdleTimeout = 4 * time.Second
	// maxBufferedResponse is the longest response, in bytes, that is fully buffered, so that the slot is freed however slowly the
	// caller reads.
	maxBufferedResponse = 1 << 20
)

// inbound forwards requests to the backend server on the same VM. It is the only path to the backend server and therefore knows exactly
// what was admitted, whether the backend server is draining, and what was executed.
type inbound struct {
	headers        Headers
	client         *hop.Client
	metrics        *metrics.Registry
	logger         *zap.Logger
	onResponse     func()                                                // called when the backend server has responded
	onLeaving      func(*instance)                                       // called when a response of an instance in use says that it is leaving
	onCrash        func(process string, running []quarantine.Run)        // called when an instance has crashed
	onCleared      func(request quarantine.Fingerprint, isFrequent bool) // called when a suspect was answered
	suspects       *quarantine.Table                                     // requests that were running at crashes of backend servers
	failedCalls    atomic.Int64                                          // calls of the backend server that were not answered with a success
	callsNoRoom    atomic.Int64                                          // of them, those that were refused for lack of room
	parents        *dependency.Admission
	readLoadReport func(http.Header) (LoadReport, bool, error)
	readIntake     func(http.Header) (Intake, error)

	logLimit *rate.Limiter

	link  *link.Link
	stats routeStats // by call class

	running        atomic.Int64           // calls that hold a slot
	runningRanks   admission.RunningRanks // of them
	runningRetries atomic.Int64           // of them, those that a backend server has received before

	origins  *admission.OriginTracker
	instance atomic.Pointer[instance]
	gate     atomic.Pointer[rollout.Gate] // nil if no roll-out of the service is known
	stopping atomic.Bool
}

// instance is one process of the backend server.
type instance struct {
	announce.Announcement
	admission *admission.Controller
	draining  atomic.Bool
	warmAt    time.Time // end of its cold start
	intake    *intakeState
	crashes   *crashDetector
	ward      *ward

	mu            sync.Mutex
	answeredRatio float64 // EWMA of the fraction of calls that it answered
}

func newInbound(p Platform, l *link.Link, buffers *hop.BufferBudget, m *metrics.Registry, logger *zap.Logger, onResponse func()) *inbound {
	h := p.Headers()
	return &inbound{
		headers: h, metrics: m, logger: logger, onResponse: onResponse, suspects: quarantine.NewTable(quarantine.DefaultPolicy()), readLoadReport: p.Report, readIntake: p.Intake, link: l, logLimit: rate.NewLimiter(logLinesPerSecond, logBurst), origins: admission.NewOriginTracker(),
		parents: dependency.New(dependency.Options{Policy: dependency.DefaultPolicy(), Random: rand.Float64}),
		client:  hop.New(hop.Options{EchoHeader: h.RequestID, RequireEcho: true, IdleTimeout: backendIdleTimeout, MaxBufferedBytes: maxBufferedResponse, BufferBudget: buffers}),
	}
}

// setAnnouncement applies an accepted announcement. nil means that there is no backend server.
func (in *inbound) setAnnouncement(a *announce.Announcement) {
	old := in.instance.Load()
	if a == nil {
		in.instance.Store(nil)
		if old != nil {
			old.close()
			in.client.CloseIdleTo(old.Address)
		}
		return
	}
	if old != nil && old.ID == a.ID && old.StartTimeMS == 0 && a.StartTimeMS != 0 && !old.draining.Load() {
		in.instance.Store(old.announced(*a)) // it was in use before its first announcement
		return
	}
	if old == nil || old.ID != a.ID || old.StartTimeMS != a.StartTimeMS {
		next := newInstance(a)
		in.client.CloseIdleTo(a.Address)
		in.instance.Store(next)
		if old != nil {
			old.close()
		}
		return
	}
	if a.Draining {
		old.close()
	}
	old.admission.SetSlots(max(a.Slots, 1))
}

func newInstance(a *announce.Announcement) *instance {
	now := time.Now()
	i := &instance{Announcement: *a, admission: admission.New(max(a.Slots, 1)), warmAt: now.Add(a.ColdRemaining), answeredRatio: 1}
	i.crashes, i.ward = &crashDetector{}, newWard()
	i.intake = &intakeState{admission: i.admission, reported: now}
	if a.ColdRemaining > 0 {
		i.admission.SetColdUntil(i.warmAt)
	}
	if a.Draining {
		i.close()
	}
	return i
}

// announced returns the instance with what its announcement says, and with its calls.
func (i *instance) announced(a announce.Announcement) *instance {
	next := &instance{Announcement: a, admission: i.admission, warmAt: time.Now().Add(a.ColdRemaining), intake: i.intake, crashes: i.crashes, ward: i.ward}
	i.mu.Lock()
	next.answeredRatio = i.answeredRatio
	i.mu.Unlock()
	next.admission.SetSlots(max(a.Slots, 1))
	if a.ColdRemaining > 0 {
		next.admission.SetColdUntil(next.warmAt)
	}
	if a.Draining {
		next.close()
		i.draining.Store(true)
	}
	return next
}

// isCurrent reports whether the instance is still the one to forward calls to.
func (in *inbound) isCurrent(i *instance) bool {
	current := in.instance.Load()
	return current != nil && current.admission == i.admission && !current.draining.Load()
}

func (i *instance) close() {
	i.draining.Store(true)
	i.admission.Close()
}

// observeAnswered records whether the backend server answered a call.
func (i *instance) observeAnswered(ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answeredRatio += (value - i.answeredRatio) * answeredEWMAWeight
}

func (i *instance) load(class string) placement.Load {
	l := i.admission.Load(class)
	i.mu.Lock()
	defer i.mu.Unlock()
	return placement.Load{
		Running: l.Running, Queued: l.Queued, Limit: l.Limit, SlotTime: l.SlotTime,
		ClassTime: l.ClassTime, ClassSpread: l.ClassSpread, Answered: i.answeredRatio, Slowness: l.Slowness,
	}
}

// isFull reports whether all slots of the backend server are in use.
func (in *inbound) isFull() bool {
	i := in.instance.Load()
	if i == nil {
		return false
	}
	l := i.admission.Load("")
	return l.Running >= l.Limit
}

// stop rejects new and queued calls.
func (in *inbound) stop() {
	in.stopping.Store(true)
	if i := in.instance.Load(); i != nil {
		i.close()
	}
}

// serve admits or rejects a call and forwards an admitted call to the backend server. The response is nil unless the verdict is
// verdictAnswered.
func (in *inbound) serve(ctx context.Context, c *call, r *hop.Request) (*callReply, *hop.Response) {
	now := time.Now()
	i := in.instance.Load()
	if cause := in.refusalReason(i, c); cause != "" {
		return in.completeReply(i, c, r, &callReply{verdict: verdictNotRun, reason: cause}), nil
	}
	rank, slotRank := c.rank, c.rank // by kind of call; by which it gets a slot
	if in.origins.Observe(c.class, c.caller, i.Service) {
		rank, slotRank = admission.Nested, c.parentRank
	}
	if rank != admission.Nested && !in.parents.Admit(c.class) {
		retry := min(dependency.RetryAfter, c.deadlineRemaining/admission.RetryAfterDivisor)
		return in.completeReply(i, c, r, &callReply{verdict: verdictNotRun, reason: reasonCallsNoRoom, retryAfter: retry}), nil
	}
	leaveWard, refusal := in.enterWard(ctx, i, c, r)
	if refusal != nil {
		return in.completeReply(i, c, r, refusal), nil
	}
	defer leaveWard()
	transmit, limit, linkRefusal := in.transmitDelay(i, c, rank)
	if linkRefusal != nil {
		return in.completeReply(i, c, r, linkRefusal), nil
	}
	grant, refused := i.admission.Acquire(ctx, admission.Call{
		Class: c.class, Rank: slotRank, Nested: rank == admission.Nested, Team: r.Header.Get(in.headers.Team), Target: now.Add(limit - transmit), Deadline: now.Add(c.deadlineRemaining - transmit),
		IsRetry: c.callerRetry, NoQueue: c.noQueue, LastNode: c.lastNode, MaxWait: c.maxWait,
	})
	in.countDelay(grant, refused)
	if refused != nil {
		return in.completeReply(i, c, r, admissionReply(refused)), nil
	}
	// The call may have been queued, or the process paused. Check again before the first byte is sent.
	if cause := in.lateRefusalReason(ctx, i, c, r); cause != "" {
		grant.Release(admission.NotSent)
		return in.completeReply(i, c, r, &callReply{verdict: verdictNotRun, reason: cause}), nil
	}
	leaveGate, ok := in.enterGate(i, c.class)
	if !ok {
		grant.Release(admission.NotSent)
		return in.completeReply(i, c, r, &callReply{verdict: verdictNotRun, reason: reasonVersionHeld}), nil
	}
	verdict, _ := in.verdict(c, r)
	c.sentAsSuspect = verdict == quarantine.Suspect
	done := in.link.Expect(in.stats.meanResponseBytes(c.class))
	granted := time.Now()
	leaveRunning := in.countRunning(c)
	in.runningRanks.Add(slotRank, 1)
	reply, response, result := in.forward(ctx, i, c, r, now.Add(c.deadlineRemaining))
	leaveRunning()
	in.runningRanks.Add(slotRank, -1)
	in.recordAnswer(i, c, r, response)
	in.recordSlotTime(ctx, reply, response, rank, time.Since(granted), now.Add(c.targetRemaining))
	reply.nested = rank == admission.Nested
	done()
	if response != nil {
		in.stats.observeResponse(c.class, response.Length)
	}
	if response != nil && response.Rest != nil && !response.Buffered {
		response.Rest = &releaseOnClose{ReadCloser: response.Rest, release: func() { grant.Release(result); leaveGate(reply, response) }}
	} else {
		grant.Release(result)
		leaveGate(reply, response)
	}
	return in.completeReply(i, c, r, reply), response
}

// countDelay counts a call that a rule of the admission has put behind others.
func (in *inbound) countDelay(grant *admission.Grant, refused *admission.Refusal) {
	delay, outcome := admission.Delay(""), "granted"
	if refused != nil {
		delay, outcome = refused.Delay, "refused"
	} else {
		delay = grant.Delay()
	}
	if delay != "" {
		in.metrics.Inc("admission_delay", "cause", string(delay), "outcome", outcome)
	}
}

// countRunning counts a call as running until the returned function is called.
func (in *inbound) countRunning(c *call) (done func()) {
	retries := int64(0)
	if c.retry {
		retries = 1
	}
	in.running.Add(1)
	in.runningRetries.Add(retries)
	return func() {
		in.running.Add(-1)
		in.runningRetries.Add(-retries)
	}
}

// retryShare returns the share of the running calls that a backend server has received before: the probability that a nested call which the
// backend server makes now repeats an earlier one.
func (in *inbound) retryShare() float64 {
	return float64(in.runningRetries.Load()) / float64(max(1, in.running.Load()))
}

// recordSlotTime counts the slot time of a call by its outcome. It does not include the time for which a streamed response holds the slot.
func (in *inbound) recordSlotTime(ctx context.Context, r *callReply, response *hop.Response, rank int, held time.Duration, target time.Time) {
	outcome := "in_time"
	switch {
	case ctx.Err() != nil:
		outcome = "caller_left"
	case r.verdict != verdictAnswered, response != nil && response.Status >= http.StatusInternalServerError:
		outcome = "failed"
	case time.Now().After(target):
		outcome = "late"
	}
	in.metrics.Counter("slot_ms", "rank", rankLabel(rank), "outcome", outcome).Inc(held.Milliseconds())
	in.metrics.Observe(held, "slot_time", "outcome", outcome)
}

// transmitDelay returns the expected time between the end of the backend server's work and the end of the response's transmission, if long
// responses are queued for the link, and the time left for both. It returns a refusal for a call that would miss its target only because of that
// queue: another node can serve the call, or the caller can retry. A call that no node can serve in time has until its deadline, if the link has
// time for late responses.
func (in *inbound) transmitDelay(i *instance, c *call, rank int) (transmit, limit time.Duration, refusal *callReply) {
	bytes := in.stats.meanResponseBytes(c.class)
	wait := in.link.EstimateWait(bytes)
	if wait == 0 {
		return 0, c.targetRemaining, nil
	}
	serviceTime := i.admission.Load(c.class).ClassTime
	transmit = max(0, wait-serviceTime) + in.link.TransmitTime(bytes)
	limit = c.targetRemaining
	if rank == admission.Nested {
		limit = c.deadlineRemaining
	}
	if serviceTime+transmit <= limit {
		return transmit, c.targetRemaining, nil
	}
	if end, ok := in.link.EstimateLateEnd(bytes); ok && c.mayBeLate && serviceTime+end <= c.deadlineRemaining {
		in.metrics.Inc("link_late_accepted")
		return end, c.deadlineRemaining, nil
	}
	retry := min(wait/2, c.deadlineRemaining/admission.RetryAfterDivisor)
	return 0, 0, &callReply{verdict: verdictNotRun, reason: reasonLinkFull, retryAfter: retry}
}

// refusalReason returns the reason why a call cannot be forwarded to the instance, or "".
func (in *inbound) refusalReason(i *instance, c *call) reason {
	switch {
	case i == nil && in.stopping.Load():
		return reasonStopping
	case i == nil:
		return reasonNoBackend
	case i.Service != c.service:
		return reasonOtherService
	case i.draining.Load():
		return reasonDraining
	case in.isHeld(&i.Announcement):
		return reasonVersionHeld
	}
	return ""
}

// lateRefusalReason returns the reason why a call that was granted a slot must not be forwarded to the instance after all, or "".
func (in *inbound) lateRefusalReason(ctx context.Context, i *instance, c *call, r *hop.Request) reason {
	verdict, _ := in.verdict(c, r)
	switch {
	case verdict == quarantine.Blocked:
		return reasonRequestBlocked
	case !in.isCurrent(i):
		return reasonDraining
	case socket.CallerLeft(ctx):
		return reasonCancelled
	}
	return ""
}

// rolloutMode returns which requests a roll-out allows the instance's version.
func (in *inbound) rolloutMode(a *announce.Announcement) rollout.Mode {
	gate := in.gate.Load()
	if gate == nil || gate.State().Order.Service != a.Service {
		return rollout.Open
	}
	return gate.Mode(a.Version)
}

// isHeld reports whether a roll-out allows the instance's version no request.
func (in *inbound) isHeld(a *announce.Announcement) bool { return in.rolloutMode(a) == rollout.Closed }

// enterGate reports whether a roll-out allows the instance a request of the class. The returned function records the end of the request.
func (in *inbound) enterGate(i *instance, class string) (leave func(*callReply, *hop.Response), ok bool) {
	gate := in.gate.Load()
	if gate == nil || gate.State().Order.Service != i.Service {
		return func(*callReply, *hop.Response) {}, true
	}
	if !gate.Enter(i.Version) {
		return nil, false
	}
	start := time.Now()
	return func(r *callReply, response *hop.Response) {
		outcome := rolloutOutcome(r, response)
		if start.Before(i.warmAt) {
			outcome = rollout.NoVerdict
		}
		gate.Leave(i.Version, class, outcome, time.Since(start))
	}, true
}

// rolloutOutcome returns what the end of a request shows about the version of the backend server.
func rolloutOutcome(r *callReply, response *hop.Response) rollout.Outcome {
	switch {
	case r.verdict == verdictNotRun, r.reason == reasonCancelled, r.reason == reasonBodyFailed:
		return rollout.NoVerdict
	case r.verdict == verdictUnknown, r.reason == reasonBackendFailed:
		return rollout.Failed
	case response != nil && response.Status >= http.StatusInternalServerError:
		return rollout.NoVerdict // a call that the backend server made has failed
	}
	return rollout.Succeeded
}

func admissionReply(r *admission.Refusal) *callReply {
	out := &callReply{verdict: verdictNotRun, retryAfter: r.RetryAfter}
	switch r.Reason {
	case admission.Busy:
		out.reason = reasonBusy
	case admission.Overloaded:
		out.reason = reasonFull
	case admission.HoldsUpOthers:
		out.reason = reasonHoldsUpOthers
	case admission.RateLimited:
		out.reason = reasonBackendLimit
	case admission.DeadlineUnreachable:
		out.reason = reasonDeadlineUnreachable
	case admission.Cancelled:
		out.reason = reasonCancelled
	case admission.Closed:
		out.reason = reasonDraining
	}
	return out
}

// completeReply adds the current load to a reply, and counts and logs it.
func (in *inbound) completeReply(i *instance, c *call, request *hop.Request, r *callReply) *callReply {
	if i != nil {
		r.load, r.hasLoad = i.load(c.class), true
		if in.rolloutMode(&i.Announcement) == rollout.Limited {
			r.load.Answered = 1 // callers that avoided a failing canary would leave too few responses to judge the version by
		}
		r.load.LinkBacklog = in.link.Backlog()
		r.load.Answered *= in.parents.Share(c.class)
	}
	in.metrics.Inc("inbound", "verdict", string(r.verdict), "reason", string(r.reason))
	in.logCall(i, c, request, r)
	return r
}

// logCall logs a call that the backend server did not answer, with the values that decided it, and calls that a canary of a roll-out
// answered. Lines are rate-limited.
func (in *inbound) logCall(i *instance, c *call, request *hop.Request, r *callReply) {
	isCanary := i != nil && in.rolloutMode(&i.Announcement) == rollout.Limited
	if r.verdict == verdictAnswered && !isCanary || r.reason == reasonBusy {
		return
	}
	if !in.logLimit.Allow() {
		in.metrics.Inc("log_limited", "event", "inbound")
		return
	}
	id, version := "", ""
	if i != nil {
		id, version = i.ID, i.Version
	}
	in.logger.Info("inbound", zap.String("id", request.ID), zap.String("class", c.class), zap.String("service", c.service), zap.String("instance", id),
		zap.String("backend_version", version),
		zap.String("verdict", string(r.verdict)), zap.String("reason", string(r.reason)), zap.Bool("arrived", r.arrived), zap.Int("rank", c.rank),
		zap.Int("running", r.load.Running), zap.Int("queued", r.load.Queued), zap.Int("limit", r.load.Limit), zap.Duration("slot_time", r.load.SlotTime),
		zap.Duration("target_left", c.targetRemaining), zap.Duration("deadline_left", c.deadlineRemaining), zap.Duration("retry_after", r.retryAfter))
}

// forward sends the request to the backend server. The deadline bounds the exchange, plus backendGrace.
func (in *inbound) forward(ctx context.Context, i *instance, c *call, r *hop.Request, deadline time.Time) (*callReply, *hop.Response, admission.Result) {
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return &callReply{verdict: verdictNotRun, reason: reasonDeadline}, nil, admission.NotSent
	}
	r.Header.Set(in.headers.DeadlineMS, strconv.FormatInt(remaining, 10))
	r.Header.Set(in.headers.ExpectedInstance, i.ID)
	r.Header.Set(in.headers.Caller, c.caller)
	r.FreshOnly = !c.idempotent
	if !c.idempotent {
		// A disconnecting caller must not cancel a running request: it is unknown whether it has partly taken effect.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(backendGrace))
	failedCalls, noRoom := in.failedCalls.Load(), in.callsNoRoom.Load()
	sent := time.Now()
	response, failed := in.client.Do(ctx, i.Address, r)
	if failed == nil || failed.Sent {
		i.intake.countRequest()
	}
	if failed != nil {
		cancel()
		reply, response, result := in.backendFailure(i, failed)
		if isLoss(failed) && !i.draining.Load() {
			in.investigateLoss(i, c, r, reply)
		}
		return reply, response, result
	}
	if response.Rest != nil {
		response.Rest = &cancelOnClose{ReadCloser: response.Rest, cancel: cancel}
	} else {
		cancel()
	}
	reply, response, result := in.classifyResponse(i, sent, response)
	switch {
	case response == nil:
	case response.Status < http.StatusInternalServerError:
		in.parents.Succeeded(c.class)
	case in.callsNoRoom.Load() != noRoom:
		in.parents.Lost(c.class)
	}
	if response != nil && response.Status == http.StatusInternalServerError && in.failedCalls.Load() == failedCalls {
		reply.reason = reasonBackendFailed
	}
	return reply, response, result
}

func (in *inbound) backendFailure(i *instance, f *hop.Failure) (*callReply, *hop.Response, admission.Result) {
	fallback := reasonConnectionLost
	if f.Cause == hop.Unreachable {
		fallback = reasonUnreachable
	}
	if f.Cause != hop.Cancelled && f.Cause != hop.RequestBodyFailed {
		i.observeAnswered(false)
	}
	result := admission.Inconclusive
	if !f.Sent {
		result = admission.NotSent
	}
	return &callReply{verdict: failureVerdict(f), reason: failureReason(f, fallback), arrived: f.Sent}, nil, result
}

// classifyResponse distinguishes responses that the backend server itself produced from rejections and unsigned responses.
func (in *inbound) classifyResponse(i *instance, sent time.Time, response *hop.Response) (*callReply, *hop.Response, admission.Result) {
	in.onResponse()
	report := in.observeLoad(i, response.Header)
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		discard(response)
		return &callReply{verdict: verdictNotRun, reason: reasonOtherInstance, arrived: true}, nil, admission.Inconclusive
	case response.Header.Get(in.headers.NotExecuted) != "":
		in.observeIntake(i, sent, response.Header)
		discard(response)
		i.observeAnswered(false)
		result := admission.Shed
		if report.hasFreeSlot() {
			result = admission.Inconclusive // the cause is not a lack of capacity, so a lower concurrency limit would not help
		}
		return &callReply{verdict: verdictNotRun, reason: reasonBackendShed, arrived: true}, nil, result
	case response.Header.Get(in.headers.Signature) == "":
		discard(response)
		i.observeAnswered(false)
		return &callReply{verdict: verdictUnknown, reason: reasonUnsignedResponse, arrived: true}, nil, admission.Inconclusive
	}
	in.observeIntake(i, sent, response.Header)
	i.observeAnswered(response.Status != http.StatusInternalServerError)
	result := admission.Answered
	if response.Status >= http.StatusInternalServerError {
		result = admission.Inconclusive // the duration of a failed call says little about service time
	}
	return &callReply{verdict: verdictAnswered, arrived: true}, response, result
}

// observeLoad applies the load report in a response header. A malformed report is counted and ignored; the response is still
// delivered.
func (in *inbound) observeLoad(i *instance, header http.Header) LoadReport {
	report, ok, err := in.readLoadReport(header)
	if err != nil {
		in.metrics.Inc("load_report_unreadable")
		if in.logLimit.Allow() {
			in.logger.Warn("load_report_unreadable", zap.String("instance", i.ID), zap.Error(err), zap.String("remedy", "correct the backend server"))
		}
	}
	if ok && report.Slowness > 0 {
		i.admission.ObserveSlowness(report.Slowness)
	}
	return report
}

func discard(response *hop.Response) {
	if response.Rest != nil {
		response.Rest.Close()
	}
}
