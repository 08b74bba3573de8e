package sidecar

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
)

// rolloutMesh is a mesh whose callers send requests during a roll-out.
type rolloutMesh struct {
	*mesh
	base, targets []*testNode
	stop          chan struct{}
	callers       sync.WaitGroup
	failures      atomic.Int64
	sent          atomic.Int64
}

// rolloutServiceTime is the time that all instances need for a request. It is long relative to the delays of a busy machine, which would
// count as a difference between the versions otherwise.
const rolloutServiceTime = 20 * time.Millisecond

// newRolloutMesh starts base instances, orders a roll-out and starts instances of the target version, which answer every failEvery-th
// request with an error; 0: none.
func newRolloutMesh(t *testing.T, base, target int, duration time.Duration, failEvery int64) *rolloutMesh {
	m := &mesh{t: t, platform: newFakePlatform(), version: "v1", dataCentre: "dc"}
	m.platform.publish(testDocument(1))
	for i := range base {
		m.start(i).backend.setHandler(func(http.ResponseWriter, *http.Request, string) { time.Sleep(rolloutServiceTime) })
	}
	m.waitReady()
	r := &rolloutMesh{mesh: m, base: slices.Clone(m.nodes), stop: make(chan struct{})}
	m.platform.orderRollout("v2", duration)
	m.eventually("the order is known", func() bool { m.platform.mu.Lock(); defer m.platform.mu.Unlock(); return len(m.platform.rollouts) > 0 })
	m.version = "v2"
	var served atomic.Int64
	for i := range target {
		n := m.start(base + i)
		n.backend.setHandler(func(w http.ResponseWriter, _ *http.Request, _ string) {
			time.Sleep(rolloutServiceTime)
			if failEvery > 0 && served.Add(1)%failEvery == 0 {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		r.targets = append(r.targets, n)
	}
	for _, n := range r.base {
		r.callers.Go(func() { r.call(n) })
	}
	t.Cleanup(func() { close(r.stop); r.callers.Wait() })
	return r
}

// call sends requests one after the other until the test ends.
func (r *rolloutMesh) call(n *testNode) {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		request, _ := r.request(context.Background(), n, "POST", "/unsafe/", "order")
		r.sent.Add(1)
		if response := send(request); response.err != nil || response.status != http.StatusOK {
			r.failures.Add(1)
		}
	}
}

func (r *rolloutMesh) phase() rollout.Phase {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	if len(r.platform.rollouts) == 0 {
		return ""
	}
	return r.platform.rollouts[0].Phase
}

// target returns the target version of the roll-out that the fleet agreed on.
func (r *rolloutMesh) target() string {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	return r.platform.rollouts[0].Order.Target
}

func executed(nodes []*testNode) int {
	n := 0
	for _, node := range nodes {
		n += len(node.backend.requests())
	}
	return n
}

// A good version gets few requests until it is known to be good, and then all; when the roll-out is completed no request is on a base
// instance or will be, since those stop at once.
func TestRollout_GoodVersionIsCompletedWithoutLoss(t *testing.T) {
	r := newRolloutMesh(t, 3, 3, 8*time.Second, 0)
	r.eventually("the requests move", func() bool { return r.phase() != rollout.Canary })
	exposed, all := executed(r.targets), executed(r.targets)+executed(r.base)
	assert.LessOrEqual(t, float64(exposed), 0.1*float64(all)+50)
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	require.Equal(t, rollout.Completed, r.phase(), r.log.String())
	before := executed(r.base)
	sent := r.sent.Load()
	r.eventually("requests are served", func() bool { return r.sent.Load() > sent+100 })
	assert.Equal(t, before, executed(r.base), "a request reached a base instance after the end")
	assert.Zero(t, r.failures.Load(), "lost requests")
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	assert.Equal(t, []rollout.Phase{rollout.Canary, rollout.Moving, rollout.Completed}, r.platform.statuses)
}

// A bad version is rolled back within the exposure limit, and gets no request afterwards.
func TestRollout_BadVersionIsRolledBack(t *testing.T) {
	r := newRolloutMesh(t, 3, 2, 10*time.Second, 3)
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	require.Equal(t, rollout.RolledBack, r.phase())
	assert.Contains(t, r.log.String(), "responses of class", "rolled back for its responses, not at the end of the duration")
	assert.Regexp(t, `event=inbound .*backend_version=v2 .*verdict=answered`, r.log.String(), "the version that served a request must be found by its id")
	time.Sleep(time.Second) // the permits have arrived by then
	exposed := executed(r.targets)
	assert.Positive(t, exposed)
	assert.LessOrEqual(t, float64(exposed), 0.1*float64(exposed+executed(r.base))+50)
	sent := r.sent.Load()
	r.eventually("requests are served", func() bool { return r.sent.Load() > sent+100 })
	assert.Equal(t, exposed, executed(r.targets), "a request reached the target after the roll-back")
}

// The deciding node is lost: another one takes over and ends the roll-out.
func TestRollout_AnotherNodeTakesOver(t *testing.T) {
	r := newRolloutMesh(t, 4, 2, 12*time.Second, 0)
	r.platform.mu.Lock()
	decider := r.platform.rollouts[0].Decider
	r.platform.mu.Unlock()
	i := slices.IndexFunc(r.nodes, func(n *testNode) bool { return n.settings.ID == decider })
	require.GreaterOrEqual(t, i, 0)
	lost := r.nodes[i]
	r.mesh.stop(lost)
	r.eventually("another node decides", func() bool {
		r.platform.mu.Lock()
		defer r.platform.mu.Unlock()
		return r.platform.rollouts[0].Decider != decider
	})
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	assert.Equal(t, rollout.Completed, r.phase(), r.log.String())
}

// The operators withdraw an order: the roll-out is rolled back at once.
func TestRollout_WithdrawnOrderIsRolledBack(t *testing.T) {
	r := newRolloutMesh(t, 2, 1, time.Minute, 0)
	r.platform.orderRollout("", 0)
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	assert.Equal(t, rollout.RolledBack, r.phase())
	assert.Contains(t, r.log.String(), "event=rollout_withdrawn")
}

// An order whose target is the version in use must not take the service's instances away, nor end without a result.
func TestRollout_VersionInUse(t *testing.T) {
	r := newRolloutMesh(t, 3, 0, time.Minute, 0)
	r.platform.orderRollout("", 0)
	r.eventually("the first roll-out ends", func() bool { return r.phase().IsFinal() })
	r.platform.orderRollout("v1", 8*time.Second)
	r.eventually("the roll-out begins", func() bool { return r.target() == "v1" })
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	assert.Equal(t, rollout.Completed, r.phase(), r.log.String())
	assert.Zero(t, r.failures.Load(), "lost requests")
}

// Guards against a roll-out that begins anew because the store lost the order and the operators wrote the same one again: the instances in
// use would be limited like a canary.
func TestRollout_OrderWrittenAgain(t *testing.T) {
	r := newRolloutMesh(t, 3, 2, 8*time.Second, 3)
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	require.Equal(t, rollout.RolledBack, r.phase())
	time.Sleep(time.Second) // the permits have arrived by then
	exposed := executed(r.targets)
	r.platform.orderRollout("v2", 8*time.Second)
	r.restart(r.nodes[0]).announce(false) // has not seen the first order
	r.eventually("a node that has started knows the order", func() bool { return strings.Contains(r.log.String(), "event=rollout_order_repeated") })
	time.Sleep(2 * time.Second)
	assert.Equal(t, rollout.RolledBack, r.phase())
	assert.Equal(t, exposed, executed(r.targets), "requests reached a version that was rolled back")

	r.platform.orderRollout("", 0)
	r.eventually("the order is withdrawn", func() bool { return strings.Contains(r.log.String(), "event=rollout_withdrawn") })
	r.platform.orderRollout("v2", 8*time.Second)
	r.eventually("the roll-out begins again after the order was withdrawn", func() bool { return r.phase() == rollout.Canary })
}

// A node that starts while a roll-out runs, or after it was rolled back, must not serve the target version before a decider permits it.
func TestRollout_StartingNodeHoldsTargetVersion(t *testing.T) {
	m := &mesh{t: t, platform: newFakePlatform(), version: "v1"}
	m.platform.publish(testDocument(1))
	m.start(0)
	m.waitReady()
	m.platform.mu.Lock()
	m.platform.rollouts = []rollout.State{{Order: rollout.Order{Service: "s", Target: "v2", Duration: time.Second, Position: 1}, Phase: rollout.RolledBack}}
	m.platform.mu.Unlock()
	m.version = "v2"
	b := newBackend(t, "i-1")
	n := m.startNode(m.settings(1, b), b)
	n.version = "v2"
	m.eventually("the node has a configuration", func() bool { return n.follower.Table() != nil })
	n.announce(false)
	m.nodes = append(m.nodes, n)
	for range 20 {
		a, _ := m.call(n, "GET", "/safe/", "")
		assert.Equal(t, http.StatusOK, a.status)
	}
	assert.Empty(t, b.requests())
}

// Guards against a node that restarts after a roll-back while the store turns it away: it knows of no roll-out, and no decider tells it any
// more. It has to learn the state from another node of the service, or from the store later.
func TestRollout_RestartedNodeLearnsTheState(t *testing.T) {
	for name, learns := range map[string]func(m *mesh, n *testNode){
		"from a node": func(*mesh, *testNode) {},
		"from the store": func(m *mesh, n *testNode) {
			m.eventually("the store refuses the states", func() bool {
				m.platform.mu.Lock()
				defer m.platform.mu.Unlock()
				return slices.Contains(m.platform.calls, "copy")
			})
			m.platform.setNoCopies(n.settings.ID, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := &mesh{t: t, platform: newFakePlatform(), version: "v1"}
			m.platform.publish(testDocument(1))
			m.platform.rollouts = []rollout.State{{Order: rollout.Order{Service: "s", Target: "v2", Duration: time.Second, Position: 1}, Phase: rollout.RolledBack}}
			if name == "from a node" {
				m.start(0)
				m.waitReady()
			}
			m.platform.setNoCopies("node-1", true)
			b := newBackend(t, "i-1")
			n := m.startNode(m.settings(1, b), b)
			n.version = "v2"
			n.announce(false)
			learns(m, n)
			m.eventually("the node knows the roll-out", func() bool { return n.inbound.gate.Load() != nil })
			assert.Equal(t, rollout.RolledBack, n.inbound.gate.Load().State().Phase)
			assert.Equal(t, rollout.Closed, n.inbound.gate.Load().Mode("v2"))
			m.eventually("it is logged", func() bool { return strings.Contains(m.log.String(), "event=rollouts_learnt") })
		})
	}
}
