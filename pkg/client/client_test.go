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

// scriptedNode is a node that handles each request with the next handler; the last handler is used repeatedly.
type scriptedNode struct {
	server   *httptest.Server
	mu       sync.Mutex
	handlers []http.HandlerFunc
	received []string // "id attempt"
}

func newScriptedNode(t *testing.T, handlers ...http.HandlerFunc) *scriptedNode {
	s := &scriptedNode{handlers: handlers}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.received = append(s.received, r.Header.Get(callctx.HeaderRequestID)+" "+r.Header.Get(callctx.HeaderAttempt))
		handler := s.handlers[0]
		if len(s.handlers) > 1 {
			s.handlers = s.handlers[1:]
		}
		s.mu.Unlock()
		handler(w, r)
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

func respond(w http.ResponseWriter, r *http.Request) {
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

// newClient returns a client that starts with the first node and records its backoff delays instead of sleeping.
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
	var callErr *Error
	errors.As(err, &callErr)
	return response, callErr
}

// Guards against a lost call being resent with a new id: it could run twice.
func TestLostConnectionReusesRequestID(t *testing.T) {
	first, second := newScriptedNode(t, abort), newScriptedNode(t, respond)
	c, _ := newClient(t, first.address(), second.address())
	response, callErr := do(c)
	require.Nil(t, callErr)
	require.Equal(t, "ok", string(response.Body))
	require.Equal(t, []string{response.RequestID + " 1"}, first.requests())
	require.Equal(t, []string{response.RequestID + " 2"}, second.requests())
}

// Guards against an unnecessary resend lookup for a request that no node has received.
func TestUnreachableNodeReusesAttemptNumber(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	healthy := newScriptedNode(t, respond)
	c, _ := newClient(t, listener.Addr().String(), healthy.address())
	response, callErr := do(c)
	require.Nil(t, callErr)
	require.Equal(t, []string{response.RequestID + " 1"}, healthy.requests())

	c, _ = newClient(t, listener.Addr().String())
	_, callErr = do(c)
	require.Equal(t, callctx.NotRun, callErr.Outcome, "no request was sent")
}

// Guards against reusing the id after a final "not-run", and against retries before Retry-After has elapsed.
func TestNotRunRetriesWithNewID(t *testing.T) {
	n := newScriptedNode(t, refuse(callctx.NotRun, callctx.Overloaded, "Retry-After", "2"), respond)
	c, waits := newClient(t, n.address())
	response, callErr := do(c)
	require.Nil(t, callErr)
	require.Len(t, n.requests(), 2)
	require.NotEqual(t, response.Sends[0].RequestID, response.Sends[1].RequestID)
	require.Equal(t, response.RequestID+" 1", n.requests()[1])
	require.Equal(t, []time.Duration{2500 * time.Millisecond}, *waits)
}

// Guards against calls that are delayed or fail during the graceful shutdown of one of several nodes.
func TestDrainingNodeUsesNoRetryBudget(t *testing.T) {
	draining, healthy := newScriptedNode(t, refuse(callctx.NotRun, callctx.Draining, "Retry-After", "1")), newScriptedNode(t, respond)
	c, waits := newClient(t, draining.address(), healthy.address())
	for range 3 * int(budgetFloorTokens) {
		_, callErr := do(c)
		require.Nil(t, callErr)
	}
	require.Empty(t, *waits)
	require.Less(t, len(draining.requests()), 3*int(budgetFloorTokens), "a refusing node is avoided temporarily")
}

// Guards against connection resets during a rolling restart: a caller that retries a draining node too early may connect
// at the moment the node closes its sockets.
func TestDrainingNodeAvoidedUntilSocketsClosed(t *testing.T) {
	for reason, minAvoided := range map[callctx.Reason]time.Duration{callctx.Draining: callctx.DrainLinger, callctx.NotReady: 0} {
		refusing := newScriptedNode(t, refuse(callctx.NotRun, reason))
		other := newScriptedNode(t, respond)
		c, _ := newClient(t, refusing.address(), other.address())
		before := clock.Now()
		_, err := c.Do(context.Background(), Request{Path: "/"})
		require.NoError(t, err)
		avoided := time.Duration(c.avoidUntil[0].Load()) - before
		require.Greater(t, avoided, minAvoided, "reason %s", reason)
		require.Equal(t, reason == callctx.Draining, avoided > callctx.DrainLinger, "a node that is not ready is retried soon")
	}
}

func TestFinalRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		sends   int
		want    callctx.Outcome
	}{
		{"invalid request", refuse(callctx.NotRun, callctx.UnknownRoute), 1, callctx.NotRun},
		{"No-Retry", refuse(callctx.NotRun, callctx.Overloaded, callctx.HeaderNoRetry, "true"), 1, callctx.NotRun},
		{"Retry-After beyond the deadline", refuse(callctx.NotRun, callctx.Overloaded, "Retry-After", "120"), 1, callctx.NotRun},
		{"response no longer available", refuse(callctx.Unknown, callctx.AlreadyDone), 1, callctx.Unknown},
		{"unknown until MaxSends is reached", refuse(callctx.Unknown, callctx.AlreadyRunning, "Retry-After", "1"), defaultMaxSends, callctx.Unknown},
		{"connection lost until MaxSends is reached", abort, defaultMaxSends, callctx.Unknown},
		{"server is not a node", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "hello") }, defaultMaxSends, callctx.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newScriptedNode(t, test.handler)
			c, _ := newClient(t, n.address())
			_, callErr := do(c)
			require.NotNil(t, callErr)
			require.Equal(t, test.want, callErr.Outcome)
			require.NotEmpty(t, callErr.Remedy)
			require.Len(t, n.requests(), test.sends)
		})
	}
}

// Guards against retries that amplify the load of an overloaded system.
func TestRetryBudget(t *testing.T) {
	n := newScriptedNode(t, refuse(callctx.NotRun, callctx.Overloaded))
	c, _ := newClient(t, n.address())
	c.budget.lastRefill = time.Now().Add(time.Hour) // no refill during the test
	const calls = 20
	for range calls {
		_, callErr := do(c)
		require.Equal(t, callctx.NotRun, callErr.Outcome)
		require.Equal(t, "do this", callErr.Remedy)
	}
	require.LessOrEqual(t, len(n.requests()), calls+int(budgetFloorTokens))

	n = newScriptedNode(t, abort)
	c, _ = newClient(t, n.address())
	c.budget.lastRefill = time.Now().Add(time.Hour)
	for range calls {
		_, callErr := do(c)
		require.Equal(t, callctx.Unknown, callErr.Outcome)
	}
	require.LessOrEqual(t, len(n.requests()), 2*calls+int(budgetFloorTokens), "one resend for each call, plus the retry budget")
}

// Guards against returning a truncated response, or that of another request, as a success.
func TestIncompleteResponseIsAnError(t *testing.T) {
	short := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		respond(w, r)
	}
	foreign := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(callctx.HeaderRequestID, callctx.NewRequestID())
		respond(w, r)
	}
	for name, handler := range map[string]http.HandlerFunc{"short": short, "foreign": foreign} {
		t.Run(name, func(t *testing.T) {
			c, _ := newClient(t, newScriptedNode(t, handler).address())
			_, callErr := do(c)
			require.Equal(t, callctx.Unknown, callErr.Outcome)
		})
	}
}

// Guards against reporting "not-run", or a passed deadline, for a call that is cancelled after it was sent.
func TestContextCancelledAfterSend(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	n := newScriptedNode(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	c, _ := newClient(t, n.address())
	_, err := c.Do(ctx, Request{Path: "/"})
	var callErr *Error
	require.ErrorAs(t, err, &callErr)
	require.Equal(t, callctx.Unknown, callErr.Outcome)
	require.Equal(t, callctx.CancelledInBackend, callErr.Reason)
	require.ErrorIs(t, err, context.Canceled)
}

func TestNewValidatesNodes(t *testing.T) {
	for _, nodes := range [][]string{nil, {"http://host:1"}, {"host"}} {
		_, err := New(Options{Nodes: nodes})
		require.Equal(t, apierror.Invalid, apierror.KindOf(err))
	}
}
