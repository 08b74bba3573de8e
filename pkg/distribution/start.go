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
	localSampleSize  = 8 // peers of the own data centre queried for their floor during a start step
	remoteSampleSize = 4 // peers of other data centres queried
	maxFloorQueries  = 8 // concurrent config.floor calls
)

// startState is the progress of a node towards readiness.
type startState struct {
	job            job
	startedAt      time.Time
	peersQueried   bool   // peers were queried for their floor at least once, or there are none
	tailRead       bool   // the log was read to its tail at least once
	peersConfirmed bool   // the log cannot be read and the reachable peers, at least one of them ready, have responded
	ready          bool   // never reset
	reason         string // why the node is not ready
}

// mayActivate reports whether the node may serve a version that it holds at an offset, and the reason if it may not. If there
// are other members, at least one must hold the version too: while the log cannot be read, a node that served the version and
// restarts learns its floor only from its peers.
func (s *scheduler) mayActivate(offset, version int64) (bool, string) {
	if version > s.maxPeerOffset && s.roles.peerCount > 0 {
		return false, fmt.Sprintf("held back: no other member has confirmed version %d yet", version)
	}
	if s.start.ready {
		return true, ""
	}
	return s.start.mayBecomeReady(offset, s.maxPeerOffset, s.maxPeerID)
}

// mayBecomeReady reports whether a starting node at this offset may become ready, and the reason if it may not. The node must
// have reached the floor, so that it never serves an older version than before the restart.
func (s *startState) mayBecomeReady(offset, floor int64, floorFrom string) (bool, string) {
	switch {
	case offset < floor:
		return false, fmt.Sprintf("held back: position %d is below the floor %d reported by %s; waiting for the records in between", offset, floor, floorFrom)
	case s.tailRead:
		return true, ""
	case s.peersConfirmed && offset > 0:
		return true, ""
	case s.peersConfirmed:
		return false, "no configuration: the log service cannot be read and no reachable peer has configuration; check the log service"
	default:
		return false, s.reason
	}
}

// startStep queries peers for their floor, pulls from the peer that is furthest ahead and reads the log to its tail. It is
// repeated until the node is ready.
func (d *Distributor) startStep(ctx context.Context) error {
	local, remote := d.alivePeers()
	elapsed := d.sinceStart()
	if len(local)+len(remote) == 0 && elapsed < d.timing.StartMembersTimeout {
		return nil
	}
	summary := d.queryFloors(ctx, append(d.sample(local, localSampleSize), d.sample(remote, remoteSampleSize)...))
	d.mu.Lock()
	d.scheduler.start.peersQueried = true
	reader := d.scheduler.roles.isReader()
	d.mu.Unlock()
	// Peers are preferred to the log, so that a mass restart does not read the complete log once per node. If a peer is ready
	// and none has configuration, the log is empty and the node need not wait.
	if d.State().Offset == 0 && !reader && len(local) > 0 && summary.ready == 0 && elapsed < d.timing.StartPeersTimeout {
		return nil
	}
	err := d.readToTail(ctx)
	if err == nil {
		d.updateStart(func(s *startState) { s.tailRead = true })
	} else if ctx.Err() == nil {
		d.confirmWithPeers(ctx, local, remote, err)
	}
	d.activateIfAllowed()
	if ready, _ := d.Ready(); ready {
		return nil
	}
	return err
}

// confirmWithPeers establishes the floor while the log cannot be read. It queries every peer of the own data centre, and those
// of other data centres if none of these is ready, because any one peer may be the only one that knows the highest floor. At
// least one must be ready: peers that are starting too may have lost the floor themselves.
func (d *Distributor) confirmWithPeers(ctx context.Context, local, remote []membership.Member, logErr error) {
	summary := d.queryFloors(ctx, local)
	if summary.ready == 0 {
		remoteSummary := d.queryFloors(ctx, remote)
		summary.responses, summary.ready = summary.responses+remoteSummary.responses, remoteSummary.ready
	}
	d.updateStart(func(s *startState) {
		s.peersConfirmed = summary.ready > 0
		switch {
		case summary.responses == 0:
			s.reason = "alone: no peer answers and the log cannot be read (" + logErr.Error() + ")"
		case summary.ready == 0:
			s.reason = "no peer that answers is ready and the log cannot be read (" + logErr.Error() + ")"
		}
	})
}

func (d *Distributor) updateStart(change func(*startState)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.scheduler.start)
}

func (d *Distributor) sinceStart() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.scheduler.start.startedAt)
}

// alivePeers returns the alive members of the own data centre and of the others, without this node.
func (d *Distributor) alivePeers() (local, remote []membership.Member) {
	for _, m := range d.options.Members() {
		switch {
		case m.ID == d.options.Self.ID || m.Status != membership.Alive:
		case m.DataCentre == d.options.Self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return local, remote
}

// sample returns up to n random members. It shuffles members in place.
func (d *Distributor) sample(members []membership.Member, n int) []membership.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return append([]membership.Member(nil), members[:min(n, len(members))]...)
}

// floorSummary counts the responses to config.floor.
type floorSummary struct {
	responses int
	ready     int // responses of peers that are ready
}

// queryFloors sends config.floor to the peers, raises the floor and pulls from the peer that is furthest ahead.
func (d *Distributor) queryFloors(ctx context.Context, peers []membership.Member) floorSummary {
	var mu sync.Mutex
	var summary floorSummary
	var best position
	var bestAddress string
	var group errgroup.Group
	group.SetLimit(maxFloorQueries)
	for _, peer := range peers {
		group.Go(func() error {
			response, err := d.queryFloor(ctx, peer.ControlAddress)
			if err != nil {
				return nil // an unreachable peer does not contribute to the floor
			}
			mu.Lock()
			defer mu.Unlock()
			summary.responses++
			if response.Ready {
				summary.ready++
			}
			d.updateStart(func(*startState) { d.scheduler.raisePeerOffset(response.Floor, peer.ID) })
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
	return summary
}

func (d *Distributor) queryFloor(ctx context.Context, address string) (floorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout)
	defer cancel()
	var response floorResponse
	d.count("config_floor_sent")
	err := d.options.Client.Call(ctx, address, methodFloor, floorRequest{sender: d.self()}, &response)
	return response, err
}

// activateIfAllowed activates the snapshot of the applied state if the node may serve it and its version is higher than the
// active one.
func (d *Distributor) activateIfAllowed() {
	d.activateState(false)
}

// activateState replaces the active snapshot. Only a repair may replace it by one whose version is not higher, because the
// snapshot of a diverged state does not correspond to any version of the log.
func (d *Distributor) activateState(repaired bool) {
	d.activateMu.Lock()
	defer d.activateMu.Unlock()
	state := d.store.current()
	if !repaired && !d.updateReadiness(state) {
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

// updateReadiness reports whether the state may be activated. The node becomes ready the first time that it may.
func (d *Distributor) updateReadiness(state *config.State) bool {
	d.mu.Lock()
	s := &d.scheduler.start
	ready, reason := d.scheduler.mayActivate(state.Offset, state.Version)
	if s.ready {
		d.mu.Unlock()
		return ready
	}
	before := s.reason
	s.ready, s.reason = ready, reason
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
