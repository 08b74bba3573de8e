package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// restartAll restarts all nodes, so that none is left that knows what the others knew.
func (m *mesh) restartAll() {
	m.stopAll()
	m.startAllAgain()
	m.waitReady()
}

func (m *mesh) stopAll() {
	for _, n := range m.nodes {
		m.stop(n)
	}
}

// startAllAgain starts all nodes, which have ended, with their backend servers.
func (m *mesh) startAllAgain() {
	for i, n := range m.nodes {
		m.nodes[i] = m.startAgain(n)
		m.nodes[i].announce(false)
	}
}

// awaitCopy waits until the store has a copy of the configuration.
func (m *mesh) awaitCopy() {
	m.t.Helper()
	m.eventually("the store has a copy of the configuration", func() bool { return m.platform.copy() != nil })
}

// Guards against a request that crashes backend servers again after all nodes were restarted at the same time.
func TestBlockedRequest_OutlastsRestartOfAllNodes(t *testing.T) {
	m := newMesh(t, 3)
	crashes := m.crashesOnDeadlyRequests(0)
	m.call(m.nodes[0], "GET", deadlyPath, "")
	m.reviveBackends()
	require.EqualValues(t, 2, crashes.Load())
	m.eventually("the store keeps it", func() bool { return m.platform.keptBlocked() == 1 })
	m.awaitCopy()
	m.restartAll()
	for _, n := range m.nodes {
		m.call(n, "GET", deadlyPath, "")
	}
	assert.EqualValues(t, 2, crashes.Load())
}

// Guards against a record that is lost because the store was away when the request was blocked, or came back from a copy.
func TestBlockedRequest_KeptWhenTheStoreIsBack(t *testing.T) {
	m := newMesh(t, 2)
	m.crashesOnDeadlyRequests(0)
	m.platform.refuse(true, m.nodes...)
	m.call(m.nodes[0], "GET", deadlyPath, "")
	m.eventually("a write has failed", func() bool {
		return m.nodes[0].metrics.Counter("quarantine_not_kept").Count()+m.nodes[1].metrics.Counter("quarantine_not_kept").Count() > 0
	})
	assert.Zero(t, m.platform.keptBlocked())
	m.platform.refuse(false, m.nodes...)
	m.eventually("it is kept", func() bool { return m.platform.keptBlocked() == 1 })

	m.platform.mu.Lock()
	clear(m.platform.blocked)
	m.platform.mu.Unlock()
	m.platform.restore(testDocument(1), nil, nil)
	m.eventually("it is kept again", func() bool { return m.platform.keptBlocked() == 1 })
}

// Guards against a request that stays blocked after a restart though it was answered, and against records that stay in the store for ever.
func TestBlockedRequest_RemovedFromTheStore(t *testing.T) {
	m := newMesh(t, 1)
	n := m.nodes[0]
	old := quarantine.Record{Request: m.deadlyFingerprint(), Crashed: []string{"p1", "p2"}, AgeMS: (24 * time.Hour).Milliseconds()}
	m.platform.mu.Lock()
	m.platform.blocked[old.Request] = old
	m.platform.mu.Unlock()
	n.quarantine.observeKept([]quarantine.Record{old})
	m.eventually("an expired record is removed", func() bool { return m.platform.keptBlocked() == 0 })

	m.block(n)
	n.quarantine.keep(m.deadlyFingerprint())
	m.eventually("it is kept", func() bool { return m.platform.keptBlocked() == 1 })
	require.True(t, n.inbound.suspects.Answered(time.Now(), m.deadlyFingerprint()))
	n.quarantine.cleared(m.deadlyFingerprint(), false)
	m.eventually("it is removed after an answer", func() bool { return m.platform.keptBlocked() == 0 })
}
