package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// Guards against a relay tree with a single point of failure: the first reader loses the log but stays alive.
func TestRelay_FirstReaderLosesLog(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(10, "a")
	f.waitReady()
	f.reader("a", 0).log.setDisconnected(true)
	f.appendRecord(template("one"))
	f.waitConverged(1)
}

// Guards against members below a dead relay node staying stale while membership still reports that node as alive.
func TestPull_DeadRelayNode(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(12, "a")
	f.waitReady()
	relay := f.reader("a", 0).currentRoles().order[2]
	f.kill(relay.ID)
	f.setStatus(relay.ID, membership.Alive)
	f.appendRecord(template("one"))
	f.waitConverged(1)
}

// Guards against the reader role staying with members that were declared dead.
func TestRoles_ReadersDie(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(6, "a")
	f.waitReady()
	f.kill(f.reader("a", 0).member.ID)
	f.kill(f.reader("a", 0).member.ID)
	f.appendRecord(template("one"))
	f.waitConverged(1)
}

// Guards against a data centre going stale while it cannot reach the log service. Heartbeats between the data centres are
// dropped too, so that records arrive only by long polls of its readers to remote readers.
func TestPull_DataCentreWithoutLogService(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.mu.Lock()
	f.heartbeatPasses = func(a, b membership.Member) bool { return a.DataCentre == b.DataCentre }
	f.mu.Unlock()
	f.startAll(4, "a", "b")
	f.waitReady()
	for _, n := range f.runningNodes("b") {
		n.log.setDisconnected(true)
	}
	for i := range 3 {
		f.publish(f.node("a1"), template(fmt.Sprintf("t%d", i)))
		f.waitConverged(int64(i + 1))
	}
	f.requireMonotonicVersions()
}

// Guards against stale entries, such as a resumed reader pushes, changing the state, and against entries after a gap being applied.
func TestPush_IgnoresStaleAndGappedEntries(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	n := f.start("a1", "a")
	f.waitReady()
	for i := range 3 {
		f.publish(n, template(fmt.Sprintf("t%d", i)))
	}
	digest := n.State().Digest()
	old := logstore.Entry{Offset: 2, Data: encode(t, template("other"))}
	beyond := logstore.Entry{Offset: 5, Data: encode(t, template("beyond"))}
	content, err := compressEntries([]logstore.Entry{old, beyond})
	require.NoError(t, err)
	params, err := json.Marshal(pushRequest{sender: sender{ID: "x"}, Address: "127.0.0.1:1", Entries: content})
	require.NoError(t, err)
	_, err = n.handlePush(context.Background(), params)
	require.NoError(t, err)
	require.Equal(t, digest, n.State().Digest())
	require.Equal(t, int64(3), n.Snapshot().Version)
}

// Guards against a node becoming ready without configuration, and against a missing reason while it is not ready.
func TestStart_NoPeersNoLog(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Down}))
	n := f.start("a1", "a")
	f.eventually("the reason is stated", func() bool {
		ready, reason := n.Ready()
		require.False(t, ready)
		return len(reason) > 5 && reason[:5] == "alone"
	})
	require.Nil(t, n.Snapshot())
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Up}))
	f.waitReady()
}

// Guards against a restarted node serving an older version than before its restart while the log service is down
// (docs/guarantees.md, G1).
func TestStart_ServesFloorDuringOutage(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(4, "a")
	f.waitReady()
	f.publish(f.node("a1"), template("one"))
	f.waitConverged(1)
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Down}))
	f.kill("a4")
	restarted := f.start("a4", "a")
	f.waitReady()
	f.waitConverged(1, restarted)
	require.Equal(t, []int64{1}, restarted.activatedVersions())
}

// Guards against a node becoming ready below a floor that a peer reports but does not hold itself.
func TestStart_HeldBackBelowFloor(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(3, "a")
	f.waitReady()
	f.publish(f.node("a1"), template("one"))
	f.waitConverged(1)
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Down}))
	f.node("a2").OnHeartbeat(membership.Member{ID: "gone", ControlAddress: "127.0.0.1:1"}, membership.Heartbeat{Version: 2, Digest: "x"})
	f.kill("a3")
	restarted := f.start("a3", "a")
	f.eventually("the node is not ready below offset 2", func() bool {
		_, reason := restarted.Ready()
		return restarted.State().Offset == 1 && len(reason) > 9 && reason[:9] == "held back"
	})
	require.Nil(t, restarted.Snapshot())
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Up}))
	f.appendRecord(template("two"))
	f.waitConverged(2)
	require.Equal(t, []int64{2}, restarted.activatedVersions())
}

// Guards against a version being served that no other node holds: if the node restarted during an outage of the log service,
// no peer would know its floor.
func TestActivation_RequiresPeerConfirmation(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	n := f.start("a1", "a")
	f.waitReady()
	f.addSilentMember("a2")
	f.eventually("the member is known", func() bool { return n.currentRoles().peerCount == 1 })
	f.appendRecord(template("one"))
	f.eventually("the record is applied", func() bool { return n.State().Version == 1 })
	require.Equal(t, int64(0), n.Snapshot().Version)
	n.OnHeartbeat(membership.Member{ID: "a2"}, membership.Heartbeat{Version: 1, Digest: n.State().Digest()})
	require.Equal(t, int64(1), n.Snapshot().Version)
}

// Guards against a delayed push of an earlier incarnation counting as confirmation that the restarted member holds the version.
func TestPush_IgnoresEarlierIncarnation(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	n := f.start("a1", "a")
	f.waitReady()
	restarted, err := json.Marshal(floorRequest{sender{ID: "a2", Incarnation: 2}})
	require.NoError(t, err)
	_, err = n.handleFloor(context.Background(), restarted)
	require.NoError(t, err)
	late, err := json.Marshal(pushRequest{sender: sender{ID: "a2", Incarnation: 1}, position: position{Offset: 9}})
	require.NoError(t, err)
	_, err = n.handlePush(context.Background(), late)
	require.NoError(t, err)
	n.Distributor.mu.Lock()
	defer n.Distributor.mu.Unlock()
	require.Zero(t, n.scheduler.maxPeerOffset)
}

// Guards against members that restarted at the same time confirming to each other a position below the one that they served
// before: none of them is ready, so none may know the floor.
func TestStart_StartingPeersDoNotConfirm(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.appendRecord(template("one"))
	f.startAll(2, "a")
	f.waitConverged(1)
	f.resetReadiness()
	for _, n := range f.runningNodes() {
		f.eventually("the reason is stated", func() bool {
			ready, reason := n.Ready()
			require.False(t, ready)
			return strings.HasPrefix(reason, "no peer that answers is ready")
		})
	}
	f.node("a1").log.setDisconnected(false)
	f.waitReady()
}

// Guards against nodes activating older versions or losing configuration when all nodes of a data centre restart.
func TestStart_MassRestart(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(8, "a", "b")
	f.waitReady()
	for i := range 4 {
		f.publish(f.node("b1"), template(fmt.Sprintf("t%d", i)))
	}
	f.waitConverged(4)
	for i := range 8 {
		f.kill(fmt.Sprintf("a%d", i+1))
	}
	f.startAll(8, "a")
	f.waitConverged(4)
	for _, n := range f.runningNodes("a") {
		require.Equal(t, []int64{4}, n.activatedVersions(), n.member.ID)
	}
}

// Guards against a diverged state staying active: one node applied a different record at an offset.
func TestDivergence_Repaired(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.expectsDivergence = true
	f.startAll(4, "a")
	f.waitReady()
	f.publish(f.node("a1"), template("one"))
	f.waitConverged(1)
	bad := f.node("a2")
	state, _ := config.Apply(config.NewState(), 1, encode(t, template("wrong")))
	bad.store.mu.Lock()
	bad.store.replace(state)
	bad.store.mu.Unlock()
	want := f.node("a1").State().Digest()
	f.eventually("repaired", func() bool { return bad.State().Digest() == want && bad.metrics.Values()["config_repairs"] == 1 })
	require.Equal(t, f.node("a1").Snapshot().Digest, bad.Snapshot().Digest)
	require.NotZero(t, bad.metrics.Values()["config_divergence"])
	kinds := map[explain.Kind]bool{}
	for _, e := range bad.events.Events("") {
		kinds[e.Kind] = true
	}
	require.True(t, kinds[explainDiverged] && kinds[explain.Repaired])
	for _, n := range f.runningNodes() {
		require.Equal(t, want, n.State().Digest())
	}
}

// Guards against a node lagging permanently because the records after its position have expired.
func TestPull_RecordsExpired(t *testing.T) {
	for _, withCheckpoint := range []bool{true, false} {
		t.Run(fmt.Sprintf("checkpoint=%v", withCheckpoint), func(t *testing.T) {
			f := newFleet(t, logservice.Options{RetainCount: 3})
			if withCheckpoint {
				f.timing.CheckpointRecords = 2
			}
			f.startAll(3, "a")
			f.waitReady()
			f.publish(f.node("a1"), template("first"))
			f.waitConverged(1)
			f.kill("a3")
			for i := range 8 {
				f.publish(f.node("a1"), template(fmt.Sprintf("t%d", i)))
			}
			f.waitConverged(9, f.node("a1"), f.node("a2"))
			if withCheckpoint {
				f.eventually("a checkpoint is written", func() bool { return f.checkpointOffset() >= 8 })
				f.kill("a1")
				f.kill("a2")
			}
			late := f.start("a3", "a")
			f.waitConverged(9, late)
		})
	}
}

// Guards against invalid records stopping a node or making nodes diverge.
func TestApply_SkipsInvalidRecords(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(3, "a")
	f.waitReady()
	for _, data := range []string{"not JSON \xff", `{"id":1}`, `[]`, `{"id":"x","verb":"publish","entity":{"kind":"template","name":"t"},"base":0,"payload":{"body":{"routes":[{"name":"r"}]}},"author":"a"}`} {
		_, err := f.log.Append(context.Background(), logstore.StreamConfig, json.RawMessage(data))
		require.NoError(t, err)
	}
	last := f.appendRecord(template("good"))
	f.waitConverged(last)
	for _, n := range f.runningNodes() {
		require.Equal(t, f.node("a1").State().Digest(), n.State().Digest())
		f.eventually("the bad records are counted", func() bool { return n.metrics.Values()[`config_records{outcome="invalid"}`] == 3 })
	}
}

// Guards against nodes diverging because a length limit depends on the path of a record: JSON inside a message is compacted
// and escaped, which makes this record longer than the limit.
func TestApply_RecordLimitIndependentOfPath(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(6, "a")
	f.waitReady()
	r := template("big")
	text := make([]byte, 60_000)
	for i := range text {
		text[i] = '<'
	}
	data := fmt.Sprintf(`{"id":"%s","verb":"publish","entity":{"kind":"template","name":"big"},"base":0,"payload":{"description":"%s","body":{}},"author":"a"}`, r.ID, text)
	_, err := f.log.Append(context.Background(), logstore.StreamConfig, json.RawMessage(data))
	require.NoError(t, err)
	last := f.appendRecord(template("next"))
	f.waitConverged(last)
	for _, n := range f.runningNodes() {
		require.Equal(t, f.node("a1").State().Digest(), n.State().Digest())
	}
}

// Guards against unbounded concurrent catch-ups: above the limit a peer responds with a retry delay.
func TestPull_AdmissionLimits(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.timing.MaxCatchUps, f.timing.StatesPerSec = 1, 1
	n := f.start("a1", "a")
	f.waitReady()
	f.publish(n, template("one"))
	ask := func(request string) pullResponse {
		response, err := n.handlePull(context.Background(), json.RawMessage(request))
		require.NoError(t, err)
		return response.(pullResponse)
	}
	require.NotEmpty(t, ask(`{"after":0}`).Entries)
	require.True(t, n.admission.catchUps.TryAcquire(1))
	require.Equal(t, n.timing.CatchUpRetryMS, ask(`{"after":0}`).RetryAfterMS)
	n.admission.catchUps.Release(1)
	require.NotEmpty(t, ask(`{"after":0,"state":true}`).State)
	require.True(t, n.admission.states.AllowN(time.Now(), 0))
	for n.admission.states.Allow() {
	}
	require.Equal(t, n.timing.CatchUpRetryMS, ask(`{"after":0,"state":true}`).RetryAfterMS)
}

// Guards against a checkpoint that depends on its writer, and against a damaged checkpoint being loaded.
func TestCheckpoint_DeterministicAndValidated(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(2, "a")
	f.waitReady()
	f.publish(f.node("a1"), template("one"))
	f.waitConverged(1)
	first, err := encodeCheckpoint(f.node("a1").State())
	require.NoError(t, err)
	second, err := encodeCheckpoint(f.node("a2").State())
	require.NoError(t, err)
	require.Equal(t, string(first), string(second))
	_, err = f.log.Append(context.Background(), logstore.StreamCheckpoints, first)
	require.NoError(t, err)
	damaged := []byte(string(first))
	damaged[len(damaged)/2] ^= 1
	for _, bad := range [][]byte{damaged, []byte(`"text"`), []byte(`{"offset":7,"digest":"x","state":{}}`)} {
		_, err = f.log.Append(context.Background(), logstore.StreamCheckpoints, bad)
		require.NoError(t, err)
	}
	loaded, err := f.node("a1").loadCheckpoints(context.Background())
	require.NoError(t, err)
	require.Len(t, loaded, 1)
	require.Equal(t, f.node("a1").State().Digest(), loaded[0].state.Digest())
}

// Guards against an unchanged configuration expiring from the log.
func TestCheckpoint_RenewedWithoutChanges(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.timing.CheckpointInterval = 100 * time.Millisecond
	f.startAll(2, "a")
	f.waitReady()
	f.publish(f.node("a1"), template("one"))
	f.eventually("three checkpoints", func() bool { return f.checkpointCount() >= 3 })
	require.Equal(t, int64(1), f.checkpointOffset())
}

func (f *fleet) checkpointCount() int64 {
	batch, err := f.log.Read(context.Background(), logstore.StreamCheckpoints, beyondTail, 1, 0)
	require.NoError(f.t, err)
	return batch.Next - 1
}

// checkpointOffset returns the position of the latest checkpoint, or 0.
func (f *fleet) checkpointOffset() int64 {
	batch, err := f.log.Read(context.Background(), logstore.StreamCheckpoints, f.checkpointCount(), 1, 0)
	require.NoError(f.t, err)
	if len(batch.Entries) == 0 {
		return 0
	}
	state, err := decodeCheckpoint(batch.Entries[0].Data)
	require.NoError(f.t, err)
	return state.Offset
}

// addSilentMember adds a member that accepts connections but never responds, like a frozen process.
func (f *fleet) addSilentMember(id string) {
	_, listener := f.addMember(id, "a")
	f.t.Cleanup(func() { listener.Close() })
}

// resetReadiness disconnects all nodes from the log and resets their readiness at the same time. They keep their state.
func (f *fleet) resetReadiness() {
	for _, n := range f.runningNodes() {
		n.log.setDisconnected(true)
		n.Distributor.mu.Lock()
		defer n.Distributor.mu.Unlock()
		s := &n.scheduler.start
		s.ready, s.tailRead, s.peersConfirmed, s.reason = false, false, false, "restarted"
	}
}
