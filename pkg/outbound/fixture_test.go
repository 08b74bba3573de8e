package outbound

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
)

var testSigner = callctx.NewSigner([][]byte{[]byte("fleet key")})

const testTemplate = `{"body": {
	"ranks": [{"name": "urgent", "target_ms": 5000, "min_share": 0.5}, {"name": "bulk", "priority": 1, "target_ms": 5000}],
	"services": [{"name": "tracker", "queue_limit": 50, "initial_limit": 10}],
	"routes": [
		{"name": "hedged", "path_prefix": "/hedged", "service": "tracker", "rank": "urgent", "timeout_ms": 20000, "idempotent": true, "hedge": true},
		{"name": "orders", "path_prefix": "/orders", "service": "tracker", "rank": "urgent", "timeout_ms": 20000},
		{"name": "views", "path_prefix": "/views", "service": "tracker", "rank": "bulk", "timeout_ms": 20000, "idempotent": true}
	]}}`

// testSnapshot returns the snapshot that testTemplate gives for one team.
var testSnapshot = sync.OnceValue(func() *config.Snapshot {
	state := config.NewState()
	for i, r := range []config.Record{
		{ID: callctx.NewRequestID(), Verb: config.Publish, Entity: config.Entity{Kind: config.KindTemplate, Name: "t"}, Payload: json.RawMessage(testTemplate), Author: "test"},
		{ID: callctx.NewRequestID(), Verb: config.Publish, Entity: config.ParametersEntity("team", "t"), Payload: json.RawMessage(`{"values": {}}`), Author: "test"},
	} {
		data, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		var result config.Result
		if state, result = config.Apply(state, int64(i+1), data); result.Outcome != config.Accepted {
			panic(fmt.Sprintf("record %d: %+v", i, result))
		}
	}
	return state.Snapshot()
})

// scriptedNode is a scripted inbound node.
type scriptedNode struct {
	member membership.Member
	server *httptest.Server

	mu       sync.Mutex
	requests []http.Header
}

func (n *scriptedNode) calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.requests)
}

func (n *scriptedNode) header(i int) http.Header {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests[i]
}

// fixture is an outbound handler with scripted inbound nodes.
type fixture struct {
	t              *testing.T
	handler        *Handler
	metrics        *metrics.Registry
	members        []membership.Member
	roster         []presence.Incarnation
	rosterReadable bool
	lookups        map[string]execution.LookupResult // by control address; nodes without an entry are unreachable
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, metrics: metrics.New(), rosterReadable: true, lookups: make(map[string]execution.LookupResult)}
	f.handler = New(Options{
		Self:      membership.Member{ID: "self", Region: "muscat", DataCentre: "seeb"},
		Snapshot:  testSnapshot,
		Endpoints: func(string) []membership.Member { return append([]membership.Member(nil), f.members...) },
		Roster: func(context.Context, string, time.Time) ([]presence.Incarnation, error) {
			if !f.rosterReadable {
				return nil, errors.New("log service is unavailable")
			}
			return f.roster, nil
		},
		Signer:  testSigner,
		Metrics: f.metrics,
	})
	f.handler.lookup = func(_ context.Context, address string, _ inbound.LookupParams) (execution.LookupResult, error) {
		if result, ok := f.lookups[address]; ok {
			return result, nil
		}
		return execution.LookupResult{}, errors.New("node is unreachable")
	}
	return f
}

// add starts an inbound node in the handler's data centre.
func (f *fixture) add(handler func(w http.ResponseWriter, r *http.Request, n *scriptedNode)) *scriptedNode {
	n := &scriptedNode{}
	n.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		n.requests = append(n.requests, r.Header.Clone())
		n.mu.Unlock()
		handler(w, r, n)
	}))
	f.t.Cleanup(n.server.Close)
	n.member = f.member(len(f.members), n.server.Listener.Addr().String())
	f.members = append(f.members, n.member)
	return n
}

func (f *fixture) member(i int, address string) membership.Member {
	return membership.Member{
		ID: fmt.Sprintf("node-%d", i), Region: "muscat", DataCentre: "seeb", CallAddress: address,
		ControlAddress: fmt.Sprintf("control-%d", i), Status: membership.Alive, Incarnation: uint64(1000 + i),
		Endpoint: &membership.Endpoint{Service: "tracker", Slots: 10, State: membership.EndpointReady},
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func respond(w http.ResponseWriter, r *http.Request, n *scriptedNode) {
	w.Header().Set(callctx.HeaderOutcome, string(callctx.Answered))
	w.Header().Set(callctx.HeaderRequestID, r.Header.Get(callctx.HeaderRequestID))
	w.Header().Set(callctx.HeaderNode, n.member.ID)
	fmt.Fprint(w, "response of "+n.member.ID)
}

func refuse(outcome callctx.Outcome, reason callctx.Reason) func(http.ResponseWriter, *http.Request, *scriptedNode) {
	return func(w http.ResponseWriter, _ *http.Request, n *scriptedNode) {
		w.Header().Set(callctx.HeaderOutcome, string(outcome))
		w.Header().Set(callctx.HeaderReason, string(reason))
		w.Header().Set(callctx.HeaderNode, n.member.ID)
		w.WriteHeader(callctx.Status(outcome, reason))
	}
}

// abort closes the connection after reading the request.
func abort(http.ResponseWriter, *http.Request, *scriptedNode) { panic(http.ErrAbortHandler) }

// call sends a request to the handler. headers alternates names and values.
func (f *fixture) call(method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	f.checkCounters()
	return w.Result()
}

// checkCounters verifies that every call was counted exactly once.
func (f *fixture) checkCounters() {
	f.t.Helper()
	values := f.metrics.Values()
	sum := int64(0)
	for name, value := range values {
		if strings.HasPrefix(name, "outbound_outcome{") {
			sum += value
		}
	}
	require.Equal(f.t, values["outbound_calls"], sum, "every call increments exactly one outcome counter")
}

func requireOutcome(t *testing.T, response *http.Response, outcome callctx.Outcome, reason callctx.Reason) {
	t.Helper()
	require.Equal(t, string(outcome), response.Header.Get(callctx.HeaderOutcome))
	require.Equal(t, string(reason), response.Header.Get(callctx.HeaderReason))
}

func bodyOf(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// newIDAndAdvanceClock returns a new id and sets the handler's clock 10 s after its creation: a roster read then is recent
// enough for the id, and attempt 1 is still accepted.
func newIDAndAdvanceClock(f *fixture) string {
	id := callctx.NewRequestID()
	createdAt, err := callctx.IDTime(id)
	require.NoError(f.t, err)
	f.handler.now = func() time.Time { return createdAt.Add(10 * time.Second) }
	return id
}
