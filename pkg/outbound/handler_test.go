package outbound

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

func TestAnsweredCall(t *testing.T) {
	f := newFixture(t)
	n := f.add(respond)
	response := f.call(http.MethodPost, "/orders/7?day=3", "body", "Laburnum-Service", "forged", "Laburnum-Ballot", "forged")
	requireOutcome(t, response, callctx.Answered, "")
	require.Equal(t, "response of node-0", bodyOf(t, response))
	sent := n.header(0)
	require.Equal(t, "tracker", sent.Get(callctx.HeaderService), "a caller must not choose the service")
	require.Empty(t, sent.Get(callctx.HeaderBallot), "a caller must not send a ballot")
	require.Equal(t, "1", sent.Get(callctx.HeaderAttempt))
	require.Equal(t, "1000", sent.Get(callctx.HeaderIncarnation))
}

// Guards against callers that choose their own rank, extend their deadline or exceed the maximum call depth.
func TestInheritedContext(t *testing.T) {
	f := newFixture(t)
	n := f.add(respond)
	parent := callctx.Context{RequestID: "parent", Rank: "urgent", Deadline: time.Now().Add(3 * time.Second), Depth: 4}
	sent := func(header string) callctx.Context {
		f.call(http.MethodGet, "/views", "", callctx.HeaderContext, header, callctx.HeaderTimeoutMS, "600000")
		got, err := testSigner.Decode(n.header(n.calls() - 1).Get(callctx.HeaderContext))
		require.NoError(t, err)
		return got
	}
	inherited := sent(testSigner.Encode(parent))
	require.Equal(t, "urgent", inherited.Rank)
	require.Equal(t, 5, inherited.Depth)
	require.Equal(t, "parent", inherited.Parent)
	require.Equal(t, parent.Deadline.UnixMilli(), inherited.Deadline.UnixMilli())

	forged := sent(callctx.NewSigner([][]byte{[]byte("other key")}).Encode(parent))
	require.Equal(t, "bulk", forged.Rank)
	require.Equal(t, 1, forged.Depth)
	require.Equal(t, int64(1), f.metrics.Values()["outbound_context_rejected"])

	parent.Depth = callctx.MaxDepth
	response := f.call(http.MethodGet, "/views", "", callctx.HeaderContext, testSigner.Encode(parent))
	requireOutcome(t, response, callctx.NotRun, callctx.TooDeep)
}

func TestRefusedRequests(t *testing.T) {
	id := callctx.NewRequestID()
	for _, test := range []struct {
		name, path  string
		clockOffset time.Duration
		headers     []string
		outcome     callctx.Outcome
		reason      callctx.Reason
		status      int
	}{
		{name: "unknown route", path: "/none", outcome: callctx.NotRun, reason: callctx.UnknownRoute, status: 404},
		{name: "path not in canonical form", path: "/views/../orders", outcome: callctx.NotRun, reason: callctx.BadRequest, status: 400},
		{name: "malformed id", path: "/orders", headers: []string{callctx.HeaderRequestID, "x", callctx.HeaderAttempt, "2"}, outcome: callctx.NotRun, reason: callctx.BadRequest, status: 400},
		{name: "malformed attempt", path: "/orders", headers: []string{callctx.HeaderRequestID, id, callctx.HeaderAttempt, "0"}, outcome: callctx.Unknown, reason: callctx.BadRequest, status: 502},
		{name: "timeout of zero", path: "/orders", headers: []string{callctx.HeaderTimeoutMS, "0"}, outcome: callctx.NotRun, reason: callctx.DeadlineExpired, status: 504},
		{name: "id too old", path: "/orders", clockOffset: 31 * time.Second, headers: []string{callctx.HeaderRequestID, id, callctx.HeaderAttempt, "1"}, outcome: callctx.NotRun, reason: callctx.IDTooOld, status: 400},
		{name: "id in the future", path: "/orders", clockOffset: -5 * time.Second, headers: []string{callctx.HeaderRequestID, id, callctx.HeaderAttempt, "1"}, outcome: callctx.NotRun, reason: callctx.IDInFuture, status: 400},
		{name: "resend to an unknown route", path: "/none", headers: []string{callctx.HeaderRequestID, id, callctx.HeaderAttempt, "2"}, outcome: callctx.Unknown, reason: callctx.UnknownRoute, status: 502},
		{name: "no endpoint", path: "/orders", outcome: callctx.NotRun, reason: callctx.NoEndpoint, status: 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			startedAt := time.Now().Add(test.clockOffset)
			f.handler.now = func() time.Time { return startedAt }
			response := f.call(http.MethodPost, test.path, "", test.headers...)
			requireOutcome(t, response, test.outcome, test.reason)
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, isRetryable(test.reason), response.Header.Get("Retry-After") != "")
		})
	}
}

func TestDrainRefusesNewCallsAndWaits(t *testing.T) {
	f := newFixture(t)
	entered, release := make(chan struct{}), make(chan struct{})
	f.add(func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
		close(entered)
		<-release
		respond(w, r, n)
	})
	first := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		f.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders", nil))
		first <- w.Result()
	}()
	<-entered
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, f.handler.Drain(expired), "a call is in flight")
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/orders", nil))
	requireOutcome(t, w.Result(), callctx.NotRun, callctx.Draining)
	close(release)
	require.NoError(t, f.handler.Drain(context.Background()))
	requireOutcome(t, <-first, callctx.Answered, "")
	f.checkCounters()
}

// Guards against retries that could run a non-idempotent call twice, and against a "not-run" that hides a possible
// execution.
func TestRetryOnlyAfterNotRun(t *testing.T) {
	t.Run("not-run is retried on another endpoint", func(t *testing.T) {
		f := newFixture(t)
		first, second := f.add(refuse(callctx.NotRun, callctx.Draining)), f.add(respond)
		f.handler.random = func(n int) int { return 0 }
		requireOutcome(t, f.call(http.MethodPost, "/orders", "x"), callctx.Answered, "")
		require.Equal(t, 1, first.calls())
		require.Equal(t, 1, second.calls())
	})
	t.Run("lost connection is not retried", func(t *testing.T) {
		f := newFixture(t)
		first, second := f.add(abort), f.add(abort)
		requireOutcome(t, f.call(http.MethodPost, "/orders", "x"), callctx.Unknown, callctx.ConnectionLost)
		require.Equal(t, 1, first.calls()+second.calls())
	})
	t.Run("lost connection of an idempotent call is retried", func(t *testing.T) {
		f := newFixture(t)
		f.add(abort)
		f.add(respond)
		f.handler.random = func(n int) int { return 0 }
		requireOutcome(t, f.call(http.MethodGet, "/views", ""), callctx.Answered, "")
	})
	t.Run("not-run after unknown stays unknown", func(t *testing.T) {
		f := newFixture(t)
		f.add(abort)
		f.add(refuse(callctx.NotRun, callctx.Overloaded))
		f.handler.random = func(n int) int { return 0 }
		requireOutcome(t, f.call(http.MethodGet, "/views", ""), callctx.Unknown, callctx.Overloaded)
	})
	t.Run("refused connection is retried", func(t *testing.T) {
		f := newFixture(t)
		f.members = append(f.members, f.member(0, closedAddress(t)))
		f.add(respond)
		f.handler.random = func(n int) int { return 0 }
		requireOutcome(t, f.call(http.MethodPost, "/orders", "x"), callctx.Answered, "")
	})
	t.Run("No-Retry is honoured and propagated", func(t *testing.T) {
		f := newFixture(t)
		marked := func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			w.Header().Set(callctx.HeaderNoRetry, "true")
			refuse(callctx.NotRun, callctx.Overloaded)(w, r, n)
		}
		first, second := f.add(marked), f.add(marked)
		response := f.call(http.MethodPost, "/orders", "x")
		requireOutcome(t, response, callctx.NotRun, callctx.Overloaded)
		require.Equal(t, "true", response.Header.Get(callctx.HeaderNoRetry))
		require.Equal(t, 1, first.calls()+second.calls())
	})
	t.Run("exhausted budget prevents retries", func(t *testing.T) {
		f := newFixture(t)
		first, second := f.add(refuse(callctx.NotRun, callctx.Overloaded)), f.add(refuse(callctx.NotRun, callctx.Overloaded))
		const calls = 20
		for range calls {
			f.call(http.MethodPost, "/orders", "x")
		}
		require.Equal(t, calls+int(retryFloorTokens), first.calls()+second.calls())
		response := f.call(http.MethodPost, "/orders", "x")
		require.Equal(t, "true", response.Header.Get(callctx.HeaderNoRetry))
	})
}

// answerWith returns a node that answers each call with the given status line.
func answerWith(statusLine string) func(http.ResponseWriter, *http.Request, *scriptedNode) {
	return func(w http.ResponseWriter, r *http.Request, _ *scriptedNode) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "%sLaburnum-Outcome: answered\r\nLaburnum-Request-Id: %s\r\nContent-Length: 3\r\n\r\nall", statusLine, r.Header.Get(callctx.HeaderRequestID))
	}
}

// Guards against forwarding a response as a success although it is truncated, belongs to another request or cannot be
// verified.
func TestIncompleteResponses(t *testing.T) {
	mark := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(callctx.HeaderOutcome, string(callctx.Answered))
		w.Header().Set(callctx.HeaderRequestID, r.Header.Get(callctx.HeaderRequestID))
	}
	long := bytes.Repeat([]byte("x"), callctx.MaxBufferedResponse+100_000)
	for _, test := range []struct {
		name   string
		node   func(w http.ResponseWriter, r *http.Request, n *scriptedNode)
		reason callctx.Reason
	}{
		{"shorter than its declared length", func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			mark(w, r)
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "short")
		}, callctx.ResponseTruncated},
		{"aborted chunked response", func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			mark(w, r)
			fmt.Fprint(w, "short")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, callctx.ResponseTruncated},
		{"id of another request", func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			mark(w, r)
			w.Header().Set(callctx.HeaderRequestID, callctx.NewRequestID())
		}, callctx.ResponseMismatch},
		{"neither length nor chunked encoding", func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			conn, buffer, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nLaburnum-Outcome: answered\r\nLaburnum-Request-Id: %s\r\n\r\nall", r.Header.Get(callctx.HeaderRequestID))
			buffer.Flush()
			conn.Close()
		}, callctx.ResponseUnchecked},
		{"status 000", answerWith("HTTP/1.1 000 \r\n"), callctx.ResponseStatus},
		{"status 600", answerWith("HTTP/1.1 600 \r\n"), callctx.ResponseStatus},
		{"second interim response", answerWith("HTTP/1.1 102 \r\n\r\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK\r\n"), callctx.ResponseStatus},
		{"refusal by another node", func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			refuse(callctx.NotRun, callctx.Overloaded)(w, r, &scriptedNode{member: membership.Member{ID: "other"}})
		}, callctx.ResponseMismatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.add(test.node)
			requireOutcome(t, f.call(http.MethodPost, "/orders", "x"), callctx.Unknown, test.reason)
		})
	}
	for name, declared := range map[string]bool{"long response with length": true, "long chunked response": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var sendComplete atomic.Bool
			f.add(func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
				mark(w, r)
				if declared {
					w.Header().Set("Content-Length", strconv.Itoa(len(long)))
				}
				if sendComplete.Load() {
					w.Write(long)
					return
				}
				w.Write(long[:len(long)-1])
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			caller := httptest.NewServer(f.handler)
			defer caller.Close()
			get := func() ([]byte, error) {
				response, err := http.Post(caller.URL+"/orders", "text/plain", nil)
				if err != nil {
					return nil, err
				}
				defer response.Body.Close()
				return io.ReadAll(response.Body)
			}
			_, err := get()
			require.Error(t, err, "a truncated response must be an error for the caller")
			sendComplete.Store(true)
			body, err := get()
			require.NoError(t, err)
			require.Equal(t, long, body)
			require.NoError(t, f.handler.Drain(context.Background()))
			f.checkCounters()
		})
	}
}

// Guards against corruption of a request body above the buffer limit when the call is retried.
func TestLongRequestBody(t *testing.T) {
	f := newFixture(t)
	got := make(chan []byte, 1)
	f.add(refuse(callctx.NotRun, callctx.Draining))
	f.add(func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
		body, _ := io.ReadAll(r.Body)
		got <- body
		respond(w, r, n)
	})
	f.handler.random = func(n int) int { return 1 % n }
	body := bytes.Repeat([]byte("0123456789"), 300_000)
	response := f.call(http.MethodPost, "/orders", string(body))
	requireOutcome(t, response, callctx.Answered, "")
	require.True(t, bytes.Equal(body, <-got))
}

func TestLocalEndpointServedInProcess(t *testing.T) {
	f := newFixture(t)
	f.members = []membership.Member{f.member(0, closedAddress(t))}
	f.members[0].ID = "self"
	self := &scriptedNode{member: f.members[0]}
	size, panics := 10, false
	f.handler.options.Local = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(callctx.HeaderOutcome, string(callctx.Answered))
		w.Header().Set(callctx.HeaderRequestID, r.Header.Get(callctx.HeaderRequestID))
		w.Header().Set(callctx.HeaderNode, self.member.ID)
		w.Write(bytes.Repeat([]byte("x"), size))
		if panics {
			panic(http.ErrAbortHandler)
		}
	})
	for _, size = range []int{10, callctx.MaxBufferedResponse, callctx.MaxBufferedResponse + 1, 3 << 20} {
		response := f.call(http.MethodPost, "/orders", "x")
		requireOutcome(t, response, callctx.Answered, "")
		require.Len(t, bodyOf(t, response), size)
	}
	panics, size = true, 10
	requireOutcome(t, f.call(http.MethodPost, "/orders", "x"), callctx.Unknown, callctx.ConnectionLost)
}

func TestMissingSnapshotIsNotReady(t *testing.T) {
	f := newFixture(t)
	f.handler.options.Snapshot = func() *config.Snapshot { return nil }
	requireOutcome(t, f.call(http.MethodPost, "/orders", ""), callctx.NotRun, callctx.NotReady)
}

// Guards against request bodies that exhaust the memory of the node, and against leaks in the accounting of the limits.
func TestMemoryLimits(t *testing.T) {
	f := newFixture(t)
	f.add(respond)
	f.handler.buffered.Store(maxBufferedTotal - 10)
	require.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/orders", "more than ten bytes").StatusCode)
	requireOutcome(t, f.call(http.MethodPost, "/orders", "few bytes"), callctx.Answered, "")
	require.Equal(t, int64(maxBufferedTotal-10), f.handler.buffered.Load())
	f.handler.limiter.inFlight = maxCalls
	requireOutcome(t, f.call(http.MethodPost, "/orders", ""), callctx.NotRun, callctx.Overloaded)
	f.handler.limiter.inFlight--
	requireOutcome(t, f.call(http.MethodPost, "/orders", ""), callctx.Answered, "")
}

// Guards against forwarding a truncated request as a complete one.
func TestTruncatedRequestIsNotForwarded(t *testing.T) {
	f := newFixture(t)
	n := f.add(respond)
	caller := httptest.NewServer(f.handler)
	defer caller.Close()
	for _, framing := range []string{"Content-Length: 100\r\n\r\nshort", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"} {
		conn, err := net.Dial("tcp", caller.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST /orders HTTP/1.1\r\nHost: x\r\n"+framing)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		_, _ = io.ReadAll(conn)
		conn.Close()
	}
	require.NoError(t, f.handler.Drain(context.Background()))
	require.Zero(t, n.calls())
	f.checkCounters()
}

// Guards against treating a truncated response as complete, wherever it is cut: in the status line, the headers, a chunk
// size or the body.
func TestResponseTruncatedAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nLaburnum-Outcome: answered\r\nLaburnum-Request-Id: %s\r\n"
	for name, rest := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nhello",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var cut atomic.Int64
			f.add(func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				complete := fmt.Sprintf(head, r.Header.Get(callctx.HeaderRequestID)) + rest
				_, _ = io.WriteString(conn, complete[:min(int(cut.Load()), len(complete))])
			})
			size := len(fmt.Sprintf(head, callctx.NewRequestID())) + len(rest)
			for at := range size {
				cut.Store(int64(at))
				response := f.call(http.MethodPost, "/orders", "")
				require.Equal(t, string(callctx.Unknown), response.Header.Get(callctx.HeaderOutcome), "cut after %d bytes", at)
			}
			cut.Store(int64(size))
			response := f.call(http.MethodPost, "/orders", "")
			requireOutcome(t, response, callctx.Answered, "")
			require.Equal(t, "hello", bodyOf(t, response))
		})
	}
}
