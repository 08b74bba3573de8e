// Package distribution brings configuration records from the log to every node.
//
// In each data centre two members long-poll the log and push new records down a relay tree; heartbeats carry each
// node's position and digest, and whoever is behind pulls from a peer. A node applies only contiguous extensions of its
// position or a state of a higher offset, so its configuration never goes back.
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

// Options connects a Distributor to its node.
type Options struct {
	Self    membership.Member
	Log     logstore.Log
	Members func() []membership.Member // the node's own view, including itself
	// MembersVersion changes with each change of Members. Nil: roles are computed at each RoleInterval.
	MembersVersion func() uint64
	Client         *rpc.Client
	Server         *rpc.Server            // New registers its methods here
	OnActivate     func(*config.Snapshot) // called in order of versions, one call at a time; may be nil
	Metrics        *metrics.Registry
	Logger         *zap.Logger
	Explain        func(event explain.Event) // may be nil
	Timing         Timing
}

// Distributor holds the applied configuration of one node. It is safe for concurrent use.
type Distributor struct {
	options   Options
	timing    Timing
	store     *store
	admission admission

	snapshot atomic.Pointer[config.Snapshot]
	activate sync.Mutex // held while a snapshot is activated, so that versions are activated in order

	mu     sync.Mutex // guards the fields below
	tables tables
	rng    *rand.Rand
	relay  map[string]*outgoing // by member id

	background sync.WaitGroup
	running    context.Context // nil before Run and after it
	stopped    chan struct{}   // closed at the end of Run
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
		relay:     make(map[string]*outgoing),
		stopped:   make(chan struct{}),
	}
	d.tables.incarnations = make(map[string]uint64)
	d.tables.start.reason = "starting: peers and the log have not been asked yet"
	o.Server.Handle(methodPush, d.handlePush)
	o.Server.Handle(methodPull, d.handlePull)
	o.Server.Handle(methodFloor, d.handleFloor)
	return d
}

// State returns the applied state. It is immutable and its offset never decreases.
func (d *Distributor) State() *config.State {
	return d.store.current()
}

// Snapshot returns the active snapshot, or nil while the node is not ready.
func (d *Distributor) Snapshot() *config.Snapshot {
	return d.snapshot.Load()
}

// Ready reports whether a snapshot is active. While it is not, the text says why and what would help.
func (d *Distributor) Ready() (bool, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.start.ready, d.tables.start.reason
}

// Heartbeat returns the position and digest for heartbeats. Version is the offset of the last record replayed, accepted or
// not, because the digest covers rejected records too.
func (d *Distributor) Heartbeat() membership.Heartbeat {
	state := d.store.current()
	return membership.Heartbeat{Version: state.Offset, Digest: state.Digest()}
}

// OnHeartbeat takes note of a peer's position. It schedules a pull if the peer is ahead and a check if the peer has a
// different state at the same position.
func (d *Distributor) OnHeartbeat(from membership.Member, beat membership.Heartbeat) {
	if !d.hear(speaker{ID: from.ID, Incarnation: from.Incarnation}, position{Offset: beat.Version, Digest: beat.Digest}) {
		return
	}
	d.tryActivate()
	state := d.store.current()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if beat.Version > state.Offset {
		delay := d.timing.PullDelay/4 + jitter(d.rng, d.timing.PullDelay)
		d.tables.pull.want(state.Offset, beat.Version, from.ControlAddress, now.Add(delay))
	}
	if beat.Version == state.Offset && beat.Digest != "" && beat.Digest != state.Digest() {
		d.suspectDivergence(from.ID, from.ControlAddress, state, beat.Digest, now)
	}
}

// Run ticks until ctx ends and returns when all background work has stopped. It is called once.
func (d *Distributor) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.running = ctx
	d.tables.begin(time.Now(), d.rng, d.timing)
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
	d.running = nil
	d.mu.Unlock()
	close(d.stopped)
	cancel()
	d.background.Wait()
}

// spawn starts f unless the Distributor is not running. The caller holds d.mu.
func (d *Distributor) spawn(f func(ctx context.Context)) bool {
	ctx := d.running
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
