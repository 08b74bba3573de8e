package sidecar

import (
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
)

// leaveStaleContacts leaves entries in the directory, as of nodes that could not remove theirs when they stopped. They come first in the order
// that determines the readers of the data centre.
func (m *mesh) leaveStaleContacts(count int) {
	first := min(xxhash.Sum64String(m.nodes[0].settings.ID), xxhash.Sum64String(m.nodes[1].settings.ID))
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	for i := 0; count > 0; i++ {
		id := "stale-" + strconv.Itoa(i)
		if xxhash.Sum64String(id) > first {
			continue
		}
		count--
		m.platform.contacts = append(m.platform.contacts, Contact{
			ID: id, Region: "r", DataCentre: m.dataCentre, Control: freeAddress(m.t), Nodes: freeAddress(m.t), Incarnation: uint64(time.Now().UnixMilli()),
		})
	}
}

// Guards against a version that is late on all nodes after the whole fleet was restarted: nodes that had left, but are still in the directory,
// counted as the readers of their data centre until they were declared dead.
func TestRestartOfAllNodes_StaleDirectoryDoesNotDelayVersions(t *testing.T) {
	m := newDataCentre(t, 2)
	m.awaitCopy()
	m.stopAll()
	m.leaveStaleContacts(8)

	started := time.Now()
	m.startAllAgain()
	time.Sleep(500 * time.Millisecond)
	m.platform.publish(testDocument(2))
	for _, n := range m.nodes {
		m.eventually("the version is in force", func() bool { return n.follower.version() == 2 })
	}
	assert.Less(t, time.Since(started), testStoreRecovery)
}
