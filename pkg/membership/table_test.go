package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawMember(t *rapid.T) Member {
	m := Member{
		ID:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Counter:     rapid.Uint64Range(0, 3).Draw(t, "counter"),
		Status:      rapid.SampledFrom(statusOrder[:]).Draw(t, "status"),
	}
	if rapid.Bool().Draw(t, "full") {
		m.ControlAddress = m.ID + ":1"
	}
	if sequence := rapid.Uint64Range(0, 3).Draw(t, "sequence"); sequence > 0 {
		m.Endpoint = &Endpoint{Service: "tracker", Sequence: sequence, Slots: int(sequence)}
	}
	return m
}

func contents(table *Table) map[string]Member {
	members := make(map[string]Member)
	for id, e := range table.entries {
		members[id] = e.copyMember()
	}
	return members
}

// Guards against tables that differ because the same updates arrived in another order or twice.
func TestMerge_OrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(t, "updates")
		shuffled := rapid.Permutation(append(updates, updates[0])).Draw(t, "shuffled")
		one, other := NewTable(time.Minute), NewTable(time.Minute)
		for _, m := range updates {
			one.Merge(epoch, m, 0)
		}
		for _, m := range shuffled {
			other.Merge(epoch, m, 0)
		}
		if one.digest() != other.digest() {
			t.Fatalf("digests differ")
		}
		require.Equal(t, contents(one), contents(other))
	})
}

// Guards against the precedence rules of section 4.1 and 6 being changed by accident.
func TestMergePrecedence(t *testing.T) {
	base := Member{ID: "a", Incarnation: 2, Counter: 5, Status: Suspect, ControlAddress: "a:1", Endpoint: &Endpoint{Sequence: 3}}
	for name, c := range map[string]struct {
		update  Member
		changes bool
	}{
		"lower incarnation":       {Member{Incarnation: 1, Counter: 9, Status: Left}, false},
		"higher incarnation":      {Member{Incarnation: 3, Status: Alive}, true},
		"lower counter":           {Member{Incarnation: 2, Counter: 4, Status: Left}, false},
		"alive at same counter":   {Member{Incarnation: 2, Counter: 5, Status: Alive}, false},
		"alive at higher counter": {Member{Incarnation: 2, Counter: 6, Status: Alive}, true},
		"dead at same counter":    {Member{Incarnation: 2, Counter: 5, Status: Dead}, true},
		"older endpoint":          {Member{Incarnation: 2, Counter: 5, Status: Suspect, Endpoint: &Endpoint{Sequence: 2}}, false},
		"newer endpoint":          {Member{Incarnation: 2, Counter: 5, Status: Suspect, Endpoint: &Endpoint{Sequence: 4}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(time.Minute)
			table.Merge(epoch, base, 0)
			c.update.ID = "a"
			require.Equal(t, c.changes, table.Merge(epoch, c.update, 0))
		})
	}
}

// Guards against dead members that stay forever, that come back by stale gossip, or that are passed on past their time.
func TestEndedMembers_RemovedAndNotRevived(t *testing.T) {
	table := NewTable(time.Minute)
	alive := Member{ID: "a", Incarnation: 1, Status: Alive, ControlAddress: "a:1"}
	dead := alive
	dead.Status = Dead
	table.Merge(epoch, alive, 0)
	table.Merge(epoch, dead, 20*time.Second)
	empty := NewTable(time.Minute).digest()

	require.False(t, table.Merge(epoch.Add(39*time.Second), alive, 0))
	require.Empty(t, table.forgetEnded(epoch.Add(39*time.Second)))
	require.Equal(t, 59*time.Second, table.entries["a"].age(epoch.Add(39*time.Second)))
	require.Equal(t, []string{"a"}, table.forgetEnded(epoch.Add(40*time.Second)))
	require.Equal(t, empty, table.digest())
	require.False(t, table.Merge(epoch, dead, time.Minute), "an expired death is not taken in again")
}
