package outbound

import (
	"sync"
	"time"
)

// Budgets bound the extra load that retries and hedges may cause. With a share of 10% of successes, each hop multiplies
// the load by at most 1.1, and 10 hops by at most 1.1^10 = 2.6.
const (
	retryShare          = 0.1
	retryFloor          = 3.0  // tokens that are refilled over time, so that a quiet node can retry at all
	retryFloorPerSecond = 0.5  // refill of the floor
	retryMax            = 50.0 // saved tokens, so that a long good time does not pay for a retry storm
	hedgeShare          = 0.05
	hedgeFloor          = 1.0
	hedgeFloorPerSecond = 0.2
	hedgeMax            = 20.0
)

// budget is a token bucket that is filled by successes, and by time up to a small floor. It is safe for concurrent use.
type budget struct {
	share, floor, perSecond, max float64

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

func newRetryBudget() *budget {
	return &budget{share: retryShare, floor: retryFloor, perSecond: retryFloorPerSecond, max: retryMax, tokens: retryFloor}
}

func newHedgeBudget() *budget {
	return &budget{share: hedgeShare, floor: hedgeFloor, perSecond: hedgeFloorPerSecond, max: hedgeMax, tokens: hedgeFloor}
}

// earn records one success.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.max, b.tokens+b.share)
}

// take uses one token, or returns false if there is none.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill raises the tokens towards the floor for the time since the last refill.
func (b *budget) refill(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.refilled).Seconds()
	first := b.refilled.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	b.refilled = now
	if first || b.tokens >= b.floor {
		return
	}
	b.tokens = min(b.floor, b.tokens+elapsed*b.perSecond)
}

// budgets holds one budget for each rank.
type budgets struct {
	create func() *budget
	mu     sync.RWMutex
	byRank map[string]*budget
}

func newBudgets(create func() *budget) *budgets {
	return &budgets{create: create, byRank: make(map[string]*budget)}
}

func (b *budgets) of(rank string) *budget {
	b.mu.RLock()
	found := b.byRank[rank]
	b.mu.RUnlock()
	if found != nil {
		return found
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if found = b.byRank[rank]; found == nil {
		found = b.create()
		b.byRank[rank] = found
	}
	return found
}

// refill refills all budgets and forgets those of ranks that keep reports as no longer configured.
func (b *budgets) refill(now time.Time, keep func(rank string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rank, one := range b.byRank {
		if !keep(rank) {
			delete(b.byRank, rank)
			continue
		}
		one.refill(now)
	}
}
