package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	standin "github.com/laburnumcleat/laburnumcleat/standin/backend"
)

// rawBackend starts a backend server that passes each request and its connection to serve, and returns its address.
func rawBackend(t *testing.T, serve func(conn net.Conn, request *http.Request, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					serve(conn, request, number)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a caller that accepts an incomplete response, or a response to another request (docs/design.md, section 7.4).
func TestHandler_InvalidBackendResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		reason   callctx.Reason
	}{
		"closed without a response":           {"", callctx.ConnectionLost},
		"truncated in the headers":            {"HTTP/1.1 200 OK\r\nContent-Le", callctx.ConnectionLost},
		"shorter than its length":             {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", callctx.ResponseTruncated},
		"truncated chunk":                     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf", callctx.ResponseTruncated},
		"without the last chunk":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", callctx.ResponseTruncated},
		"neither length nor chunked encoding": {"HTTP/1.0 200 OK\r\n\r\nwhole or half", callctx.ResponseUnchecked},
		"status 000":                          {"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", callctx.ResponseStatus},
		"status 099":                          {"HTTP/1.1 099 \r\nContent-Length: 2\r\n\r\nok", callctx.ResponseStatus},
		"status 600":                          {"HTTP/1.1 600 \r\nContent-Length: 2\r\n\r\nok", callctx.ResponseStatus},
		"status of four digits":               {"HTTP/1.1 2000 \r\nContent-Length: 2\r\n\r\nok", callctx.ConnectionLost},
		"second interim response":             {"HTTP/1.1 102 \r\n\r\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", callctx.ResponseStatus},
		"response to another request":         {"HTTP/1.1 200 OK\r\nLaburnum-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", callctx.ResponseMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHandlerFixture(t)
			f.announce(rawBackend(t, func(conn net.Conn, _ *http.Request, _ int) {
				io.WriteString(conn, c.response)
				conn.Close()
			}), membership.EndpointReady)
			r := f.request(t, "order")
			response, _ := f.do(t, r)
			requireOutcome(t, response, callctx.Unknown, c.reason)
			result := f.handler.Lookup(LookupParams{RequestID: r.Header.Get(callctx.HeaderRequestID), Ballot: execution.NewBallot(time.Now(), "n")})
			require.Equal(t, execution.LookupResult{State: execution.Done}, result, "an id that may have run must be looked up as done")
			require.Zero(t, f.handler.load().InFlight)
		})
	}
}

// Guards against a second execution through a retry by net/http, which retries requests that look idempotent to it when a
// reused connection is closed without a response.
func TestHandler_NetHTTPDoesNotRetry(t *testing.T) {
	for name, build := range map[string]func(r *http.Request){
		"GET":                         func(r *http.Request) { r.Method = http.MethodGet },
		"empty POST, idempotency key": func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") },
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			f := newHandlerFixture(t)
			f.announce(rawBackend(t, func(conn net.Conn, _ *http.Request, number int) {
				arrived.Add(1)
				if number == 1 {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					return
				}
				conn.Close()
			}), membership.EndpointReady)
			send := func() *http.Response {
				r := f.request(t, "")
				build(r)
				r.Body, r.ContentLength = http.NoBody, 0
				response, _ := f.do(t, r)
				return response
			}
			requireOutcome(t, send(), callctx.Answered, "")
			requireOutcome(t, send(), callctx.Unknown, callctx.ConnectionLost)
			require.EqualValues(t, 2, arrived.Load())
		})
	}
}

// Guards against an outcome "unknown" after a failed connection attempt, and against an entry that remains for a call that
// never ran.
func TestHandler_DialFailureIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	f := newHandlerFixture(t)
	f.announce(address, membership.EndpointReady)
	response, _ := f.do(t, f.request(t, "order"))
	requireOutcome(t, response, callctx.NotRun, callctx.BackendUnreachable)
	require.NotEmpty(t, response.Header.Get(callctx.HeaderRetryAfter))
	require.Zero(t, f.handler.table.Stats().Entries)
	require.EqualValues(t, 1, f.metrics.Values()[`inbound_refused{outcome="not-run",reason="backend_unreachable"}`])
}

// Guards against a write after seal has reported that nothing was written. The outcome "not-run" depends on this.
func TestTrackedConn_SealBlocksWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	conn.beginRequest()
	require.False(t, conn.seal(), "nothing was written")
	_, err := conn.Write([]byte("late"))
	require.ErrorIs(t, err, errSealed)

	near, far = net.Pipe()
	defer far.Close()
	conn = &trackedConn{Conn: near}
	conn.beginRequest()
	go io.ReadFull(far, make([]byte, 1))
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	require.True(t, conn.seal())

	near, far = net.Pipe()
	far.Close()
	conn = &trackedConn{Conn: near}
	conn.beginRequest()
	_, err = conn.Write([]byte("x"))
	require.Error(t, err)
	require.False(t, conn.seal(), "the write failed without sending a byte")
}

// Guards against a call on a closed reused connection that is reported as possibly run, or not retried.
func TestBackendClient_ReplacesStaleConnection(t *testing.T) {
	client := newBackendClient("127.0.0.1:1", 4)
	var dials atomic.Int32
	client.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		conn := &trackedConn{Conn: &failingWriteConn{Conn: near, broken: dials.Add(1) == 1}}
		go http.Serve(&singleConnListener{conn: far}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "ok")
		}))
		return conn, nil
	}
	template := httptest.NewRequest(http.MethodPost, "/", nil)
	send := func() *failure {
		sent, failed := client.send(context.Background(), &outgoing{template: template, body: []byte("b")})
		if failed == nil {
			_, err := io.Copy(io.Discard, sent.response.Body)
			require.NoError(t, err)
			sent.close()
		}
		return failed
	}
	require.Nil(t, send())
	require.Nil(t, send(), "the second write on the first connection fails; the request is sent again on a new connection")
	require.EqualValues(t, 2, dials.Load())
}

// failingWriteConn, if broken, fails every write after the first without sending a byte, like a connection closed by its peer.
type failingWriteConn struct {
	net.Conn
	broken bool
	writes int
}

func (b *failingWriteConn) Write(p []byte) (int, error) {
	b.writes++
	if b.broken && b.writes > 1 {
		return 0, net.ErrClosed
	}
	return b.Conn.Write(p)
}

type singleConnListener struct{ conn net.Conn }

func (l *singleConnListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}
func (l *singleConnListener) Close() error   { return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against long responses that are corrupted, or that look complete after they were truncated.
func TestHandler_LongResponses(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: time.Millisecond})
	r := f.request(t, "report")
	r.Header.Set(standin.SizeHeader, "3000000")
	response, body := f.do(t, r)
	requireOutcome(t, response, callctx.Answered, "")
	require.Greater(t, len(body), 3_000_000)

	f.backend.SetFaults(standin.Faults{Truncate: 1})
	r = f.request(t, "report")
	r.Header.Set(standin.SizeHeader, "3000000")
	response, err := f.server.Client().Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err)
	require.Zero(t, f.handler.load().InFlight)
}

// Guards against corruption of a request body that is too long to be buffered.
func TestHandler_LongRequestBodies(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: time.Millisecond})
	for _, declared := range []bool{true, false} {
		r := f.request(t, strings.Repeat("x", 3<<20))
		if !declared {
			r.ContentLength = -1
		}
		response, _ := f.do(t, r)
		requireOutcome(t, response, callctx.Answered, "")
		require.Equal(t, "3bea8a9a07c1e8dcaa4c1b816815c35a", response.Header.Get(standin.DigestHeader)[:32])
	}
}

// blockingBackend holds each request until release is closed or the request is cancelled.
type blockingBackend struct {
	arrivedRanks, cancelledRanks chan string // rank of the request
	release                      chan struct{}
	address                      string
}

func newBlockingBackend(t *testing.T) *blockingBackend {
	t.Helper()
	b := &blockingBackend{arrivedRanks: make(chan string, 100), cancelledRanks: make(chan string, 100), release: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a disconnect only after the body was read.
		io.Copy(io.Discard, r.Body)
		passed, _ := testSigner.Decode(r.Header.Get(callctx.HeaderContext))
		b.arrivedRanks <- passed.Rank
		select {
		case <-b.release:
			io.WriteString(w, "ok")
		case <-r.Context().Done():
			b.cancelledRanks <- passed.Rank
		}
	}))
	t.Cleanup(server.Close)
	b.address = server.Listener.Addr().String()
	return b
}

// start sends a call in the background and returns a channel with its outcome and reason.
func (f *fixture) start(t *testing.T, ctx context.Context) chan [2]string {
	t.Helper()
	r := f.request(t, "order").WithContext(ctx)
	done := make(chan [2]string, 1)
	go func() {
		response, err := f.server.Client().Do(r)
		if err != nil {
			done <- [2]string{"error", ""}
			return
		}
		response.Body.Close()
		done <- [2]string{response.Header.Get(callctx.HeaderOutcome), response.Header.Get(callctx.HeaderReason)}
	}()
	return done
}

func (f *fixture) waitLoad(t *testing.T, want callctx.Load) {
	t.Helper()
	require.Eventually(t, func() bool { return f.handler.load() == want }, time.Minute, time.Millisecond, "%v", want)
}

// Guards against a slot that is leaked, or freed too early, when a caller disconnects.
func TestHandler_DisconnectFreesSlot(t *testing.T) {
	b := newBlockingBackend(t)
	f := newHandlerFixture(t)
	f.announce(b.address, membership.EndpointReady)
	first, disconnect := context.WithCancel(context.Background())
	f.start(t, first)
	<-b.arrivedRanks
	f.start(t, context.Background())
	<-b.arrivedRanks
	waiting, leave := context.WithCancel(context.Background())
	f.start(t, waiting)
	f.waitLoad(t, callctx.Load{InFlight: 2, Limit: 2, Queued: 1})
	last := f.start(t, context.Background())
	f.waitLoad(t, callctx.Load{InFlight: 2, Limit: 2, Queued: 2})
	leave()
	f.waitLoad(t, callctx.Load{InFlight: 2, Limit: 2, Queued: 1})
	disconnect()
	<-b.cancelledRanks
	<-b.arrivedRanks
	f.waitLoad(t, callctx.Load{InFlight: 2, Limit: 2})
	close(b.release)
	require.Equal(t, string(callctx.Answered), (<-last)[0])
}

// Guards against calls that are aborted by a graceful shutdown, and against calls that are accepted after it has started.
func TestDrain(t *testing.T) {
	b := newBlockingBackend(t)
	f := newHandlerFixture(t)
	f.announce(b.address, membership.EndpointReady)
	running := []chan [2]string{f.start(t, context.Background()), f.start(t, context.Background())}
	<-b.arrivedRanks
	<-b.arrivedRanks
	queued := f.start(t, context.Background())
	f.waitLoad(t, callctx.Load{InFlight: 2, Limit: 2, Queued: 1})
	drained := make(chan error, 1)
	go func() { drained <- f.handler.Drain(context.Background()) }()
	refused := [2]string{string(callctx.NotRun), string(callctx.Draining)}
	require.Equal(t, refused, <-queued)
	require.Equal(t, refused, <-f.start(t, context.Background()))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, f.handler.Drain(ended), context.Canceled, "two calls are in flight")
	close(b.release)
	require.NoError(t, <-drained)
	for _, done := range running {
		require.Equal(t, string(callctx.Answered), (<-done)[0])
	}
}

// Guards against calls to a backend server that is silent, draining, gone or of another service.
func TestBackendStates(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: time.Millisecond})
	send := func() [2]string { return <-f.start(t, context.Background()) }
	require.Equal(t, string(callctx.Answered), send()[0])
	f.handler.Tick(time.Now().Add(announcementTimeout - time.Second))
	require.Equal(t, string(callctx.Answered), send()[0], "the announcement must still be valid")
	f.handler.Tick(time.Now().Add(announcementTimeout))
	require.Equal(t, [2]string{string(callctx.NotRun), string(callctx.NoEndpoint)}, send())
	require.Equal(t, membership.EndpointGone, f.handler.Backend().State)
	f.announce(f.backend.Address(), membership.EndpointReady)
	require.Equal(t, string(callctx.Answered), send()[0])
	f.announce(f.backend.Address(), membership.EndpointDraining)
	require.Equal(t, [2]string{string(callctx.NotRun), string(callctx.Draining)}, send())
	f.announce(f.backend.Address(), membership.EndpointReady)
	require.Equal(t, string(callctx.Answered), send()[0], "announced as ready again")
	f.announce(f.backend.Address(), membership.EndpointGone)
	require.Equal(t, [2]string{string(callctx.NotRun), string(callctx.NoEndpoint)}, send())
	f.handler.SetBackend(membership.Endpoint{Service: "records", Address: f.backend.Address(), Slots: 1, State: membership.EndpointReady})
	require.Equal(t, [2]string{string(callctx.NotRun), string(callctx.UnknownService)}, send())
}

// Guards against a caller that forges its rank, and against unbounded chains of calls.
func TestRankAndDepth(t *testing.T) {
	b := newBlockingBackend(t)
	close(b.release)
	f := newHandlerFixture(t)
	f.announce(b.address, membership.EndpointReady)
	r := f.request(t, "order")
	f.do(t, r)
	require.Equal(t, "urgent", <-b.arrivedRanks)
	r = f.request(t, "order")
	forged := callctx.NewSigner([][]byte{[]byte("other key")})
	r.Header.Set(callctx.HeaderContext, forged.Encode(callctx.Context{Rank: "urgent", Depth: 1, Deadline: time.Now().Add(time.Minute)}))
	response, _ := f.do(t, r)
	requireOutcome(t, response, callctx.Answered, "")
	require.Equal(t, "bulk", <-b.arrivedRanks, "the rank of the route")
	require.EqualValues(t, 1, f.metrics.Values()["inbound_context_ignored"])
	r = f.request(t, "order")
	r.Header.Set(callctx.HeaderContext, testSigner.Encode(callctx.Context{Rank: "urgent", Depth: callctx.MaxDepth + 1, Deadline: time.Now().Add(time.Minute)}))
	response, _ = f.do(t, r)
	requireOutcome(t, response, callctx.NotRun, callctx.TooDeep)
}

// Guards against a resend that runs without a fence, and against an execution after the final refusal of a resend.
func TestHandler_ResendWithLookup(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: time.Millisecond})
	counted := &rpc.Counters{}
	server := rpc.NewServer(counted)
	f.handler.RegisterRPC(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(listener, nil)
	defer server.Close()
	client := rpc.NewClient(counted, nil)
	defer client.Close()
	lookup := func(id string, ballot execution.Ballot) execution.LookupResult {
		var result execution.LookupResult
		require.NoError(t, client.Call(context.Background(), listener.Addr().String(), LookupMethod, LookupParams{Member: f.handler.options.Self.ID, RequestID: id, Ballot: ballot}, &result))
		return result
	}
	resend := func(id string, ballot execution.Ballot) *http.Response {
		r := f.request(t, "order")
		r.Header.Set(callctx.HeaderRequestID, id)
		r.Header.Set(callctx.HeaderAttempt, "2")
		r.Header.Set(callctx.HeaderBallot, ballot.String())
		response, _ := f.do(t, r)
		return response
	}
	id, ballot := callctx.NewRequestID(), execution.NewBallot(time.Now(), "node-2")
	// A node that now has the address of another node must not respond to look-ups for that node.
	err = client.Call(context.Background(), listener.Addr().String(), LookupMethod, LookupParams{Member: "another", RequestID: id, Ballot: ballot}, nil)
	require.Equal(t, apierror.NotFound, apierror.KindOf(err))
	requireOutcome(t, resend(id, execution.Ballot{}), callctx.Unknown, callctx.Unresolved)
	requireOutcome(t, resend(id, ballot), callctx.Unknown, callctx.Unresolved)
	require.Equal(t, execution.Fencing, lookup(id, ballot).State)
	requireOutcome(t, resend(id, ballot), callctx.Answered, "")
	result := lookup(id, execution.NewBallot(time.Now(), "node-3"))
	require.Equal(t, http.StatusOK, result.Response.Status)
	require.Equal(t, 1, f.backend.Executions()[id])

	id = callctx.NewRequestID()
	require.Equal(t, execution.Fencing, lookup(id, ballot).State)
	f.announce(f.backend.Address(), membership.EndpointDraining)
	requireOutcome(t, resend(id, ballot), callctx.NotRun, callctx.Draining)
	result = lookup(id, execution.NewBallot(time.Now(), "node-3"))
	require.Equal(t, execution.Done, result.State)
	require.Equal(t, string(callctx.NotRun), result.Response.Header.Get(callctx.HeaderOutcome))
	require.Zero(t, f.backend.Executions()[id])
}
