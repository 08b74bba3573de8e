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
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/pipeline"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
	"github.com/laburnumcleat/laburnumcleat/pkg/returns"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

const (
	// peerGrace is how long the outbound node waits beyond a call's time limit for an answer that is on its way.
	peerGrace = 100 * time.Millisecond
	// maxTries bounds the inbound nodes that are asked for one call. Refusals cost about a millisecond each.
	maxTries = 4
	// maxFullTries bounds the refusals for lack of room after which the others are taken to be full as well.
	maxFullTries = 2
	// peerUserTimeout ends a connection to another node that does not acknowledge. Round trips take a few milliseconds, and the
	// first retransmission of a lost packet comes after 200 ms.
	peerUserTimeout = 350 * time.Millisecond
	// peerDialTimeout leaves a call time to go elsewhere. A lost packet of a handshake is sent again only after a second.
	peerDialTimeout = 120 * time.Millisecond
	// notReadyRetry tells callers when to come back to a node that has no configuration yet.
	notReadyRetry = 500 * time.Millisecond
	// defaultRetryAfter is used if no inbound node said when to come back.
	defaultRetryAfter = 100 * time.Millisecond
	// logPerSecond and logBurst bound the lines about requests that were not answered at the first try, so that an overload does not
	// cost a tenth of the processor for its description. What is left out is counted.
	logPerSecond = 50
	logBurst     = 200
	// nextHopTime is what one more try needs beside the service time.
	nextHopTime = 5 * time.Millisecond
)

// outbound takes requests of the clients and of the backend server on its machine, and sends each to an inbound node.
type outbound struct {
	self      string        // node id
	service   func() string // of the backend server on this machine
	headers   Headers
	table     func() *routing.Table
	endpoints func(service string) []placement.Endpoint
	chooser   *placement.Chooser
	budget    *retry.Budget
	local     *inbound
	link      *link.Link
	client    *hop.Client
	metrics   *metrics.Registry
	logger    *zap.Logger
	history   history
	returns   returns.Tracker
	logLimit  *rate.Limiter
}

// request is one request of a caller on its way.
type request struct {
	*http.Request
	id       string
	started  time.Time
	first    time.Time // arrival of the caller's first attempt
	waits    time.Time // until which the caller waits
	deadline time.Time // the earlier of the caller's and the route's
	target   time.Time // until which an answer counts as in time
	returned bool      // the caller comes back after a refusal
	version  uint64    // of the configuration
	route    *routing.Entry
	service  string // destination
	out      *hop.Request
}

// rank is the label of the route's priority in metrics.
func (q *request) rank() string {
	if q.route == nil {
		return "other"
	}
	return rankLabel(q.route.Priority)
}

// rankLabel is the label of a rank in metrics.
func rankLabel(rank int) string {
	const ranks = 10 // a bound for the number of metrics; configurations use a few
	switch {
	case rank == admission.Inner:
		return "inner"
	case rank >= ranks:
		return "other"
	}
	return strconv.Itoa(rank)
}

// result is the final answer to a caller.
type result struct {
	ruling
	status   int // 0: follows from the verdict
	response *hop.Response
	node     string // that gave the ruling
	version  uint64 // of the configuration that decided
	tries    int
	arrivals int // backend servers that got the request
}

// ServeHTTP answers one request.
func (o *outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: r, id: r.Header.Get(o.headers.RequestID), started: pipeline.ReceivedAt(r)}
	res := o.serve(w, q)
	res.version = q.version
	o.metrics.Observe(time.Since(q.started), "outbound_latency", "rank", q.rank(), "verdict", string(res.verdict))
	o.metrics.Inc("outbound", "verdict", string(res.verdict), "reason", string(res.reason))
	if q.returned {
		o.metrics.Inc("returned", "verdict", string(res.verdict), "reason", string(res.reason))
	}
	o.log(q, res)
	if !o.deliver(w, q, res) {
		panic(http.ErrAbortHandler) // the caller holds a part of the response
	}
}

func refuse(status int, why reason) *result {
	return &result{ruling: ruling{verdict: notRun, reason: why}, status: status}
}

// serve runs a request to its final answer.
func (o *outbound) serve(w http.ResponseWriter, q *request) *result {
	table := o.table()
	if table == nil {
		res := refuse(http.StatusServiceUnavailable, reasonNotReady)
		res.retryAfter = notReadyRetry
		return res
	}
	q.version = table.Document.Version
	if limit := table.Document.Limits.HeaderBytes; limit > 0 && headerBytes(q.Request) > limit {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderSize)
	}
	q.route = table.Match(q.Host, q.URL.Path)
	if q.route == nil {
		return refuse(http.StatusNotFound, reasonNoRoute)
	}
	if !o.setTimes(q) {
		return refuse(http.StatusBadRequest, reasonBadRequest)
	}
	if res := o.readBody(w, q, table.Document.Limits.BodyBytes); res != nil {
		return res
	}
	q.service = q.route.Destination()
	o.budget.CountRequest(q.service)
	return o.run(q)
}

// headerBytes is the size of the header as it was sent, approximately.
func headerBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// setTimes works out until when the caller waits, and until when an answer is in time, which counts from the caller's first attempt.
func (o *outbound) setTimes(q *request) bool {
	timeout := q.route.Timeout()
	waits := timeout
	if text := q.Header.Get(o.headers.DeadlineMS); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(ms) || ms < 0 {
			return false
		}
		waits = time.Duration(min(ms, float64(time.Hour/time.Millisecond)) * float64(time.Millisecond))
	}
	q.first, q.waits, q.deadline = q.started, q.started.Add(waits), q.started.Add(min(waits, timeout))
	if refusal, ok := o.returns.Take(q.key(), q.waits); ok {
		q.first, q.returned = refusal.FirstAttempt, true
		o.metrics.Observe(q.started.Sub(refusal.RetryAt).Abs(), "returned_off")
	}
	q.target = q.first.Add(q.route.Target())
	return true
}

// keySeed makes the keys of requests differ between processes.
var keySeed = maphash.MakeSeed()

// key stands for what the request asks for.
func (q *request) key() uint64 {
	return maphash.String(keySeed, q.Method+" "+q.Host+" "+q.RequestURI)
}

// noteRefusal keeps what is needed to recognise the caller when it comes back.
func (o *outbound) noteRefusal(q *request, retryAfter time.Duration) {
	if q.route == nil {
		return
	}
	now := time.Now()
	o.returns.Add(now, returns.Refusal{Key: q.key(), FirstAttempt: q.first, Deadline: q.waits, RetryAt: now.Add(retryAfter)})
}

// readBody reads the body before the request is placed, so that a slow caller holds no slot.
func (o *outbound) readBody(w http.ResponseWriter, q *request, limit int64) *result {
	control := http.NewResponseController(w)
	if q.ContentLength != 0 {
		// Not every ResponseWriter supports deadlines; without them the server's own limits apply.
		_ = control.SetReadDeadline(q.deadline)
	}
	out, err := newHopRequest(q.Request, q.id, limit)
	switch {
	case err == nil:
		if out.Stream == nil && q.ContentLength != 0 {
			_ = control.SetReadDeadline(time.Time{})
		}
		q.out = out
		return nil
	case errors.Is(err, errBodyTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, reasonBodySize)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, reasonBodySlow)
	}
	return refuse(http.StatusBadRequest, reasonBadRequest)
}

// run tries inbound nodes until one has answered or none is left that may.
func (o *outbound) run(q *request) *result {
	ctx := q.Context()
	if !q.route.Idempotent {
		// A caller that leaves must not break off what may have taken effect.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(peerGrace))
	defer func() { cancel() }()
	tried, busy := map[string]bool{}, map[string]bool{}
	last := refuse(0, reasonNoEndpoint)
	arrivals, full, open, inner := 0, 0, false, false
	repeats := o.budget.ForCall(q.service)
	for try := 1; try <= maxTries; try++ {
		if why := o.mayTry(q, last, arrivals, full); why != "" {
			if try == 1 {
				last.reason = why
			}
			break
		}
		choice := o.choose(q, tried, busy)
		if choice == nil {
			break
		}
		if arrivals > 0 && !repeats.Reserve(inner) {
			choice.Done(placement.Healthy, nil)
			o.metrics.Inc("outbound_retry_denied", "reason", string(reasonBudget))
			break
		}
		if try > 1 {
			o.metrics.Inc("outbound_retry", "reason", string(last.reason))
		}
		last = o.try(ctx, q, choice)
		last.tries = try
		if last.reason == reasonBusy {
			busy[choice.ID] = true
			try--
			continue
		}
		inner = inner || last.inner
		repeats.Commit()
		tried[choice.ID] = true
		if last.arrived {
			arrivals++
		}
		last.arrivals = arrivals
		if last.reason == reasonFull || last.reason == reasonHopeless {
			full++
		}
		open = open || last.verdict == unknown
		if last.verdict == answered {
			o.history.answered(q.route.Name, last.response.Length)
			o.history.noteInner(q.route.Name, last.inner)
			if last.response.Rest != nil {
				last.response.Rest = &cancelOnClose{ReadCloser: last.response.Rest, cancel: cancel}
				cancel = func() {}
			}
			break
		}
	}
	if open && last.verdict == notRun {
		last.verdict = unknown // an earlier try may have run
	}
	return last
}

// mayTry returns the reason for which no further try is made, or "".
func (o *outbound) mayTry(q *request, last *result, arrivals, full int) reason {
	switch {
	case !time.Now().Add(nextHopTime).Before(q.deadline):
		return reasonDeadline
	case last.verdict == unknown && !q.route.Idempotent:
		return last.reason
	case last.reason == reasonCancelled, last.reason == reasonBody:
		return last.reason
	case q.out.Stream != nil && (last.arrived || last.node != "" && last.node != o.self):
		return last.reason // a part of the body may have been sent, and cannot be read again
	case arrivals > 0 && arrivals >= max(1, q.route.MaxAttempts):
		return last.reason
	case full >= maxFullTries:
		return last.reason
	}
	return ""
}

func (o *outbound) choose(q *request, tried, busy map[string]bool) *placement.Choice {
	return o.chooser.Pick(o.endpoints(q.service), placement.Requirements{
		Class:        q.route.Name,
		Bytes:        o.history.bytes(q.route.Name) + len(q.out.Body),
		TimeToTarget: max(time.Until(q.target), time.Millisecond),
		DelayCost:    o.haste(q),
		Excluded:     func(e *placement.Endpoint) bool { return tried[e.ID] },
		Busy:         busy,
	})
}

// haste is what the time of a call costs that is made on behalf of admitted work: meanwhile its caller holds a slot of the backend server
// on this machine, which is worth something when none is free.
func (o *outbound) haste(q *request) float64 {
	if o.history.isInner(q.route.Name) && o.local.isFull() {
		return 1
	}
	return 0
}

// try sends the request to one inbound node.
func (o *outbound) try(ctx context.Context, q *request, choice *placement.Choice) *result {
	c := &call{
		service: q.service, class: q.route.Name, caller: o.service(), node: choice.ID, rank: q.route.Priority,
		idempotent: q.route.Idempotent, returned: q.returned, freeOnly: choice.NoQueue && q.out.Stream == nil,
		targetLeft: time.Until(q.target) - o.link.EstimateWait(o.history.answerLength(q.route.Name)), deadlineLeft: time.Until(q.deadline),
	}
	res := &result{node: choice.ID}
	out := *q.out
	out.Header = q.out.Header.Clone()
	if choice.ID == o.self {
		ruled, response := o.local.serve(ctx, c, &out)
		res.ruling, res.response = *ruled, response
	} else {
		out.Header.Set(headerCall, c.encode())
		out.FreshOnly = !q.route.Idempotent
		response, failed := o.client.Do(ctx, choice.Address, &out)
		o.read(res, response, failed)
	}
	choice.Done(outcomeOf(res), loadOf(res))
	return res
}

// read takes the ruling from the response of an inbound node.
func (o *outbound) read(res *result, response *hop.Response, failed *hop.Failure) {
	if failed != nil {
		res.ruling = failedRuling(failed)
		return
	}
	ruled, ok := decodeRuling(response.Header)
	if !ok {
		drop(response)
		res.ruling = ruling{verdict: unknown, reason: reasonGarbled, arrived: true}
		return
	}
	res.ruling = *ruled
	if ruled.verdict != answered {
		drop(response)
		return
	}
	response.Header.Del(headerReply)
	res.response = response
}

func failedRuling(f *hop.Failure) ruling {
	return ruling{verdict: verdictOf(f), reason: reasonOf(f, reasonNodeLost), arrived: f.Sent}
}

func loadOf(res *result) *placement.Load {
	if !res.hasLoad {
		return nil
	}
	return &res.load
}

// outcomeOf says what a try means for its endpoint.
func outcomeOf(res *result) placement.Outcome {
	switch res.reason {
	case reasonNodeLost:
		return placement.Unresponsive
	case reasonGarbled:
		return placement.Failed
	case reasonDraining, reasonNoBackend, reasonService, reasonNode, reasonStopping, reasonUnreachable, reasonInstance:
		return placement.Unavailable
	case reasonLost, reasonTruncated, reasonUnsigned:
		return placement.Healthy // the report carries the part that the backend server answered
	case reasonDeadline:
		if !res.hasLoad {
			return placement.Failed
		}
	}
	return placement.Healthy
}

// refusalBody is the JSON body of an answer of the node's own.
type refusalBody struct {
	Outcome verdict `json:"outcome"`
	Reason  reason  `json:"reason"`
}

// deliver sends the final answer. It reports false if the connection has to be closed, because a long response broke off.
func (o *outbound) deliver(w http.ResponseWriter, q *request, res *result) bool {
	if res.response != nil {
		copyHeader(w.Header(), res.response.Header)
		if q.Method == http.MethodHead {
			writeHead(w, res.response.Status, res.response.Length)
			return true
		}
		return writeResponse(q.Context(), w, res.response, o.link)
	}
	body, err := json.Marshal(refusalBody{res.verdict, res.reason})
	if err != nil {
		body = nil // the status says enough
	}
	if q.id != "" {
		w.Header().Set(o.headers.RequestID, q.id)
	}
	status := statusOf(res)
	if status == http.StatusServiceUnavailable {
		after := cmp.Or(max(0, res.retryAfter), defaultRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		o.noteRefusal(q, after)
	}
	w.Header().Set("Content-Type", "application/json")
	writeHead(w, status, int64(len(body)))
	// A caller that has gone does not need the answer.
	_, _ = w.Write(body)
	return true
}

// statusOf keeps the promise of the statuses: 503 means that the request has not run and will not run.
func statusOf(res *result) int {
	switch {
	case res.status != 0:
		return res.status
	case res.verdict == notRun:
		return http.StatusServiceUnavailable
	case res.reason == reasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// log writes one line for each request that was not answered at the first try, or late.
func (o *outbound) log(q *request, res *result) {
	late := time.Duration(0)
	if res.verdict == answered {
		late = max(0, time.Since(q.target))
	}
	if res.verdict == answered && res.tries <= 1 && late == 0 {
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
		zap.Int("tries", res.tries), zap.Int("arrivals", res.arrivals), zap.Bool("returned", q.returned), zap.Int64("ms", time.Since(q.started).Milliseconds()),
		zap.Int64("left_ms", time.Until(q.deadline).Milliseconds())}
	if late > 0 {
		fields = append(fields, zap.Int64("late_ms", late.Milliseconds()))
	}
	o.logger.Info("request", fields...)
}
