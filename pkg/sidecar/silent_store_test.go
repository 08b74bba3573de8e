package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// testStoreRecovery is the time after a fault of the store after which configurations must be in force in time again.
const testStoreRecovery = 3 * time.Second

// activationTime returns how long it takes until a configuration that is published now is in force on the node.
func (m *mesh) activationTime(n *testNode, version uint64) time.Duration {
	m.t.Helper()
	published := time.Now()
	m.platform.publish(testDocument(version))
	m.eventually("the configuration is in force", func() bool { return n.follower.version() == version })
	return time.Since(published)
}

// Guards against configurations that come into force late on all nodes after the store was silent for a while: it has dropped a poll that was sent
// just before it recovered, and the reader waits for the response.
func TestSilentStore_DroppedPollIsNoticedInTime(t *testing.T) {
	for name, silence := range map[string]time.Duration{"short": 0, "long": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, 1)
			m.platform.awaitPoll()
			m.platform.awaitPoll()
			m.platform.dropPolls(true)
			if silence > 0 {
				time.Sleep(silence)
				m.platform.awaitPoll()
			}
			m.platform.dropPolls(false)
			assert.Less(t, m.activationTime(m.nodes[0], 2), testStoreRecovery)
		})
	}
}

// Guards against a second reader that waits for a poll that the store has dropped, after the first reader of its data centre has left.
func TestSilentStore_PromotedReaderPollsAgain(t *testing.T) {
	m := newDataCentre(t, 2)
	first, second := m.nodes[0], m.nodes[1]
	if first.follower.isStandby() {
		first, second = second, first
	}
	m.eventually("the second reader polls", func() bool {
		m.platform.mu.Lock()
		defer m.platform.mu.Unlock()
		return m.platform.waits[second.settings.ID] == standbyPollWait
	})
	require.True(t, second.follower.isStandby())
	m.platform.dropPolls(true)
	m.platform.dropPolls(false)
	m.stop(first)
	assert.Less(t, m.activationTime(second, 2), testStoreRecovery)
}

// Guards against nodes that read whole configurations in place of a reader whose link is full, or whose position the store has deleted.
func TestPoller_TurnedAwayAfterTwoFailures(t *testing.T) {
	unavailable, deleted := apierror.New(apierror.Unavailable, "store: timeout", ""), apierror.New(apierror.NotFound, "store: deleted", "")
	incomplete := fmt.Errorf("%w: %w", ErrIncompleteResponse, unavailable)
	p := newPoller(nil, 0, nil)
	assert.False(t, p.isTurnedAway(unavailable, false))
	assert.True(t, p.isTurnedAway(unavailable, true))
	p.failed(t.Context(), time.Now())
	assert.True(t, p.isTurnedAway(unavailable, false))
	for _, err := range []error{deleted, incomplete} {
		assert.False(t, p.isTurnedAway(err, false), "%v", err)
		assert.False(t, p.isTurnedAway(err, true), "%v", err)
	}
	p.succeeded()
	assert.False(t, p.isTurnedAway(unavailable, false))
}

// Guards against polls that outlast the recovery time that the operators require, and against ones that follow each other without need.
func TestPoller_WaitFitsRecoveryTime(t *testing.T) {
	for recovery, want := range map[time.Duration]time.Duration{
		0: 1250 * time.Millisecond, 3 * time.Second: 1250 * time.Millisecond, 4 * time.Second: 2250 * time.Millisecond,
		time.Second: minPollWait, time.Minute: maxPollWait,
	} {
		assert.Equal(t, want, newPoller(nil, recovery, nil).wait, "%s", recovery)
	}
}
