package admission

import "sync/atomic"

// nestedCalls counts the nested calls that go before all others. A nested call that is refused wastes the slot that its parent holds, so nested
// calls go first. But they may take only a part of the slots ahead of more urgent callers: beyond it, they have the rank of their parent, ahead
// of first-hand calls of that rank.
type nestedCalls struct {
	waiting, running int
}

// rankNested determines the rank of a nested call.
func (s *Scheduler) rankNested(c *Ticket) {
	c.Nested = c.Nested || c.Rank == Nested
	if c.Nested && float64(s.nested.waiting+s.nested.running) < s.policy.NestedShare*float64(s.slots) {
		c.Rank = Nested
	}
}

func (n *nestedCalls) granted(c *Ticket) {
	if c.Rank == Nested {
		n.running++
	}
}

func (n *nestedCalls) finished(c *Ticket) {
	if c.Rank == Nested {
		n.running--
	}
}

// queued counts a call that enters the queue, or with -1 one that leaves it.
func (n *nestedCalls) queued(c *Ticket, count int) {
	if c.Rank == Nested {
		n.waiting += count
	}
}

// RunningRanks counts the calls that a backend server runs by rank, for the parent's rank of the calls that it makes meanwhile. Which of the running
// calls makes a nested one is not known, so it is taken for one of the most urgent of them. RunningRanks is safe for concurrent use.
type RunningRanks struct {
	counts [maxCountedRank + 1]atomic.Int32
}

// maxCountedRank is the least urgent rank that is told apart. Configurations use only a few.
const maxCountedRank = 15

// Add adds n running calls of a rank. Calls of an unknown rank are not counted.
func (r *RunningRanks) Add(rank, n int) {
	if rank >= 0 {
		r.counts[min(rank, maxCountedRank)].Add(int32(n))
	}
}

// MostUrgent returns the most urgent rank that is running, or Nested if no rank is known.
func (r *RunningRanks) MostUrgent() int {
	for rank := range r.counts {
		if r.counts[rank].Load() > 0 {
			return rank
		}
	}
	return Nested
}
