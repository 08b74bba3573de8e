package distribution

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

var errCut = apierror.New(apierror.Unavailable, "cut off from the log service", "")

// Guards against records that do not reach every node, or reach it in another order.
func TestPublish_ReachesEveryNode(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(4, "a", "b", "c")
	f.ready()
	for i := range 5 {
		result := f.publish(f.every()[i*2], template(fmt.Sprintf("t%d", i)))
		require.Equal(t, config.Accepted, result.Outcome)
		require.Equal(t, int64(i+1), result.Offset)
	}
	f.converged(5)
	digest := f.node("a1").State().Digest()
	for _, n := range f.every() {
		require.Equal(t, digest, n.State().Digest())
	}
	f.monotonic()
}

// Guards against a fleet in which only nodes near the publisher or the root of the tree get records: every node polls
// nothing, so that records arrive only by relay or pull.
func TestReadLog_OnlyReaders(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(12, "a")
	f.ready()
	before := map[string]int{}
	for _, n := range f.every() {
		before[n.member.ID] = n.log.readCount()
	}
	for i := range 10 {
		f.put(template(fmt.Sprintf("t%d", i)))
	}
	f.converged(10)
	for _, n := range f.every() {
		r := n.currentRoles()
		if !r.isReader() {
			require.Equal(t, before[n.member.ID], n.log.readCount(), "%s is no reader", n.member.ID)
		}
	}
}
