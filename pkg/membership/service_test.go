package membership

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	_ "github.com/laburnumcleat/laburnumcleat/pkg/internal/fixedseed"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout only ends hanging runs; no test result depends on the duration of a step.
const waitTimeout = 2 * time.Minute

type testNode struct {
	*Service
	stop func()
}

func startNode(t *testing.T, id, seed string, incarnation uint64, superseded func(uint64)) *testNode {
	t.Helper()
	return startNodeWith(t, id, seed, incarnation, func(o *Options) { o.OnSuperseded = superseded })
}

func startNodeWith(t *testing.T, id, seed string, incarnation uint64, adjust func(*Options)) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	if seed == "" {
		seed = address
	}
	traffic := &rpc.Counters{}
	client, server := rpc.NewClient(traffic, nil), rpc.NewServer(traffic)
	options := Options{
		Self:  Member{ID: id, DataCentre: "seeb", ControlAddress: address, Incarnation: incarnation},
		Seeds: []string{seed}, Client: client, Server: server,
		Heartbeat: func() Heartbeat { return Heartbeat{Version: 7, Digest: "d"} },
	}
	adjust(&options)
	service := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener, nil) })
	running.Go(func() { service.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		server.Close()
		client.Close()
		running.Wait()
	})
	t.Cleanup(stop)
	return &testNode{Service: service, stop: stop}
}

func (n *testNode) statusOf(id string) Status {
	for _, m := range n.Members() {
		if m.ID == id {
			return m.Status
		}
	}
	return ""
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, 20*time.Millisecond, what)
}

// Guards against faults that the in-memory simulation does not show: 12 nodes on sockets join through one seed, spread endpoints, and
// detect a death, a departure and a restart under the same id.
func TestService_OverSockets(t *testing.T) {
	const count = 12
	nodes := []*testNode{startNode(t, "vm-0", "", 1, nil)}
	seed := nodes[0].Self().ControlAddress
	for i := 1; i < count; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("vm-%d", i), seed, 1, nil))
	}
	all := func(condition func(n *testNode) bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				if !condition(n) {
					return false
				}
			}
			return true
		}
	}
	waitFor(t, "all know all", all(func(n *testNode) bool { return len(n.Members()) == count }))

	for _, n := range nodes {
		n.SetEndpoint(Endpoint{Service: "tracker", Slots: 10, State: EndpointReady})
	}
	waitFor(t, "all endpoints", all(func(n *testNode) bool { return len(n.Endpoints("tracker")) == count }))

	killed, left := nodes[3], nodes[4]
	nodes = append(nodes[:3:3], nodes[5:]...)
	killed.stop()
	left.Leave(context.Background())
	left.stop()
	waitFor(t, "death and leave known", all(func(n *testNode) bool {
		return n.statusOf("vm-3") == Dead && n.statusOf("vm-4") == Left && len(n.Endpoints("tracker")) == count-2
	}))

	replaced := make(chan uint64, 1)
	old := startNode(t, "vm-3", seed, 2, func(incarnation uint64) { replaced <- incarnation })
	waitFor(t, "restart known", all(func(n *testNode) bool { return n.statusOf("vm-3") == Alive }))
	nodes = append(nodes, startNode(t, "vm-3", seed, 3, nil))
	require.Equal(t, uint64(3), <-replaced, "the earlier process must report its successor")
	old.stop()
	waitFor(t, "successor known", all(func(n *testNode) bool {
		for _, m := range n.Members() {
			if m.ID == "vm-3" {
				return m.Incarnation == 3 && m.Status == Alive
			}
		}
		return false
	}))
}

// directory is shared by all nodes of a test.
type directory struct {
	mu      sync.Mutex
	entered []Member
}

// enter adds a member unless its id is already registered, and returns all registered members.
func (d *directory) enter(m Member) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.ContainsFunc(d.entered, func(other Member) bool { return other.ID == m.ID }) {
		d.entered = append(d.entered, m)
	}
	return slices.Clone(d.entered)
}

func allKnow(nodes []*testNode, count int) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return len(n.Members()) != count })
	}
}

// Guards against separate groups after a concurrent start in which two nodes see only each other in the directory and the others see
// all nodes: a single group must form regardless of the ids.
func TestDirectory_ConcurrentStartsFormOneGroup(t *testing.T) {
	const early, count = 2, 6
	var d directory
	var earlyEntered, allEntered sync.WaitGroup
	earlyEntered.Add(early)
	allEntered.Add(count)
	var nodes []*testNode
	for i := range count {
		var once sync.Once
		nodes = append(nodes, startNodeWith(t, fmt.Sprintf("vm-%d", i), "", 1, func(o *Options) {
			self := o.Self
			o.Seeds = nil
			o.Directory = func(context.Context) ([]Member, error) {
				if i >= early {
					earlyEntered.Wait()
				}
				var found []Member
				once.Do(func() {
					found = d.enter(self)
					allEntered.Done()
					if i < early {
						earlyEntered.Done()
					}
				})
				if i < early {
					earlyEntered.Wait()
					found = d.enter(self)[:early]
				} else {
					allEntered.Wait()
					found = d.enter(self)
				}
				return found, nil
			}
		}))
	}
	waitFor(t, "one group", allKnow(nodes, count))
}

// Guards against joins blocked by lost VMs: after a full restart some addresses in the directory accept no connection and refuse
// none. Each of them may delay a starting node by one JoinStagger, not by one JoinTimeout.
func TestJoin_UnresponsiveMembersDoNotBlock(t *testing.T) {
	const gone, timeout, stagger = 5, 30 * time.Second, 20 * time.Millisecond
	var d directory
	for i := range gone {
		listener, err := net.Listen("tcp", "127.0.0.1:0") // never accepts
		require.NoError(t, err)
		defer listener.Close()
		d.enter(Member{ID: fmt.Sprintf("gone-%d", i), DataCentre: "seeb", ControlAddress: listener.Addr().String(), Incarnation: 1})
	}
	adjust := func(o *Options) {
		self := o.Self
		o.Seeds = nil
		o.Timing = Timing{JoinTimeout: timeout, JoinStagger: stagger}
		o.Directory = func(context.Context) ([]Member, error) { return d.enter(self), nil }
	}
	first := startNodeWith(t, "vm-0", "", 1, adjust)
	first.SetEndpoint(Endpoint{Service: "tracker", Slots: 10, State: EndpointReady})
	begun := time.Now()
	second := startNodeWith(t, "vm-1", "", 1, adjust)
	waitFor(t, "the endpoint is known", func() bool { return len(second.Endpoints("tracker")) == 1 })
	require.Less(t, time.Since(begun), timeout)
}

// Guards against groups that never merge: nodes that start at the same time read the contacts before most are registered, and form two
// groups.
func TestContacts_MergeSeparateGroups(t *testing.T) {
	var mu sync.Mutex
	var contacts []string
	adjust := func(o *Options) {
		o.ContactsInterval = 200 * time.Millisecond
		o.Timing = Timing{ReconnectInterval: 200 * time.Millisecond}
		o.Contacts = func(context.Context) ([]string, error) {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), contacts...), nil
		}
	}
	var nodes []*testNode
	for i := range 2 {
		first := startNodeWith(t, fmt.Sprintf("vm-%d-a", i), "", 1, adjust)
		nodes = append(nodes, first, startNodeWith(t, fmt.Sprintf("vm-%d-b", i), first.Self().ControlAddress, 1, adjust))
	}
	waitFor(t, "two groups", func() bool { return len(nodes[0].Members()) == 2 && len(nodes[2].Members()) == 2 })
	mu.Lock()
	for _, n := range nodes {
		contacts = append(contacts, n.Self().ControlAddress)
	}
	mu.Unlock()
	waitFor(t, "one group", func() bool {
		for _, n := range nodes {
			if len(n.Members()) != len(nodes) {
				return false
			}
		}
		return true
	})
}
