package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request is encoded while the table already changes: what it carries is a copy.
func TestStartSync_CopiesDigests(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSystem(RegionalTiming, Member{ID: "a", Incarnation: 1}, nil, rand.New(rand.NewPCG(1, 1)), notices{count: func(string, ...string) {}})
	s.table.merge(now, Member{ID: "b", Incarnation: 1, Status: Alive, ControlAddress: "127.0.0.1:1"}, 0)
	s.mismatchSince, s.mismatchAt = now.Add(-time.Hour), now
	m, due := s.startSync(now, "b")
	require.True(t, due)
	before := slices.Clone(m.sync.Digests)
	s.table.merge(now, Member{ID: "b", Incarnation: 1, Counter: 1, Status: Suspect}, 0)
	assert.Equal(t, before, m.sync.Digests)
}
