package distribution

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// explainDiverged is the decision to check the state because a peer has a different digest at the same offset.
const explainDiverged explain.Kind = "diverged"

// divergenceState describes a suspected divergence.
type divergenceState struct {
	job     job
	offset  int64 // offset at which a peer had a different digest; 0: no suspicion
	peer    string
	address string // control address of the peer
}

// suspectDivergence schedules a comparison of the state with the log, unless one is pending or the state was verified
// already. The caller holds d.mu.
func (d *Distributor) suspectDivergence(peer, address string, state *config.State, digest string, now time.Time) {
	s := &d.scheduler.divergence
	if s.offset != 0 || d.store.isVerified(positionOf(state)) {
		return
	}
	s.offset, s.peer, s.address = state.Offset, peer, address
	s.job.due = now.Add(jitter(d.rng, d.timing.CheckInterval))
	d.count("config_divergence")
	d.options.Logger.Warn("state_diverged", zap.Int64("offset", state.Offset), zap.String("peer", peer),
		zap.String("digest", state.Digest()), zap.String("peer_digest", digest))
	d.explain(explainDiverged, "offset "+strconv.FormatInt(state.Offset, 10), "digest "+state.Digest()+", but "+peer+" has "+digest)
}

// checkDivergence compares the state of this node with the state computed from the log and repairs it if they differ. It
// first queries the peer again, because a diverged peer may have repaired itself in the meantime.
func (d *Distributor) checkDivergence(ctx context.Context) error {
	d.mu.Lock()
	address := d.scheduler.divergence.address
	d.mu.Unlock()
	state := d.State()
	if peer, err := d.queryFloor(ctx, address); err == nil && peer.position == positionOf(state) {
		d.clearSuspicion()
		return nil
	}
	reference, err := d.computeReference(ctx, state.Offset)
	if err != nil {
		return err
	}
	if samePosition(reference, state) {
		d.store.setVerified(positionOf(state))
		d.clearSuspicion()
		return nil
	}
	if d.repairState(reference, state) {
		d.clearSuspicion()
	}
	return nil
}

func (d *Distributor) clearSuspicion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.divergence.offset = 0
}

// repairState replaces a diverged state by the reference computed from the log. It reports false if the state of the node
// has a higher offset than the reference, after which the check is repeated, or equals the reference.
func (d *Distributor) repairState(reference, diverged *config.State) bool {
	if !d.store.repair(reference) {
		return false
	}
	d.count("config_repairs")
	d.options.Logger.Warn("state_repaired", zap.Int64("offset", reference.Offset))
	d.explain(explain.Repaired, "offset "+strconv.FormatInt(reference.Offset, 10),
		"digest "+diverged.Digest()+" at offset "+strconv.FormatInt(diverged.Offset, 10)+" differed from the state computed from the log")
	d.activateState(true)
	return true
}

func samePosition(a, b *config.State) bool {
	return a.Offset == b.Offset && a.Digest() == b.Digest()
}

// noReferenceError reports that the log starts after every checkpoint, so that no state can be computed from it.
type noReferenceError struct{}

func (*noReferenceError) Error() string {
	return "no state can be computed from the log: its first retained record is later than every checkpoint"
}

// computeReference computes the state at offset upTo from the log alone: it replays the log from the latest checkpoint at or
// before that offset, or from the start of the log. If only later checkpoints are retained, it returns the earliest of them.
func (d *Distributor) computeReference(ctx context.Context, upTo int64) (*config.State, error) {
	base, err := d.referenceBase(ctx, upTo)
	if err != nil {
		return nil, err
	}
	for base.Offset < upTo {
		batch, err := d.options.Log.Read(ctx, logstore.StreamConfig, base.Offset+1, readLimit, 0)
		if err != nil {
			return nil, err
		}
		if batch.First > base.Offset+1 || len(batch.Entries) == 0 {
			return nil, &noReferenceError{}
		}
		for _, entry := range batch.Entries {
			if entry.Offset == base.Offset+1 && entry.Offset <= upTo {
				base, _ = config.Apply(base, entry.Offset, canonical(entry.Data))
			}
		}
	}
	return base, nil
}

// referenceBase returns the state from which computeReference replays the log.
func (d *Distributor) referenceBase(ctx context.Context, upTo int64) (*config.State, error) {
	checkpoints, err := d.loadCheckpoints(ctx)
	if err != nil {
		return nil, err
	}
	bounds, err := d.options.Log.Read(ctx, logstore.StreamConfig, beyondTail, 1, 0)
	if err != nil {
		return nil, err
	}
	var later *config.State
	for _, c := range checkpoints {
		if c.state.Offset <= upTo && c.state.Offset >= bounds.First-1 {
			return c.state, nil
		}
		if c.state.Offset > upTo {
			later = c.state
		}
	}
	if bounds.First <= 1 {
		return config.NewState(), nil
	}
	if later != nil {
		return later, nil
	}
	return nil, &noReferenceError{}
}
