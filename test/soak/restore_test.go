package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	storeRestores    = 4                      // per seed
	maxStoreOutage   = 700 * time.Millisecond // before the store comes back from the copy
	maxServerDelay   = 300 * time.Millisecond // between the nodes that reach it again
	restartPause     = 300 * time.Millisecond
	readTime         = time.Second // until the readers have read the latest record
	versionCheckStep = 20 * time.Millisecond
)

// Guards against a store that comes back from a copy: versions that are in force are lost there, and offsets are given out again, while
// processes are killed and start. No node returns to an older version, and a version that is published then takes effect on all of them.
func TestRestoredStore(t *testing.T) {
	forEachSeed(t, runRestoredStore, *size)
}

// runRestoredStore sets the store back several times under load and returns the violations.
func runRestoredStore(t *testing.T, program string, seed uint64, size int) []violation {
	random := rand.New(rand.NewPCG(seed, 3))
	cl := newCluster(t, program, size)
	cl.startCallers(1)
	cl.startProbes()
	for range storeRestores {
		cl.restoreStore(random)
		cl.checkNewestVersion(configApply + settleTime)
	}
	return cl.finish(t, seed)
}

// restoreStore makes the store unreachable and lets it come back without its newest records, of which a version in force may be one. As many
// are written again, so that the offsets that the readers wait for exist; the next version is the first of them.
func (cl *cluster) restoreStore(random *rand.Rand) {
	backup := cl.store.Backup()
	lost := 1 + random.IntN(2)
	cl.putUnrelated(lost)
	if random.IntN(2) == 0 {
		cl.publish(func(*routing.Document) {})
		lost++
		cl.checkNewestVersion(configApply + settleTime)
	}
	time.Sleep(readTime)
	defer cl.checker.beginFault()()
	for _, n := range cl.nodes {
		n.storeServer.SetFault(standin.Fault{Reset: true})
	}
	time.Sleep(time.Duration(random.Int64N(int64(maxStoreOutage))))
	cl.store.Restore(backup)
	cl.publish(func(*routing.Document) {})
	cl.putUnrelated(lost - 1)
	if random.IntN(2) == 0 {
		cl.restart(cl.nodes[random.IntN(len(cl.nodes))], syscall.SIGKILL, restartPause)
	}
	for _, i := range random.Perm(len(cl.nodes)) {
		cl.nodes[i].storeServer.SetFault(standin.Fault{})
		time.Sleep(time.Duration(random.Int64N(int64(maxServerDelay))))
	}
}

// putUnrelated writes records that do not concern the nodes to the topic that they read.
func (cl *cluster) putUnrelated(count int) {
	for range count {
		cl.store.Put(wire.OperatorsTopic, "unrelated", []byte("x"))
	}
}

// checkNewestVersion waits until the newest version is in force on all nodes. It is a violation if that takes too long.
func (cl *cluster) checkNewestVersion(within time.Duration) {
	version, deadline := cl.version(), time.Now().Add(within)
	for _, n := range cl.nodes {
		c := &caller{cluster: cl, node: n, name: fmt.Sprintf("%s-check-%d", n.id, version)}
		for {
			// An error is inconclusive, so the node is asked again.
			if ok, _ := c.hasVersion(version); ok {
				break
			}
			if time.Now().After(deadline) {
				cl.checker.addViolation(guaranteeConfigApplied, "%s did not have version %d within %s", n.id, version, within)
				break
			}
			time.Sleep(versionCheckStep)
		}
		c.closeConn()
	}
}
