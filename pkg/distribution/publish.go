package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

const (
	maxAppends     = 4 // appends per publish
	retryRemedy    = "retry with the same record id"
	minAttemptTime = 100 * time.Millisecond // remaining time below which no attempt is started
)

// publishProgress is the state of one publish.
type publishProgress struct {
	id            string
	base          int64
	data          json.RawMessage
	appends       int
	mayBeAppended bool  // an append may have taken effect, whether or not it was acknowledged
	ackedOffset   int64 // offset of the acknowledged append; 0: none
	failures      int
}

// Publish validates a record against the configuration at the tail of the log, appends it and returns the result of its
// replay. A record that is already in the log is not appended again; its earlier result is returned. A record that fails
// validation is not appended, and its result has offset 0.
//
// Errors are of kind Invalid for a malformed record, Unavailable if this call appended nothing, and Unknown if the
// record may be in the log. After Unavailable and Unknown it is safe to retry with the same record id.
func (d *Distributor) Publish(ctx context.Context, r *config.Record) (config.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timing.PublishTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return config.Result{}, apierror.New(apierror.Invalid, "record: "+err.Error(), "correct the payload")
	}
	if _, err := config.ParseRecord(data); err != nil {
		return config.Result{}, err
	}
	result, err := d.publish(ctx, &publishProgress{id: r.ID, base: r.Base, data: data})
	outcome := string(result.Outcome)
	if err != nil {
		outcome = string(apierror.KindOf(err))
	}
	d.count("config_publishes", "outcome", outcome)
	d.options.Logger.Info("published", zap.String("record_id", r.ID), zap.String("entity", r.Entity.String()),
		zap.String("outcome", outcome), zap.Int64("offset", result.Offset), zap.Error(err))
	return result, err
}

// publish alternates between reading the log to its tail, which resolves the outcome of earlier attempts, and appending.
func (d *Distributor) publish(ctx context.Context, p *publishProgress) (config.Result, error) {
	var last error
	for p.appends <= maxAppends {
		if last = d.readToTail(ctx); last == nil {
			result, settled, err := d.resolveOutcome(ctx, p)
			if settled || err != nil {
				return result, err
			}
			if p.appends == maxAppends {
				break
			}
			if last = d.appendOnce(ctx, p); last == nil {
				continue
			}
		}
		if !d.waitBackoff(ctx, p) {
			break
		}
	}
	return config.Result{}, p.outcomeError(last)
}

// resolveOutcome returns the result and true if the record is in the log or fails validation against the tail of the log.
func (d *Distributor) resolveOutcome(ctx context.Context, p *publishProgress) (config.Result, bool, error) {
	if result, known := d.store.result(p.id); known {
		return result, true, nil
	}
	state := d.State()
	if state.HasRecordID(p.id) {
		result, err := d.findResult(ctx, state, p.id)
		return result, err == nil, err
	}
	_, result := config.Apply(state, state.Offset+1, p.data)
	if result.Outcome == config.Accepted {
		return config.Result{}, false, nil
	}
	// An earlier append may still be in flight and arrive late. A conflict is final even then, because a superseded revision
	// never becomes current again. A record that is invalid now may be valid by then.
	final := result.Outcome == config.Conflict && p.base <= state.Offset
	if p.mayBeAppended && !final {
		return config.Result{}, false, p.outcomeError(result.Errors)
	}
	result.Offset = 0
	d.count("config_publish_refused", "outcome", string(result.Outcome))
	return result, true, nil
}

// appendOnce appends the record. After an error, the append may have taken effect only if p.mayBeAppended is set.
func (d *Distributor) appendOnce(ctx context.Context, p *publishProgress) error {
	p.appends++
	entry, err := d.options.Log.Append(ctx, logstore.StreamConfig, p.data)
	if err == nil {
		p.mayBeAppended = true
		p.ackedOffset = entry.Offset
		return nil
	}
	d.count("config_append_failed", "kind", string(apierror.KindOf(err)))
	switch apierror.KindOf(err) {
	case apierror.Unavailable, apierror.Overloaded, apierror.Invalid, apierror.TooLarge:
	default:
		p.mayBeAppended = true
	}
	return err
}

// waitBackoff waits before the next attempt, with full jitter. It reports false if too little time remains for another attempt.
func (d *Distributor) waitBackoff(ctx context.Context, p *publishProgress) bool {
	d.mu.Lock()
	delay := d.timing.backoff(d.rng, p.failures)
	d.mu.Unlock()
	p.failures++
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay+minAttemptTime {
		return false
	}
	return clock.Sleep(ctx, delay) == nil
}

// outcomeError returns the error of a publish whose outcome could not be read from the log.
func (p *publishProgress) outcomeError(cause error) error {
	text := ""
	if cause != nil {
		text = ": " + cause.Error()
	}
	switch {
	case p.ackedOffset > 0:
		return apierror.New(apierror.Unknown, fmt.Sprintf("record %s was appended at offset %d, but its outcome could not be read%s", p.id, p.ackedOffset, text), retryRemedy)
	case p.mayBeAppended:
		return apierror.New(apierror.Unknown, "record "+p.id+" may have been appended"+text, retryRemedy)
	default:
		return apierror.New(apierror.Unavailable, "record "+p.id+" was not appended by this call"+text, retryRemedy)
	}
}

// findResult returns the result of a record that is in the state but was not replayed by this node. It searches the
// retained revisions and then replays the retained log.
func (d *Distributor) findResult(ctx context.Context, state *config.State, id string) (config.Result, error) {
	for _, entity := range state.Entities {
		for _, revision := range entity.Revisions {
			if revision.RecordID == id {
				return config.Result{Offset: revision.Revision, RecordID: id, Outcome: config.Accepted}, nil
			}
		}
	}
	result, err := d.findResultInLog(ctx, id)
	if err != nil {
		return config.Result{}, apierror.New(apierror.Unknown, "record "+id+" is in the log, but its outcome could not be read: "+err.Error(), "check the history of the entity")
	}
	return result, nil
}

// findResultInLog replays the retained log, starting from the earliest state possible, until it finds the record.
func (d *Distributor) findResultInLog(ctx context.Context, id string) (config.Result, error) {
	checkpoints, err := d.loadCheckpoints(ctx)
	if err != nil {
		return config.Result{}, err
	}
	state := config.NewState()
	for {
		batch, err := d.options.Log.Read(ctx, logstore.StreamConfig, state.Offset+1, readLimit, 0)
		if err != nil {
			return config.Result{}, err
		}
		if batch.First > state.Offset+1 {
			if state = earliestStateFrom(checkpoints, batch.First-1); state == nil {
				return config.Result{}, &noReferenceError{}
			}
			continue
		}
		if len(batch.Entries) == 0 {
			return config.Result{}, apierror.New(apierror.NotFound, "the record has expired", "")
		}
		for _, entry := range batch.Entries {
			var result config.Result
			state, result = config.Apply(state, entry.Offset, canonical(entry.Data))
			if result.RecordID == id && result.Outcome != config.Duplicate {
				return result, nil
			}
		}
	}
}

// earliestStateFrom returns the earliest checkpointed state at or after an offset, or nil. The checkpoints are ordered
// latest first.
func earliestStateFrom(checkpoints []checkpoint, offset int64) *config.State {
	var earliest *config.State
	for _, c := range checkpoints {
		if c.state.Offset >= offset {
			earliest = c.state
		}
	}
	return earliest
}
