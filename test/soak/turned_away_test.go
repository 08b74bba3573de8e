package soak

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
)

const (
	readersPerDataCentre = 2 // that read the store while it serves all nodes
	refusals             = 3 // per seed
	// noticeTime is how long the store drops the calls of nodes before a version is published; they notice it by then.
	noticeTime = 4 * time.Second
)

// Guards against configurations that come into force on no node while the store silently drops the calls of the nodes that read it, and serves
// the others.
func TestTurnedAwayReaders(t *testing.T) {
	forEachSeed(t, runTurnedAwayReaders, *size)
}

// runTurnedAwayReaders makes the store drop the calls of all readers several times and returns the violations.
func runTurnedAwayReaders(t *testing.T, program string, seed uint64, size int) []violation {
	cl := newProbedCluster(t, program, seed, size)
	for range refusals {
		cl.publish(func(*routing.Document) {}) // ends all polls, so that each reader reads again
		readers := cl.readers(calmBeforeSilence)
		end := cl.checker.beginFault()
		for _, n := range readers {
			n.storeServer.SetFault(standin.Fault{DropCalls: true})
		}
		time.Sleep(noticeTime)
		cl.publish(func(*routing.Document) {})
		cl.checkNewestVersion(settleTime)
		cl.setStoreFault(standin.Fault{})
		end()
	}
	return cl.finish(t, seed)
}

// readers returns the nodes of each data centre that read the store most often during a time.
func (cl *cluster) readers(during time.Duration) []*node {
	reads := cl.readsDuring(during)
	var readers []*node
	for _, dc := range dataCentres {
		var nodes []*node
		for _, n := range cl.nodes {
			if n.dataCentre == dc {
				nodes = append(nodes, n)
			}
		}
		slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(reads[b], reads[a]) })
		readers = append(readers, nodes[:min(readersPerDataCentre, len(nodes))]...)
	}
	return readers
}

// readsDuring returns the number of reads of the store by each node during a time.
func (cl *cluster) readsDuring(during time.Duration) map[*node]int {
	reads := make(map[*node]int, len(cl.nodes))
	for _, n := range cl.nodes {
		reads[n] = -n.storeServer.Reads()
	}
	time.Sleep(during)
	for _, n := range cl.nodes {
		reads[n] += n.storeServer.Reads()
	}
	return reads
}
