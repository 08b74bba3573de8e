package distribution

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

const readLimit = 500 // maximum number of entries in one read of the log

// readLog long-polls the log while this node is a reader of its data centre. The log may silently drop a read, which is noticed when it
// times out. As long as the log does not respond, reads do not wait for the next record, so that they time out sooner.
func (d *Distributor) readLog(ctx context.Context) error {
	for ctx.Err() == nil {
		r := d.currentRoles()
		if !r.isReader() {
			return nil
		}
		from := d.State().Offset + 1
		batch, err := d.options.Log.Read(ctx, logstore.StreamConfig, from, readLimit, d.startLogRead())
		if err == nil {
			err = d.applyBatch(ctx, fromLog, from, batch)
		}
		d.recordLogRead(ctx, err)
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// startLogRead records that a read of the log starts and returns its wait.
func (d *Distributor) startLogRead() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.readStarted = time.Now()
	if d.scheduler.logFailures > 0 {
		return 0
	}
	return d.timing.PollWait
}

// recordLogRead counts consecutive failed reads of the log and logs the first one.
func (d *Distributor) recordLogRead(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.scheduler.logFailures, d.scheduler.read.failures = 0, 0
		return
	}
	d.scheduler.logFailures++
	if d.scheduler.logFailures == 1 {
		d.options.Logger.Warn("log_read_failed", zap.Error(err))
	}
}

// readToTail reads the log until this node has applied every record that the log held when the read began.
func (d *Distributor) readToTail(ctx context.Context) error {
	tail := int64(-1)
	for {
		from := d.State().Offset + 1
		batch, err := d.options.Log.Read(ctx, logstore.StreamConfig, from, readLimit, 0)
		if err != nil {
			return err
		}
		if err := d.applyBatch(ctx, fromTail, from, batch); err != nil {
			return err
		}
		if tail < 0 {
			tail = batch.Next - 1
		}
		offset := d.State().Offset
		if offset >= tail {
			return nil
		}
		if offset < from {
			return apierror.New(apierror.Unavailable, fmt.Sprintf("the log returned no record at offset %d although its tail is %d", from, tail), "retry")
		}
	}
}

// applyBatch replays a batch that was read from an offset. If the records at that offset have expired, it loads a
// checkpoint or the state of a peer.
func (d *Distributor) applyBatch(ctx context.Context, origin source, from int64, batch logstore.Batch) error {
	if batch.Next < from {
		d.count("config_log_behind")
		return apierror.New(apierror.Unavailable, fmt.Sprintf("the log ends at offset %d, before this node's position %d", batch.Next-1, from-1), "check that platform.urls names the right log service")
	}
	if batch.First > d.State().Offset+1 {
		return d.recoverExpired(ctx, batch.First)
	}
	d.applyEntries(origin, batch.Entries)
	return nil
}

// recoverExpired installs a state from a checkpoint or a peer, so that the position is at least first-1 and the log, whose
// first retained offset is first, continues from there.
func (d *Distributor) recoverExpired(ctx context.Context, first int64) error {
	d.count("config_expired")
	checkpoints, err := d.loadCheckpoints(ctx)
	if err != nil {
		return err
	}
	for _, c := range checkpoints {
		if c.state.Offset >= first-1 && d.installState(c.state, "checkpoint") {
			return nil
		}
	}
	if err := d.pullStateFromPeers(ctx); err != nil {
		return err
	}
	if d.State().Offset >= first-1 {
		return nil
	}
	return apierror.New(apierror.Unavailable, fmt.Sprintf("the log starts at offset %d and neither a checkpoint nor a peer has a state that reaches it", first), "publish the configuration again, or restore a checkpoint")
}

// installState replaces the state by a full state of a higher offset and relays it. It reports false if the state is not
// ahead. from is a label of the counter.
func (d *Distributor) installState(state *config.State, from string) bool {
	if !d.store.install(state) {
		return false
	}
	d.count("config_states_loaded", "from", from)
	d.options.Logger.Info("state_loaded", zap.String("from", from), zap.Int64("offset", state.Offset))
	d.relayAfter(state.Offset - 1)
	d.activateIfAllowed()
	return true
}
