package sidecar

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newReaderOrder starts a mesh in one data centre and returns its nodes in the order in which they become readers.
func newReaderOrder(t *testing.T, size int) (*mesh, []*testNode) {
	m := newDataCentre(t, size)
	order := slices.SortedFunc(slices.Values(m.nodes), func(a, b *testNode) int {
		return cmp.Compare(xxhash.Sum64String(a.settings.ID), xxhash.Sum64String(b.settings.ID))
	})
	m.eventually("the readers are the first nodes", func() bool {
		readers := 0
		for _, n := range order {
			if n.follower.isReader() {
				readers++
			}
		}
		return readers == readersPerDataCentre && order[0].follower.isReader() && order[1].follower.isReader()
	})
	return m, order
}

// pollersDuring returns the number of nodes that poll the store during a time.
func (p *fakePlatform) pollersDuring(d time.Duration) int {
	p.mu.Lock()
	clear(p.pollers)
	p.mu.Unlock()
	time.Sleep(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pollers)
}

// Guards against configurations that do not come into force on any node of a data centre while the store serves all its nodes but the readers.
func TestTurnedAwayReaders_OtherNodesRead(t *testing.T) {
	for _, turnedAway := range []int{readersPerDataCentre, readersPerDataCentre + 3} {
		t.Run(fmt.Sprintf("%d of 8 nodes", turnedAway), func(t *testing.T) {
			t.Parallel()
			m, order := newReaderOrder(t, 8)
			m.platform.refuse(true, order[:turnedAway]...)
			for version := uint64(2); version < 5; version++ {
				published := time.Now()
				m.platform.publish(testDocument(version))
				for _, n := range m.nodes {
					for n.follower.version() != version && time.Since(published) < 2*testStoreRecovery {
						time.Sleep(time.Millisecond)
					}
					require.Equal(t, version, n.follower.version())
				}
				assert.Less(t, time.Since(published), testStoreRecovery)
				time.Sleep(time.Second)
			}
		})
	}
}

// Guards against a fleet that reads the store with all nodes while it is down, or with more nodes than needed after it has recovered.
func TestTurnedAwayReaders_SubstitutesAreBounded(t *testing.T) {
	m, order := newReaderOrder(t, 12)
	m.platform.refuse(true, order...)
	m.platform.publish(testDocument(2))
	during := m.platform.pollersDuring(substituteTerm)
	assert.Greater(t, during, readersPerDataCentre)
	assert.LessOrEqual(t, during, readersPerDataCentre+maxSubstitutes)
	m.platform.refuse(false, order...)
	m.eventually("the configuration is in force on all nodes", func() bool {
		return !slices.ContainsFunc(m.nodes, func(n *testNode) bool { return n.follower.version() != 2 })
	})
	time.Sleep(substituteTerm + standbyPollWait)
	assert.Equal(t, readersPerDataCentre, m.platform.pollersDuring(standbyPollWait+time.Second))
}
