package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
)

const (
	// backendGrace is how long a backend server may take beyond the deadline that it was given, so that its own answer at the
	// deadline still counts as its answer.
	backendGrace = 60 * time.Millisecond
	// answeredWeight is the weight of one call in the answered part that is reported.
	answeredWeight = 0.1
	// backendIdle is how long a connection to the backend server is kept unused, unless the backend server says less. Common
	// servers keep idle connections for 5 s or longer.
	backendIdle = 4 * time.Second
	// maxBufferedAnswer is the longest answer, in bytes, that is taken from the backend server whole, so that it has the slot back however
	// slowly the caller reads.
	maxBufferedAnswer = 1 << 20
)

// inbound hands requests to the backend server on the same machine. Nothing else reaches it, so that what was admitted, what is
// leaving and what has run are known here exactly.
type inbound struct {
	headers Headers
	client  *hop.Client
	metrics *metrics.Registry
	logger  *zap.Logger
	heard   func() // the backend server answered
	report  func(http.Header) (LoadReport, bool, error)

	logLimit *rate.Limiter

	link    *link.Link
	history history // of the answers by class

	origins  *admission.OriginTracker
	instance atomic.Pointer[instance]
	stopping atomic.Bool
}

// instance is one run of the backend server.
type instance struct {
	announce.Announcement
	admission *admission.Controller
	draining  atomic.Bool

	mu       sync.Mutex
	answered float64 // moving average of the part of calls that it answered
}

func newInbound(p Platform, l *link.Link, buffers *hop.Buffers, m *metrics.Registry, logger *zap.Logger, heard func()) *inbound {
	h := p.Headers()
	return &inbound{
		headers: h, metrics: m, logger: logger, heard: heard, report: p.Report, link: l, logLimit: rate.NewLimiter(logPerSecond, logBurst), origins: admission.NewOriginTracker(),
		client: hop.New(hop.Options{EchoHeader: h.RequestID, IdleFor: backendIdle, MaxBuffered: maxBufferedAnswer, Buffers: buffers}),
	}
}

// set takes over an accepted announcement; nil means that there is no backend server.
func (in *inbound) set(a *announce.Announcement) {
	old := in.instance.Load()
	if a == nil {
		in.instance.Store(nil)
		if old != nil {
			old.close()
			in.client.Forget(old.Address)
		}
		return
	}
	if old == nil || old.ID != a.ID || old.StartTimeMS != a.StartTimeMS {
		next := &instance{Announcement: *a, admission: admission.New(max(a.Slots, 1)), answered: 1}
		if a.Draining {
			next.close()
		}
		in.client.Forget(a.Address)
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

func (i *instance) close() {
	i.draining.Store(true)
	i.admission.Close()
}

// observe notes whether the backend server answered a call.
func (i *instance) observe(ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answered += (value - i.answered) * answeredWeight
}

func (i *instance) load(class string) placement.Load {
	l := i.admission.Load(class)
	i.mu.Lock()
	defer i.mu.Unlock()
	return placement.Load{
		Running: l.Running, Queued: l.Queued, Limit: l.Limit, SlotTime: l.SlotTime,
		ClassTime: l.ClassTime, ClassSpread: l.ClassSpread, Answered: i.answered, Slowness: l.Slowness,
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

// stop refuses new calls and those that wait.
func (in *inbound) stop() {
	in.stopping.Store(true)
	if i := in.instance.Load(); i != nil {
		i.close()
	}
}

// serve decides on a call and, if it gets a slot, hands it to the backend server. The response is nil unless the verdict is
// answered.
func (in *inbound) serve(ctx context.Context, c *call, r *hop.Request) (*ruling, *hop.Response) {
	now := time.Now()
	i := in.instance.Load()
	if why := in.refusal(i, c); why != "" {
		return in.rule(i, c, r, &ruling{verdict: notRun, reason: why}), nil
	}
	rank := c.rank
	if in.origins.Observe(c.class, c.caller, i.Service) {
		rank = admission.Inner
	}
	sending, refusedByLink := in.sendingTime(i, c, rank)
	if refusedByLink != nil {
		return in.rule(i, c, r, refusedByLink), nil
	}
	grant, refused := i.admission.Acquire(ctx, admission.Call{
		Class: c.class, Rank: rank, Target: now.Add(c.targetLeft - sending), Deadline: now.Add(c.deadlineLeft - sending),
		IsRetry: c.returned, NoQueue: c.freeOnly,
	})
	if refused != nil {
		return in.rule(i, c, r, refusedRuling(refused)), nil
	}
	// The slot may have come after a wait; what is decided by the instance is decided now, before the first byte is sent.
	if in.instance.Load() != i || i.draining.Load() {
		grant.Release(admission.Inconclusive)
		return in.rule(i, c, r, &ruling{verdict: notRun, reason: reasonDraining}), nil
	}
	expected := in.link.Expect(in.history.answerLength(c.class))
	granted := time.Now()
	ruled, response, result := in.hand(ctx, i, c, r, now.Add(c.deadlineLeft))
	in.countSlotTime(ctx, ruled, response, rank, time.Since(granted), now.Add(c.targetLeft))
	ruled.inner = rank == admission.Inner
	expected()
	if response != nil {
		in.history.answered(c.class, response.Length)
	}
	if response != nil && response.Rest != nil && !response.Arrived {
		response.Rest = &heldSlot{ReadCloser: response.Rest, grant: grant, result: result}
	} else {
		grant.Release(result)
	}
	return in.rule(i, c, r, ruled), response
}

// countSlotTime counts what a slot was used for. A long answer that is passed on as it arrives holds it for longer.
func (in *inbound) countSlotTime(ctx context.Context, r *ruling, response *hop.Response, rank int, held time.Duration, target time.Time) {
	outcome := "in_time"
	switch {
	case ctx.Err() != nil:
		outcome = "caller_left"
	case r.verdict != answered, response != nil && response.Status >= http.StatusInternalServerError:
		outcome = "failed"
	case time.Now().After(target):
		outcome = "late"
	}
	in.metrics.Counter("slot_ms", "rank", rankLabel(rank), "outcome", outcome).Inc(held.Milliseconds())
	in.metrics.Observe(held, "slot_time", "outcome", outcome)
}

// sendingTime is how long after the backend server's work the answer is sent, where long answers queue for the link. A call whose
// answer would miss its target only because of the others is refused: it can still come back, or be served elsewhere.
func (in *inbound) sendingTime(i *instance, c *call, rank int) (time.Duration, *ruling) {
	bytes := in.history.answerLength(c.class)
	wait := in.link.EstimateWait(bytes)
	if wait == 0 {
		return 0, nil
	}
	work := i.admission.Load(c.class).ClassTime
	sending := max(0, wait-work) + in.link.TransmitTime(bytes)
	limit := c.targetLeft
	if rank == admission.Inner {
		limit = c.deadlineLeft
	}
	if work+sending <= limit {
		return sending, nil
	}
	retry := min(wait/2, c.deadlineLeft/admission.RetryAfterDivisor)
	return 0, &ruling{verdict: notRun, reason: reasonLink, retryAfter: retry}
}

// refusal returns the reason for which a call cannot be handed to the instance.
func (in *inbound) refusal(i *instance, c *call) reason {
	switch {
	case i == nil && in.stopping.Load():
		return reasonStopping
	case i == nil:
		return reasonNoBackend
	case i.Service != c.service:
		return reasonService
	case i.draining.Load():
		return reasonDraining
	}
	return ""
}

func refusedRuling(r *admission.Refusal) *ruling {
	out := &ruling{verdict: notRun, retryAfter: r.RetryAfter}
	switch r.Reason {
	case admission.Busy:
		out.reason = reasonBusy
	case admission.Overloaded:
		out.reason = reasonFull
	case admission.DeadlineUnreachable:
		out.reason = reasonHopeless
	case admission.Cancelled:
		out.reason = reasonCancelled
	case admission.Closed:
		out.reason = reasonDraining
	}
	return out
}

// rule adds the load, and counts.
func (in *inbound) rule(i *instance, c *call, request *hop.Request, r *ruling) *ruling {
	if i != nil {
		r.load, r.hasLoad = i.load(c.class), true
		if wait := in.link.EstimateWait(in.history.answerLength(c.class)); wait > 0 && r.load.ClassTime > 0 {
			r.load.ClassTime += wait // callers compare when answers arrive
		}
	}
	in.metrics.Inc("inbound", "verdict", string(r.verdict), "reason", string(r.reason))
	in.log(i, c, request, r)
	return r
}

// log writes one line for each call that the backend server did not answer, with what decided it.
func (in *inbound) log(i *instance, c *call, request *hop.Request, r *ruling) {
	if r.verdict == answered || r.reason == reasonBusy {
		return
	}
	if !in.logLimit.Allow() {
		in.metrics.Inc("log_limited", "event", "inbound")
		return
	}
	id := ""
	if i != nil {
		id = i.ID
	}
	in.logger.Info("inbound", zap.String("id", request.ID), zap.String("class", c.class), zap.String("service", c.service), zap.String("instance", id),
		zap.String("verdict", string(r.verdict)), zap.String("reason", string(r.reason)), zap.Bool("arrived", r.arrived), zap.Int("rank", c.rank),
		zap.Int("running", r.load.Running), zap.Int("queued", r.load.Queued), zap.Int("limit", r.load.Limit), zap.Duration("slot_time", r.load.SlotTime),
		zap.Duration("target_left", c.targetLeft), zap.Duration("deadline_left", c.deadlineLeft), zap.Duration("retry_after", r.retryAfter))
}

// hand sends the request to the backend server.
func (in *inbound) hand(ctx context.Context, i *instance, c *call, r *hop.Request, deadline time.Time) (*ruling, *hop.Response, admission.Result) {
	left := time.Until(deadline).Milliseconds()
	if left <= 0 {
		return &ruling{verdict: notRun, reason: reasonDeadline}, nil, admission.Inconclusive
	}
	r.Header.Set(in.headers.DeadlineMS, strconv.FormatInt(left, 10))
	r.Header.Set(in.headers.ExpectedInstance, i.ID)
	r.Header.Set(in.headers.Caller, c.caller)
	r.FreshOnly = !c.idempotent
	if !c.idempotent {
		// Once it runs, the caller's leave must not break it off: nothing tells whether half of it took effect.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(backendGrace))
	response, failed := in.client.Do(ctx, i.Address, r)
	if failed != nil {
		cancel()
		return in.failed(i, failed)
	}
	if response.Rest != nil {
		response.Rest = &cancelOnClose{ReadCloser: response.Rest, cancel: cancel}
	} else {
		cancel()
	}
	return in.answer(i, response)
}

func (in *inbound) failed(i *instance, f *hop.Failure) (*ruling, *hop.Response, admission.Result) {
	otherwise := reasonLost
	if f.Cause == hop.Unreachable {
		otherwise = reasonUnreachable
	}
	if f.Cause != hop.Cancelled && f.Cause != hop.BodyFailed {
		i.observe(false)
	}
	return &ruling{verdict: verdictOf(f), reason: reasonOf(f, otherwise), arrived: f.Sent}, nil, admission.Inconclusive
}

// answer tells the backend server's own answers from its refusals to run the request.
func (in *inbound) answer(i *instance, response *hop.Response) (*ruling, *hop.Response, admission.Result) {
	in.heard()
	report := in.observe(i, response.Header)
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		drop(response)
		return &ruling{verdict: notRun, reason: reasonInstance, arrived: true}, nil, admission.Inconclusive
	case response.Header.Get(in.headers.NotExecuted) != "":
		drop(response)
		i.observe(false)
		result := admission.Shed
		if report.hasRoom() {
			result = admission.Inconclusive // it has another reason; fewer calls at once would not help
		}
		return &ruling{verdict: notRun, reason: reasonShed, arrived: true}, nil, result
	case response.Header.Get(in.headers.Signature) == "":
		drop(response)
		i.observe(false)
		return &ruling{verdict: unknown, reason: reasonUnsigned, arrived: true}, nil, admission.Inconclusive
	}
	i.observe(response.Status != http.StatusInternalServerError)
	result := admission.Answered
	if response.Status >= http.StatusInternalServerError {
		result = admission.Inconclusive // it says little about how long a call takes
	}
	return &ruling{verdict: answered, arrived: true}, response, result
}

// observe takes in what the backend server says about its load. A report that cannot be read is ignored and counted; the response
// is passed on.
func (in *inbound) observe(i *instance, header http.Header) LoadReport {
	report, ok, err := in.report(header)
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

func drop(response *hop.Response) {
	if response.Rest != nil {
		response.Rest.Close()
	}
}
