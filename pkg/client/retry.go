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

// callState is the state of one call of Do across its requests.
type callState struct {
	client       *Client
	request      Request
	id           string
	attempt      int
	nodeIndex    int
	mayHaveRun   bool // a request with the current id may have run
	sends        []Send
	dialFailures int // consecutive requests that did not reach a node
}

// maxDialRounds is how many times the list of nodes is tried without reaching any node.
const maxDialRounds = 2

func (s *callState) send(ctx context.Context) sendResult {
	if s.request.Method == "" {
		s.request.Method = http.MethodGet
	}
	address := s.client.options.Nodes[s.nodeIndex]
	r := s.client.send(ctx, address, s.id, s.attempt, &s.request)
	s.sends = append(s.sends, Send{RequestID: s.id, Attempt: s.attempt, Node: address, Outcome: r.outcome, Reason: r.reason, NotSent: r.notSent})
	switch {
	case r.notSent:
		s.dialFailures++
	case r.outcome == callctx.NotRun:
		s.mayHaveRun = false // a not-run outcome covers all attempts of the id
		s.dialFailures = 0
	case r.outcome == callctx.Unknown:
		s.mayHaveRun = true
		s.dialFailures = 0
	}
	return r
}

// prepareRetry backs off and prepares the next request. It returns false if the call must not be retried.
func (s *callState) prepareRetry(ctx context.Context, r sendResult) bool {
	if ctx.Err() != nil || len(s.sends)-s.unsentCount() >= s.client.options.MaxSends {
		return false
	}
	switch {
	case r.notSent:
		return s.failOver(ctx)
	case r.outcome == callctx.NotRun && r.nodeUnavailable && len(s.client.options.Nodes) > 1:
		s.client.avoidNode(s.nodeIndex, avoidDuration(r.reason))
		s.assignNewID()
		return true
	case r.outcome == callctx.NotRun:
		return s.retryWithNewID(ctx, r)
	default:
		return s.resend(ctx, r)
	}
}

// avoidDuration returns how long calls prefer other nodes after a node refused because it was itself unavailable.
func avoidDuration(reason callctx.Reason) time.Duration {
	if reason == callctx.Draining {
		return drainingNodeAvoidDuration
	}
	return nodeAvoidDuration
}

// unsentCount returns the number of requests that did not reach a node.
func (s *callState) unsentCount() int {
	count := 0
	for _, send := range s.sends {
		if send.NotSent {
			count++
		}
	}
	return count
}

// failOver selects another node for the same id and attempt number, which no node has received.
func (s *callState) failOver(ctx context.Context) bool {
	c := s.client
	c.avoidNode(s.nodeIndex, nodeAvoidDuration)
	if s.dialFailures >= maxDialRounds*len(c.options.Nodes) {
		return false
	}
	if s.dialFailures >= len(c.options.Nodes) && !s.backOff(ctx, minRetryDelay) {
		return false
	}
	s.nodeIndex = c.chooseNode(s.nodeIndex)
	return true
}

// retryWithNewID backs off and retries with a new id after a final "not-run". It draws on the retry budget.
func (s *callState) retryWithNewID(ctx context.Context, r sendResult) bool {
	if r.noRetry || !isRetryable(r.reason) || !endsBeforeDeadline(ctx, r.retryAfter) || !s.client.budget.tryWithdraw() {
		return false
	}
	if !s.backOff(ctx, r.retryAfter) {
		return false
	}
	s.assignNewID()
	return true
}

// assignNewID prepares the next request with a new id, as attempt 1 on another node.
func (s *callState) assignNewID() {
	s.id, s.attempt, s.mayHaveRun = callctx.NewRequestID(), 1, false
	s.nodeIndex = s.client.chooseNode(s.nodeIndex)
}

// resend backs off and prepares the next attempt of the same id. The first resend is exempt from the budget, since it is
// the only way to determine the outcome of a lost call. Further resends draw on the budget, so that a system that loses
// many calls does not receive three times the load.
func (s *callState) resend(ctx context.Context, r sendResult) bool {
	if r.reason == callctx.AlreadyDone || !endsBeforeDeadline(ctx, r.retryAfter) {
		return false
	}
	if s.attempt > 1 && !s.client.budget.tryWithdraw() {
		return false
	}
	if !s.backOff(ctx, r.retryAfter) {
		return false
	}
	s.attempt++
	if r.switchNode {
		s.nodeIndex = s.client.chooseNode(s.nodeIndex)
	}
	return true
}

// endsBeforeDeadline reports whether a wait that starts now ends before the deadline of ctx.
func endsBeforeDeadline(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// backOff sleeps for minDelay plus jitter, which spreads the retries of callers that were refused at the same time. It
// returns false if ctx ends first.
func (s *callState) backOff(ctx context.Context, minDelay time.Duration) bool {
	maxJitter := max(minDelay/2, minRetryDelay)
	return s.client.sleep(ctx, minDelay+time.Duration(s.client.random()*float64(maxJitter))) == nil
}

// isRetryable reports whether the same call can succeed with a new id.
func isRetryable(reason callctx.Reason) bool {
	switch reason {
	case callctx.UnknownRoute, callctx.BadRequest, callctx.BodyTooLarge, callctx.TooDeep, callctx.DeadlineExpired,
		callctx.CancelledBeforeForward:
		return false
	}
	return true
}

func (s *callState) response(r sendResult) *Response {
	return &Response{Status: r.status, Header: r.header, Body: r.body, RequestID: s.id, Sends: s.sends}
}

func (s *callState) failure(ctx context.Context, r sendResult) *Error {
	callErr := &Error{Outcome: r.outcome, Reason: r.reason, RetryAfter: r.retryAfter, Remedy: r.remedy, RequestID: s.id, Sends: s.sends, Cause: r.cause}
	if s.mayHaveRun {
		callErr.Outcome = callctx.Unknown
	}
	if callErr.Remedy == "" {
		callErr.Remedy = defaultRemedy(callErr.Outcome)
	}
	if callErr.Cause == nil {
		callErr.Cause = ctx.Err()
	}
	return callErr
}

func defaultRemedy(outcome callctx.Outcome) string {
	if outcome == callctx.Unknown {
		return "the call may have run; check its effect in the application before calling again"
	}
	return "call again later"
}

// parseRemedy returns the remedy in the JSON body of a refusal, or an empty string.
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

// Parameters of the retry budget. Tokens come from answered calls and, up to a small floor, from elapsed time.
const (
	budgetRatio         = 0.1
	budgetFloorTokens   = 3.0
	budgetMaxTokens     = 20.0
	tokenRefillInterval = 10 * time.Second // time to refill one token, up to the floor
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
