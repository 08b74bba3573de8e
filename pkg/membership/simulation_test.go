package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

var epoch = time.Unix(1_700_000_000, 0)

// Size in bytes of the JSON-RPC envelope around the params of a request and around a result.
const (
	requestEnvelope  = len(`0000{"method":"member.probe","params":,"id":100000,"jsonrpc":"2.0"}`)
	responseEnvelope = len(`0000{"id":100000,"result":,"jsonrpc":"2.0"}`)
)

// simulation passes messages between systems in memory, in virtual time and with a fixed random seed.
type simulation struct {
	t           *testing.T
	now         time.Time
	random      *rand.Rand
	events      eventHeap
	order       int
	nodes       map[string]*virtualNode
	loss        float64                // probability for each request and each response
	blocked     func(a, b string) bool // reports whether a partition separates a and b
	timing      Timing
	bytes       map[string]int // sent, by method, responses included
	remoteBytes int            // sent between data centres
}

type virtualNode struct {
	*system
	up         bool
	skew       time.Duration // of this node's clock
	successor  uint64
	deaths     []string // members declared dead
	suspicions int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func nodeID(i int) string { return fmt.Sprintf("vm-%03d", i) }

// newSimulation starts n nodes in three data centres, each with a complete table.
func newSimulation(t *testing.T, n int, seed uint64) *simulation {
	x := &simulation{
		t: t, now: epoch, random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*virtualNode),
		timing: Timing{}.withDefaults(), blocked: func(string, string) bool { return false }, bytes: make(map[string]int),
	}
	var all []update
	for i := range n {
		node := x.start(i, 1)
		node.selfEntry().Endpoint = &Endpoint{Service: "tracker", Address: "10.0.0.1:8080", Slots: 10, Connections: 120, State: EndpointReady, Sequence: 1}
		node.table.updateDigest(node.selfEntry())
		all = append(all, node.selfEntry().fullUpdate(x.now))
	}
	for i := range n {
		node := x.nodes[nodeID(i)]
		node.apply(x.clock(node), all)
		clear(node.queue)
	}
	return x
}

// start adds a node whose table contains only itself.
func (x *simulation) start(i int, incarnation uint64) *virtualNode {
	id := nodeID(i)
	node := &virtualNode{up: true}
	self := Member{
		ID: id, Region: "muscat", DataCentre: []string{"seeb", "nizwa", "sohar"}[i%3], Incarnation: incarnation,
		ControlAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), CallAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		APIAddress: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
	}
	random := rand.New(rand.NewPCG(x.random.Uint64(), incarnation))
	heartbeat := func() Heartbeat { return Heartbeat{Version: 123456, Digest: "0123456789abcdef"} }
	node.system = newSystem(x.timing, self, heartbeat, random, systemHooks{
		explain: func(e explain.Event) {
			switch e.Kind {
			case explain.DeclaredDead:
				node.deaths = append(node.deaths, e.Subject)
			case explain.Suspected:
				node.suspicions++
			}
		},
		count:      func(string, ...string) {},
		superseded: func(incarnation uint64) { node.successor = incarnation },
	})
	x.nodes[id] = node
	x.after(time.Duration(x.random.Int64N(int64(x.timing.Tick))), func() { x.tick(node) })
	return node
}

func (x *simulation) after(d time.Duration, run func()) {
	x.order++
	heap.Push(&x.events, event{at: x.now.Add(d), order: x.order, run: run})
}

func (x *simulation) advance(d time.Duration) {
	end := x.now.Add(d)
	for len(x.events) > 0 && !x.events[0].at.After(end) {
		e := heap.Pop(&x.events).(event)
		x.now = e.at
		e.run()
	}
	x.now = end
}

func (x *simulation) clock(node *virtualNode) time.Time {
	return x.now.Add(node.skew)
}

func (x *simulation) tick(node *virtualNode) {
	if !node.up {
		return
	}
	for _, m := range node.tick(x.clock(node)) {
		x.send(node, m)
	}
	x.after(x.timing.Tick, func() { x.tick(node) })
}

// transmit counts the bytes and runs deliver after a delay, unless the packet is lost or the target is down or replaced by the time
// it arrives.
func (x *simulation) transmit(method, from, to string, size int, deliver func()) {
	x.bytes[method] += size
	if a, b := x.nodes[from], x.nodes[to]; a != nil && b != nil && a.selfEntry().DataCentre != b.selfEntry().DataCentre {
		x.remoteBytes += size
	}
	if x.random.Float64() < x.loss || x.blocked(from, to) {
		return
	}
	target := x.nodes[to]
	delay := time.Millisecond + time.Duration(x.random.Int64N(int64(time.Millisecond)))
	x.after(delay, func() {
		if target != nil && target.up && x.nodes[to] == target {
			deliver()
		}
	})
}

func (x *simulation) send(node *virtualNode, m message) {
	switch m.method {
	case methodProbe:
		answered := false
		x.request(node, m, m.packet, func(reply packet, size int) {
			answered = true
			x.ack(node, m, reply)
		})
		x.after(m.timeout, func() {
			if !answered && node.up {
				node.restoreTransmissions(m.packet.Deltas)
			}
		})
	case methodIndirect:
		x.sendIndirect(node, m)
	case methodSync:
		x.transmit(m.method, node.self, m.to, x.size(m.sync)+requestEnvelope, func() {
			target := x.nodes[m.to]
			response := target.handleSync(x.clock(target), *m.sync)
			x.transmit(m.method, m.to, node.self, x.size(response)+responseEnvelope, func() {
				if len(m.sync.Digests) == 0 {
					node.apply(x.clock(node), response.Updates)
				} else if next, ok := node.continueSync(x.clock(node), m.to, response); ok {
					x.send(node, next)
				}
			})
		})
	}
}

func (x *simulation) request(node *virtualNode, m message, p packet, done func(packet, int)) {
	x.transmit(m.method, node.self, m.to, x.size(p)+requestEnvelope, func() {
		reply, ok := x.nodes[m.to].handleProbe(x.clock(x.nodes[m.to]), p)
		if !ok {
			return
		}
		size := x.size(reply) + responseEnvelope
		x.transmit(m.method, m.to, node.self, size, func() { done(reply, size) })
	})
}

func (x *simulation) sendIndirect(node *virtualNode, m message) {
	x.transmit(m.method, node.self, m.to, x.size(m.packet)+requestEnvelope, func() {
		helper := x.nodes[m.to]
		probe, ok := helper.handleIndirect(x.clock(helper), m.packet)
		if !ok {
			return
		}
		x.request(helper, probe, probe.packet, func(reply packet, _ int) {
			x.ack(helper, probe, reply)
			back := helper.indirectReply(x.clock(helper), true)
			x.transmit(m.method, m.to, node.self, x.size(back)+responseEnvelope, func() { x.ack(node, m, back) })
		})
	})
}

func (x *simulation) ack(node *virtualNode, m message, reply packet) {
	node.handleAck(x.clock(node), m, reply)
	if next, ok := node.startSync(x.clock(node), m.to); ok {
		x.send(node, next)
	}
}

func (x *simulation) size(v any) int {
	data, err := json.Marshal(v)
	require.NoError(x.t, err)
	return len(data)
}

// join simulates member.join between two nodes.
func (x *simulation) join(node, seed *virtualNode) joinResponse {
	response := seed.handleJoin(x.clock(seed), node.joinRequest(x.clock(node)))
	if response.RetryAfterMS == 0 {
		node.handleJoinResponse(x.clock(node), response, node.alone())
	}
	return response
}

// knownBy counts the running nodes at which the member has the status.
func (x *simulation) knownBy(id string, status Status) int {
	count := 0
	for _, node := range x.nodes {
		if e := node.table.entries[id]; node.up && e != nil && e.Status == status {
			count++
		}
	}
	return count
}

func (x *simulation) deaths() []string {
	var deaths []string
	for _, node := range x.nodes {
		deaths = append(deaths, node.deaths...)
	}
	slices.Sort(deaths)
	return slices.Compact(deaths)
}

func (x *simulation) sentBytes() int {
	total := 0
	for _, n := range x.bytes {
		total += n
	}
	return total
}
