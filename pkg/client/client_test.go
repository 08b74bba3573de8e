package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// scriptedNode is a node that handles its requests with one function after another; the last one repeats.
type scriptedNode struct {
	server   *httptest.Server
	mu       sync.Mutex
	handlers []http.HandlerFunc
	received []string // "id attempt"
}

func newScriptedNode(t *testing.T, steps ...http.HandlerFunc) *scriptedNode {
	s := &scriptedNode{handlers: steps}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.received = append(s.received, r.Header.Get(callctx.HeaderRequestID)+" "+r.Header.Get(callctx.HeaderAttempt))
		step := s.handlers[0]
		if len(s.handlers) > 1 {
			s.handlers = s.handlers[1:]
		}
		s.mu.Unlock()
		step(w, r)
	}))
	t.Cleanup(s.server.Close)
	return s
}

func (s *scriptedNode) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func (s *scriptedNode) address() string { return s.server.Listener.Addr().String() }

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(callctx.HeaderOutcome, string(callctx.Answered))
	w.Header().Set(callctx.HeaderRequestID, r.Header.Get(callctx.HeaderRequestID))
	fmt.Fprint(w, "ok")
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(outcome callctx.Outcome, reason callctx.Reason, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(callctx.HeaderOutcome, string(outcome))
		w.Header().Set(callctx.HeaderReason, string(reason))
		w.Header().Set(callctx.HeaderRequestID, r.Header.Get(callctx.HeaderRequestID))
		for i := 0; i+1 < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(callctx.Status(outcome, reason))
		fmt.Fprint(w, `{"remedy": "do this"}`)
	}
}

// newClient returns a client that starts at the first node and records its waits instead of sleeping.
func newClient(t *testing.T, nodes ...string) (*Client, *[]time.Duration) {
	c, err := New(Options{Nodes: nodes, Timeout: time.Minute})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	waits := &[]time.Duration{}
	c.roundRobin.Store(uint64(len(nodes)) - 1)
	c.random = func() float64 { return 0.5 }
	c.sleep = func(ctx context.Context, wait time.Duration) error {
		*waits = append(*waits, wait)
		return ctx.Err()
	}
	return c, waits
}

func do(c *Client) (*Response, *Error) {
	response, err := c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/orders", Body: []byte("x")})
	var failed *Error
	errors.As(err, &failed)
	return response, failed
}

// Guards against a lost call that is sent again as a new one: it could run twice.
func TestLostConnectionReusesRequestID(t *testing.T) {
	first, second := newScriptedNode(t, abort), newScriptedNode(t, answer)
	c, _ := newClient(t, first.address(), second.address())
	response, failed := do(c)
	require.Nil(t, failed)
	require.Equal(t, "ok", string(response.Body))
	require.Equal(t, []string{response.RequestID + " 1"}, first.requests())
	require.Equal(t, []string{response.RequestID + " 2"}, second.requests())
}

// Guards against a resend look-up for a request that no node has received.
func TestUnreachableNodeReusesAttemptNumber(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	up := newScriptedNode(t, answer)
	c, _ := newClient(t, listener.Addr().String(), up.address())
	response, failed := do(c)
	require.Nil(t, failed)
	require.Equal(t, []string{response.RequestID + " 1"}, up.requests())

	c, _ = newClient(t, listener.Addr().String())
	_, failed = do(c)
	require.Equal(t, callctx.NotRun, failed.Outcome, "no request was sent")
}

// Guards against a new id without a final "not-run", and against retries before Retry-After.
func TestNotRunRetriesWithNewID(t *testing.T) {
	n := newScriptedNode(t, refuse(callctx.NotRun, callctx.Overloaded, "Retry-After", "2"), answer)
	c, waits := newClient(t, n.address())
	response, failed := do(c)
	require.Nil(t, failed)
	require.Len(t, n.requests(), 2)
	require.NotEqual(t, response.Sends[0].RequestID, response.Sends[1].RequestID)
	require.Equal(t, response.RequestID+" 1", n.requests()[1])
	require.Equal(t, []time.Duration{2500 * time.Millisecond}, *waits)
}

// Guards against calls that wait or fail because one node of several stops as planned.
func TestDrainingNodeUsesNoRetryBudget(t *testing.T) {
	leaving, up := newScriptedNode(t, refuse(callctx.NotRun, callctx.Draining, "Retry-After", "1")), newScriptedNode(t, answer)
	c, waits := newClient(t, leaving.address(), up.address())
	for range 3 * int(budgetFloorTokens) {
		_, failed := do(c)
		require.Nil(t, failed)
	}
	require.Empty(t, *waits)
	require.Less(t, len(leaving.requests()), 3*int(budgetFloorTokens), "a node that refuses is used last for a while")
}

// A rolling stop under steady calls: a caller that came back to a draining node before its sockets are closed would open
// connections at that moment.
func TestDrainingNodeAvoidedUntilSocketsClosed(t *testing.T) {
	for reason, minAvoided := range map[callctx.Reason]time.Duration{callctx.Draining: callctx.DrainLinger, callctx.NotReady: 0} {
		leaving := newScriptedNode(t, refuse(callctx.NotRun, reason))
		other := newScriptedNode(t, answer)
		c, _ := newClient(t, leaving.address(), other.address())
		before := clock.Now()
		_, err := c.Do(context.Background(), Request{Path: "/"})
		require.NoError(t, err)
		avoided := time.Duration(c.avoidUntil[0].Load()) - before
		require.Greater(t, avoided, minAvoided, "reason %s", reason)
		require.Equal(t, reason == callctx.Draining, avoided > callctx.DrainLinger, "a node that is not ready is tried again soon")
	}
}

func TestFinalRefusals(t *testing.T) {
	for _, test := range []struct {
		name  string
		step  http.HandlerFunc
		sends int
		want  callctx.Outcome
	}{
		{"the caller's fault", refuse(callctx.NotRun, callctx.UnknownRoute), 1, callctx.NotRun},
		{"No-Retry", refuse(callctx.NotRun, callctx.Overloaded, callctx.HeaderNoRetry, "true"), 1, callctx.NotRun},
		{"Retry-After beyond the deadline", refuse(callctx.NotRun, callctx.Overloaded, "Retry-After", "120"), 1, callctx.NotRun},
		{"the response is lost for good", refuse(callctx.Unknown, callctx.AlreadyDone), 1, callctx.Unknown},
		{"unknown until the limit of sends", refuse(callctx.Unknown, callctx.AlreadyRunning, "Retry-After", "1"), defaultMaxSends, callctx.Unknown},
		{"lost until the limit of sends", abort, defaultMaxSends, callctx.Unknown},
		{"not a node", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "hello") }, defaultMaxSends, callctx.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newScriptedNode(t, test.step)
			c, _ := newClient(t, n.address())
			_, failed := do(c)
			require.NotNil(t, failed)
			require.Equal(t, test.want, failed.Outcome)
			require.NotEmpty(t, failed.Remedy)
			require.Len(t, n.requests(), test.sends)
		})
	}
}

// Guards against clients that multiply the load of an overloaded system.
func TestRetryBudget(t *testing.T) {
	n := newScriptedNode(t, refuse(callctx.NotRun, callctx.Overloaded))
	c, _ := newClient(t, n.address())
	c.budget.lastRefill = time.Now().Add(time.Hour) // no refill during the test
	const calls = 20
	for range calls {
		_, failed := do(c)
		require.Equal(t, callctx.NotRun, failed.Outcome)
		require.Equal(t, "do this", failed.Remedy)
	}
	require.LessOrEqual(t, len(n.requests()), calls+int(budgetFloorTokens))

	n = newScriptedNode(t, abort)
	c, _ = newClient(t, n.address())
	c.budget.lastRefill = time.Now().Add(time.Hour)
	for range calls {
		_, failed := do(c)
		require.Equal(t, callctx.Unknown, failed.Outcome)
	}
	require.LessOrEqual(t, len(n.requests()), 2*calls+int(budgetFloorTokens), "one resend for each call, and the budget")
}

// Guards against a short or foreign response that is returned as a success.
func TestIncompleteResponseIsAnError(t *testing.T) {
	short := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		answer(w, r)
	}
	foreign := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(callctx.HeaderRequestID, callctx.NewRequestID())
		answer(w, r)
	}
	for name, step := range map[string]http.HandlerFunc{"short": short, "foreign": foreign} {
		t.Run(name, func(t *testing.T) {
			c, _ := newClient(t, newScriptedNode(t, step).address())
			_, failed := do(c)
			require.Equal(t, callctx.Unknown, failed.Outcome)
		})
	}
}

// Guards against a "not-run" for a call whose caller gave up after it was sent.
func TestContextCancelledAfterSend(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	n := newScriptedNode(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	c, _ := newClient(t, n.address())
	_, err := c.Do(ctx, Request{Path: "/"})
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, callctx.Unknown, failed.Outcome)
	require.Equal(t, callctx.DeadlineInBackend, failed.Reason)
	require.ErrorIs(t, err, context.Canceled)
}

func TestNewValidatesNodes(t *testing.T) {
	for _, nodes := range [][]string{nil, {"http://host:1"}, {"host"}} {
		_, err := New(Options{Nodes: nodes})
		require.Equal(t, apierror.Invalid, apierror.KindOf(err))
	}
}
