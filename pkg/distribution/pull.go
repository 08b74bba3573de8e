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
	remotePollWait = 5 * time.Second  // duration of a long poll to a reader of another data centre
	maxPullWait    = 10 * time.Second // limit of the wait that a caller requests
)

// pullState describes the pending pull.
type pullState struct {
	job     job
	target  int64  // offset to reach; a pull is pending while it is above the position of this node
	address string // control address of the peer that holds target
}

// schedule schedules a pull up to target. offset is the current position. A pull that is already
// pending, or backing off after failures, keeps its due time.
func (p *pullState) schedule(offset, target int64, address string, due time.Time) {
	pending := p.target > offset
	if target <= p.target && pending {
		return
	}
	p.target, p.address = target, address
	if !pending && p.job.failures == 0 {
		p.job.due = due
	}
}

// retryAfterError reports that a peer refused a pull because it is at its limit of concurrent pulls or of full states.
type retryAfterError struct {
	delay time.Duration
}

func (e *retryAfterError) Error() string {
	return "the peer is at its limit of catch-ups; retry after at most " + e.delay.String()
}

// pullToTarget executes the pending pull. If the peer fails, the pull is cancelled, and the next heartbeat of a peer that is
// ahead schedules another one.
func (d *Distributor) pullToTarget(ctx context.Context) error {
	d.mu.Lock()
	target, address := d.scheduler.pull.target, d.scheduler.pull.address
	d.mu.Unlock()
	err := d.pullFrom(ctx, address, target)
	if _, refused := err.(*retryAfterError); err != nil && !refused {
		d.mu.Lock()
		if d.scheduler.pull.target == target {
			d.scheduler.pull.target = 0
		}
		d.mu.Unlock()
	}
	return err
}

// pullFromRemoteReader long-polls a random reader of another data centre once.
func (d *Distributor) pullFromRemoteReader(ctx context.Context) error {
	r := d.currentRoles()
	chosen := d.sample(append(r.remoteReaders[:0:0], r.remoteReaders...), 1)
	if len(chosen) == 0 {
		return nil
	}
	d.count("config_pull_far")
	_, err := d.pull(ctx, chosen[0].ControlAddress, pullRequest{After: d.State().Offset, WaitMS: remotePollWait.Milliseconds()})
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

// pullStateFromPeers installs the full state of the first sampled peer that is ahead.
func (d *Distributor) pullStateFromPeers(ctx context.Context) error {
	local, remote := d.alivePeers()
	err := error(apierror.New(apierror.Unavailable, "no peer is ahead", "retry later"))
	for _, peer := range append(d.sample(local, localSampleSize), d.sample(remote, remoteSampleSize)...) {
		var advanced bool
		if advanced, err = d.pull(ctx, peer.ControlAddress, pullRequest{After: d.State().Offset, State: true}); advanced {
			return nil
		}
	}
	return err
}

// pull sends one request and applies the response. It reports whether the position advanced.
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
	if !d.observePosition(response.sender, response.position) {
		return false, apierror.New(apierror.Unavailable, "peer "+address+" has restarted", "retry")
	}
	before := d.State().Offset
	if err := d.applyPullResponse(response); err != nil {
		d.count("config_pull_failed", "reason", "bad_content")
		return false, err
	}
	return d.State().Offset > before, nil
}

func (d *Distributor) applyPullResponse(response pullResponse) error {
	if len(response.State) > 0 {
		encoded, err := response.State.decompress()
		if err != nil {
			return err
		}
		state, err := config.DecodeState(encoded, response.Digest)
		if err != nil {
			return err
		}
		d.installState(state, "peer")
	}
	entries, err := response.Entries.entries()
	if err != nil {
		return err
	}
	d.applyEntries(fromPull, entries)
	return nil
}

// admission limits the pulls that a node serves.
type admission struct {
	catchUps  *semaphore.Weighted // concurrent pulls that do not wait
	longPolls *semaphore.Weighted // concurrent pulls that wait
	states    *rate.Limiter       // full states
}

func newAdmission(t Timing) admission {
	return admission{
		catchUps:  semaphore.NewWeighted(int64(t.MaxCatchUps)),
		longPolls: semaphore.NewWeighted(int64(t.MaxLongPolls)),
		states:    rate.NewLimiter(rate.Limit(t.StatesPerSec), t.StatesPerSec),
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
		slots = d.admission.longPolls
	}
	if !slots.TryAcquire(1) {
		return d.refusePull("busy"), nil
	}
	defer slots.Release(1)
	d.waitForOffsetBeyond(ctx, request.After, time.Duration(request.WaitMS)*time.Millisecond)
	entries, state, kept := d.store.entriesAfter(request.After)
	response := pullResponse{sender: d.self(), position: positionOf(state)}
	if kept && !request.State || state.Offset <= request.After {
		d.count("config_pull_served", "form", "entries")
		content, err := compressEntries(entries)
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
	response.State = compress(encoded)
	return response, nil
}

func (d *Distributor) refusePull(reason string) pullResponse {
	d.count("config_pull_refused", "reason", reason)
	d.explain(explain.Refused, "config.pull", reason)
	return pullResponse{RetryAfterMS: d.timing.CatchUpRetryMS, position: position{Offset: d.State().Offset}}
}

// waitForOffsetBeyond blocks until the position is beyond offset, but at most for min(wait, maxPullWait).
func (d *Distributor) waitForOffsetBeyond(ctx context.Context, offset int64, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(min(wait, maxPullWait))
	defer timer.Stop()
	for {
		advanced, current := d.store.watch()
		if current > offset {
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
	if request.Incarnation > d.scheduler.incarnations[request.ID] {
		d.scheduler.incarnations[request.ID] = request.Incarnation
	}
	return floorResponse{
		position: positionOf(state),
		Floor:    max(state.Offset, d.scheduler.maxPeerOffset),
		Ready:    d.scheduler.start.ready,
	}, nil
}
