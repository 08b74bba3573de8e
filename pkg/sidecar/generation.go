package sidecar

import (
	"strconv"
	"sync"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
)

// StorePosition is a position in a topic of the store. When the store comes back from a copy, it gives out offsets again, under the next
// generation.
type StorePosition struct{ Generation, Offset int64 }

// offsetBits is the number of bits of StorePosition.Ordinal that hold the offset.
const offsetBits = 40

// Ordinal returns a number that is higher for later positions, of any generation.
func (p StorePosition) Ordinal() int64 { return p.Generation<<offsetBits | p.Offset }

// generationOf returns the generation that an ordinal contains.
func generationOf(ordinal int64) int64 { return ordinal >> offsetBits }

// Generations follows the generation of the store that its responses state, so that no result is used that is based on an earlier one. It is
// safe for concurrent use.
type Generations struct {
	metrics *metrics.Registry
	logger  *zap.Logger

	mu       sync.Mutex
	current  int64 // 0: not known
	unstated bool  // a response without a usable generation was logged
	onChange []func()
}

// NewGenerations returns a Generations that knows no generation.
func NewGenerations(m *metrics.Registry, logger *zap.Logger) *Generations {
	return &Generations{metrics: m, logger: logger}
}

// OnChange registers a function to call when the store has come back from a copy. It must be called before any response is checked.
func (g *Generations) OnChange(f func()) { g.onChange = append(g.onChange, f) }

// Current returns the generation that is known to be the latest; 0: none is known.
func (g *Generations) Current() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

// Check compares the generation that a response states with the one that its call was based on, which Current or a StorePosition gave. It
// returns the generation of the response, or an error if the response must not be used: of kind Unavailable for a late one of an earlier
// generation, of kind NotFound if the store has come back from a copy, so that positions and conditions of the call are void. A response that
// states none is taken to be of the current generation.
func (g *Generations) Check(basis int64, stated string) (int64, error) {
	number, err := strconv.ParseInt(stated, 10, 64)
	if err != nil || number <= 0 {
		return g.notStated(basis, stated)
	}
	g.mu.Lock()
	before := g.current
	isLate := number < before && basis < before
	if !isLate {
		g.current = number
	}
	g.mu.Unlock()
	if before == 0 {
		g.metrics.Gauge("store_generation").Update(number)
	}
	switch {
	case isLate:
		g.metrics.Inc("store_response_late")
		g.logger.Info("store_response_late", zap.Int64("generation", before), zap.Int64("of", number))
		return 0, apierror.New(apierror.Unavailable, "store: the response is of an earlier generation", "none; the call is retried automatically")
	case number != before && before != 0:
		g.changed(before, number)
	case basis == number || basis == 0:
		return number, nil
	}
	return 0, apierror.New(apierror.NotFound, "store: it has come back from a copy", "read the newest record of each key")
}

func (g *Generations) notStated(basis int64, stated string) (int64, error) {
	g.mu.Lock()
	isFirst := !g.unstated
	g.unstated = true
	current := g.current
	g.mu.Unlock()
	if stated != "" {
		g.metrics.Inc("store_generation_unreadable")
	} else {
		g.metrics.Inc("store_generation_missing")
	}
	if isFirst {
		g.logger.Info("store_generation_not_stated", zap.String("text", stated), zap.String("remedy", "none; a store that comes back from a copy is not noticed"))
	}
	if basis != 0 && basis != current {
		return 0, apierror.New(apierror.NotFound, "store: it has come back from a copy", "read the newest record of each key")
	}
	return current, nil
}

// changed logs a change of the generation and tells those that wrote to the store.
func (g *Generations) changed(before, now int64) {
	if now > before {
		g.metrics.Inc("store_restored")
		g.logger.Warn("store_restored", zap.Int64("before", before), zap.Int64("generation", now),
			zap.String("remedy", "none; what this system wrote there is written again, and the configuration in force is kept"))
	} else {
		g.metrics.Inc("store_generation_fell")
		g.logger.Error("store_generation_fell", zap.Int64("before", before), zap.Int64("generation", now),
			zap.String("remedy", "check whether another store took over; what this system wrote there is written again"))
	}
	g.metrics.Gauge("store_generation").Update(now)
	for _, f := range g.onChange {
		f()
	}
}
