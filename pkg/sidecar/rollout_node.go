package sidecar

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
)

const (
	learnInterval = 500 * time.Millisecond // between attempts to learn the states of roll-outs after a start
	storeAttempts = 4                      // every so many attempts, the store is asked as well
	maxAskedPeers = 3                      // in one attempt
)

// applyPermit applies a permit and returns what this node has counted.
func (n *Node) applyPermit(p rollout.Permit) *rollout.Report {
	p.State.Epoch = p.Epoch
	n.mu.Lock()
	defer n.mu.Unlock()
	gate := n.inbound.gate.Load()
	current := n.tracker.Current()
	version := ""
	if current != nil {
		version = current.Version
	}
	isUnknown := gate == nil || gate.State().Order.Position < p.State.Order.Position || gate.State().Order.Service != p.State.Order.Service
	if isUnknown && p.IsInquiry() {
		return &rollout.Report{Process: n.started.UnixMilli(), Version: version, InUse: current != nil && n.inbound.rolloutMode(current) == rollout.Open}
	}
	if isUnknown {
		gate = rollout.NewGate(p.State, n.started.UnixMilli())
		n.inbound.gate.Store(gate)
	}
	if !p.IsInquiry() {
		gate.Apply(p)
	}
	if current != nil {
		n.publishBackend(current, "roll-out")
	}
	return gate.Report(version)
}

// observeRollouts applies the states of roll-outs that a starting node has learnt: its backend server may be one that gets no requests.
func (n *Node) observeRollouts(states []rollout.State) {
	n.rolloutsKnown.Store(true)
	for _, s := range states {
		if s.Order.Service == *n.service.Load() {
			n.inbound.gate.CompareAndSwap(nil, rollout.NewGate(s, n.started.UnixMilli()))
		}
	}
}

// knownRollout is what a node knows of the roll-out of its service.
type knownRollout struct {
	Service string         `json:"service"`
	Known   bool           `json:"known"`
	State   *rollout.State `json:"state,omitempty"` // nil: there is none
	Epoch   int64          `json:"epoch,omitempty"` // of the state
}

// serveKnownRollout answers knownMethod.
func (n *Node) serveKnownRollout(context.Context, json.RawMessage) (any, error) {
	known := knownRollout{Service: *n.service.Load(), Known: n.rolloutsKnown.Load()}
	if gate := n.inbound.gate.Load(); gate != nil {
		state := gate.State()
		known.Known, known.State, known.Epoch = true, &state, state.Epoch
	}
	return known, nil
}

// learnRollouts learns the states of roll-outs if they could not be read at the start: a decider tells a node only as long as a roll-out
// runs. It asks other nodes of the service, and the store less often.
func (n *Node) learnRollouts(ctx context.Context) {
	if n.settings.FirstStart {
		n.rolloutsKnown.Store(true) // there is none yet
	}
	for attempt := 1; clock.Sleep(ctx, learnInterval) == nil && !n.rolloutsKnown.Load(); attempt++ {
		if n.askForRollout(ctx) || attempt%storeAttempts != 0 {
			continue
		}
		stored, err := n.platform.Copy(ctx)
		if err != nil {
			n.logger.Info("rollouts_not_read", zap.Error(err))
			continue
		}
		n.observeRollouts(stored.Rollouts)
		n.logger.Info("rollouts_learnt", zap.String("from", "store"))
	}
}

// askForRollout asks a few other nodes of the service, and reports whether one knew.
func (n *Node) askForRollout(ctx context.Context) bool {
	service, asked := *n.service.Load(), 0
	for _, m := range n.membership.SharedMembers() {
		if asked == maxAskedPeers {
			break
		}
		if m.ID == n.settings.ID || m.Status != membership.Alive || m.Endpoint == nil || m.Endpoint.Service != service {
			continue
		}
		asked++
		known, err := n.knownRolloutOf(ctx, m.ControlAddress)
		if err != nil || !known.Known || known.Service != service {
			n.metrics.Inc("rollout_not_learnt")
			continue
		}
		var states []rollout.State
		if known.State != nil {
			known.State.Epoch = known.Epoch
			states = append(states, *known.State)
		}
		n.observeRollouts(states)
		n.logger.Info("rollouts_learnt", zap.String("from", m.ID))
		return true
	}
	return false
}

func (n *Node) knownRolloutOf(ctx context.Context, address string) (knownRollout, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var known knownRollout
	err := n.rpcClient.Call(ctx, address, knownMethod, struct{}{}, &known)
	return known, err
}
