package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	_ "github.com/laburnumcleat/laburnumcleat/pkg/internal/fixedseed"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// waitTimeout is the timeout of waits for a condition, far above what a slow machine needs.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one in-process node with a real RPC server on loopback.
type node struct {
	*Distributor
	member  membership.Member
	bytes   *rpc.Counters
	metrics *metrics.Registry
	events  *explain.Recorder
	log     *nodeLog
	server  *rpc.Server
	client  *rpc.Client
	cancel  context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	versions []int64 // activated versions, in order
}

// nodeLog is the connection of a node to the log service, which a test can interrupt.
type nodeLog struct {
	logstore.Log
	mu           sync.Mutex
	disconnected bool
	reads        int // reads of stream config
}

func (l *nodeLog) setDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

func (l *nodeLog) isDisconnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.disconnected
}

func (l *nodeLog) Append(ctx context.Context, stream string, data json.RawMessage) (logstore.Entry, error) {
	if l.isDisconnected() {
		return logstore.Entry{}, errDisconnected
	}
	return l.Log.Append(ctx, stream, data)
}

// Read polls at short intervals, so that a disconnect takes effect during a long poll.
func (l *nodeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logstore.Batch, error) {
	l.mu.Lock()
	if stream == logstore.StreamConfig {
		l.reads++
	}
	l.mu.Unlock()
	for {
		if l.isDisconnected() {
			return logstore.Batch{}, errDisconnected
		}
		step := min(wait, 20*time.Millisecond)
		batch, err := l.Log.Read(ctx, stream, from, limit, step)
		wait -= step
		if err != nil || len(batch.Entries) > 0 || wait <= 0 || batch.First > from {
			return batch, err
		}
	}
}

// fleet is a set of nodes that share a log service and exchange heartbeats in process.
type fleet struct {
	t      testing.TB
	log    *logservice.Log
	timing Timing

	mu              sync.Mutex
	nodes           map[string]*node
	status          map[string]membership.Status
	memberList      []membership.Member
	heartbeatPasses func(a, b membership.Member) bool // whether heartbeats pass; nil: always

	expectsDivergence bool // the test makes a node diverge; otherwise a divergence fails the test
}

func newFleet(t testing.TB, options logservice.Options) *fleet {
	f := &fleet{t: t, log: logservice.New(options), nodes: map[string]*node{}, status: map[string]membership.Status{}}
	f.timing = Timing{PollWait: 2 * time.Second, RoleInterval: 50 * time.Millisecond, StartMembersTimeout: 50 * time.Millisecond,
		StartPeersTimeout: 500 * time.Millisecond, CheckInterval: 50 * time.Millisecond, CallTimeout: time.Second, RetryMax: 200 * time.Millisecond}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go f.heartbeats(stop, stopped)
	t.Cleanup(func() {
		close(stop)
		<-stopped
		for _, n := range f.nodes {
			n.stop()
			if !f.expectsDivergence {
				require.Zero(t, n.metrics.Values()["config_divergence"], "%s diverged", n.member.ID)
			}
		}
	})
	return f
}

// heartbeats delivers heartbeats of two random nodes to every node in each round, until stop is closed.
func (f *fleet) heartbeats(stop, stopped chan struct{}) {
	defer close(stopped)
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		f.mu.Lock()
		nodes := make([]*node, 0, len(f.memberList))
		for _, m := range f.memberList {
			if n := f.nodes[m.ID]; n != nil {
				nodes = append(nodes, n)
			}
		}
		linked := f.heartbeatPasses
		f.mu.Unlock()
		for _, to := range nodes {
			for range 2 {
				from := nodes[rng.IntN(len(nodes))]
				if from != to && (linked == nil || linked(from.member, to.member)) {
					to.OnHeartbeat(from.member, from.Heartbeat())
				}
			}
		}
	}
}

func (f *fleet) members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]membership.Member, len(f.memberList))
	for i, m := range f.memberList {
		m.Status = f.status[m.ID]
		members[i] = m
	}
	return members
}

func (f *fleet) setStatus(id string, status membership.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status[id] = status
}

// addMember reserves an address for a node and adds or replaces the node as a member, without starting it.
func (f *fleet) addMember(id, centre string) (membership.Member, net.Listener) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	m := membership.Member{ID: id, DataCentre: centre, ControlAddress: listener.Addr().String(), Status: membership.Alive}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.memberList {
		if f.memberList[i].ID == id {
			f.memberList[i] = m
			f.status[id] = membership.Alive
			return m, listener
		}
	}
	f.memberList = append(f.memberList, m)
	f.status[id] = membership.Alive
	return m, listener
}

func (f *fleet) launch(m membership.Member, listener net.Listener, change func(*Options)) *node {
	n := &node{member: m, bytes: &rpc.Counters{}, metrics: metrics.New(), events: explain.NewRecorder(1000), done: make(chan struct{})}
	n.log = &nodeLog{Log: f.log}
	n.server, n.client = rpc.NewServer(n.bytes), rpc.NewClient(n.bytes, nil)
	o := Options{Self: m, Log: n.log, Members: f.members, Client: n.client, Server: n.server, Metrics: n.metrics,
		Explain: n.events.Add, Timing: f.timing, OnActivate: n.activated}
	o.Timing.Seed = uint64(len(f.memberList))
	if change != nil {
		change(&o)
	}
	n.Distributor = New(o)
	var serving sync.WaitGroup
	serving.Go(func() { _ = n.server.Serve(listener, nil) })
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.Run(ctx)
		n.server.Close()
		n.client.Close()
		serving.Wait()
	}()
	f.mu.Lock()
	f.nodes[m.ID] = n
	f.mu.Unlock()
	return n
}

func (f *fleet) start(id, centre string) *node {
	m, listener := f.addMember(id, centre)
	return f.launch(m, listener, nil)
}

// startAll starts n nodes in each data centre, named "a1", "a2", ..., "b1", ....
func (f *fleet) startAll(n int, centres ...string) {
	listeners := map[string]net.Listener{}
	var members []membership.Member
	for _, centre := range centres {
		for i := range n {
			m, listener := f.addMember(fmt.Sprintf("%s%d", centre, i+1), centre)
			listeners[m.ID] = listener
			members = append(members, m)
		}
	}
	for _, m := range members {
		f.launch(m, listeners[m.ID], nil)
	}
}

func (n *node) activated(s *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions = append(n.versions, s.Version)
}

func (n *node) activatedVersions() []int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]int64(nil), n.versions...)
}

func (n *node) stop() {
	n.cancel()
	<-n.done
}

// kill stops a node and marks it as dead.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.status[id] = membership.Dead
	f.mu.Unlock()
	n.stop()
}

func (f *fleet) node(id string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// runningNodes returns the running nodes of the given data centres, or of all if none is given.
func (f *fleet) runningNodes(centres ...string) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*node
	for _, m := range f.memberList {
		n := f.nodes[m.ID]
		if n == nil {
			continue
		}
		wanted := len(centres) == 0
		for _, c := range centres {
			wanted = wanted || c == m.DataCentre
		}
		if wanted {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// reader returns the reader of rank 0 or 1 of a data centre.
func (f *fleet) reader(centre string, rank int) *node {
	self := f.runningNodes(centre)[0].member
	return f.node(assignRoles(self, f.members()).order[rank].ID)
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitTimeout, 2*time.Millisecond, what)
}

// waitConverged waits until the given nodes, or all running ones, have activated the version.
func (f *fleet) waitConverged(version int64, nodes ...*node) {
	f.t.Helper()
	if len(nodes) == 0 {
		nodes = f.runningNodes()
	}
	for _, n := range nodes {
		f.eventually(fmt.Sprintf("%s activates version %d", n.member.ID, version), func() bool {
			s := n.Snapshot()
			// OnActivate, which records the version, is called after the snapshot is stored.
			return s != nil && s.Version == version && slices.Contains(n.activatedVersions(), version)
		})
	}
}

func (f *fleet) waitReady() {
	f.t.Helper()
	for _, n := range f.runningNodes() {
		f.eventually(n.member.ID+" becomes ready", func() bool { ready, _ := n.Ready(); return ready })
	}
}

// template returns a record that publishes a template, with an id derived from its name. Its keys are not in
// alphabetical order, so that a path that re-encodes records would change the state.
func template(name string) *config.Record {
	return &config.Record{ID: "id-" + name, Verb: config.Publish, Entity: config.Entity{Kind: config.KindTemplate, Name: name},
		Payload: json.RawMessage(`{"description":"&","body":{"services":[],"ranks":[]}}`), Author: "test"}
}

func amend(name string, base int64, id string) *config.Record {
	r := template(name)
	r.ID, r.Verb, r.Base = id, config.Amend, base
	r.Payload = json.RawMessage(`{"description":"` + id + `","body":{}}`)
	return r
}

func encode(t testing.TB, r *config.Record) json.RawMessage {
	data, err := json.Marshal(r)
	require.NoError(t, err)
	return data
}

// appendRecord appends a record directly to the log.
func (f *fleet) appendRecord(r *config.Record) int64 {
	entry, err := f.log.Append(context.Background(), logstore.StreamConfig, encode(f.t, r))
	require.NoError(f.t, err)
	return entry.Offset
}

func (f *fleet) publish(n *node, r *config.Record) config.Result {
	f.t.Helper()
	result, err := n.Publish(context.Background(), r)
	require.NoError(f.t, err)
	return result
}

// requireMonotonicVersions fails the test if a node ever activated a lower version after a higher one.
func (f *fleet) requireMonotonicVersions() {
	f.t.Helper()
	for _, n := range f.runningNodes() {
		last := int64(-1)
		for _, v := range n.activatedVersions() {
			require.GreaterOrEqual(f.t, v, last, "%s activated a lower version", n.member.ID)
			last = v
		}
	}
}

func (l *nodeLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}
