package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// Guards against members that depend on a frozen reader: the other reader alone must reach every member over the relay tree. Also
// guards against members with more relay parents than there are readers.
func TestRelay_ReachesEveryMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "members")
		members := make([]membership.Member, n)
		for i := range members {
			members[i] = membership.Member{ID: fmt.Sprintf("n%d", i), DataCentre: "a", Status: membership.Alive}
		}
		order := assignRoles(members[0], members).order
		parents := map[string]int{}
		for i := range order {
			for _, child := range (&roles{order: order, selfIndex: i}).children() {
				parents[child.ID]++
			}
		}
		for root := range min(readersPerDataCentre, n) {
			reached := map[string]bool{order[root].ID: true}
			for queue := []int{root}; len(queue) > 0; queue = queue[1:] {
				for _, child := range (&roles{order: order, selfIndex: queue[0]}).children() {
					if !reached[child.ID] && indexOf(order, child.ID) >= readersPerDataCentre {
						reached[child.ID] = true
						queue = append(queue, indexOf(order, child.ID))
					}
				}
			}
			for i, m := range order {
				if i >= readersPerDataCentre && (!reached[m.ID] || parents[m.ID] > readersPerDataCentre) {
					t.Fatalf("member %d of %d: reached %v, %d parents", i, n, reached[m.ID], parents[m.ID])
				}
			}
		}
	})
}

// Guards against a suspect member keeping the reader role, and against fewer than two readers per data centre.
func TestRoles_IgnoreSuspects(t *testing.T) {
	var members []membership.Member
	for i := range 9 {
		m := membership.Member{ID: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("c%d", i%3), Status: membership.Alive}
		members = append(members, m)
	}
	first := assignRoles(members[0], members)
	require.Len(t, first.remoteReaders, 4)
	for i := range members {
		if members[i].ID == first.remoteReaders[0].ID {
			members[i].Status = membership.Suspect
		}
	}
	second := assignRoles(members[0], members)
	require.Len(t, second.remoteReaders, 4)
	require.NotContains(t, second.remoteReaders, first.remoteReaders[0])
	require.Equal(t, 7, second.peerCount)
}

// Guards against synchronized retries and against unbounded backoff.
func TestBackoff_FullJitterAndBound(t *testing.T) {
	timing := Timing{}.withDefaults()
	rng := rand.New(rand.NewPCG(1, 1))
	for failures := range 100 {
		limit := min(timing.RetryBase<<min(failures, 16), timing.RetryMax)
		low := false
		for range 100 {
			d := timing.backoff(rng, failures)
			require.True(t, d >= 0 && d < limit)
			low = low || d < limit/4
		}
		require.True(t, low)
	}
}

// Guards against concurrent runs of one action and against actions that start before they are due.
func TestDecide_StartsDueActionsOnce(t *testing.T) {
	timing := Timing{}.withDefaults()
	now := time.Unix(1000, 0)
	scheduler := scheduler{pull: pullState{target: 5}}
	scheduler.start.ready = true
	scheduler.start.peersQueried = true
	scheduler.roles = roles{order: []membership.Member{{ID: "x"}}, writerRank: -1}
	require.Equal(t, []action{actRead, actPull}, scheduler.decide(now, 4, timing))
	require.Empty(t, scheduler.decide(now, 4, timing))
	scheduler.read.finish(errDisconnected, now, 0, rand.New(rand.NewPCG(1, 1)), timing)
	scheduler.pull.job.finish(&retryAfterError{delay: time.Hour}, now, 0, rand.New(rand.NewPCG(1, 1)), timing)
	require.Empty(t, scheduler.decide(now, 4, timing))
	require.Equal(t, []action{actRead}, scheduler.decide(now.Add(timing.RetryBase), 4, timing))
	require.Equal(t, []action{actPull}, scheduler.decide(now.Add(time.Hour), 4, timing))
}

// Guards against recomputing the roles while the members are unchanged: the CPU time grows with the number of members.
func TestRoles_ComputedOnlyAfterChanges(t *testing.T) {
	version, computed := uint64(1), 0
	members := []membership.Member{{ID: "a", DataCentre: "x", Status: membership.Alive}, {ID: "b", DataCentre: "x", Status: membership.Alive}}
	d := New(Options{
		Self: members[0], Server: rpc.NewServer(&rpc.Counters{}), MembersVersion: func() uint64 { return version },
		Members: func() []membership.Member { computed++; return members },
	})
	now := time.Now()
	for i := range 5 {
		d.refreshRoles(now.Add(time.Duration(i) * time.Second))
	}
	require.Equal(t, 1, computed)
	version, members = 2, members[:1]
	d.refreshRoles(now.Add(time.Minute))
	require.Equal(t, 2, computed)
	require.Len(t, d.currentRoles().order, 1)
}
