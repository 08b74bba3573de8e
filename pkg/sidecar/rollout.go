package sidecar

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// RPC methods of roll-outs.
const (
	permitMethod = "sidecar.rollout"       // a decider sends a permit and gets a report
	knownMethod  = "sidecar.rollout_known" // a node that has started asks for the state of its service's roll-out
)

const (
	permitTimeout   = 400 * time.Millisecond
	finalTime       = 10 * time.Second // in which nodes are told the last phase
	agreeRetryDelay = 200 * time.Millisecond
	claimDelay      = 150 * time.Millisecond // a node waits this long for each node that may decide before it
	standbyInterval = time.Second            // between checks of the node that decides
	joinTimeout     = 5 * time.Second        // by then a node that has started knows the others
)

// errSuperseded is returned if another node decides, or a later order replaced the one at hand.
var errSuperseded = eris.New("another node decides on the roll-out")

// rollouts decides on roll-outs whose orders this node has read from the store. Several nodes read them; the first one that writes its
// claim to the store decides, and another one takes over if it dies.
type rollouts struct {
	self     string // node ID
	source   Source
	limits   rollout.Limits
	members  func() []membership.Member // callers must not modify the result
	rank     func() int                 // number of live nodes that should claim a roll-out before this one
	client   *rpc.Client
	onPermit func(rollout.Permit) *rollout.Report // applies a permit to this node
	metrics  *metrics.Registry
	logger   *zap.Logger

	mu       sync.Mutex
	latest   map[string]rollout.Order   // by service
	seen     map[string][]rollout.Order // earlier ones, by service
	states   map[string]rollout.State   // latest state that this node wrote or read, by service
	restored chan struct{}              // capacity 1; the store has come back from a copy
}

// observe records orders and starts to work on those that are new.
func (r *rollouts) observe(ctx context.Context, orders []rollout.Order) {
	for _, o := range orders {
		known, isNew := r.record(o)
		if !isNew {
			if o.Position > known.Position {
				r.metrics.Inc("rollout_order", "verdict", "repeated")
			}
			continue
		}
		if o.IsWithdrawal() {
			r.metrics.Inc("rollout_order", "verdict", "withdrawn")
			r.logger.Info("rollout_withdrawn", zap.String("service", o.Service))
			continue // the deciding node rolls back
		}
		if err := o.Validate(); err != nil {
			r.metrics.Inc("rollout_order", "verdict", "invalid")
			r.logger.Warn("rollout_order_not_valid", zap.String("service", o.Service), zap.Error(err), zap.String("remedy", "order it again"))
			continue
		}
		r.metrics.Inc("rollout_order", "verdict", "accepted")
		go r.run(ctx, o, known.Service != "" && known.IsWithdrawal())
	}
}

// maxSeenOrders bounds the memory for earlier orders of a service.
const maxSeenOrders = 32

// record records an order. It returns the one before, if any, and whether it is a new one. After the store has come back from a copy, an
// order that another one had replaced may be the newest there for a while.
func (r *rollouts) record(o rollout.Order) (known rollout.Order, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.latest[o.Service]
	switch {
	case !ok:
	case o.Position <= known.Position, o.IsSame(&known):
		return known, false
	case generationOf(o.Position) > generationOf(known.Position) &&
		slices.ContainsFunc(r.seen[o.Service], func(earlier rollout.Order) bool { return earlier.IsSame(&o) }):
		return known, false
	default:
		r.seen[o.Service] = append(r.seen[o.Service], known)
		if extra := len(r.seen[o.Service]) - maxSeenOrders; extra > 0 {
			r.seen[o.Service] = slices.Delete(r.seen[o.Service], 0, extra)
		}
	}
	r.latest[o.Service] = o
	return known, true
}

// adopt makes an order, as the fleet agreed on it, the latest one if it is the same, and returns it.
func (r *rollouts) adopt(agreed rollout.Order) rollout.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest := r.latest[agreed.Service]; latest.IsSame(&agreed) {
		r.latest[agreed.Service] = agreed
	}
	return agreed
}

func (r *rollouts) isLatest(o rollout.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[o.Service].Position == o.Position
}

// run decides on the roll-out of an order, or stands by, until the roll-out has ended. An order that is the same as that of the stored
// state was written again, unless the earlier one was withdrawn.
func (r *rollouts) run(ctx context.Context, o rollout.Order, afterWithdrawal bool) {
	seen := time.Now()
	_ = clock.Sleep(ctx, time.Duration(r.rank())*claimDelay)
	for ctx.Err() == nil {
		stored, err := r.source.Copy(ctx)
		if err != nil {
			r.logger.Info("rollout_state_not_read", zap.String("service", o.Service), zap.Error(err))
			_ = clock.Sleep(ctx, agreeRetryDelay)
			continue
		}
		state := stored.rolloutOf(o.Service)
		if state.Order.IsSame(&o) && state.Order.Position != o.Position && !afterWithdrawal {
			r.logger.Info("rollout_order_repeated", zap.String("service", o.Service), zap.String("target", o.Target), zap.String("phase", string(state.Phase)),
				zap.String("remedy", "to try the version again, withdraw the order first"))
			o = r.adopt(state.Order)
		}
		switch {
		case state.Order.Position > o.Position, !r.isLatest(o) && state.Order.Position < o.Position:
			return // a later order replaced this one
		case state.Order.Position == o.Position && state.Phase.IsFinal():
			r.remember(state)
			return
		case state.Order.Position == o.Position && state.Decider != r.self && !r.isGone(state.Decider, time.Since(seen)):
			_ = clock.Sleep(ctx, standbyInterval)
			continue
		case state.Order.Position != o.Position:
			state = rollout.State{Order: o, Phase: rollout.Canary, StartedMS: seen.UnixMilli(), Epoch: state.Epoch}
		}
		claimed := state
		claimed.Decider = r.self
		if state, err = r.put(ctx, claimed, stored.End); err == nil {
			err = r.decide(ctx, state)
		}
		if err != nil && ctx.Err() == nil {
			r.logger.Info("rollout_not_decided", zap.String("service", o.Service), zap.Error(err))
			_ = clock.Sleep(ctx, agreeRetryDelay)
		}
	}
}

func (c *Copy) rolloutOf(service string) rollout.State {
	for _, s := range c.Rollouts {
		if s.Order.Service == service {
			return s
		}
	}
	return rollout.State{Order: rollout.Order{Position: -1}}
}

// isGone reports whether the node that decides is dead or has left. A node that is not known may not have been found yet, since this one
// has worked on the order for a short time.
func (r *rollouts) isGone(id string, worked time.Duration) bool {
	for _, m := range r.members() {
		if m.ID == id {
			return m.Status == membership.Dead || m.Status == membership.Left
		}
	}
	return worked > joinTimeout
}

// put writes a state to the store and returns it with its epoch.
func (r *rollouts) put(ctx context.Context, s rollout.State, end StorePosition) (rollout.State, error) {
	epoch, err := r.source.PutRollout(ctx, s, end)
	if err != nil {
		r.metrics.Inc("rollout_state_not_written")
		return s, err
	}
	s.Epoch = epoch
	r.remember(s)
	r.metrics.Inc("rollout_phase", "phase", string(s.Phase))
	r.logger.Info("rollout_agreed", zap.String("service", s.Order.Service), zap.String("target", s.Order.Target), zap.String("phase", string(s.Phase)),
		zap.String("cause", s.Cause), zap.Int64("epoch", s.Epoch))
	return s, nil
}

// agree makes the store hold the next state of a roll-out that this node decides on. It retries until it is known whether it does.
func (r *rollouts) agree(ctx context.Context, current, next rollout.State) (rollout.State, error) {
	for ctx.Err() == nil {
		stored, err := r.source.Copy(ctx)
		if err == nil {
			state := stored.rolloutOf(next.Order.Service)
			switch {
			case state.Order.Position == next.Order.Position && state.Decider == r.self && state.Phase == next.Phase:
				return state, nil // the response to an earlier write was lost
			case state.Epoch != current.Epoch:
				return next, errSuperseded
			}
			var written rollout.State
			if written, err = r.put(ctx, next, stored.End); err == nil {
				return written, nil
			}
		}
		r.logger.Info("rollout_not_agreed", zap.String("service", next.Order.Service), zap.String("phase", string(next.Phase)), zap.Error(err))
		_ = clock.Sleep(ctx, agreeRetryDelay)
	}
	return next, ctx.Err()
}

// decide decides on the course of a roll-out until it ends or another node takes over.
func (r *rollouts) decide(ctx context.Context, state rollout.State) error {
	order := state.Order
	elapsed := min(max(0, time.Since(time.UnixMilli(state.StartedMS))), order.Duration) // the time of day of nodes may differ
	d := rollout.NewDecider(state, time.Now().Add(-elapsed), r.limits)
	var reported rollout.Phase // that the operators know of
	var ended time.Time        // when the last phase was agreed and reported
	for ended.IsZero() || time.Since(ended) < finalTime {
		if reported != d.State().Phase {
			if err := r.source.PutRolloutStatus(ctx, order, d.State().Phase); err != nil {
				r.logger.Info("rollout_status_not_written", zap.String("service", order.Service), zap.Error(err))
			} else if reported = d.State().Phase; reported.IsFinal() {
				ended = time.Now()
			}
		}
		if err := r.poll(ctx, d); err != nil {
			return err
		}
		next, changes := d.Next(time.Now())
		if !r.isLatest(order) && !next.Phase.IsFinal() {
			next, changes = d.Withdraw()
		}
		if changes {
			r.logDecision(d, next)
			agreed, err := r.agree(ctx, d.State(), next)
			if err != nil {
				return err
			}
			if err := d.Agreed(agreed); err != nil {
				return err
			}
			continue // at once with the new permits
		}
		if err := clock.Sleep(ctx, rollout.PollInterval); err != nil {
			return err
		}
	}
	return nil
}

func (r *rollouts) logDecision(d *rollout.Decider, next rollout.State) {
	j := d.Judgement()
	r.logger.Info("rollout_decision", zap.String("service", next.Order.Service), zap.String("target", next.Order.Target), zap.String("phase", string(next.Phase)),
		zap.String("cause", next.Cause), zap.String("comparison", string(j.Verdict)), zap.Float64("evidence", j.Evidence), zap.Int64("answered", j.Answered),
		zap.Int64("bad", j.BadCount), zap.Float64("base_rate", j.BaseRate), zap.Int64("exposure_granted", d.Granted()))
}

// poll sends permits to the nodes beside backend servers of the service and records their reports. It returns errSuperseded if one of
// them follows another decider.
func (r *rollouts) poll(ctx context.Context, d *rollout.Decider) error {
	addresses := make(map[string]string)
	var nodes []rollout.Node
	for _, m := range r.members() {
		if m.Endpoint == nil || m.Endpoint.Service != d.State().Order.Service || m.Endpoint.State == membership.EndpointGone {
			continue
		}
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			nodes, addresses[m.ID] = append(nodes, rollout.Node{ID: m.ID, DataCentre: m.DataCentre}), m.ControlAddress
		}
	}
	permits := d.Poll(time.Now(), nodes)
	reports := make(map[string]*rollout.Report, len(permits))
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	for id, p := range permits {
		inFlight.Go(func() {
			report, err := r.send(ctx, id, addresses[id], p)
			if err != nil {
				r.metrics.Inc("rollout_poll_failed")
				r.logger.Debug("rollout_poll_failed", zap.String("to", id), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[id] = report
		})
	}
	inFlight.Wait()
	now := time.Now()
	for id, report := range reports {
		if report.Epoch > d.State().Epoch {
			return errSuperseded
		}
		d.Observe(now, id, report)
	}
	r.metrics.Gauge("rollout_exposure_granted").Update(d.Granted())
	return nil
}

func (r *rollouts) send(ctx context.Context, id, address string, p rollout.Permit) (*rollout.Report, error) {
	if id == r.self {
		return r.onPermit(p), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var report rollout.Report
	if err := r.client.Call(ctx, address, permitMethod, p, &report); err != nil {
		return nil, err
	}
	return &report, nil
}

// newRollouts connects the roll-outs to the node.
func (n *Node) newRollouts(relay *relay) *rollouts {
	n.rpcServer.Handle(permitMethod, func(_ context.Context, params json.RawMessage) (any, error) {
		var p rollout.Permit
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
		}
		return n.applyPermit(p), nil
	})
	n.rpcServer.Handle(knownMethod, n.serveKnownRollout)
	return &rollouts{
		self: n.settings.ID, source: n.platform, limits: rollout.Limits{Share: n.settings.Bounds.ExposureShare, Slack: n.settings.Bounds.ExposureSlack},
		members: n.membership.SharedMembers, rank: relay.indexInFleet, client: n.rpcClient, onPermit: n.applyPermit, metrics: n.metrics, logger: n.logger,
		latest: make(map[string]rollout.Order), seen: make(map[string][]rollout.Order), states: make(map[string]rollout.State), restored: make(chan struct{}, 1),
	}
}
