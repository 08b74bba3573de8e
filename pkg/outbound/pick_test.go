package outbound

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// pickFixture is a handler on a virtual clock, with members that receive no calls.
type pickFixture struct {
	*fixture
	clock time.Time
	call  *call
}

func newPickFixture(t *testing.T, members int) *pickFixture {
	ch := &pickFixture{fixture: newFixture(t), clock: time.Now(), call: &call{route: &testSnapshot().Routes[2]}}
	random := rand.New(rand.NewPCG(1, 2))
	ch.handler.random = random.IntN
	ch.handler.now = func() time.Time { return ch.clock }
	for i := range members {
		ch.members = append(ch.members, ch.member(i, ""))
	}
	ch.pick() // creates the endpoint states
	ch.clock = ch.clock.Add(slowStartDuration)
	return ch
}

func (ch *pickFixture) pick() string {
	if to := ch.handler.pick(ch.call, ch.members, nil); to != nil {
		return to.member.ID
	}
	return ""
}

func (ch *pickFixture) share(id string, picks int) float64 {
	count := 0
	for range picks {
		if ch.pick() == id {
			count++
		}
	}
	return float64(count) / float64(picks)
}

// Guards against urgent calls being sent to a backend server in its cold start, because the queues of less urgent calls
// make all others appear more loaded.
func TestUrgentCallsAvoidWarming(t *testing.T) {
	ch := newPickFixture(t, 3)
	ch.call.snapshot = testSnapshot()
	ranks := ch.call.snapshot.Ranks
	ch.members[0].Endpoint.State = membership.EndpointWarming
	for i := range ch.members {
		ch.state(i).recordLoad(callctx.Load{InFlight: 10, Limit: 10, Queued: 100}, ch.clock)
	}
	ch.state(0).recordLoad(callctx.Load{Limit: 3}, ch.clock)
	ch.call.rank = ranks[0].Name
	require.Zero(t, ch.share(ch.members[0].ID, 100))
	ch.call.rank = ranks[len(ranks)-1].Name
	require.Positive(t, ch.share(ch.members[0].ID, 100), "calls of the least urgent rank warm it up")
	ch.members = ch.members[:1]
	ch.call.rank = ranks[0].Name
	require.Equal(t, 1.0, ch.share(ch.members[0].ID, 10), "it is used if there is no other")
}

func (ch *pickFixture) state(i int) *endpoint {
	return ch.handler.endpoints.get(keyOf(&ch.members[i]), ch.clock)
}

func (ch *pickFixture) report(i, inFlight, limit, queued int) {
	ch.state(i).recordLoad(callctx.Load{InFlight: inFlight, Limit: limit, Queued: queued}, ch.clock)
}

func (ch *pickFixture) fail(i, times int) {
	for range times {
		ch.handler.recordHealth("tracker", &candidate{member: &ch.members[i], state: ch.state(i)}, failure)
	}
}

// Guards against selecting the more loaded of two endpoints.
func TestPickPrefersLowerLoad(t *testing.T) {
	ch := newPickFixture(t, 2)
	ch.report(0, 8, 10, 0)
	ch.report(1, 2, 10, 0)
	require.Equal(t, "node-1", ch.pick())
	for range 7 {
		ch.state(1).inFlight.Add(1) // own calls count until the next load report
	}
	require.Equal(t, "node-0", ch.pick())
	ch.report(0, 0, 0, 0)
	require.Equal(t, "node-1", ch.pick(), "an endpoint with limit 0 accepts no calls")
}

// Guards against using remote or suspect endpoints while the local data centre has capacity, and against queueing calls in
// the local data centre while another one has capacity.
func TestPickByDistance(t *testing.T) {
	ch := newPickFixture(t, 4)
	ch.members[1].DataCentre = "nizwa"
	ch.members[2].Region = "drakensberg"
	ch.members[3].Status = membership.Suspect
	require.Equal(t, 1.0, ch.share("node-0", 50))
	ch.report(0, 10, 10, 3)
	require.Equal(t, 1.0, ch.share("node-1", 50))
	ch.report(1, 10, 10, 3)
	require.Equal(t, 1.0, ch.share("node-2", 50))
	ch.report(2, 10, 10, 3)
	require.Equal(t, 1.0, ch.share("node-0", 50), "if all endpoints are full, calls queue in the local data centre")
	ch.members = ch.members[3:]
	require.Equal(t, "node-3", ch.pick())
}

// Guards against a new endpoint receiving its full share of calls during its cold start.
func TestSlowStart(t *testing.T) {
	ch := newPickFixture(t, 2)
	for i := range 2 {
		ch.report(i, 3, 10, 0)
	}
	ch.members[1].Incarnation++ // a new incarnation is a new endpoint
	ch.state(1)
	require.Zero(t, ch.share("node-1", 50))
	ch.clock = ch.clock.Add(slowStartDuration)
	require.Positive(t, ch.share("node-1", 50))
}

// Guards against ejections that leave a service without endpoints, never end, or do not back off.
func TestEjection(t *testing.T) {
	ch := newPickFixture(t, 4)
	ch.fail(0, failureThreshold-1)
	require.Positive(t, ch.share("node-0", 100))
	ch.fail(0, 1)
	require.Zero(t, ch.share("node-0", 100))
	ch.fail(1, failureThreshold)
	ch.fail(2, failureThreshold)
	require.Zero(t, ch.share("node-1", 100))
	ch.handler.Tick(ch.clock)
	require.Equal(t, int64(2), ch.metrics.Values()["outbound_ejected"])
	require.Positive(t, ch.share("node-2", 100), "at most half of the service is ejected")
	require.Positive(t, ch.metrics.Values()["outbound_ejection_capped"])

	ch.clock = ch.clock.Add(ejectionBase + slowStartDuration)
	var events []explain.Event
	ch.handler.options.Explain = func(e explain.Event) { events = append(events, e) }
	ch.handler.Tick(ch.clock)
	ch.handler.Tick(ch.clock)
	require.Len(t, events, 2, "the end of each ejection is reported once")
	require.Positive(t, ch.share("node-0", 100))
	ch.fail(0, 1)
	ch.clock = ch.clock.Add(ejectionBase)
	require.Zero(t, ch.share("node-0", 100), "the second ejection lasts longer")
	ch.clock = ch.clock.Add(ejectionBase + slowStartDuration)
	require.Positive(t, ch.share("node-0", 100))
}

// Guards against refusals due to overload ejecting a working endpoint.
func TestRefusalsDoNotEject(t *testing.T) {
	f := newFixture(t)
	f.add(refuse(callctx.NotRun, callctx.Overloaded))
	f.add(respond)
	for range 3 * failureThreshold {
		f.call(http.MethodPost, "/orders", "")
	}
	require.Zero(t, f.metrics.Values()["outbound_ejection"])
}

// Guards against sending first attempts to a node whose presence record is younger than the request id.
func TestPickAvoidsNodesYoungerThanTheID(t *testing.T) {
	ch := newPickFixture(t, 2)
	ch.call = &call{route: &testSnapshot().Routes[1], idTime: ch.clock}
	ch.members[1].Incarnation = uint64(ch.clock.Add(-time.Second).UnixMilli())
	require.Equal(t, 1.0, ch.share("node-0", 50))
	ch.members = ch.members[1:]
	require.Equal(t, "node-1", ch.pick(), "if there is no other node, the recently started node gets the call and decides itself")
}

// hop is one level of a call chain. Every level sends its calls through a Handler.
type hop struct {
	server *httptest.Server
	next   *fixture // nil at the last level

	mu          sync.Mutex
	random      *rand.Rand
	failureRate float64
	calls       int
}

func (h *hop) serve(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.calls++
	failed := h.random.Float64() < h.failureRate
	h.mu.Unlock()
	n := &scriptedNode{member: membership.Member{ID: "node-" + r.Header.Get(callctx.HeaderIncarnation)[3:]}}
	noRetry := ""
	if h.next != nil {
		in := httptest.NewRequest(http.MethodPost, "/orders", nil)
		in.Header.Set(callctx.HeaderContext, r.Header.Get(callctx.HeaderContext))
		out := httptest.NewRecorder()
		h.next.handler.ServeHTTP(out, in)
		failed = out.Code != http.StatusOK
		noRetry = out.Header().Get(callctx.HeaderNoRetry)
	}
	if !failed {
		respond(w, r, n)
		return
	}
	// Worst case: each level reports the refusal of the next level as its own, so that the previous level may retry.
	if noRetry != "" {
		w.Header().Set(callctx.HeaderNoRetry, noRetry)
	}
	refuse(callctx.NotRun, callctx.Overloaded)(w, r, n)
}

// Guards against retry amplification along a call chain: without budgets, three attempts on each of 10 hops would turn
// one call into 3^10 = 59,049 calls.
func TestRetryAmplificationOverTenHops(t *testing.T) {
	const rootCalls = 300
	for _, failureRate := range []float64{0.1, 0.5, 1} {
		t.Run(fmt.Sprint(failureRate), func(t *testing.T) {
			last := &hop{random: rand.New(rand.NewPCG(7, 7)), failureRate: failureRate}
			var chain *fixture
			for level := callctx.MaxDepth; level >= 1; level-- {
				h := last
				if level < callctx.MaxDepth {
					h = &hop{random: rand.New(rand.NewPCG(7, 8)), next: chain}
				}
				h.server = httptest.NewServer(http.HandlerFunc(h.serve))
				t.Cleanup(h.server.Close)
				chain = newFixture(t)
				for i := range 3 {
					chain.members = append(chain.members, chain.member(i, h.server.Listener.Addr().String()))
				}
			}
			for range rootCalls {
				chain.call(http.MethodPost, "/orders", "")
			}
			factor := float64(last.calls) / rootCalls
			t.Logf("failure rate %.1f: %d calls at the last level for %d root calls, factor %.2f", failureRate, last.calls, rootCalls, factor)
			floor := float64(callctx.MaxDepth) * retryFloorTokens / rootCalls
			require.LessOrEqual(t, factor, math.Pow(1+retryRatio, callctx.MaxDepth)+floor)
		})
	}
}

// Guards against hedges without spare capacity or budget, and against returning the slower response.
func TestHedge(t *testing.T) {
	setup := func(t *testing.T, load string) (f *fixture, slow, fast *scriptedNode, release chan struct{}) {
		f = newFixture(t)
		release = make(chan struct{})
		entered := make(chan struct{})
		slow = f.add(func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			close(entered)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		fast = f.add(func(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
			<-entered // otherwise the hedge could win and cancel the first attempt before it arrives
			respond(w, r, n)
		})
		// Selects the slow node first; with one remaining candidate no random number is used.
		f.handler.random = func(int) int { return 0 }
		for range minHedgeSamples {
			f.handler.latencies.add("hedged", time.Millisecond)
		}
		report, err := callctx.ParseLoad(load)
		require.NoError(t, err)
		f.handler.endpoints.get(keyOf(&fast.member), time.Now()).recordLoad(report, time.Now().Add(time.Hour))
		return f, slow, fast, release
	}
	f, slow, fast, release := setup(t, "4/10/0")
	requireOutcome(t, f.call(http.MethodGet, "/hedged", ""), callctx.Answered, "")
	require.Equal(t, 1, slow.calls())
	require.Equal(t, 1, fast.calls())
	require.Equal(t, int64(1), f.metrics.Values()["outbound_hedge"])
	close(release)

	for name, load := range map[string]string{"capacity": "9/10/0", "budget": "4/10/0"} {
		f, _, fast, release := setup(t, load)
		if name == "budget" {
			require.True(t, f.handler.hedgeBudgets.forRank("urgent").tryWithdraw())
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/hedged", nil))
		}()
		denied := `outbound_hedge_denied{reason="` + name + `"}`
		require.Eventually(t, func() bool { return f.metrics.Values()[denied] == 1 }, time.Minute, time.Millisecond)
		require.Zero(t, fast.calls(), name)
		close(release)
		<-ended
	}
}

func TestQuantileEstimatorConverges(t *testing.T) {
	q := &quantileEstimator{}
	random := rand.New(rand.NewPCG(3, 4))
	for range 20_000 {
		q.add(time.Duration(random.Float64() * float64(time.Second)))
	}
	require.InDelta(t, 0.95, q.estimate, 0.05)
}
