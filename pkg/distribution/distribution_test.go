package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

var errDisconnected = apierror.New(apierror.Unavailable, "the log service is unreachable", "")

// Guards against records that miss a node or are applied in different orders.
func TestPublish_ReachesEveryNode(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(4, "a", "b", "c")
	f.waitReady()
	for i := range 5 {
		result := f.publish(f.runningNodes()[i*2], template(fmt.Sprintf("t%d", i)))
		require.Equal(t, config.Accepted, result.Outcome)
		require.Equal(t, int64(i+1), result.Offset)
	}
	f.waitConverged(5)
	digest := f.node("a1").State().Digest()
	for _, n := range f.runningNodes() {
		require.Equal(t, digest, n.State().Digest())
	}
	f.requireMonotonicVersions()
}

// Guards against nodes other than the readers polling the log: relay and pull must deliver every record to them.
func TestReadLog_OnlyReaders(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(12, "a")
	f.waitReady()
	before := map[string]int{}
	for _, n := range f.runningNodes() {
		before[n.member.ID] = n.log.readCount()
	}
	for i := range 10 {
		f.appendRecord(template(fmt.Sprintf("t%d", i)))
	}
	f.waitConverged(10)
	for _, n := range f.runningNodes() {
		r := n.currentRoles()
		if !r.isReader() {
			require.Equal(t, before[n.member.ID], n.log.readCount(), "%s is not a reader but read the log", n.member.ID)
		}
	}
}
