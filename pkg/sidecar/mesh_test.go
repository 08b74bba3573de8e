package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/stretchr/testify/require"
)

const testLimit = 30 * time.Second // reached only when a test fails

var testHeaders = Headers{
	RequestID: "Test-Id", DeadlineMS: "Test-Deadline", Signature: "Test-Signature", ExpectedInstance: "Test-Expected",
	NotExecuted: "Test-Not-Executed", Instance: "Test-Instance", Caller: "Test-Caller",
	Key: "Test-Key", Team: "Test-Team", Challenge: "Test",
}

// fakePlatform is an in-memory store shared by all nodes of a test.
type fakePlatform struct {
	mu        sync.Mutex
	document  *routing.Document
	position  int64
	contacts  []Contact
	copied    []byte
	copyEnd   int64                    // number of records among the copies and states
	rollouts  []rollout.State          // one for each service
	statuses  []rollout.Phase          // that were written for the operators
	orders    []rollout.Order          // in force
	refusing  map[string]bool          // IDs of nodes that the store refuses to serve
	noCopies  map[string]bool          // IDs of nodes that the store refuses the copies and states
	calls     []string                 // calls that read configurations, in order
	pollers   map[string]bool          // IDs of nodes that waited for a configuration
	registers []string                 // IDs of nodes that registered, in order
	waits     map[string]time.Duration // longest wait of a poll, by ID of the node

	directoryReads int
	published      chan struct{}
	generation     int64 // number of times that it came back from a copy
	earlierCopy    bool  // the copy was written before it last did
	blocked        map[quarantine.Fingerprint]quarantine.Record
	holdLeave      <-chan struct{} // Remove returns when it is closed, whatever its context says; nil: at once
	dropping       chan struct{}   // closed while the store silently drops polls, pending ones included
	polled         chan struct{}   // closed when the next poll arrives
}

// fakeCallTimeout is how long an adapter waits for a response of the store, beyond the wait of a poll.
const fakeCallTimeout = time.Second

func newFakePlatform() *fakePlatform {
	return &fakePlatform{refusing: make(map[string]bool), noCopies: make(map[string]bool), pollers: make(map[string]bool), waits: make(map[string]time.Duration), published: make(chan struct{}), blocked: make(map[quarantine.Fingerprint]quarantine.Record), dropping: make(chan struct{}), polled: make(chan struct{})}
}

// dropPolls makes the store drop polls silently, or not any more.
func (p *fakePlatform) dropPolls(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if drop {
		close(p.dropping)
	} else {
		p.dropping = make(chan struct{})
	}
}

// awaitPoll waits until the next poll arrives.
func (p *fakePlatform) awaitPoll() {
	p.mu.Lock()
	polled := p.polled
	p.mu.Unlock()
	<-polled
}

func (p *fakePlatform) publish(d *routing.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = d
	p.position++
	close(p.published)
	p.published = make(chan struct{})
}

// refuse makes the store refuse or serve the nodes.
func (p *fakePlatform) refuse(refusing bool, nodes ...*testNode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range nodes {
		p.refusing[n.settings.ID] = refusing
	}
}

// setNoCopies makes the store refuse a node the copies and states, or serve them again.
func (p *fakePlatform) setNoCopies(id string, refusing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noCopies[id] = refusing
}

// orderRollout publishes an order for the service "s".
func (p *fakePlatform) orderRollout(target string, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position++
	p.orders = []rollout.Order{{Service: "s", Target: target, Duration: duration, Position: StorePosition{p.generation + 1, p.position}.Ordinal()}}
	close(p.published)
	p.published = make(chan struct{})
}

// restore makes the store come back from a copy: it has the given configuration, copy and states, and gives out positions again.
func (p *fakePlatform) restore(d *routing.Document, copied []byte, states []rollout.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document, p.copied, p.rollouts = d, copied, states
	p.position--
	p.generation, p.earlierCopy = p.generation+1, true
	close(p.published)
	p.published = make(chan struct{})
}

// forNode is the fake platform as seen by one node.
type forNode struct {
	*fakePlatform
	id          string
	generations *Generations
}

func (p *forNode) SetGenerations(g *Generations) { p.generations = g }

// check returns an error if the result of a call that is based on a generation of the store must not be used.
func (p *forNode) check(basis int64) error {
	if err := p.refused(); err != nil {
		return err
	}
	_, err := p.generations.Check(basis, strconv.FormatInt(p.generation+1, 10))
	return err
}

func (p *forNode) end(offset int64) StorePosition { return StorePosition{p.generation + 1, offset} }

func (p *forNode) refused() error {
	if p.refusing[p.id] {
		return apierror.New(apierror.Unavailable, "store is down", "try again")
	}
	return nil
}

func (p *forNode) Headers() Headers { return testHeaders }

// Key returns the value of the test key header.
func (p *forNode) Key(header http.Header) (string, bool) {
	key := header.Get(testHeaders.Key)
	return key, key != ""
}

const testLoadHeader = "Test-Load"

// Report parses "running waiting slots slowness".
func (p *forNode) Report(header http.Header) (r LoadReport, ok bool, err error) {
	text := header.Get(testLoadHeader)
	if text == "" {
		return r, false, nil
	}
	_, err = fmt.Sscan(text, &r.Running, &r.Waiting, &r.Slots, &r.Slowness)
	return r, err == nil, err
}

// Headers of fake backend servers: a limit in requests a second, and "1" while the backend server is leaving.
const (
	testLimitHeader   = "Test-Limit"
	testLeavingHeader = "Test-Leaving"
)

func (p *forNode) Intake(header http.Header) (intake Intake, err error) {
	intake.Leaving = header.Get(testLeavingHeader) == "1"
	if text := header.Get(testLimitHeader); text != "" {
		intake.Limit, err = strconv.ParseFloat(text, 64)
		intake.Limited = err == nil
	}
	return intake, err
}

func (p *forNode) Newest(context.Context) (Published, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, "newest")
	return Published{p.document, p.orders, p.end(p.position)}, p.check(p.generations.Current())
}

func (p *forNode) Next(ctx context.Context, position StorePosition, wait time.Duration) (Published, error) {
	p.mu.Lock()
	p.calls = append(p.calls, "next")
	p.pollers[p.id] = true
	p.waits[p.id] = max(p.waits[p.id], wait)
	dropping := p.dropping
	close(p.polled)
	p.polled = make(chan struct{})
	published, now, err := p.published, Published{p.document, p.orders, p.end(p.position)}, p.check(position.Generation)
	p.mu.Unlock()
	called := time.Now()
	select {
	case <-dropping:
		return Published{}, awaitTimeout(ctx, called, wait)
	default:
	}
	if err != nil || now.Position.Offset > position.Offset {
		return now, err
	}
	select {
	case <-dropping:
		return Published{}, awaitTimeout(ctx, called, wait)
	case <-published:
		p.mu.Lock()
		defer p.mu.Unlock()
		return Published{p.document, p.orders, p.end(p.position)}, p.check(position.Generation)
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return Published{Position: position}, ctx.Err()
}

// awaitTimeout returns the error of a poll that gets no response, when the adapter gives it up.
func awaitTimeout(ctx context.Context, called time.Time, wait time.Duration) error {
	ctx, cancel := context.WithDeadline(ctx, called.Add(wait+fakeCallTimeout))
	defer cancel()
	<-ctx.Done()
	return apierror.New(apierror.Unavailable, "store: "+ctx.Err().Error(), "try again")
}

func (p *forNode) Copy(context.Context) (Copy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, "copy")
	if p.noCopies[p.id] {
		return Copy{}, apierror.New(apierror.Unavailable, "store is down", "try again")
	}
	return Copy{Document: p.copied, IsEarlier: p.earlierCopy, Rollouts: slices.Clone(p.rollouts), Blocked: slices.Collect(maps.Values(p.blocked)), End: p.end(p.copyEnd)}, p.check(p.generations.Current())
}

func (p *forNode) PutRollout(_ context.Context, state rollout.State, end StorePosition) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.check(end.Generation); err != nil {
		return 0, err
	}
	if end.Offset != p.copyEnd {
		return 0, apierror.New(apierror.Conflict, "changed", "read again")
	}
	state.Epoch = p.end(p.copyEnd).Ordinal()
	p.copyEnd++
	p.rollouts = append(slices.DeleteFunc(p.rollouts, func(s rollout.State) bool { return s.Order.Service == state.Order.Service }), state)
	return state.Epoch, nil
}

func (p *forNode) PutRolloutStatus(_ context.Context, _ rollout.Order, phase rollout.Phase) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.refused(); err != nil {
		return err
	}
	p.statuses = append(p.statuses, phase)
	return nil
}

func (p *forNode) PutBlocked(_ context.Context, record quarantine.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.check(p.generations.Current()); err != nil {
		return err
	}
	p.blocked[record.Request] = record
	p.copyEnd++
	return nil
}

func (p *forNode) RemoveBlocked(_ context.Context, request quarantine.Fingerprint) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.check(p.generations.Current()); err != nil {
		return err
	}
	delete(p.blocked, request)
	p.copyEnd++
	return nil
}

// keptBlocked returns the number of requests that the store keeps as blocked.
func (p *fakePlatform) keptBlocked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.blocked)
}

// copy returns the copy of the configuration; nil if there is none.
func (p *fakePlatform) copy() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copied
}

func (p *forNode) PutCopy(_ context.Context, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.check(p.generations.Current()); err != nil {
		return err
	}
	p.copied, p.earlierCopy = data, false
	p.copyEnd++
	return nil
}

func (p *forNode) Register(_ context.Context, c Contact) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contacts = append(slices.DeleteFunc(p.contacts, func(old Contact) bool { return old.ID == c.ID }), c)
	p.registers = append(p.registers, c.ID)
	return p.refused()
}

func (p *forNode) Remove(_ context.Context, id string) error {
	if p.holdLeave != nil {
		<-p.holdLeave
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contacts = slices.DeleteFunc(p.contacts, func(c Contact) bool { return c.ID == id })
	return nil
}

func (p *forNode) Contacts(context.Context) ([]Contact, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directoryReads++
	return slices.Clone(p.contacts), p.refused()
}

func (p *forNode) AnnouncementHandler(Announcer) http.Handler { return http.NotFoundHandler() }

func (p *forNode) ReadinessHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// backendServer serves requests with a configurable handler and records them.
type backendServer struct {
	id         string
	address    string
	mu         sync.Mutex
	handle     func(w http.ResponseWriter, r *http.Request, body string)
	requestIDs []string // of received requests, in order
	headers    http.Header
	server     *http.Server                // of the present process
	starts     int                         // of further processes
	health     func(w http.ResponseWriter) // serves /health; nil: handled like any other request
	abandoned  chan string                 // IDs of requests whose caller disconnected during execution
}

func newBackend(t testing.TB, id string) *backendServer {
	b := &backendServer{id: id, abandoned: make(chan string, 100)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.address = listener.Addr().String()
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	t.Cleanup(func() { b.crash() })
	return b
}

func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	health := b.health
	b.mu.Unlock()
	if health != nil && r.URL.Path == "/health" {
		health(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(testHeaders.RequestID)
	w.Header().Set(testHeaders.RequestID, id)
	b.mu.Lock()
	own := b.id
	b.mu.Unlock()
	if r.Header.Get(testHeaders.ExpectedInstance) != own {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	handle := b.handle
	b.requestIDs = append(b.requestIDs, id)
	b.headers = r.Header.Clone()
	b.mu.Unlock()
	w.Header().Set(testHeaders.Signature, "signed by "+own)
	if handle != nil {
		handle(w, r, string(body))
		return
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func (b *backendServer) setHandler(handle func(w http.ResponseWriter, r *http.Request, body string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handle = handle
}

func (b *backendServer) setHealth(health func(w http.ResponseWriter)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health = health
}

func (b *backendServer) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.requestIDs...)
}

// testNode is a node and its backend server.
type testNode struct {
	*Node
	backend       *backendServer
	stop          context.CancelFunc
	done          chan error
	announcements int64
	version       string // of the backend server
	backendStart  int64  // start time of the backend server, Unix ms
}

type mesh struct {
	t          testing.TB
	platform   *fakePlatform
	nodes      []*testNode
	ids        atomic.Int64
	firstStart bool        // sets Settings.FirstStart
	version    string      // of the backend servers that are started
	dataCentre string      // of all nodes; "": each node has its own
	adjust     func(*Node) // called before a node runs; may be nil
	log        logBuffer   // output of all nodes
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns the log output so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newMesh starts nodes of service "s" in data centres dc-0, dc-1, ... and waits until they know each other.
func newMesh(t testing.TB, count int) *mesh {
	m := &mesh{t: t, platform: newFakePlatform()}
	m.startNodes(count)
	return m
}

// newDataCentre starts a mesh of which all nodes are in one data centre.
func newDataCentre(t testing.TB, count int) *mesh {
	m := &mesh{t: t, platform: newFakePlatform(), dataCentre: "dc"}
	m.startNodes(count)
	return m
}

// startNodes publishes a configuration, starts nodes and waits until they are ready.
func (m *mesh) startNodes(count int) {
	m.platform.publish(testDocument(1))
	for i := range count {
		m.start(i)
	}
	m.waitReady()
}

func testDocument(version uint64) *routing.Document {
	route := func(name string, idempotent bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Idempotent: idempotent, TargetMS: 1000, TimeoutMS: 5000,
			MaxAttempts: 2, Destinations: []routing.Destination{{Service: "s", Weight: 1}},
		}
	}
	short := route("short", true)
	short.TimeoutMS, short.TargetMS = 200, 100
	return &routing.Document{
		Version: version, Format: routing.FormatTeams, Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20},
		Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{route("safe", true), route("unsafe", false), short},
	}
}

// Ports below the ephemeral range (32768 and up), so that no outgoing connection takes one. Each test process starts at a different port.
const firstPort, portCount = 12_000, 20_000

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 199) }

// freeAddress returns an address that nothing listens on and that no other test of this process is given.
func freeAddress(t testing.TB) string {
	for range portCount {
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+nextPort.Add(1)%portCount, 10))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	require.Fail(t, "no port is free")
	return ""
}

func (m *mesh) settings(i int, b *backendServer) *Settings {
	address := func() string { return freeAddress(m.t) }
	return &Settings{
		ID: "node-" + strconv.Itoa(i), FirstStart: m.firstStart, Region: "r", DataCentre: cmp.Or(m.dataCentre, "dc-"+strconv.Itoa(i)),
		Listen:  Listen{Callers: address(), Nodes: address(), Control: address(), Announcements: address(), Readiness: address(), Metrics: address()},
		Backend: Backend{Service: "s", Address: b.address, AnnouncementInterval: Duration(time.Minute)},
		Store:   Store{Address: "127.0.0.1:1"},
		Bounds: Bounds{
			GracePeriod: Duration(testLimit), Drain: Duration(2 * time.Second), ConfigApply: Duration(2 * time.Second),
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: Duration(10 * time.Second), ReadinessInterval: Duration(10 * time.Millisecond),
			ExposureShare: 0.1, ExposureSlack: 50,
		},
	}
}

func (m *mesh) start(i int) *testNode {
	b := newBackend(m.t, "i-"+strconv.Itoa(i))
	node := m.startNode(m.settings(i, b), b)
	node.version = m.version
	m.nodes = append(m.nodes, node)
	node.announce(false)
	return node
}

// restart stops a node and starts it again with the same backend server.
func (m *mesh) restart(n *testNode) *testNode {
	m.stop(n)
	return m.startAgain(n)
}

// stop stops a node and waits until it has ended.
func (m *mesh) stop(n *testNode) {
	n.stop()
	require.NoError(m.t, <-n.done)
	n.done <- nil // for the cleanup
}

// startAgain starts a node that has ended, with the same backend server.
func (m *mesh) startAgain(n *testNode) *testNode {
	next := m.startNode(n.settings, n.backend)
	next.announcements, next.backendStart = n.announcements, n.backendStart
	return next
}

func (m *mesh) startNode(s *Settings, b *backendServer) *testNode {
	logger, err := logging.New(&m.log, "info")
	require.NoError(m.t, err)
	n, err := New(s, &forNode{m.platform, s.ID, nil}, logger)
	require.NoError(m.t, err)
	if m.adjust != nil {
		m.adjust(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &testNode{Node: n, backend: b, stop: cancel, done: make(chan error, 1), backendStart: time.Now().UnixMilli()}
	go func() { node.done <- n.Run(ctx) }()
	m.t.Cleanup(func() {
		cancel()
		<-node.done
	})
	return node
}

func (n *testNode) announce(draining bool) announce.Verdict {
	n.announcements++
	return n.Announce(announce.Announcement{
		ID: n.backend.id, Service: "s", Version: n.version, Address: n.backend.address, Slots: 4, Draining: draining, Sequence: n.announcements, StartTimeMS: n.backendStart,
	})
}

func (m *mesh) eventually(what string, condition func() bool) {
	m.t.Helper()
	require.Eventually(m.t, condition, testLimit, 5*time.Millisecond, what)
}

// waitReady waits until every node knows every endpoint and has a configuration.
func (m *mesh) waitReady() {
	m.t.Helper()
	m.eventually("every node knows every endpoint and has a configuration", func() bool {
		for _, n := range m.nodes {
			if len(n.endpoints("s")) != len(m.nodes) || n.follower.Table() == nil {
				return false
			}
		}
		return true
	})
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	body   string
	header http.Header
	err    error
}

func (m *mesh) newID() string { return "id-" + strconv.FormatInt(m.ids.Add(1), 10) }

func (m *mesh) request(ctx context.Context, n *testNode, method, path, body string) (*http.Request, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Listen.Callers+path, strings.NewReader(body))
	require.NoError(m.t, err)
	id := m.newID()
	r.Host = "h.example"
	r.Header.Set(testHeaders.RequestID, id)
	return r, id
}

func send(r *http.Request) callerResponse {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, string(data), response.Header, err}
}

func (m *mesh) call(n *testNode, method, path, body string) (callerResponse, string) {
	m.t.Helper()
	r, id := m.request(context.Background(), n, method, path, body)
	a := send(r)
	require.NoError(m.t, a.err)
	return a, id
}
