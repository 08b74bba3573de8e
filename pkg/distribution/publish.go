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
	maxAppends    = 4 // of one publish
	repeatRemedy  = "repeat with the same record id"
	minPublishing = 100 * time.Millisecond // time left below which no new try begins
)

// publishing is the progress of one publish.
type publishing struct {
	id       string
	base     int64
	data     json.RawMessage
	appends  int
	maybe    bool  // an append may have taken effect
	offset   int64 // of an acknowledged append
	failures int
}

// Publish validates a record against the configuration at the tail of the log, appends it and returns what replay made
// of it. A record that is already in the log is not appended again; its outcome is returned. A record that validation
// refuses is not appended, and its result has offset 0.
//
// Errors are of kind Invalid for a malformed record, Unavailable if this call appended nothing, and Unknown if the
// record may be in the log. After either of the last two it is safe to repeat with the same record id.
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
	result, err := d.publish(ctx, &publishing{id: r.ID, base: r.Base, data: data})
	outcome := string(result.Outcome)
	if err != nil {
		outcome = string(apierror.KindOf(err))
	}
	d.count("config_publishes", "outcome", outcome)
	d.options.Logger.Info("published", zap.String("record_id", r.ID), zap.String("entity", r.Entity.String()),
		zap.String("outcome", outcome), zap.Int64("offset", result.Offset), zap.Error(err))
	return result, err
}

// publish alternates between reading the log to its tail, which settles the outcome of earlier tries, and appending.
func (d *Distributor) publish(ctx context.Context, p *publishing) (config.Result, error) {
	var last error
	for p.appends <= maxAppends {
		if last = d.readToTail(ctx); last == nil {
			result, settled, err := d.settle(ctx, p)
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
		if !d.pause(ctx, p) {
			break
		}
	}
	return config.Result{}, p.failure(last)
}

// settle returns the outcome if the record is in the log, or if validation against the tail refuses it.
func (d *Distributor) settle(ctx context.Context, p *publishing) (config.Result, bool, error) {
	if result, known := d.store.result(p.id); known {
		return result, true, nil
	}
	state := d.State()
	if state.HasRecordID(p.id) {
		result, err := d.earlierResult(ctx, state, p.id)
		return result, err == nil, err
	}
	_, result := config.Apply(state, state.Offset+1, p.data)
	if result.Outcome == config.Accepted {
		return config.Result{}, false, nil
	}
	// An earlier append may still arrive late. A conflict is final even then, because no revision returns; a record
	// that is invalid now may be valid by then.
	final := result.Outcome == config.Conflict && p.base <= state.Offset
	if p.maybe && !final {
		return config.Result{}, false, p.failure(result.Errors)
	}
	result.Offset = 0
	d.count("config_publish_refused", "outcome", string(result.Outcome))
	return result, true, nil
}

// appendOnce appends the record. An error means that the append may have taken effect only if p.maybe is set.
func (d *Distributor) appendOnce(ctx context.Context, p *publishing) error {
	p.appends++
	entry, err := d.options.Log.Append(ctx, logstore.StreamConfig, p.data)
	if err == nil {
		p.maybe = true
		p.offset = entry.Offset
		return nil
	}
	d.count("config_append_failed", "kind", string(apierror.KindOf(err)))
	switch apierror.KindOf(err) {
	case apierror.Unavailable, apierror.Overloaded, apierror.Invalid, apierror.TooLarge:
	default:
		p.maybe = true
	}
	return err
}

// pause waits before the next try, with full jitter. It reports false when the time is used up.
func (d *Distributor) pause(ctx context.Context, p *publishing) bool {
	d.mu.Lock()
	delay := d.timing.backoff(d.rng, p.failures)
	d.mu.Unlock()
	p.failures++
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay+minPublishing {
		return false
	}
	return clock.Sleep(ctx, delay) == nil
}

// failure is the error of a publish whose outcome could not be read from the log.
func (p *publishing) failure(cause error) error {
	text := ""
	if cause != nil {
		text = ": " + cause.Error()
	}
	switch {
	case p.offset > 0:
		return apierror.New(apierror.Unknown, fmt.Sprintf("record %s was appended at offset %d, but its outcome could not be read%s", p.id, p.offset, text), repeatRemedy)
	case p.maybe:
		return apierror.New(apierror.Unknown, "record "+p.id+" may have been appended"+text, repeatRemedy)
	default:
		return apierror.New(apierror.Unavailable, "record "+p.id+" was not appended by this call"+text, repeatRemedy)
	}
}

// earlierResult finds the outcome of a record that this node did not replay itself: in the kept revisions, or by
// replaying what the log retains.
func (d *Distributor) earlierResult(ctx context.Context, state *config.State, id string) (config.Result, error) {
	for _, entity := range state.Entities {
		for _, revision := range entity.Revisions {
			if revision.RecordID == id {
				return config.Result{Offset: revision.Revision, RecordID: id, Outcome: config.Accepted}, nil
			}
		}
	}
	result, err := d.replayFor(ctx, id)
	if err != nil {
		return config.Result{}, apierror.New(apierror.Unknown, "record "+id+" is in the log, but its outcome could not be read: "+err.Error(), "look at the history of the entity")
	}
	return result, nil
}

// replayFor replays the retained log from the earliest state that it can be replayed from.
func (d *Distributor) replayFor(ctx context.Context, id string) (config.Result, error) {
	checkpoints, err := d.checkpoints(ctx)
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
			if state = earliestFrom(checkpoints, batch.First-1); state == nil {
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

// earliestFrom returns the earliest state at or after an offset, or nil.
func earliestFrom(checkpoints []checkpoint, offset int64) *config.State {
	var earliest *config.State
	for _, c := range checkpoints {
		if c.state.Offset >= offset {
			earliest = c.state
		}
	}
	return earliest
}
