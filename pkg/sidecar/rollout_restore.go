package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
)

// remember keeps a state to write it again if the store loses it.
func (r *rollouts) remember(s rollout.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[s.Order.Service] = s
}

// Run writes the last phases of roll-outs again when the store has come back from a copy, until ctx ends. The decider of one that still runs
// does so itself.
func (r *rollouts) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.restored:
		}
		r.mu.Lock()
		states := slices.Collect(maps.Values(r.states))
		r.mu.Unlock()
		_ = clock.Sleep(ctx, time.Duration(r.rank())*claimDelay)
		for _, s := range states {
			if s.Phase.IsFinal() {
				r.restore(ctx, s)
			}
		}
	}
}

// storeRestored makes Run look what the store has lost.
func (r *rollouts) storeRestored() {
	select {
	case r.restored <- struct{}{}:
	default: // Run has not begun yet to look after an earlier change
	}
}

// restore makes the store and the operators know the last phase of a roll-out again.
func (r *rollouts) restore(ctx context.Context, s rollout.State) {
	for ; ctx.Err() == nil; _ = clock.Sleep(ctx, agreeRetryDelay) {
		stored, err := r.source.Copy(ctx)
		if err != nil {
			continue // logged by the other calls to the store
		}
		state := stored.rolloutOf(s.Order.Service)
		if state.Order.Position > s.Order.Position {
			return
		}
		isWritten := state.Order.Position == s.Order.Position && state.Phase == s.Phase
		if isWritten && state.Decider != r.self && r.rank() > 0 {
			return // the operators are told by its decider, or the first node
		}
		if !isWritten {
			s.Decider = r.self
			if _, err = r.put(ctx, s, stored.End); err != nil {
				continue
			}
		}
		if err = r.source.PutRolloutStatus(ctx, s.Order, s.Phase); err == nil {
			return
		}
		r.logger.Info("rollout_status_not_written", zap.String("service", s.Order.Service), zap.Error(err))
	}
}
