package distribution

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

const (
	nearSample   = 8 // peers of the own data centre asked for their floor at a start
	farSample    = 4 // peers of other data centres asked
	floorWorkers = 8 // config.floor calls at a time
)

// startTable is what a node knows about its readiness.
type startTable struct {
	job            job
	began          time.Time
	asked          bool // peers were asked for their floor once, or there are none
	tailRead       bool // the log was read to its tail
	peersConfirmed bool // the log cannot be read and the reachable peers have answered
	ready          bool // stays true
	reason         string
}

// mayActivate reports whether the node may serve a version that it holds at an offset. Another member must hold the
// version too, if there is any: a node that served it and restarts learns its floor only from its peers while the log
// cannot be read.
func (t *tables) mayActivate(offset, version int64) (bool, string) {
	if version > t.heard && t.roles.peers > 0 {
		return false, fmt.Sprintf("held back: no other member has confirmed version %d yet", version)
	}
	if t.start.ready {
		return true, ""
	}
	return t.start.decide(offset, t.heard, t.heardFrom)
}

// decide reports whether a starting node at this offset may become ready.
func (t *startTable) decide(offset, floor int64, floorFrom string) (bool, string) {
	switch {
	case offset < floor:
		return false, fmt.Sprintf("held back: position %d is below the floor %d heard from %s; waiting for the records between", offset, floor, floorFrom)
	case t.tailRead:
		return true, ""
	case t.peersConfirmed && offset > 0:
		return true, ""
	case t.peersConfirmed:
		return false, "no configuration: the log service cannot be read and no reachable peer has configuration; check the log service"
	default:
		return false, t.reason
	}
}

// startStep asks peers for their floor, takes what they have and confirms it with the log. It is repeated until the
// node is ready.
func (d *Distributor) startStep(ctx context.Context) error {
	near, far := d.alivePeers()
	elapsed := d.sinceBegan()
	if len(near)+len(far) == 0 && elapsed < d.timing.StartMembersTimeout {
		return nil
	}
	answers := d.askFloors(ctx, append(d.sample(near, nearSample), d.sample(far, farSample)...))
	d.mu.Lock()
	d.tables.start.asked = true
	reader := d.tables.roles.isReader()
	d.mu.Unlock()
	// Peers come first, so that a mass restart does not read the whole log once per node. If a peer is ready and none
	// has configuration, the log is empty.
	if d.State().Offset == 0 && !reader && len(near) > 0 && answers.ready == 0 && elapsed < d.timing.StartPeersTimeout {
		return nil
	}
	err := d.readToTail(ctx)
	if err == nil {
		d.setStart(func(t *startTable) { t.tailRead = true })
	} else if ctx.Err() == nil {
		d.confirmWithPeers(ctx, near, far, err)
	}
	d.tryActivate()
	if ready, _ := d.Ready(); ready {
		return nil
	}
	return err
}

// confirmWithPeers asks every reachable peer of the own data centre, or of others if none is ready, because any of them
// may be the one that knows the highest floor. One that is ready must be among them: peers that are starting too may
// have lost the floor themselves.
func (d *Distributor) confirmWithPeers(ctx context.Context, near, far []membership.Member, logErr error) {
	answers := d.askFloors(ctx, near)
	if answers.ready == 0 {
		more := d.askFloors(ctx, far)
		answers.total, answers.ready = answers.total+more.total, more.ready
	}
	d.setStart(func(t *startTable) {
		t.peersConfirmed = answers.ready > 0
		switch {
		case answers.total == 0:
			t.reason = "alone: no peer answers and the log cannot be read (" + logErr.Error() + ")"
		case answers.ready == 0:
			t.reason = "no peer that answers is ready and the log cannot be read (" + logErr.Error() + ")"
		}
	})
}

func (d *Distributor) setStart(change func(*startTable)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.tables.start)
}

func (d *Distributor) sinceBegan() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.tables.start.began)
}

// alivePeers returns the members of the own data centre and of the others, without this node.
func (d *Distributor) alivePeers() (near, far []membership.Member) {
	for _, m := range d.options.Members() {
		switch {
		case m.ID == d.options.Self.ID || m.Status != membership.Alive:
		case m.DataCentre == d.options.Self.DataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return near, far
}

// sample returns up to n random members.
func (d *Distributor) sample(members []membership.Member, n int) []membership.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return append([]membership.Member(nil), members[:min(n, len(members))]...)
}

// floorAnswers counts the answers to config.floor.
type floorAnswers struct {
	total int
	ready int // from peers that are ready
}

// askFloors sends config.floor to the peers, raises the floor and pulls from the peer that is furthest ahead.
func (d *Distributor) askFloors(ctx context.Context, peers []membership.Member) floorAnswers {
	var mu sync.Mutex
	var answers floorAnswers
	var best position
	var bestAddress string
	var group errgroup.Group
	group.SetLimit(floorWorkers)
	for _, peer := range peers {
		group.Go(func() error {
			response, err := d.askFloor(ctx, peer.ControlAddress)
			if err != nil {
				return nil // an unreachable peer gives no floor
			}
			mu.Lock()
			defer mu.Unlock()
			answers.total++
			if response.Ready {
				answers.ready++
			}
			d.setStart(func(*startTable) { d.tables.hear(response.Floor, peer.ID) })
			if response.Offset > best.Offset {
				best, bestAddress = response.position, peer.ControlAddress
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	if best.Offset > d.State().Offset {
		if err := d.pullFrom(ctx, bestAddress, best.Offset); err != nil {
			d.options.Logger.Info("start_pull_failed", zap.String("peer", bestAddress), zap.Error(err))
		}
	}
	return answers
}

func (d *Distributor) askFloor(ctx context.Context, address string) (floorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout)
	defer cancel()
	var response floorResponse
	d.count("config_floor_sent")
	err := d.options.Client.Call(ctx, address, methodFloor, floorRequest{speaker: d.self()}, &response)
	return response, err
}

// tryActivate makes the applied state the active snapshot if the node is ready and the state is newer.
func (d *Distributor) tryActivate() {
	d.activateState(false)
}

// activateState swaps the snapshot. Only a repair may replace a snapshot by one that is not of a higher version: the
// snapshot of a diverged state is no version of the log.
func (d *Distributor) activateState(repaired bool) {
	d.activate.Lock()
	defer d.activate.Unlock()
	state := d.store.current()
	if !repaired && !d.becomeReady(state) {
		return
	}
	snapshot, active := state.Snapshot(), d.snapshot.Load()
	if active == nil && repaired {
		return
	}
	if active != nil && !repaired && snapshot.Version <= active.Version {
		return
	}
	d.snapshot.Store(snapshot)
	d.options.Metrics.Gauge("config_version").Update(snapshot.Version)
	d.explain(explain.Activated, "version "+strconv.FormatInt(snapshot.Version, 10), "applied up to offset "+strconv.FormatInt(state.Offset, 10))
	if d.options.OnActivate != nil {
		d.options.OnActivate(snapshot)
	}
}

// becomeReady reports whether the state may be activated, and books the first time that it may.
func (d *Distributor) becomeReady(state *config.State) bool {
	d.mu.Lock()
	t := &d.tables.start
	ready, reason := d.tables.mayActivate(state.Offset, state.Version)
	if t.ready {
		d.mu.Unlock()
		return ready
	}
	before := t.reason
	t.ready, t.reason = ready, reason
	d.mu.Unlock()
	offset := state.Offset
	if ready {
		d.options.Logger.Info("config_ready", zap.Int64("offset", offset))
	} else if reason != before {
		d.options.Logger.Warn("config_not_ready", zap.Int64("offset", offset), zap.String("reason", reason))
		d.explain(explain.HeldBack, "offset "+strconv.FormatInt(offset, 10), reason)
	}
	return ready
}
