package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

const (
	maxCheckpointsRead = 4                 // how many of the latest checkpoints are considered
	beyondTail         = math.MaxInt64 / 2 // reading from this offset returns the bounds of a stream and no records
)

// checkpointRecord is a record of the checkpoints stream. Its bytes depend only on the log, so two writers at the same
// offset write identical records.
type checkpointRecord struct {
	Offset int64           `json:"offset"`
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// checkpoint is a decoded checkpointRecord.
type checkpoint struct {
	state *config.State
	age   time.Duration // by the clock of the log service
}

// checkpointState describes the latest checkpoint that this node has seen.
type checkpointState struct {
	job       job
	known     bool // the log was checked for checkpoints at least once
	offset    int64
	writtenAt time.Time
}

// isDue reports whether the writer of the given rank should check for a new checkpoint. Writers of rank above 0 use limits
// 1.5 times as high, so that they write only when the first writer is late.
func (s *checkpointState) isDue(rank int, offset int64, now time.Time, timing Timing) bool {
	if rank < 0 || offset == 0 {
		return false
	}
	if !s.known {
		return true
	}
	records, interval := timing.CheckpointRecords, timing.CheckpointInterval
	if rank > 0 {
		records, interval = records*3/2, interval*3/2
	}
	return offset-s.offset >= records || now.Sub(s.writtenAt) >= interval
}

func encodeCheckpoint(state *config.State) (json.RawMessage, error) {
	encoded, err := state.Encode()
	if err != nil {
		return nil, err
	}
	return json.Marshal(checkpointRecord{Offset: state.Offset, Digest: state.Digest(), State: encoded})
}

func decodeCheckpoint(data json.RawMessage) (*config.State, error) {
	var record checkpointRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, apierror.New(apierror.Invalid, "checkpoint: "+err.Error(), "none: the checkpoint is skipped and an earlier one is used")
	}
	state, err := config.DecodeState(record.State, record.Digest)
	if err != nil {
		return nil, err
	}
	if state.Offset != record.Offset {
		return nil, apierror.New(apierror.Invalid, "checkpoint: offset differs from the offset of its state", "none: the checkpoint is skipped and an earlier one is used")
	}
	return state, nil
}

// loadCheckpoints returns the valid ones of the latest checkpoints, latest first. Invalid ones are counted and skipped.
func (d *Distributor) loadCheckpoints(ctx context.Context) ([]checkpoint, error) {
	bounds, err := d.options.Log.Read(ctx, logstore.StreamCheckpoints, beyondTail, 1, 0)
	if err != nil {
		return nil, err
	}
	var valid []checkpoint
	for offset := bounds.Next - 1; offset >= max(bounds.First, bounds.Next-maxCheckpointsRead); offset-- {
		batch, err := d.options.Log.Read(ctx, logstore.StreamCheckpoints, offset, 1, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Entries) == 0 || batch.Entries[0].Offset != offset {
			continue
		}
		entry := batch.Entries[0]
		state, err := decodeCheckpoint(entry.Data)
		if err != nil {
			d.count("config_checkpoints", "result", "bad")
			d.options.Logger.Warn("checkpoint_skipped", zap.Int64("offset", offset), zap.Error(err))
			continue
		}
		valid = append(valid, checkpoint{state: state, age: time.Duration(batch.TimeMS-entry.TimeMS) * time.Millisecond})
	}
	return valid, nil
}

// writeCheckpointIfDue reads the latest checkpoint from the log and writes a new one if that one is too old.
func (d *Distributor) writeCheckpointIfDue(ctx context.Context) error {
	checkpoints, err := d.loadCheckpoints(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	state := d.State()
	d.mu.Lock()
	s := &d.scheduler.checkpoint
	s.known, s.offset, s.writtenAt = true, 0, now.Add(-d.timing.CheckpointInterval)
	if len(checkpoints) > 0 {
		s.offset, s.writtenAt = checkpoints[0].state.Offset, now.Add(-checkpoints[0].age)
	} else if state.Offset < d.timing.CheckpointRecords {
		s.writtenAt = d.scheduler.start.startedAt // without a checkpoint, the first one is due CheckpointInterval after the start
	}
	due := s.isDue(d.scheduler.roles.writerRank, state.Offset, now, d.timing)
	d.mu.Unlock()
	if !due {
		return nil
	}
	return d.writeCheckpoint(ctx, state)
}

// writeCheckpoint appends the state as a checkpoint. It first compares the state with the one computed from the log, so
// that a diverged node does not distribute its state.
func (d *Distributor) writeCheckpoint(ctx context.Context, state *config.State) error {
	reference, err := d.computeReference(ctx, state.Offset)
	var missing *noReferenceError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil && !samePosition(reference, state) {
		d.repairState(reference, state)
		return apierror.New(apierror.Internal, "the state of this node differs from the state computed from the log", "none: the state was repaired and the next attempt writes it")
	}
	data, err := encodeCheckpoint(state)
	if err != nil {
		return err
	}
	if _, err := d.options.Log.Append(ctx, logstore.StreamCheckpoints, data); err != nil {
		d.count("config_checkpoints", "result", "failed")
		return err
	}
	d.count("config_checkpoints", "result", "written")
	d.options.Logger.Info("checkpoint_written", zap.Int64("offset", state.Offset), zap.Int("bytes", len(data)))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.checkpoint.offset, d.scheduler.checkpoint.writtenAt = state.Offset, time.Now()
	return nil
}
