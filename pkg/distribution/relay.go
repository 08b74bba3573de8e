package distribution

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// childPush is the push in progress to one child. At most one message per child is in flight; entries that arrive in the
// meantime are sent in the next one.
type childPush struct {
	sentOffset int64 // the child holds or was sent everything up to this offset
	pending    bool  // entries arrived while a message was in flight
}

// source is where entries came from. It is a label of counters.
type source string

const (
	fromLog  source = "log"
	fromTail source = "tail" // read while reading the log to its tail during start or publish
	fromPush source = "push"
	fromPull source = "pull"
)

// applyEntries replays entries, relays the new ones and activates the resulting snapshot if that is allowed.
func (d *Distributor) applyEntries(from source, entries []logstore.Entry) applyResult {
	out := d.store.apply(entries)
	d.options.Metrics.Counter("config_entries", "from", string(from), "outcome", "applied").Inc(int64(len(out.results)))
	d.options.Metrics.Counter("config_entries", "from", string(from), "outcome", "stale").Inc(int64(out.stale))
	for _, result := range out.results {
		d.recordOutcome(result)
	}
	if out.first == 0 {
		return out
	}
	if d.shouldRelay(from, out.state.Offset) {
		d.relayAfter(out.first - 1)
	}
	d.activateIfAllowed()
	return out
}

// shouldRelay reports whether new entries are pushed to the children. A starting node does not relay entries that other
// members already hold.
func (d *Distributor) shouldRelay(from source, offset int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	catchingUp := !d.scheduler.start.ready && (from == fromTail || from == fromPull)
	return !catchingUp || offset > d.scheduler.maxPeerOffset
}

// recordOutcome counts the outcome of one record, and logs and explains records that were not accepted.
func (d *Distributor) recordOutcome(result config.Result) {
	d.count("config_records", "outcome", string(result.Outcome))
	if result.Outcome == config.Accepted {
		return
	}
	cause := string(result.Outcome)
	if len(result.Errors) > 0 {
		cause += ": " + result.Errors.Error()
	}
	d.options.Logger.Info("record_not_accepted", zap.Int64("offset", result.Offset),
		zap.String("record_id", result.RecordID), zap.String("outcome", string(result.Outcome)), zap.String("cause", cause))
	d.explain(explain.Rejected, "record "+strconv.FormatInt(result.Offset, 10), cause)
}

// relayAfter starts pushes of the entries after an offset to the children.
func (d *Distributor) relayAfter(offset int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, child := range d.scheduler.roles.children() {
		if push, busy := d.pushes[child.ID]; busy {
			push.pending = true
			continue
		}
		push := &childPush{sentOffset: offset}
		if d.spawn(func(ctx context.Context) { d.pushAll(ctx, child, push) }) {
			d.pushes[child.ID] = push
		}
	}
}

// pushAll sends messages to a child until the child is up to date or a message fails. A failed push is not retried, because
// the child learns of the higher position from heartbeats.
func (d *Distributor) pushAll(ctx context.Context, child membership.Member, push *childPush) {
	for {
		sent, err := d.push(ctx, child, push.sentOffset)
		if err != nil {
			d.count("config_push_failed")
		}
		push.sentOffset = sent
		d.mu.Lock()
		if err != nil || !push.pending && sent >= d.store.current().Offset {
			delete(d.pushes, child.ID)
			d.mu.Unlock()
			return
		}
		push.pending = false
		d.mu.Unlock()
	}
}

// push sends one message and returns the offset up to which the child needs no further push.
func (d *Distributor) push(ctx context.Context, child membership.Member, after int64) (int64, error) {
	entries, state, _ := d.store.entriesAfter(after)
	content, err := compressEntries(entries)
	if err != nil {
		return after, err
	}
	request := pushRequest{
		sender:   d.self(),
		Address:  d.options.Self.ControlAddress,
		Entries:  content,
		position: positionOf(state),
	}
	sent := state.Offset
	if len(entries) > 0 {
		sent = entries[len(entries)-1].Offset
	}
	ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout)
	defer cancel()
	var response pushResponse
	d.count("config_push_sent")
	if err := d.options.Client.Call(ctx, child.ControlAddress, methodPush, request, &response); err != nil {
		return after, err
	}
	d.handlePeerPosition(response.sender, child.ControlAddress, response.position)
	return max(sent, response.Offset), nil
}

// handlePush serves config.push. Stale entries are ignored, and entries after a gap cause a pull from the sender.
func (d *Distributor) handlePush(_ context.Context, params json.RawMessage) (any, error) {
	var request pushRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, apierror.New(apierror.Invalid, "config.push: "+err.Error(), "run the same version on all nodes")
	}
	d.count("config_push_received")
	entries, err := request.Entries.entries()
	if err != nil {
		return nil, err
	}
	if !d.observePosition(request.sender, request.position) {
		return pushResponse{sender: d.self(), position: positionOf(d.store.current())}, nil
	}
	out := d.applyEntries(fromPush, entries)
	if out.first == 0 && out.stale > 0 {
		d.count("config_push_stale")
	}
	d.handlePeerPosition(request.sender, request.Address, request.position)
	return pushResponse{sender: d.self(), position: positionOf(d.store.current())}, nil
}

func (d *Distributor) self() sender {
	return sender{ID: d.options.Self.ID, Incarnation: d.options.Self.Incarnation}
}

// observePosition records the position that a peer sent. It reports false for a message from an incarnation that has ended;
// the caller then ignores the message.
func (d *Distributor) observePosition(from sender, peer position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from.Incarnation < d.scheduler.incarnations[from.ID] {
		d.count("config_old_incarnation")
		return false
	}
	d.scheduler.raisePeerOffset(peer.Offset, from.ID)
	return true
}

// handlePeerPosition processes the position that a peer sent with a push or a response to one. It schedules a pull or a
// divergence check as OnHeartbeat does, but the pull is delayed less, because there is no push in flight to wait for.
func (d *Distributor) handlePeerPosition(from sender, address string, peer position) {
	if !d.observePosition(from, peer) {
		return
	}
	d.activateIfAllowed()
	state := d.store.current()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer.Offset > state.Offset {
		d.scheduler.pull.schedule(state.Offset, peer.Offset, address, now.Add(jitter(d.rng, d.timing.PullDelay/4)))
	}
	if peer.Offset == state.Offset && peer.Digest != "" && peer.Digest != state.Digest() {
		d.suspectDivergence(from.ID, address, state, peer.Digest, now)
	}
}
