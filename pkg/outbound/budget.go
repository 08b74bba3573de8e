package outbound

import (
	"sync"
	"time"
)

// Parameters of the budgets that limit the extra load caused by retries and hedges. With a retry ratio of 10% of the
// successes, each hop multiplies the load by at most 1.1, and 10 hops by at most 1.1^10 = 2.6.
const (
	retryRatio           = 0.1
	retryFloorTokens     = 3.0  // tokens refilled over time, so that a node with little traffic can retry
	retryRefillPerSecond = 0.5  // refill rate, up to the floor
	retryMaxTokens       = 50.0 // maximum tokens, so that a long period without retries does not allow a retry storm
	hedgeRatio           = 0.05
	hedgeFloorTokens     = 1.0
	hedgeRefillPerSecond = 0.2
	hedgeMaxTokens       = 20.0
)

// tokenBudget is a token bucket that is filled by successes and, up to a small floor, over time. It is safe for
// concurrent use.
type tokenBudget struct {
	ratio, floor, refillPerSecond, max float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

func newRetryBudget() *tokenBudget {
	return &tokenBudget{ratio: retryRatio, floor: retryFloorTokens, refillPerSecond: retryRefillPerSecond, max: retryMaxTokens, tokens: retryFloorTokens}
}

func newHedgeBudget() *tokenBudget {
	return &tokenBudget{ratio: hedgeRatio, floor: hedgeFloorTokens, refillPerSecond: hedgeRefillPerSecond, max: hedgeMaxTokens, tokens: hedgeFloorTokens}
}

// deposit adds the tokens for one success.
func (b *tokenBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.max, b.tokens+b.ratio)
}

// tryWithdraw takes one token. It returns false if there is none.
func (b *tokenBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds tokens for the time since the last refill, up to the floor.
func (b *tokenBudget) refill(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.lastRefill).Seconds()
	firstRefill := b.lastRefill.IsZero()
	if !firstRefill && elapsed <= 0 {
		return
	}
	b.lastRefill = now
	if firstRefill || b.tokens >= b.floor {
		return
	}
	b.tokens = min(b.floor, b.tokens+elapsed*b.refillPerSecond)
}

// rankBudgets holds one budget per rank.
type rankBudgets struct {
	create func() *tokenBudget
	mu     sync.RWMutex
	byRank map[string]*tokenBudget
}

func newRankBudgets(create func() *tokenBudget) *rankBudgets {
	return &rankBudgets{create: create, byRank: make(map[string]*tokenBudget)}
}

func (b *rankBudgets) forRank(rank string) *tokenBudget {
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

// refill refills all budgets and deletes those of ranks for which keep returns false.
func (b *rankBudgets) refill(now time.Time, keep func(rank string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rank, budget := range b.byRank {
		if !keep(rank) {
			delete(b.byRank, rank)
			continue
		}
		budget.refill(now)
	}
}
