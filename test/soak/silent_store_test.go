package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
)

const (
	silences          = 4 // per seed
	calmBeforeSilence = 4 * time.Second
	minSilence        = 3 * time.Second // that is not momentary
	maxSilence        = 9 * time.Second
	maxReadInterval   = 10 * time.Second // of a node that reads the store
	oneDataCentreSize = 3                // number of nodes that are all in the first data centre
	callCheckInterval = 2 * time.Millisecond
)

// Guards against configurations that come into force late on all nodes after the store was silent: it has dropped calls, the last of them just
// before it recovers, and their senders wait for the responses.
func TestSilentStore(t *testing.T) {
	forEachSeed(t, runSilentStore, *size)
}

// newProbedCluster starts a cluster with a caller and a probe at each node. With an odd seed all nodes are in one data centre.
func newProbedCluster(t *testing.T, program string, seed uint64, size int) *cluster {
	if seed%2 == 1 {
		size = oneDataCentreSize
	}
	cl := newCluster(t, program, size)
	cl.startCallers(1)
	cl.startProbes()
	return cl
}

// runSilentStore silences the store several times and returns the violations.
func runSilentStore(t *testing.T, program string, seed uint64, size int) []violation {
	random := rand.New(rand.NewPCG(seed, 5))
	cl := newProbedCluster(t, program, seed, size)
	for range silences {
		cl.silenceStore(random)
	}
	return cl.finish(t, seed)
}

// silenceStore makes the store drop all calls, momentarily or for some seconds, until the node that reads it most has just called, and publishes
// versions before, meanwhile and at the end. During some silences another node is stopped and started.
func (cl *cluster) silenceStore(random *rand.Rand) {
	cl.publish(func(*routing.Document) {})
	reader := cl.mostReading(calmBeforeSilence)
	other := cl.nodes[random.IntN(len(cl.nodes))]
	isMomentary, restarts := random.IntN(2) == 0, random.IntN(2) == 0 && other != reader
	length := minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
	if isMomentary {
		reader.awaitRead()
	}
	end := cl.checker.beginFault()
	cl.setStoreFault(standin.Fault{DropCalls: true})
	if !isMomentary {
		time.Sleep(length / 2)
		cl.publish(func(*routing.Document) {})
		if restarts {
			cl.restart(other, syscall.SIGTERM, restartPause)
		}
		time.Sleep(length / 2)
		reader.awaitRead()
	}
	cl.setStoreFault(standin.Fault{})
	end()
	cl.publish(func(*routing.Document) {})
	cl.checkNewestVersion(settleTime)
}

func (cl *cluster) setStoreFault(f standin.Fault) {
	for _, n := range cl.nodes {
		n.storeServer.SetFault(f)
	}
}

// mostReading returns the node that reads the store most often during a time.
func (cl *cluster) mostReading(during time.Duration) *node {
	reads := cl.readsDuring(during)
	return slices.MaxFunc(cl.nodes, func(a, b *node) int { return cmp.Compare(reads[a], reads[b]) })
}

// awaitRead waits until the node reads the store, for maxReadInterval at most.
func (n *node) awaitRead() {
	before, end := n.storeServer.Reads(), time.Now().Add(maxReadInterval)
	for n.storeServer.Reads() == before && time.Now().Before(end) {
		time.Sleep(callCheckInterval)
	}
}
