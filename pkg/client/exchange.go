package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// callState is one call of Do with all its requests.
type callState struct {
	client       *Client
	request      Request
	id           string
	attempt      int
	nodeIndex    int
	mayHaveRun   bool // the current id may have run
	sends        []Send
	dialFailures int // nodes that could not be reached in a row
}

// maxDialRounds bounds how often the whole list of nodes is tried without reaching one.
const maxDialRounds = 2

func (e *callState) send(ctx context.Context) sendResult {
	if e.request.Method == "" {
		e.request.Method = http.MethodGet
	}
	address := e.client.options.Nodes[e.nodeIndex]
	r := e.client.send(ctx, address, e.id, e.attempt, &e.request)
	e.sends = append(e.sends, Send{RequestID: e.id, Attempt: e.attempt, Node: address, Outcome: r.outcome, Reason: r.reason, NotSent: r.notSent})
	switch {
	case r.notSent:
		e.dialFailures++
	case r.outcome == callctx.NotRun:
		e.mayHaveRun = false // covers every attempt of the id
		e.dialFailures = 0
	case r.outcome == callctx.Unknown:
		e.mayHaveRun = true
		e.dialFailures = 0
	}
	return r
}

// prepareRetry waits and sets up the next request. It returns false if there is none.
func (e *callState) prepareRetry(ctx context.Context, r sendResult) bool {
	if ctx.Err() != nil || len(e.sends)-e.unsentCount() >= e.client.options.MaxSends {
		return false
	}
	switch {
	case r.notSent:
		return e.failOver(ctx)
	case r.outcome == callctx.NotRun && r.nodeUnavailable && len(e.client.options.Nodes) > 1:
		e.client.avoidNode(e.nodeIndex, avoidDuration(r.reason))
		e.assignNewID()
		return true
	case r.outcome == callctx.NotRun:
		return e.retryWithNewID(ctx, r)
	default:
		return e.resend(ctx, r)
	}
}

// avoidDuration returns how long calls prefer other nodes after a node refused for a reason of its own.
func avoidDuration(reason callctx.Reason) time.Duration {
	if reason == callctx.Draining {
		return drainingNodeAvoidDuration
	}
	return nodeAvoidDuration
}

// unsentCount counts the requests that did not reach a node.
func (e *callState) unsentCount() int {
	count := 0
	for _, s := range e.sends {
		if s.NotSent {
			count++
		}
	}
	return count
}

// failOver goes on with the same id and attempt, which no node has received.
func (e *callState) failOver(ctx context.Context) bool {
	c := e.client
	c.avoidNode(e.nodeIndex, nodeAvoidDuration)
	if e.dialFailures >= maxDialRounds*len(c.options.Nodes) {
		return false
	}
	if e.dialFailures >= len(c.options.Nodes) && !e.backOff(ctx, minRetryDelay) {
		return false
	}
	e.nodeIndex = c.chooseNode(e.nodeIndex)
	return true
}

// retryWithNewID uses a new id after a final "not-run".
func (e *callState) retryWithNewID(ctx context.Context, r sendResult) bool {
	if r.noRetry || !isRetryable(r.reason) || !endsBeforeDeadline(ctx, r.retryAfter) || !e.client.budget.tryWithdraw() {
		return false
	}
	if !e.backOff(ctx, r.retryAfter) {
		return false
	}
	e.assignNewID()
	return true
}

func (e *callState) assignNewID() {
	e.id, e.attempt, e.mayHaveRun = callctx.NewRequestID(), 1, false
	e.nodeIndex = e.client.chooseNode(e.nodeIndex)
}

// resend sends the same id as the next attempt. The first resend is free, since it is the only way to learn what became
// of a lost call. Further ones use the budget, so that a system that loses many calls does not get three times the load.
func (e *callState) resend(ctx context.Context, r sendResult) bool {
	if r.reason == callctx.AlreadyDone || !endsBeforeDeadline(ctx, r.retryAfter) {
		return false
	}
	if e.attempt > 1 && !e.client.budget.tryWithdraw() {
		return false
	}
	if !e.backOff(ctx, r.retryAfter) {
		return false
	}
	e.attempt++
	if r.switchNode {
		e.nodeIndex = e.client.chooseNode(e.nodeIndex)
	}
	return true
}

// endsBeforeDeadline reports whether a wait ends before the deadline.
func endsBeforeDeadline(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// backOff pauses for at least the given time, with jitter so that callers refused together do not return together.
func (e *callState) backOff(ctx context.Context, minDelay time.Duration) bool {
	maxJitter := max(minDelay/2, minRetryDelay)
	return e.client.sleep(ctx, minDelay+time.Duration(e.client.random()*float64(maxJitter))) == nil
}

// isRetryable reports whether the same call can succeed under a new id.
func isRetryable(reason callctx.Reason) bool {
	switch reason {
	case callctx.UnknownRoute, callctx.BadRequest, callctx.BodyTooLarge, callctx.TooDeep, callctx.DeadlineExpired,
		callctx.CancelledBeforeForward:
		return false
	}
	return true
}

func (e *callState) response(r sendResult) *Response {
	return &Response{Status: r.status, Header: r.header, Body: r.body, RequestID: e.id, Sends: e.sends}
}

func (e *callState) failure(ctx context.Context, r sendResult) *Error {
	failed := &Error{Outcome: r.outcome, Reason: r.reason, RetryAfter: r.retryAfter, Remedy: r.remedy, RequestID: e.id, Sends: e.sends, Cause: r.cause}
	if e.mayHaveRun {
		failed.Outcome = callctx.Unknown
	}
	if failed.Remedy == "" {
		failed.Remedy = defaultRemedy(failed.Outcome)
	}
	if failed.Cause == nil {
		failed.Cause = ctx.Err()
	}
	return failed
}

func defaultRemedy(outcome callctx.Outcome) string {
	if outcome == callctx.Unknown {
		return "the call may have run; find out in the application before calling again"
	}
	return "call again later"
}

// parseRemedy reads the remedy from the JSON body of a refusal.
func parseRemedy(body []byte) string {
	var parsed struct {
		Remedy string `json:"remedy"`
	}
	if json.Unmarshal(body, &parsed) != nil {
		return ""
	}
	return parsed.Remedy
}

func newBodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

// The budget of new ids after a refusal: a share of the answered calls and a small floor.
const (
	budgetRatio         = 0.1
	budgetFloorTokens   = 3.0
	budgetMaxTokens     = 20.0
	tokenRefillInterval = 10 * time.Second // until one token of the floor is back
)

type retryBudget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, budgetMaxTokens)
}

func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.lastRefill.IsZero() && b.tokens < budgetFloorTokens {
		b.tokens = min(budgetFloorTokens, b.tokens+now.Sub(b.lastRefill).Seconds()/tokenRefillInterval.Seconds())
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
