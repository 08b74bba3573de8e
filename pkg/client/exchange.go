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

// exchange is one call of Do with all its requests.
type exchange struct {
	client     *Client
	request    Request
	id         string
	attempt    int
	node       int
	mayHaveRun bool // the current id may have run
	sends      []Send
	dials      int // nodes that could not be reached in a row
}

// maxDialRounds bounds how often the whole list of nodes is tried without reaching one.
const maxDialRounds = 2

func (e *exchange) send(ctx context.Context) result {
	if e.request.Method == "" {
		e.request.Method = http.MethodGet
	}
	address := e.client.options.Nodes[e.node]
	r := e.client.send(ctx, address, e.id, e.attempt, &e.request)
	e.sends = append(e.sends, Send{RequestID: e.id, Attempt: e.attempt, Node: address, Outcome: r.outcome, Reason: r.reason, NotSent: r.notSent})
	switch {
	case r.notSent:
		e.dials++
	case r.outcome == callctx.NotRun:
		e.mayHaveRun = false // covers every attempt of the id
		e.dials = 0
	case r.outcome == callctx.Unknown:
		e.mayHaveRun = true
		e.dials = 0
	}
	return r
}

// prepareNext waits and sets up the next request. It returns false if there is none.
func (e *exchange) prepareNext(ctx context.Context, r result) bool {
	if ctx.Err() != nil || len(e.sends)-e.unsent() >= e.client.options.MaxSends {
		return false
	}
	switch {
	case r.notSent:
		return e.changeNode(ctx)
	case r.outcome == callctx.NotRun && r.byNode && len(e.client.options.Nodes) > 1:
		e.client.markDown(e.node, downFor(r.reason))
		e.useNewID()
		return true
	case r.outcome == callctx.NotRun:
		return e.startOver(ctx, r)
	default:
		return e.resend(ctx, r)
	}
}

// downFor returns how long calls prefer other nodes after a node refused for a reason of its own.
func downFor(reason callctx.Reason) time.Duration {
	if reason == callctx.Draining {
		return nodeDrainingFor
	}
	return nodeDownFor
}

// unsent counts the requests that did not reach a node.
func (e *exchange) unsent() int {
	count := 0
	for _, s := range e.sends {
		if s.NotSent {
			count++
		}
	}
	return count
}

// changeNode goes on with the same id and attempt, which no node has received.
func (e *exchange) changeNode(ctx context.Context) bool {
	c := e.client
	c.markDown(e.node, nodeDownFor)
	if e.dials >= maxDialRounds*len(c.options.Nodes) {
		return false
	}
	if e.dials >= len(c.options.Nodes) && !e.wait(ctx, minRetryDelay) {
		return false
	}
	e.node = c.chooseNode(e.node)
	return true
}

// startOver uses a new id after a final "not-run".
func (e *exchange) startOver(ctx context.Context, r result) bool {
	if r.noRetry || !worthRetry(r.reason) || !fits(ctx, r.retryAfter) || !e.client.budget.take() {
		return false
	}
	if !e.wait(ctx, r.retryAfter) {
		return false
	}
	e.useNewID()
	return true
}

func (e *exchange) useNewID() {
	e.id, e.attempt, e.mayHaveRun = callctx.NewRequestID(), 1, false
	e.node = e.client.chooseNode(e.node)
}

// resend sends the same id as the next attempt. The first resend is free, since it is the only way to learn what became
// of a lost call. Further ones use the budget, so that a system that loses many calls does not get three times the load.
func (e *exchange) resend(ctx context.Context, r result) bool {
	if r.reason == callctx.AlreadyDone || !fits(ctx, r.retryAfter) {
		return false
	}
	if e.attempt > 1 && !e.client.budget.take() {
		return false
	}
	if !e.wait(ctx, r.retryAfter) {
		return false
	}
	e.attempt++
	if r.lost {
		e.node = e.client.chooseNode(e.node)
	}
	return true
}

// fits reports whether a wait ends before the deadline.
func fits(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > wait
}

// wait pauses for at least the given time, with jitter so that callers refused together do not return together.
func (e *exchange) wait(ctx context.Context, least time.Duration) bool {
	spread := max(least/2, minRetryDelay)
	return e.client.sleep(ctx, least+time.Duration(e.client.random()*float64(spread))) == nil
}

// worthRetry reports whether the same call can succeed under a new id.
func worthRetry(reason callctx.Reason) bool {
	switch reason {
	case callctx.UnknownRoute, callctx.BadRequest, callctx.BodyTooLarge, callctx.TooDeep, callctx.DeadlineExpired,
		callctx.CancelledBefore:
		return false
	}
	return true
}

func (e *exchange) response(r result) *Response {
	return &Response{Status: r.status, Header: r.header, Body: r.body, RequestID: e.id, Sends: e.sends}
}

func (e *exchange) failure(ctx context.Context, r result) *Error {
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

// remedyIn reads the remedy from the JSON body of a refusal.
func remedyIn(body []byte) string {
	var parsed struct {
		Remedy string `json:"remedy"`
	}
	if json.Unmarshal(body, &parsed) != nil {
		return ""
	}
	return parsed.Remedy
}

func newReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

// The budget of new ids after a refusal: a share of the answered calls and a small floor.
const (
	budgetShare = 0.1
	budgetFloor = 3.0
	budgetMax   = 20.0
	floorRefill = 10 * time.Second // until one token of the floor is back
)

type budget struct {
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetMax)
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !b.refilled.IsZero() && b.tokens < budgetFloor {
		b.tokens = min(budgetFloor, b.tokens+now.Sub(b.refilled).Seconds()/floorRefill.Seconds())
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
