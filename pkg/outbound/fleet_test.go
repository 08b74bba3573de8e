package outbound

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	"github.com/laburnumcleat/laburnumcleat/standin/backend"
	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

// fullNode is a node with its inbound and outbound handlers and its backend server.
type fullNode struct {
	member   membership.Member
	backend  *backend.Server
	inbound  *inbound.Handler
	outbound *Handler
	calls    *httptest.Server // serves calls from other nodes
	callers  *httptest.Server
	metrics  *metrics.Registry
}

// fleet is a set of full nodes that serve one service, with a fixed membership table and roster.
type fleet struct {
	t       *testing.T
	nodes   []*fullNode
	members []membership.Member
	roster  []presence.Incarnation
}

func newFleet(t *testing.T, size int, faults backend.Faults) *fleet {
	f := &fleet{t: t}
	for i := range size {
		f.addNode(i, faults)
	}
	return f
}

func (f *fleet) addNode(i int, faults backend.Faults) {
	t := f.t
	started := time.Now().Add(-time.Hour)
	n := &fullNode{metrics: metrics.New()}
	var err error
	n.backend, err = backend.New(backend.Options{Service: "tracker", ServiceTime: time.Millisecond, Slots: 50, Seed: uint64(i), Faults: faults})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.backend.Run(ctx, time.Minute) }()
	control, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n.member = membership.Member{
		ID: fmt.Sprintf("node-%d", i), Region: "muscat", DataCentre: "seeb", Status: membership.Alive,
		Incarnation: uint64(started.UnixMilli()), ControlAddress: control.Addr().String(),
		Endpoint: &membership.Endpoint{Service: "tracker", Address: n.backend.Address(), Slots: 50, Connections: 100, State: membership.EndpointReady},
	}
	n.inbound = inbound.New(inbound.Options{
		Self: n.member, Snapshot: testSnapshot, Signer: testSigner, Metrics: n.metrics, Retention: 24 * time.Hour,
		Window: func() (time.Time, time.Time, bool) { return started, time.Now(), true },
	})
	n.inbound.SetBackend(*n.member.Endpoint)
	n.calls = httptest.NewServer(n.inbound)
	n.member.CallAddress = n.calls.Listener.Addr().String()
	server, client := rpc.NewServer(&rpc.Counters{}), rpc.NewClient(&rpc.Counters{}, nil)
	n.inbound.RegisterRPC(server)
	go func() { _ = server.Serve(control, nil) }()
	n.outbound = New(Options{
		Self: n.member, Snapshot: testSnapshot, Local: n.inbound, Client: client, Signer: testSigner, Metrics: n.metrics,
		Endpoints: func(string) []membership.Member { return append([]membership.Member(nil), f.members...) },
		Roster: func(context.Context, string, time.Time) ([]presence.Incarnation, error) {
			return f.roster, nil
		},
	})
	n.callers = httptest.NewServer(n.outbound)
	f.nodes = append(f.nodes, n)
	f.members = append(f.members, n.member)
	f.roster = append(f.roster, presence.Incarnation{Announced: started, Record: presence.Record{
		ID: n.member.ID, Incarnation: n.member.Incarnation, ControlAddress: n.member.ControlAddress, CallAddress: n.member.CallAddress,
	}})
	t.Cleanup(func() {
		n.callers.Close()
		n.calls.Close()
		client.Close()
		server.Close()
		cancel()
		n.backend.Kill()
		<-ended
	})
}

func (f *fleet) callers() []string {
	addresses := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		addresses[i] = n.callers.Listener.Addr().String()
	}
	return addresses
}

// executions waits until no call is in flight and returns the number of executions per request id over all backend
// servers.
func (f *fleet) executions() map[string]int {
	total := make(map[string]int)
	for _, n := range f.nodes {
		require.NoError(f.t, n.outbound.Drain(context.Background()))
	}
	for _, n := range f.nodes {
		require.NoError(f.t, n.inbound.Drain(context.Background()))
		for id, count := range n.backend.Executions() {
			total[id] += count
		}
	}
	return total
}

// send sends one attempt of a non-idempotent call through a node.
func (f *fleet) send(n *fullNode, id, attempt string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "/orders", strings.NewReader("x"))
	r.Header.Set(callctx.HeaderRequestID, id)
	r.Header.Set(callctx.HeaderAttempt, attempt)
	w := httptest.NewRecorder()
	n.outbound.ServeHTTP(w, r)
	return w
}

func (f *fleet) checkCounters() {
	for _, n := range f.nodes {
		values, sum := n.metrics.Values(), int64(0)
		for name, value := range values {
			if strings.HasPrefix(name, "outbound_outcome{") {
				sum += value
			}
		}
		require.Equal(f.t, values["outbound_calls"], sum)
	}
}

// Guards against incomplete responses passed off as successes, calls without exactly one outcome, and non-idempotent calls
// that run twice. Backend servers truncate responses, close connections and omit the length, callers and nodes lose
// their connections, one node's call interface fails, and clients resend lost calls through other nodes.
func TestFailureMix(t *testing.T) {
	f := newFleet(t, 4, backend.Faults{Truncate: 0.02, Close: 0.02, NoLength: 0.02})
	streams := []load.Stream{
		{Name: "orders", Rank: "urgent", Method: "POST", Path: "/orders", BodyBytes: 200, Rate: 300, DurationMS: 2000, TimeoutMS: 8000, TargetMS: 1000},
		{Name: "views", Rank: "bulk", Method: "GET", Path: "/views", Idempotent: true, Rate: 150, DurationMS: 2000, TimeoutMS: 8000, TargetMS: 1000},
		{Name: "long", Rank: "urgent", Method: "POST", Path: "/orders", Headers: map[string]string{backend.SizeHeader: "1500000"}, Rate: 5, DurationMS: 2000, TimeoutMS: 8000, TargetMS: 1000},
		{Name: "hedged", Rank: "urgent", Method: "GET", Path: "/hedged", Idempotent: true, Rate: 50, DurationMS: 2000, TimeoutMS: 8000, TargetMS: 1000},
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			f.nodes[i%len(f.nodes)].callers.CloseClientConnections()
			f.nodes[(i+1)%len(f.nodes)].calls.CloseClientConnections()
			if i == 10 {
				f.nodes[0].calls.Listener.Close()
			}
		}
	}()
	records, err := load.Run(context.Background(), load.Options{Nodes: f.callers(), Streams: streams, Seed: 42})
	close(stop)
	<-stopped
	require.NoError(t, err)
	executions := f.executions()
	verification := load.Verify(records, executions)
	t.Logf("%s", verification)
	t.Logf("\n%s", load.Summarise(records))
	resends := 0
	for i := range records {
		for _, send := range records[i].Sends {
			if send.Attempt > 1 {
				resends++
			}
		}
	}
	t.Logf("resends=%d", resends)
	require.True(t, verification.Clean(), verification.String())
	require.Zero(t, verification.Stray)
	require.Positive(t, resends, "the faults must cause resends")
	f.checkCounters()
}

// Guards against a resend that runs the call a second time, and against a refused resend of a call whose first
// attempt has not run.
func TestResendThroughAnotherNode(t *testing.T) {
	f := newFleet(t, 3, backend.Faults{})
	id := callctx.NewRequestID()
	first := f.send(f.nodes[0], id, "1")
	require.Equal(t, 200, first.Code, first.Body.String())
	resent := f.send(f.nodes[1], id, "2")
	require.Equal(t, first.Body.String(), resent.Body.String(), "the stored response")

	unsentID := callctx.NewRequestID()
	ran := f.send(f.nodes[2], unsentID, "2")
	require.Equal(t, string(callctx.Answered), ran.Header().Get(callctx.HeaderOutcome), ran.Body.String())
	require.Equal(t, ran.Body.String(), f.send(f.nodes[0], unsentID, "3").Body.String())
	require.Equal(t, map[string]int{id: 1, unsentID: 1}, f.executions())
}

// idWithAge returns an id of the given age, so that its resolution does not wait for the roster.
func idWithAge(age time.Duration, random *rand.Rand) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().Add(-age).UnixMilli())<<16|random.Uint64()&0xfff|0x7000)
	binary.BigEndian.PutUint64(id[8:], random.Uint64()&(1<<62-1)|1<<63)
	return id.String()
}

// Guards against a non-idempotent call that runs twice because its first attempt and several resends race through different
// nodes while backend servers drop responses.
func TestConcurrentResendsRunAtMostOnce(t *testing.T) {
	const ids = 150
	f := newFleet(t, 3, backend.Faults{Close: 0.2})
	random := rand.New(rand.NewPCG(11, 12))
	var mu sync.Mutex
	answeredBodies := make(map[string]map[string]bool) // response bodies of the answered attempts by id
	var group errgroup.Group
	group.SetLimit(40)
	for range ids {
		id := idWithAge(10*time.Second, random)
		mu.Lock()
		answeredBodies[id] = make(map[string]bool)
		mu.Unlock()
		for attempt := 1; attempt <= 4; attempt++ {
			n := f.nodes[random.IntN(len(f.nodes))]
			group.Go(func() error {
				w := f.send(n, id, strconv.Itoa(attempt))
				if w.Header().Get(callctx.HeaderOutcome) == string(callctx.Answered) {
					mu.Lock()
					defer mu.Unlock()
					answeredBodies[id][w.Body.String()] = true
				}
				return nil
			})
		}
	}
	require.NoError(t, group.Wait())
	executions, answered := f.executions(), 0
	for id, bodies := range answeredBodies {
		require.LessOrEqual(t, executions[id], 1, "id %s ran twice", id)
		require.LessOrEqual(t, len(bodies), 1, "id %s has two responses", id)
		require.GreaterOrEqual(t, executions[id], len(bodies), "id %s was answered without an execution", id)
		answered += len(bodies)
	}
	t.Logf("%d of %d ids answered, %d ran", answered, ids, len(executions))
	require.Positive(t, answered)
}
