// Package distribution delivers configuration records from the log to every node.
//
// In each data centre two members, the readers, long-poll the log and push new records down a relay tree. Heartbeats
// carry the position and digest of each node, and a node that lags pulls from a peer. A node applies only entries that
// extend its position without a gap, or installs a full state of a higher offset, so its configuration never reverts.
package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// Options configures a Distributor.
type Options struct {
	Self    membership.Member
	Log     logstore.Log
	Members func() []membership.Member // membership as seen by this node, including itself
	// MembersVersion returns a value that changes whenever Members changes. Nil: roles are computed at each RoleInterval.
	MembersVersion func() uint64
	Client         *rpc.Client
	Server         *rpc.Server            // New registers its methods here
	OnActivate     func(*config.Snapshot) // called in version order, one call at a time; may be nil
	Metrics        *metrics.Registry
	Logger         *zap.Logger
	Explain        func(event explain.Event) // may be nil
	Timing         Timing
}

// Distributor receives, applies and relays the configuration of one node. It is safe for concurrent use.
type Distributor struct {
	options   Options
	timing    Timing
	store     *store
	admission admission

	snapshot   atomic.Pointer[config.Snapshot]
	activateMu sync.Mutex // serializes activations, so that versions are activated in order

	mu        sync.Mutex // guards the fields below
	scheduler scheduler
	rng       *rand.Rand
	pushes    map[string]*childPush // by id of the child

	background sync.WaitGroup
	runContext context.Context // context of Run; nil while Run is not running
	stopped    chan struct{}   // closed when Run ends
}

// New returns a Distributor with an empty state that is not ready, and registers its methods on the server.
func New(o Options) *Distributor {
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	timing := o.Timing.withDefaults()
	d := &Distributor{
		options:   o,
		timing:    timing,
		store:     newStore(timing.KeptEntries, timing.KeptBytes),
		admission: newAdmission(timing),
		rng:       rand.New(rand.NewPCG(timing.Seed, 0)),
		pushes:    make(map[string]*childPush),
		stopped:   make(chan struct{}),
	}
	d.scheduler.incarnations = make(map[string]uint64)
	d.scheduler.start.reason = "starting: peers and the log have not been queried yet"
	o.Server.Handle(methodPush, d.handlePush)
	o.Server.Handle(methodPull, d.handlePull)
	o.Server.Handle(methodFloor, d.handleFloor)
	return d
}

// State returns the applied state, which is immutable. The offset of the returned states never decreases.
func (d *Distributor) State() *config.State {
	return d.store.current()
}

// Snapshot returns the active snapshot, or nil while the node is not ready.
func (d *Distributor) Snapshot() *config.Snapshot {
	return d.snapshot.Load()
}

// Ready reports whether the node is ready, that is, may serve a snapshot. While it is not, the text states the reason.
func (d *Distributor) Ready() (bool, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.start.ready, d.scheduler.start.reason
}

// Heartbeat returns the position and digest for heartbeats. Version is the offset of the last record replayed, accepted or
// not, because the digest covers rejected records too.
func (d *Distributor) Heartbeat() membership.Heartbeat {
	state := d.store.current()
	return membership.Heartbeat{Version: state.Offset, Digest: state.Digest()}
}

// OnHeartbeat records the position of a peer. It schedules a pull if the peer is ahead, and a divergence check if the peer
// has a different digest at the same offset.
func (d *Distributor) OnHeartbeat(from membership.Member, heartbeat membership.Heartbeat) {
	if !d.observePosition(sender{ID: from.ID, Incarnation: from.Incarnation}, position{Offset: heartbeat.Version, Digest: heartbeat.Digest}) {
		return
	}
	d.activateIfAllowed()
	state := d.store.current()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if heartbeat.Version > state.Offset {
		delay := d.timing.PullDelay/4 + jitter(d.rng, d.timing.PullDelay)
		d.scheduler.pull.schedule(state.Offset, heartbeat.Version, from.ControlAddress, now.Add(delay))
	}
	if heartbeat.Version == state.Offset && heartbeat.Digest != "" && heartbeat.Digest != state.Digest() {
		d.suspectDivergence(from.ID, from.ControlAddress, state, heartbeat.Digest, now)
	}
}

// Run executes scheduled work until ctx is done and returns when all background work has stopped. It must be called at most once.
func (d *Distributor) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.runContext = ctx
	d.scheduler.scheduleFirstRuns(time.Now(), d.rng, d.timing)
	d.mu.Unlock()
	ticker := time.NewTicker(d.timing.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.tick(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	d.mu.Lock()
	d.runContext = nil
	d.mu.Unlock()
	close(d.stopped)
	cancel()
	d.background.Wait()
}

// spawn starts f in a goroutine and reports whether it did; it does not if Run is not running. The caller holds d.mu.
func (d *Distributor) spawn(f func(ctx context.Context)) bool {
	ctx := d.runContext
	if ctx == nil {
		return false
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		f(ctx)
	}()
	return true
}

func (d *Distributor) explain(kind explain.Kind, subject, cause string) {
	if d.options.Explain != nil {
		d.options.Explain(explain.Event{Time: time.Now(), Kind: kind, Subject: subject, Cause: cause})
	}
}

func (d *Distributor) count(name string, labels ...string) {
	d.options.Metrics.Inc(name, labels...)
}
