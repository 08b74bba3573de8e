package inbound

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	standin "github.com/laburnumcleat/laburnumcleat/standin/backend"
)

var testSigner = callctx.NewSigner([][]byte{[]byte("fleet key")})

// fixture is a Handler with a stand-in backend server, served over HTTP.
type fixture struct {
	handler *Handler
	backend *standin.Server
	server  *httptest.Server
	metrics *metrics.Registry
	self    membership.Member
}

func testSnapshot() *config.Snapshot {
	return &config.Snapshot{
		Ranks: []config.Rank{
			{Name: "urgent", Priority: 0, MinShare: 0.5, TargetMS: 5000},
			{Name: "bulk", Priority: 1, MinShare: 0.1, TargetMS: 5000},
		},
		Routes:   []config.Route{{Name: "all", PathPrefix: "/", Service: "tracker", Rank: "bulk", TimeoutMS: 20000}},
		Services: map[string]config.Service{"tracker": {Name: "tracker", QueueLimit: 50, InitialLimit: 2}},
	}
}

func newFixture(t *testing.T, o standin.Options) *fixture {
	t.Helper()
	o.Service = "tracker"
	server, err := standin.New(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, time.Minute) }()
	t.Cleanup(func() {
		cancel()
		server.Kill()
		<-ended
	})
	f := newHandlerFixture(t)
	f.backend = server
	f.announce(server.Address(), membership.EndpointReady)
	return f
}

func newHandlerFixture(t *testing.T) *fixture {
	t.Helper()
	now := time.Now()
	f := &fixture{
		metrics: metrics.New(),
		self:    membership.Member{ID: "node-1", Incarnation: uint64(now.Add(-time.Hour).UnixMilli())},
	}
	f.handler = New(Options{
		Self:      f.self,
		Snapshot:  testSnapshot,
		Window:    func() (time.Time, time.Time, bool) { return now.Add(-time.Hour), now, true },
		Retention: 24 * time.Hour,
		Signer:    testSigner,
		Metrics:   f.metrics,
	})
	f.server = httptest.NewServer(f.handler)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) announce(address string, state membership.EndpointState) {
	f.handler.SetBackend(membership.Endpoint{Service: "tracker", Address: address, Slots: 10, Connections: 20, State: state})
}

// request builds attempt 1 of a non-idempotent call.
func (f *fixture) request(t *testing.T, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.server.URL+"/orders", strings.NewReader(body))
	require.NoError(t, err)
	id := callctx.NewRequestID()
	r.Header.Set(callctx.HeaderRequestID, id)
	r.Header.Set(callctx.HeaderAttempt, "1")
	r.Header.Set(callctx.HeaderTimeoutMS, "20000")
	r.Header.Set(callctx.HeaderService, "tracker")
	r.Header.Set(callctx.HeaderIncarnation, strconv.FormatUint(f.self.Incarnation, 10))
	r.Header.Set(callctx.HeaderContext, testSigner.Encode(callctx.Context{
		RequestID: id, Rank: "urgent", Deadline: time.Now().Add(20 * time.Second), Depth: 1,
	}))
	return r
}

func (f *fixture) do(t *testing.T, r *http.Request) (*http.Response, []byte) {
	t.Helper()
	response, err := f.server.Client().Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, body
}

func requireOutcome(t *testing.T, response *http.Response, outcome callctx.Outcome, reason callctx.Reason) {
	t.Helper()
	require.Equal(t, string(outcome), response.Header.Get(callctx.HeaderOutcome))
	require.Equal(t, string(reason), response.Header.Get(callctx.HeaderReason))
	if outcome != callctx.Answered {
		require.Equal(t, callctx.Status(outcome, reason), response.StatusCode)
	}
}

// Guards against a response that reaches the caller incomplete, corrupted or without the headers of the node.
func TestHandler_AnswersCall(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: time.Millisecond})
	r := f.request(t, "one tank")
	response, body := f.do(t, r)
	requireOutcome(t, response, callctx.Answered, "")
	require.Equal(t, "node-1", response.Header.Get(callctx.HeaderNode))
	load, err := callctx.ParseLoad(response.Header.Get(callctx.HeaderLoad))
	require.NoError(t, err)
	require.Zero(t, load.InFlight)
	var reply standin.Reply
	require.NoError(t, json.Unmarshal(body, &reply))
	require.Equal(t, r.Header.Get(callctx.HeaderRequestID), reply.RequestID)
	require.Equal(t, 1, f.backend.Executions()[reply.RequestID])
}

// Guards against a second execution when the same id arrives again as attempt 1, and against a kept response that is lost.
func TestHandler_RepeatedFirstAttemptDoesNotRun(t *testing.T) {
	f := newFixture(t, standin.Options{ServiceTime: time.Millisecond})
	first := f.request(t, "order")
	_, body := f.do(t, first)
	again := f.request(t, "order")
	id := first.Header.Get(callctx.HeaderRequestID)
	again.Header.Set(callctx.HeaderRequestID, id)
	response, _ := f.do(t, again)
	requireOutcome(t, response, callctx.Unknown, callctx.AlreadyDone)
	result := f.handler.Lookup(LookupParams{RequestID: id, Ballot: execution.NewBallot(time.Now(), "node-2")})
	require.Equal(t, execution.Done, result.State)
	require.Equal(t, body, result.Response.Body)
	require.Equal(t, 1, f.backend.Executions()[id])
}

// Checks the invariants G4 to G6 under overload: every response belongs to its request, an answered call has run once, and a
// refused call has not run.
func TestHandler_OutcomesAreCorrectUnderOverload(t *testing.T) {
	const callers, callsEach = 48, 20
	f := newFixture(t, standin.Options{ServiceTime: 2 * time.Millisecond, Slots: 4, Connections: 4})
	f.handler.SetBackend(membership.Endpoint{Service: "tracker", Address: f.backend.Address(), Slots: 4, Connections: 4, State: membership.EndpointReady})
	outcomes := make(chan [2]string, callers*callsEach)
	f.server.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = callers
	for caller := range callers {
		go func() {
			for call := range callsEach {
				body := strconv.Itoa(caller*callsEach + call)
				r := f.request(t, body)
				id := r.Header.Get(callctx.HeaderRequestID)
				r.Header.Set(callctx.HeaderTimeoutMS, strconv.Itoa(5+10*(call%3)))
				response, err := f.server.Client().Do(r)
				if err != nil {
					outcomes <- [2]string{id, err.Error()}
					continue
				}
				outcome := response.Header.Get(callctx.HeaderOutcome)
				if outcome == string(callctx.Answered) && response.Header.Get(standin.DigestHeader) != fmt.Sprintf("%x", sha256.Sum256([]byte(body))) {
					outcome = "misdelivered"
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				outcomes <- [2]string{id, outcome}
			}
		}()
	}
	counts := map[string]int{}
	ran := map[string]int{string(callctx.Answered): 1, string(callctx.NotRun): 0}
	for range callers * callsEach {
		o := <-outcomes
		counts[o[1]]++
		runs := f.backend.Executions()[o[0]]
		if want, decided := ran[o[1]]; decided {
			require.Equal(t, want, runs, "%v", o)
		} else {
			require.Equal(t, string(callctx.Unknown), o[1])
			require.LessOrEqual(t, runs, 1)
		}
	}
	t.Log(counts, f.backend.Stats())
	require.Positive(t, counts[string(callctx.NotRun)], "the test must cause overload")
	require.Zero(t, f.handler.load().InFlight)
	require.Zero(t, f.handler.load().Queued)
}
