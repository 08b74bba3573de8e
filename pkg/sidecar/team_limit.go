package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/quota"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	// limitExchangeTimeout is the time after which a node counts as out of touch. Round trips take tens of milliseconds, but hundreds on a machine
	// that is short of processor time, and a change of collector makes the counts of all its nodes late.
	limitExchangeTimeout = 600 * time.Millisecond
	// limitCheckInterval is the time between checks whether an exchange is due.
	limitCheckInterval = 50 * time.Millisecond
	// idleLimitCheckInterval is that while no team has a limit.
	idleLimitCheckInterval = 500 * time.Millisecond
	// maxLimitGauges bounds the teams that metrics name: those closest to their limits.
	maxLimitGauges = 10
	// limitQuietTime is the time without a refusal after which a team counts as within its limit again.
	limitQuietTime = 5 * time.Second
)

// defaultLimitBound is the tolerance of limits, if the settings do not say.
var defaultLimitBound = quota.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// limitMethod is the RPC method that exchanges the counts of teams' requests.
const limitMethod = "sidecar.limits"

// limitParams holds the counts of the sender. The result is a quota.Report of the receiver.
type limitParams struct {
	quota.Report
	Peer bool `json:"peer,omitempty"` // the sender is the first node of another data centre
}

// teamLimits enforces the limits of teams together with other nodes. Nothing is exchanged while no team has a limit.
type teamLimits struct {
	self    string
	table   func() *routing.Table
	members func() []membership.Member
	version func() uint64 // of members
	ledger  *quota.Ledger
	tree    *quota.Schedule
	client  *rpc.Client
	metrics *metrics.Registry
	logger  *zap.Logger

	size    atomic.Pointer[fleetSize]
	applied atomic.Pointer[routing.Table] // whose limits are in force
	limited atomic.Bool                   // a team has a limit

	mu      sync.Mutex
	refused map[string]*refusedTeam // teams that were refused lately
}

// fleetSize is the number of nodes for one version of the membership table.
type fleetSize struct {
	version uint64
	nodes   int
}

// refusedTeam is a team over its limit.
type refusedTeam struct {
	since, latest time.Duration
	count         int
}

func newTeamLimits(n *Node) *teamLimits {
	bounds := &n.settings.Bounds
	bound := quota.Bound{Window: time.Duration(bounds.LimitWindow), Overage: bounds.LimitOverage, Slack: bounds.LimitSlack}
	if bound.Window == 0 {
		bound = defaultLimitBound
	}
	t := &teamLimits{
		self: n.settings.ID, table: n.follower.Table, members: n.membership.SharedMembers, version: n.membership.Version,
		client: n.rpcClient, metrics: n.metrics, logger: n.logger, refused: make(map[string]*refusedTeam),
	}
	t.ledger = quota.New(quota.Options{Bound: bound, Timing: quota.DefaultTiming(), Nodes: t.nodes, Random: rand.Float64})
	t.tree = quota.NewSchedule(t.self, t.ledger)
	n.rpcServer.Handle(limitMethod, t.serve)
	n.metrics.Collect(t.collect)
	return t
}

// nodes returns the size of the fleet. Nodes that may be cut off count: part of each limit is set aside for them.
func (t *teamLimits) nodes() int {
	version := t.version()
	size := t.size.Load()
	if size == nil || size.version != version {
		size = &fleetSize{version: version}
		for _, m := range t.members() {
			if m.Status != membership.Left {
				size.nodes++
			}
		}
		t.size.Store(size)
	}
	return max(1, size.nodes)
}

// apply puts the limits of a configuration into force.
func (t *teamLimits) apply(table *routing.Table) {
	if table == nil || t.applied.Load() == table {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.applied.Load(); before != nil && before.Document.Version >= table.Document.Version {
		return
	}
	limits := make(map[string]quota.Limit)
	for _, team := range table.Document.Teams {
		if team.RatePerS > 0 {
			limits[team.Name] = quota.Limit{RatePerS: team.RatePerS, Burst: team.Burst}
		}
	}
	t.ledger.SetLimits(clock.Now(), limits)
	t.limited.Store(len(limits) > 0)
	t.applied.Store(table)
}

// Run exchanges counts with other nodes until ctx ends.
func (t *teamLimits) Run(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		t.apply(t.table())
		interval := idleLimitCheckInterval
		if t.limited.Load() {
			interval = limitCheckInterval
			for _, e := range t.tree.Due(clock.Now(), t.version(), t.quotaMembers) {
				exchanges.Go(func() { t.exchange(ctx, e) })
			}
			t.endRefusals(clock.Now())
		}
		if clock.Sleep(ctx, interval) != nil {
			return
		}
	}
}

func (t *teamLimits) quotaMembers() []quota.Member {
	members := t.members()
	all := make([]quota.Member, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Status != membership.Left {
			all = append(all, quota.Member{ID: m.ID, DataCentre: m.DataCentre, Address: m.ControlAddress, Alive: m.Status == membership.Alive || m.Status == membership.Suspect})
		}
	}
	return all
}

// exchange sends the counts of this node, and takes in what the other node knows.
func (t *teamLimits) exchange(ctx context.Context, e quota.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, limitExchangeTimeout)
	defer cancel()
	if e.Leaves {
		if err := t.client.Call(ctx, e.To.Address, limitMethod, &limitParams{Report: t.ledger.Leave(t.self)}, nil); err != nil {
			t.logger.Debug("team_limit_leave_failed", zap.String("with", e.To.ID), zap.Error(err))
		}
		return
	}
	params := limitParams{Report: t.ledger.Report(clock.Now(), t.self, e.To.ID, e.Relation, e.Next), Peer: e.Relation == quota.Peer}
	var result quota.Report
	if err := t.client.Call(ctx, e.To.Address, limitMethod, &params, &result); err != nil {
		t.metrics.Inc("team_limit_exchange", "result", "failed")
		t.logger.Debug("team_limit_exchange_failed", zap.String("with", e.To.ID), zap.Error(err))
		t.tree.Failed(clock.Now(), e.To.ID)
		return
	}
	t.metrics.Inc("team_limit_exchange", "result", "ok")
	t.ledger.Merge(clock.Now(), result, e.Relation)
}

// serve answers limitMethod.
func (t *teamLimits) serve(_ context.Context, params json.RawMessage) (any, error) {
	var p limitParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
	}
	if p.From == "" || p.Nodes < 0 || p.NextMS < 0 {
		return nil, apierror.InvalidField("params", "sender, number of nodes or time of the next report are missing", "run the same version on all nodes")
	}
	relation := quota.Child
	if p.Peer {
		relation = quota.Peer
	}
	t.apply(t.table())
	t.ledger.Merge(clock.Now(), p.Report, relation)
	if p.Nodes == 0 && !p.Peer {
		return quota.Report{}, nil // it reports elsewhere
	}
	return t.ledger.Report(clock.Now(), t.self, p.From, relation, time.Duration(p.NextMS)*time.Millisecond), nil
}

// refuseOverLimit returns a refusal if the team of the request has used up its limit. Otherwise the request counts towards the limit, unless
// uncount is called for it.
func (o *outbound) refuseOverLimit(q *request) *result {
	if q.team == nil || q.team.RatePerS <= 0 {
		return nil
	}
	o.limits.apply(o.limits.table())
	now := max(1, clock.Now())
	d := o.limits.ledger.Admit(now, q.team.Name)
	if d.Granted {
		q.counted = now
		return nil
	}
	o.limits.noteRefusal(now, q.team.Name, d)
	res := refuse(http.StatusTooManyRequests, reasonTeamLimit)
	res.retryAfter = d.RetryAfter
	return res
}

// uncount makes a request not count towards the limit of its team: no backend server has received it.
func (o *outbound) uncount(q *request) {
	if q.counted > 0 {
		o.limits.ledger.Return(clock.Now(), q.counted, q.team.Name)
		o.metrics.Inc("team_limit_returned")
	}
}

// noteRefusal logs the first refusal of a team that was within its limit.
func (t *teamLimits) noteRefusal(now time.Duration, team string, d quota.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.refused[team]
	if r == nil {
		r = &refusedTeam{since: now}
		t.refused[team] = r
		t.logger.Info("team_limit_reached", zap.String("team", team), zap.Float64("used", d.Used), zap.Float64("allowed", d.Allowed),
			zap.Int64("retry_after_ms", d.RetryAfter.Milliseconds()))
	}
	r.latest, r.count = now, r.count+1
}

// endRefusals logs the teams that are within their limits again.
func (t *teamLimits) endRefusals(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for team, r := range t.refused {
		if now-r.latest > limitQuietTime {
			delete(t.refused, team)
			t.logger.Info("team_limit_left", zap.String("team", team), zap.Int("refused", r.count), zap.Int64("for_ms", (r.latest-r.since).Milliseconds()))
		}
	}
}

// collect reports the teams closest to their limits.
func (t *teamLimits) collect(report func(value int64, base string, labels ...string)) {
	if !t.limited.Load() {
		return
	}
	for _, u := range t.ledger.Usage(clock.Now(), maxLimitGauges) {
		report(int64(u.Used), "team_limit_used", "team", u.Team)
		report(int64(u.Allowed), "team_limit_allowed", "team", u.Team)
		report(u.Refused, "team_limit_refused", "team", u.Team)
	}
}
