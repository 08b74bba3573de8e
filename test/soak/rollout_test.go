package soak

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

// rollout is a roll-out of service beta to v2 on a cluster of processes, with callers.
type rollout struct {
	*cluster
	share, slack float64 // bound of the exposure
	base, target []*node
}

const (
	rolloutSize     = 12
	rolloutDuration = 10 * time.Second
	turnsBadAfter   = 6 * time.Second // some bad versions, before the requests move
)

// startRollout starts a cluster, gives half of the nodes of the service instances of v2 with a misbehaviour, and orders the roll-out.
func startRollout(t *testing.T, program string, fault misbehaviour, share, slack float64) *rollout {
	r := &rollout{share: share, slack: slack}
	r.cluster = newAdjustedCluster(t, program, rolloutSize, func(s *sidecar.Settings) { s.Bounds.ExposureShare, s.Bounds.ExposureSlack = share, slack })
	for _, n := range r.nodes {
		switch {
		case n.service() != "beta":
		case len(r.base) <= len(r.target):
			r.base = append(r.base, n)
		default:
			r.target = append(r.target, n)
			n.backend.retire()
			n.backend.executed.Store(0)
			n.backend.version.Store("v2")
			n.backend.misbehave(fault)
		}
	}
	require.NoError(t, r.store.OrderRollout("beta", "v2", rolloutDuration))
	require.Eventually(t, func() bool { return r.store.RolloutState("beta") == wire.RolloutRunning }, startTimeout, 10*time.Millisecond)
	for _, n := range r.target {
		require.NoError(t, n.backend.start("beta"))
	}
	for _, n := range r.nodes {
		for i := range callersPerNode {
			c := &caller{cluster: r.cluster, node: n, name: fmt.Sprintf("%s-c%d", n.id, i)}
			r.callers.Go(c.run)
		}
	}
	return r
}

func (r *rollout) awaitEnd() string {
	require.Eventually(r.t, func() bool { return r.store.RolloutState("beta") != wire.RolloutRunning }, rolloutDuration+startTimeout, 5*time.Millisecond)
	return r.store.RolloutState("beta")
}

func (r *rollout) executed(nodes []*node) int64 {
	n := int64(0)
	for _, node := range nodes {
		n += node.backend.executed.Load()
	}
	return n
}

// end stops the callers and reports what the checker found.
func (r *rollout) end() {
	close(r.done)
	r.callers.Wait()
	reportViolations(r.t, r.checker.allViolations())
	if r.t.Failed() {
		r.t.Log("node logs in ", r.dir)
	}
}

// A good version is completed; the instances of the base version stop at that moment, and no request is on them or reaches them.
func TestRollout_GoodVersionReplacesBase(t *testing.T) {
	t.Parallel()
	r := startRollout(t, program, correct, exposureShare, exposureSlack)
	assert.Equal(t, wire.RolloutCompleted, r.awaitEnd())
	before := r.executed(r.base)
	for _, n := range r.base {
		assert.Zero(t, n.backend.load(), "requests are lost on %s", n.id)
	}
	time.Sleep(time.Second)
	assert.Equal(t, before, r.executed(r.base), "a request reached the base version after the end")
	for _, n := range r.base {
		n.backend.crash()
	}
	require.Empty(t, r.unservedRoutes(recoveryBound))
	r.end()
}

// A version that fails most requests is rolled back within the exposure limit, although a node that may be deciding is frozen meanwhile.
func TestRollout_BadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	r := startRollout(t, program, respondsWith500, exposureShare, exposureSlack)
	for _, n := range r.base {
		require.NoError(t, n.process.Signal(syscall.SIGSTOP))
		time.Sleep(time.Second)
		require.NoError(t, n.process.Signal(syscall.SIGCONT))
		n.expectUnresponsive(settleTime)
	}
	assert.Equal(t, wire.RolloutRolledBack, r.awaitEnd())
	time.Sleep(rollbackBound)
	exposed := r.executed(r.target)
	assert.Positive(t, exposed)
	assert.LessOrEqual(t, float64(exposed), exposureShare*float64(exposed+r.executed(r.base))+exposureSlack)
	time.Sleep(time.Second)
	assert.Equal(t, exposed, r.executed(r.target), "a request reached the version after the roll-back bound")
	r.end()
}

// rolloutFaults are the kinds of events that a roll-out has to withstand. Those that change backend servers or routes would change what the
// checks compare.
var rolloutFaults = []kind{
	stopNode, reloadNode, growRoutes, shrinkRoutes, killNode, freezeNode, stepClock, delayLink, resetLink, oneWayLink, silenceLink, isolateCentre, storeFaults,
	compactStore,
}

// Guards against a roll-out that exposes too much to a bad version, completes while the base version still has requests, or changes its mind,
// while nodes, links and the store fail. A good version may be rolled back because of the faults.
func TestRollout_UnderFaults(t *testing.T) {
	forEachSeed(t, runRollout, rolloutSize)
}

// runRollout runs a roll-out of a good or a bad version under the faults of a seed, and returns the violations.
func runRollout(t *testing.T, program string, seed uint64, size int) []violation {
	events := slices.DeleteFunc(schedule(seed, size), func(e event) bool { return !slices.Contains(rolloutFaults, e.kind) })
	faults := []misbehaviour{respondsWith500, correct, respondsSlowly, respondsWith500}
	variant := int(seed % uint64(len(faults)))
	return runRolloutWith(t, program, faults[variant], variant == len(faults)-1, events)
}

// runGoodRollout runs a roll-out of a good version without faults, and returns the violations.
func runGoodRollout(t *testing.T, program string, _ uint64, _ int) []violation {
	return runRolloutWith(t, program, correct, false, nil)
}

// runLateBadRollout runs a roll-out of a version that turns bad after a while without faults, and returns the violations.
func runLateBadRollout(t *testing.T, program string, _ uint64, _ int) []violation {
	return runRolloutWith(t, program, respondsWith500, true, nil)
}

// runRolloutWith runs a roll-out of a version with a fault, which it may only show after a while, and returns the violations.
func runRolloutWith(t *testing.T, program string, fault misbehaviour, turnsBad bool, events []event) []violation {
	first, share, slack := fault, exposureShare, float64(exposureSlack)
	if fault != correct {
		share, slack = share/2, slack/5 // so that the few callers here can exceed it
	}
	if turnsBad {
		first = correct
	}
	r := startRollout(t, program, first, share, slack)
	misbehave := func(m misbehaviour) {
		for _, n := range slices.Concat(r.base, r.target) {
			if m == respondsSlowly || slices.Contains(r.target, n) {
				n.backend.misbehave(m)
			}
		}
	}
	if fault == correct {
		misbehave(respondsSlowly) // both versions, so that requests are always on their way
	}
	if turnsBad {
		time.AfterFunc(turnsBadAfter, func() { misbehave(fault) })
	}
	done := make(chan struct{})
	go func() { defer close(done); r.runEvents(events) }()

	state := r.awaitEnd()
	if state == wire.RolloutCompleted {
		r.checkCompleted(fault)
	}
	<-done
	r.endFaults()
	time.Sleep(rollbackBound)
	if state == wire.RolloutRolledBack {
		r.checkRolledBack(fault)
	}
	if now := r.store.RolloutState("beta"); now != state {
		r.checker.addViolation(guaranteeRollout, "the state changed from %s to %s", state, now)
	}
	close(r.done)
	r.callers.Wait()
	t.Logf("version=%q %s: %d requests to v2, %d to v1; node logs in %s if it failed", fault, state, r.executed(r.target), r.executed(r.base), r.dir)
	return slices.DeleteFunc(r.checker.allViolations(), func(v violation) bool { return v.guarantee != guaranteeRollout })
}

// checkCompleted checks a roll-out at the moment of its completion: the base instances would stop now.
func (r *rollout) checkCompleted(fault misbehaviour) {
	before := r.executed(r.base)
	for _, n := range r.base {
		if load := n.backend.load(); load > 0 {
			r.checker.addViolation(guaranteeRollout, "completed with %d requests on %s", load, n.id)
		}
	}
	if fault != correct {
		r.checker.addViolation(guaranteeRollout, "a version that %s was completed", fault)
	}
	time.Sleep(time.Second)
	if after := r.executed(r.base); after != before {
		r.checker.addViolation(guaranteeRollout, "%d requests reached the base version after the completion", after-before)
	}
}

// checkRolledBack checks a roll-out after the bound for its end.
func (r *rollout) checkRolledBack(fault misbehaviour) {
	exposed := r.executed(r.target)
	if limit := r.share*float64(exposed+r.executed(r.base)) + r.slack; fault != correct && float64(exposed) > limit {
		r.checker.addViolation(guaranteeRollout, "%d requests reached a version that %s, the limit is %.0f", exposed, fault, limit)
	}
	time.Sleep(time.Second)
	if after := r.executed(r.target); after != exposed {
		r.checker.addViolation(guaranteeRollout, "%d requests reached the version after the roll-back", after-exposed)
	}
}
