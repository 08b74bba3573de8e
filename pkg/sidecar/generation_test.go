package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// Guards against results that are based on an earlier generation of the store: void positions and conditions, and late responses.
func TestGenerations_Check(t *testing.T) {
	const ok, late, void = apierror.Kind(""), apierror.Unavailable, apierror.NotFound
	type response struct {
		basis   int64
		stated  string
		want    apierror.Kind
		current int64
	}
	for name, responses := range map[string][]response{
		"never stated":                  {{0, "", ok, 0}, {0, "x", ok, 0}, {0, "-1", ok, 0}},
		"first":                         {{0, "3", ok, 3}, {3, "3", ok, 3}},
		"rises":                         {{0, "3", ok, 3}, {3, "4", void, 4}, {4, "4", ok, 4}},
		"rises for another call":        {{0, "3", ok, 3}, {3, "4", void, 4}, {3, "4", void, 4}, {4, "4", ok, 4}},
		"rises twice":                   {{0, "3", ok, 3}, {3, "4", void, 4}, {3, "5", void, 5}, {4, "5", void, 5}},
		"late response":                 {{0, "3", ok, 3}, {3, "4", void, 4}, {3, "3", late, 4}, {0, "3", late, 4}, {4, "4", ok, 4}},
		"falls":                         {{0, "3", ok, 3}, {3, "2", void, 2}, {2, "2", ok, 2}},
		"not stated any more":           {{0, "3", ok, 3}, {3, "", ok, 3}, {3, "4", void, 4}, {3, "", void, 4}},
		"known from a call on no basis": {{0, "3", ok, 3}, {0, "4", void, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGenerations(metrics.New(), zap.NewNop())
			changes := 0
			g.OnChange(func() { changes++ })
			wantChanges := 0
			for i, r := range responses {
				before := g.Current()
				_, err := g.Check(r.basis, r.stated)
				if r.want == ok {
					require.NoError(t, err, "response %d", i)
				} else {
					require.Equal(t, r.want, apierror.KindOf(err), "response %d", i)
				}
				require.Equal(t, r.current, g.Current(), "response %d", i)
				if before != 0 && r.current != before {
					wantChanges++
				}
			}
			assert.Equal(t, wantChanges, changes)
		})
	}
}

func TestStorePosition_OrdinalRisesWithTheGeneration(t *testing.T) {
	assert.Less(t, StorePosition{1, 5000}.Ordinal(), StorePosition{2, 3}.Ordinal())
	assert.Less(t, StorePosition{0, 3}.Ordinal(), StorePosition{0, 4}.Ordinal())
}

// The store loses the newest versions: those in force stay, a version at a position that is given out again is read, and the copy is written
// again.
func TestRestoredStore_VersionsStayAndTheCopyIsWrittenAgain(t *testing.T) {
	m := newMesh(t, 3)
	hasVersion := func(version uint64) func() bool {
		return func() bool {
			for _, n := range m.nodes {
				if n.follower.version() != version {
					return false
				}
			}
			return true
		}
	}
	m.platform.publish(testDocument(2))
	m.platform.publish(testDocument(3))
	m.eventually("version 3 is in force", hasVersion(3))
	m.eventually("the readers wait for the next one", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return len(m.platform.pollers) > 0
	})
	m.platform.restore(testDocument(2), nil, nil)
	m.eventually("the copy is written again", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return m.platform.copied != nil && !m.platform.earlierCopy
	})
	assert.True(t, hasVersion(3)(), "a version fell")
	document, err := decodeCompressed[routing.Document](m.platform.copy())
	require.NoError(t, err)
	assert.EqualValues(t, 3, document.Version)
	m.platform.publish(testDocument(4)) // at the position where version 3 was
	m.eventually("version 4 is in force", hasVersion(4))
	assert.Contains(t, m.log.String(), "event=store_restored")
}

// A node that starts beside a copy that was written before the store came back asks the others first: newer versions may have been lost.
func TestRestoredStore_StartingNodeAsksOthersFirst(t *testing.T) {
	m := newMesh(t, 2)
	m.platform.publish(testDocument(2))
	m.eventually("version 2 is in force", func() bool { return m.nodes[0].follower.version() == 2 && m.nodes[1].follower.version() == 2 })
	stale, err := encodeCompressed(testDocument(1))
	require.NoError(t, err)
	m.platform.refuse(true, m.nodes...) // they cannot write the copy again
	m.platform.restore(testDocument(1), stale, nil)
	m.adjust = func(n *Node) { n.follower.copyWait = testLimit } // also on a busy machine, the others answer sooner
	n := m.start(2)
	m.eventually("it has a configuration", func() bool { return n.follower.version() > 0 })
	assert.EqualValues(t, 2, n.follower.version(), m.log.String())
	assert.NotContains(t, m.log.String(), "version=1 before=0 from=copy node=node-2")
}

// A node that starts alone beside such a copy cannot know what was lost. It uses the copy after a while, rather than refuse all requests.
func TestRestoredStore_NodeAloneUsesTheCopy(t *testing.T) {
	earlier, err := encodeCompressed(testDocument(1))
	require.NoError(t, err)
	m := &mesh{t: t, platform: newFakePlatform(), adjust: func(n *Node) { n.follower.copyWait = 100 * time.Millisecond }}
	m.platform.restore(nil, earlier, nil)
	n := m.start(0)
	m.eventually("the copy is in force", func() bool { return n.follower.version() == 1 })
	assert.Contains(t, m.log.String(), "event=configuration_copy_earlier")
}

// The store loses the end of a roll-out: the version that was rolled back gets no request, and the end is written again.
func TestRestoredStore_RolledBackVersionStaysOut(t *testing.T) {
	r := newRolloutMesh(t, 3, 2, 20*time.Second, 3)
	r.platform.mu.Lock()
	canary := append([]rollout.State(nil), r.platform.rollouts...)
	r.platform.mu.Unlock()
	r.eventually("the roll-out ends", func() bool { return r.phase().IsFinal() })
	require.Equal(t, rollout.RolledBack, r.phase())
	r.eventually("the nodes know", func() bool {
		for _, n := range r.targets {
			if gate := n.inbound.gate.Load(); gate == nil || !gate.State().Phase.IsFinal() {
				return false
			}
		}
		return true
	})
	exposed := executed(r.targets)
	r.platform.mu.Lock()
	document, copied, statuses := r.platform.document, r.platform.copied, len(r.platform.statuses)
	r.platform.mu.Unlock()
	r.platform.restore(document, copied, canary)
	require.Equal(t, rollout.Canary, r.phase())
	r.eventually("the end is written again", func() bool { return r.phase() == rollout.RolledBack })
	r.eventually("the operators are told again", func() bool {
		r.platform.mu.Lock()
		defer r.platform.mu.Unlock()
		return len(r.platform.statuses) > statuses
	})
	sent := r.sent.Load()
	r.eventually("requests are served", func() bool { return r.sent.Load() > sent+100 })
	assert.Equal(t, exposed, executed(r.targets), "requests reached a version that was rolled back")
}
