package distribution

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

const (
	farWait     = 5 * time.Second  // long poll of a reader of another data centre
	maxPullWait = 10 * time.Second // longest wait that a peer grants
)

// pullTable holds the highest position heard of and who has it.
type pullTable struct {
	job     job
	target  int64
	address string
}

// want asks for a pull up to target. offset is the present position. A pull that is already due keeps its time.
func (p *pullTable) want(offset, target int64, address string, due time.Time) {
	pending := p.target > offset
	if target <= p.target && pending {
		return
	}
	p.target, p.address = target, address
	if !pending && p.job.failures == 0 {
		p.job.due = due
	}
}

// retryAfterError is the answer of a peer that serves enough catch-ups already.
type retryAfterError struct {
	delay time.Duration
}

func (e *retryAfterError) Error() string {
	return "the peer serves other catch-ups; retry within " + e.delay.String()
}

// pullWanted pulls up to the highest position heard of. When the peer fails, the next heartbeat names another one.
func (d *Distributor) pullWanted(ctx context.Context) error {
	d.mu.Lock()
	target, address := d.tables.pull.target, d.tables.pull.address
	d.mu.Unlock()
	err := d.pullFrom(ctx, address, target)
	if _, refused := err.(*retryAfterError); err != nil && !refused {
		d.mu.Lock()
		if d.tables.pull.target == target {
			d.tables.pull.target = 0
		}
		d.mu.Unlock()
	}
	return err
}

// pullFar long-polls a reader of another data centre once.
func (d *Distributor) pullFar(ctx context.Context) error {
	r := d.currentRoles()
	chosen := d.sample(append(r.farReaders[:0:0], r.farReaders...), 1)
	if len(chosen) == 0 {
		return nil
	}
	d.count("config_pull_far")
	_, err := d.pull(ctx, chosen[0].ControlAddress, pullRequest{After: d.State().Offset, WaitMS: farWait.Milliseconds()})
	return err
}

// pullFrom pulls from one peer until this node holds the target offset.
func (d *Distributor) pullFrom(ctx context.Context, address string, target int64) error {
	for {
		before := d.State().Offset
		if before >= target {
			return nil
		}
		advanced, err := d.pull(ctx, address, pullRequest{After: before})
		if err != nil {
			return err
		}
		if !advanced {
			return apierror.New(apierror.Unavailable, "peer "+address+" has no later entries", "retry with another peer")
		}
	}
}

// pullStateFromPeers takes the state of the first peer that is ahead.
func (d *Distributor) pullStateFromPeers(ctx context.Context) error {
	near, far := d.alivePeers()
	err := error(apierror.New(apierror.Unavailable, "no peer is ahead", "retry later"))
	for _, peer := range append(d.sample(near, nearSample), d.sample(far, farSample)...) {
		var advanced bool
		if advanced, err = d.pull(ctx, peer.ControlAddress, pullRequest{After: d.State().Offset, State: true}); advanced {
			return nil
		}
	}
	return err
}

// pull sends one request and applies the answer. It reports whether the position advanced.
func (d *Distributor) pull(ctx context.Context, address string, request pullRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout+time.Duration(request.WaitMS)*time.Millisecond)
	defer cancel()
	var response pullResponse
	d.count("config_pull_sent")
	if err := d.options.Client.Call(ctx, address, methodPull, request, &response); err != nil {
		d.count("config_pull_failed", "reason", "unreachable")
		return false, err
	}
	if response.RetryAfterMS > 0 {
		d.count("config_pull_failed", "reason", "refused")
		return false, &retryAfterError{delay: time.Duration(response.RetryAfterMS) * time.Millisecond}
	}
	if !d.hear(response.speaker, response.position) {
		return false, apierror.New(apierror.Unavailable, "peer "+address+" has restarted", "retry")
	}
	before := d.State().Offset
	if err := d.acceptPulled(response); err != nil {
		d.count("config_pull_failed", "reason", "bad_content")
		return false, err
	}
	return d.State().Offset > before, nil
}

func (d *Distributor) acceptPulled(response pullResponse) error {
	if len(response.State) > 0 {
		encoded, err := response.State.unpack()
		if err != nil {
			return err
		}
		state, err := config.DecodeState(encoded, response.Digest)
		if err != nil {
			return err
		}
		d.adopt(state, "peer")
	}
	entries, err := response.Entries.entries()
	if err != nil {
		return err
	}
	d.accept(fromPull, entries)
	return nil
}

// admission bounds the catch-ups that a node serves.
type admission struct {
	catchUps *semaphore.Weighted
	waiting  *semaphore.Weighted
	states   *rate.Limiter
}

func newAdmission(t Timing) admission {
	return admission{
		catchUps: semaphore.NewWeighted(int64(t.MaxCatchUps)),
		waiting:  semaphore.NewWeighted(int64(t.MaxLongPolls)),
		states:   rate.NewLimiter(rate.Limit(t.StatesPerSec), t.StatesPerSec),
	}
}

// handlePull serves config.pull.
func (d *Distributor) handlePull(ctx context.Context, params json.RawMessage) (any, error) {
	var request pullRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, apierror.New(apierror.Invalid, "config.pull: "+err.Error(), "run the same version on all nodes")
	}
	slots := d.admission.catchUps
	if request.WaitMS > 0 {
		slots = d.admission.waiting
	}
	if !slots.TryAcquire(1) {
		return d.refusePull("busy"), nil
	}
	defer slots.Release(1)
	d.waitBeyond(ctx, request.After, time.Duration(request.WaitMS)*time.Millisecond)
	entries, state, kept := d.store.after(request.After)
	response := pullResponse{speaker: d.self(), position: positionOf(state)}
	if kept && !request.State || state.Offset <= request.After {
		d.count("config_pull_served", "form", "entries")
		content, err := packEntries(entries)
		response.Entries = content
		return response, err
	}
	if !d.admission.states.Allow() {
		return d.refusePull("states"), nil
	}
	encoded, err := state.Encode()
	if err != nil {
		return nil, err
	}
	d.count("config_pull_served", "form", "state")
	response.State = pack(encoded)
	return response, nil
}

func (d *Distributor) refusePull(reason string) pullResponse {
	d.count("config_pull_refused", "reason", reason)
	d.explain(explain.Refused, "config.pull", reason)
	return pullResponse{RetryAfterMS: d.timing.CatchUpRetryMS, position: position{Offset: d.State().Offset}}
}

// waitBeyond returns when the position is beyond an offset, at the latest after the wait.
func (d *Distributor) waitBeyond(ctx context.Context, offset int64, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(min(wait, maxPullWait))
	defer timer.Stop()
	for {
		advanced, now := d.store.changed()
		if now > offset {
			return
		}
		select {
		case <-advanced:
		case <-timer.C:
			return
		case <-d.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

// handleFloor serves config.floor.
func (d *Distributor) handleFloor(_ context.Context, params json.RawMessage) (any, error) {
	var request floorRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, apierror.New(apierror.Invalid, "config.floor: "+err.Error(), "run the same version on all nodes")
	}
	state := d.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.Incarnation > d.tables.incarnations[request.ID] {
		d.tables.incarnations[request.ID] = request.Incarnation
	}
	return floorResponse{
		position: positionOf(state),
		Floor:    max(state.Offset, d.tables.heard),
		Ready:    d.tables.start.ready,
	}, nil
}
