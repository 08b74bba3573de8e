package sidecar

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/compression"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	pollPause           = 800 * time.Millisecond // after a configuration was read, so that a burst of versions takes few reads
	minBurstVersions    = 2                      // if one read skips at least this many versions, the next read fetches the newest version directly
	copyInterval        = 3 * time.Second        // between writes of the copy; a node that starts with a stale one soon learns of the newer version
	readerCheckInterval = 500 * time.Millisecond // between checks whether this node has become a reader
	firstRelayTimeout   = 3 * time.Second        // when the whole fleet starts for the first time, for the first configuration from a reader
	// peerDelay is how long a node that learns of a newer version from a probe waits to receive it from the store or the relay before it
	// pulls it.
	peerDelay   = 300 * time.Millisecond
	pullTimeout = time.Second
	// earlierCopyWait is how long a starting node asks other nodes before it uses a copy of an earlier generation of the store. It is longer
	// than a node needs to join.
	earlierCopyWait = 1500 * time.Millisecond
)

// documentMethod is the RPC method that pulls the configuration from another node.
const documentMethod = "sidecar.document"

// documentParams requests a configuration newer than a given version.
type documentParams struct {
	NewerThan uint64 `json:"newer"` // 0: the node has no configuration
}

// documentResult holds the change since the requested version, or the full configuration if that version is no longer kept. Both are nil
// if there is nothing newer.
type documentResult struct {
	Change []byte `json:"change,omitempty"` // a routing.Change as compressed JSON
	Full   []byte `json:"whole,omitempty"`  // a routing.Document as compressed JSON
}

const (
	maxChanges       = 8 // kept for nodes that have an earlier version
	maxFullTransfers = 2 // full configurations that a node serves concurrently
	maxDocumentBytes = 256 << 20
)

// follower keeps the node's configuration up to date. The version never decreases within the lifetime of the process.
type follower struct {
	source        Source
	client        *rpc.Client
	metrics       *metrics.Registry
	logger        *zap.Logger
	copyWait      time.Duration // before a copy of an earlier generation of the store is used
	storeRecovery time.Duration // Bounds.StoreRecovery
	firstStart    bool          // the fleet starts for the first time: the store holds neither a copy nor earlier versions

	table         atomic.Pointer[routing.Table]
	mu            sync.Mutex        // serialises activation
	changes       []*routing.Change // between the latest active versions, the latest last; guarded by mu
	fullTransfers chan struct{}     // semaphore with one element for each full configuration being served
	copyVersion   uint64            // version of the copy that this node last read or wrote; used by Run only
	generation    int64             // of the store that holds it; used by Run only
	copiedAt      time.Time         // when it last wrote the copy; used by Run only
	pulling       atomic.Bool
	heardLaterAt  atomic.Int64  // clock.Now when another node was last known to have a later version; 0: never
	unstated      atomic.Uint64 // highest version that arrived from a build without teams; 0: none since the store was last read
	storeUp       atomic.Bool
	storeLostAt   atomic.Int64 // clock.Now of the first failed call since the store was last reached; 0: never

	isReader   func() bool                            // whether this node reads the store
	isStandby  func() bool                            // whether another node of the data centre notices sooner that the store drops requests
	hasPeers   func() bool                            // whether other nodes are known
	isWriter   func() bool                            // whether this node also maintains the copy in the store
	onRollouts func([]rollout.State)                  // called with the states of roll-outs that a starting node reads
	onBlocked  func([]quarantine.Record)              // called with the requests that crash backend servers, as a starting node reads them
	onOrders   func(context.Context, []rollout.Order) // called with the orders of roll-outs that were read from the store
	onChange   func(*routing.Change)                  // called after a version was read from the store or pulled from another node
	// onTurnedAway is called while the store does not serve this node, with the position that it reads from, if it is known.
	onTurnedAway func(context.Context, *StorePosition)
	substitute   *substitute
}

func newFollower(source Source, client *rpc.Client, server *rpc.Server, m *metrics.Registry, logger *zap.Logger) *follower {
	f := &follower{
		source: source, client: client, metrics: m, logger: logger,
		fullTransfers: make(chan struct{}, maxFullTransfers), copyWait: earlierCopyWait,
		isReader: func() bool { return true }, isStandby: func() bool { return false }, isWriter: func() bool { return true },
		hasPeers: func() bool { return true }, onChange: func(*routing.Change) {},
		onTurnedAway: func(context.Context, *StorePosition) {}, substitute: newSubstitute(),
		onRollouts: func([]rollout.State) {}, onBlocked: func([]quarantine.Record) {}, onOrders: func(context.Context, []rollout.Order) {},
	}
	server.Handle(documentMethod, f.serveDocument)
	return f
}

// Table returns the configuration in force, or nil if none is known yet.
func (f *follower) Table() *routing.Table { return f.table.Load() }

// version returns the version of the configuration in force, or 0 if there is none.
func (f *follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// document returns the configuration in force, or an empty one of version 0.
func (f *follower) document() *routing.Document {
	if t := f.table.Load(); t != nil {
		return t.Document
	}
	return &routing.Document{}
}

// activate puts a configuration into force if it is valid and newer than the current one. It returns the change from the version that was in
// force before, or nil if the configuration was not activated. Before the first one, an empty document of version 0 is in force. change is
// that change if it is known, or nil.
func (f *follower) activate(d *routing.Document, change *routing.Change, from string) *routing.Change {
	if d == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.version()
	if d.Version <= before {
		return nil
	}
	if !d.StatesTeams() {
		f.refuseUnstated(d.Version, from)
		return nil
	}
	table, err := routing.Compile(d)
	if err != nil {
		f.metrics.Inc("configuration_rejected")
		f.logger.Error("configuration_rejected", zap.Uint64("version", d.Version), zap.String("from", from), zap.Error(err),
			zap.String("remedy", "publish a corrected configuration; the one in force is kept"))
		return nil
	}
	if change == nil || change.From != before {
		change = routing.Diff(f.document(), table.Document)
	}
	if before > 0 {
		f.changes = append(f.changes, change)
		if len(f.changes) > maxChanges {
			f.changes = slices.Delete(f.changes, 0, 1)
		}
	}
	f.table.Store(table)
	f.heardLaterAt.Store(0) // if there is a still later one, the next probe says so
	f.metrics.Inc("configuration_activated", "from", from)
	f.metrics.Gauge("configuration_version").Update(int64(d.Version))
	f.logger.Info("configuration_activated", zap.Uint64("version", d.Version), zap.Uint64("before", before),
		zap.String("from", from), zap.Int("routes", len(d.Routes)), zap.Int("services", len(d.Services)), zap.Int("teams", len(d.Teams)))
	return change
}

// refuseUnstated records a version that arrived from a build without teams. It does not say which teams there are, so that keys and teams would be
// lost with it; the store is read instead. The caller must hold mu.
func (f *follower) refuseUnstated(version uint64, from string) {
	f.metrics.Inc("configuration_without_teams", "from", from)
	if version <= f.unstated.Load() {
		return
	}
	f.unstated.Store(version)
	f.logger.Warn("configuration_without_teams", zap.Uint64("version", version), zap.Uint64("kept", f.version()), zap.String("from", from),
		zap.String("remedy", "run the same version on all nodes; this node reads the store"))
}

// noteUnstated records that a change of a build without teams arrived.
func (f *follower) noteUnstated(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuseUnstated(version, "relay")
}

// Run reads the source until ctx ends. A node that is not a reader reads it only as long as it has no configuration, and not before
// firstRelayTimeout if the whole fleet starts for the first time.
func (f *follower) Run(ctx context.Context) {
	position, positionKnown := StorePosition{}, f.firstStart
	readAlone := time.Now()
	if f.firstStart {
		readAlone = readAlone.Add(firstRelayTimeout)
	}
	for f.firstStart && !f.hasPeers() && time.Now().Before(readAlone) {
		_ = clock.Sleep(ctx, readerCheckInterval)
	}
	if f.firstStart || f.readCopy(ctx) {
		_ = clock.Sleep(ctx, readerCheckInterval) // by then the other members are known, which determine the readers
	}
	poll := newPoller(f.source, f.storeRecovery, f.isStandby)
	for ctx.Err() == nil {
		unstated := f.unstated.Load()
		if !f.isReader() && unstated == 0 && (f.table.Load() != nil || time.Now().Before(readAlone)) {
			positionKnown = f.firstStart && f.table.Load() == nil
			f.awaitReaderCheck(ctx)
			continue
		}
		positionKnown = positionKnown && unstated == 0
		if start := f.substitute.takePosition(); start != nil && !positionKnown && unstated == 0 && f.table.Load() != nil {
			position, positionKnown = *start, true
		}
		var p Published
		var err error
		callStarted := time.Now()
		if positionKnown {
			p, err = poll.next(ctx, position)
		} else {
			p, err = f.source.Newest(ctx)
		}
		if ctx.Err() != nil {
			return // the call was interrupted
		}
		if err != nil {
			positionKnown = positionKnown && apierror.KindOf(err) != apierror.NotFound
			f.storeFailed(err)
			if f.isReader() && f.table.Load() != nil && poll.isTurnedAway(err, f.substitute.isActive()) {
				f.onTurnedAway(ctx, knownPosition(position, positionKnown))
			}
			poll.failed(ctx, callStarted)
			continue
		}
		f.storeReached()
		f.unstated.CompareAndSwap(unstated, 0) // what the store says is complete; a version that it lacks cannot be completed
		poll.succeeded()
		f.onOrders(ctx, p.Orders)
		// After a burst of versions, read the newest instead of each in turn.
		positionKnown = p.Position.Offset-position.Offset < minBurstVersions || !positionKnown
		position = p.Position
		isFirst := f.table.Load() == nil
		if change := f.activate(p.Document, nil, "store"); change != nil && (!isFirst || f.firstStart) {
			go f.onChange(change) // an unreachable data centre must not delay the next read
		}
		f.keepCopy(ctx, p.Position.Generation)
		if p.Document == nil {
			continue
		}
		_ = clock.Sleep(ctx, pollPause)
	}
}

// awaitReaderCheck waits for readerCheckInterval, or until this node is asked to read the store.
func (f *follower) awaitReaderCheck(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readerCheckInterval)
	defer cancel()
	select {
	case <-f.substitute.asked:
	case <-ctx.Done():
	}
}

// knownPosition returns the position, or nil if it is not known.
func knownPosition(position StorePosition, known bool) *StorePosition {
	if !known {
		return nil
	}
	return &position
}

// readCopy activates the copy of the newest configuration that a node has left in the store. The copy may be slightly stale; the readers
// detect that within a second and relay the newer version. It reports whether a usable copy was found.
func (f *follower) readCopy(ctx context.Context) bool {
	stored, err := f.source.Copy(ctx)
	if err != nil {
		f.storeFailed(err) // Run reads the published configuration in any case
		return false
	}
	f.onRollouts(stored.Rollouts)
	f.onBlocked(stored.Blocked)
	if stored.Document == nil {
		return false
	}
	document, err := decodeCompressed[routing.Document](stored.Document)
	if err != nil {
		f.metrics.Inc("configuration_copy_unreadable")
		f.logger.Warn("configuration_copy_unreadable", zap.Error(err), zap.String("remedy", "none; the copy is replaced with the next configuration"))
		return false
	}
	f.copyVersion, f.generation = document.Version, stored.End.Generation
	if !document.StatesTeams() {
		f.copyVersion = 0 // to be replaced
		f.metrics.Inc("configuration_without_teams", "from", "copy")
		f.logger.Info("configuration_without_teams", zap.Uint64("version", document.Version), zap.String("from", "copy"),
			zap.String("remedy", "none; the published configuration is read instead"))
		return false
	}
	if stored.IsEarlier {
		f.metrics.Inc("configuration_copy_earlier")
		f.logger.Warn("configuration_copy_earlier", zap.Uint64("version", document.Version), zap.String("remedy", "none; other nodes are asked for a newer one first"))
		f.awaitPeers(ctx)
	}
	f.activate(document, nil, "copy")
	return f.table.Load() != nil
}

// awaitPeers waits until another node has passed on a configuration, for copyWait at most.
func (f *follower) awaitPeers(ctx context.Context) {
	for end := time.Now().Add(f.copyWait); f.table.Load() == nil && time.Now().Before(end); {
		if clock.Sleep(ctx, tablePollInterval) != nil {
			return
		}
	}
}

// keepCopy updates the copy that starting nodes read, if it is older than the configuration in force, or may be lost since the store has
// another generation.
func (f *follower) keepCopy(ctx context.Context, generation int64) {
	if generation != f.generation {
		f.generation, f.copyVersion, f.copiedAt = generation, 0, time.Time{}
	}
	t := f.table.Load()
	if t == nil || t.Document.Version <= f.copyVersion || time.Since(f.copiedAt) < copyInterval || !f.isWriter() {
		return
	}
	data, err := encodeCompressed(t.Document)
	if err == nil {
		err = f.source.PutCopy(ctx, data)
	}
	if err != nil {
		f.metrics.Inc("configuration_copy_failed")
		f.logger.Info("configuration_copy_failed", zap.Uint64("version", t.Document.Version), zap.Error(err))
		return // retried after the next read
	}
	f.copyVersion, f.copiedAt = t.Document.Version, time.Now()
}

func (f *follower) storeFailed(err error) {
	f.metrics.Inc("store_failed")
	if f.storeUp.Swap(false) {
		f.storeLostAt.Store(int64(clock.Now()))
		f.logger.Warn("store_lost", zap.Error(err), zap.String("remedy", "the configuration in force is kept; newer versions are pulled from other nodes"))
	}
}

func (f *follower) storeReached() {
	if f.storeUp.Swap(true) {
		return
	}
	var lostFor time.Duration // 0: it was not reached before
	if lostAt := f.storeLostAt.Swap(0); lostAt > 0 {
		lostFor = clock.Now() - time.Duration(lostAt)
	}
	f.logger.Info("store_reached", zap.Duration("lost_for", lostFor))
}

// observeVersion records that another node has a version. If the version is newer and has not arrived otherwise after the delay, it is
// pulled from that node. A node without a configuration pulls immediately.
func (f *follower) observeVersion(ctx context.Context, version uint64, address string, delay time.Duration) {
	f.hear(version)
	if version <= f.version() || !f.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.pulling.Store(false)
		if f.table.Load() != nil {
			_ = clock.Sleep(ctx, delay)
		}
		if version <= f.version() || ctx.Err() != nil {
			return
		}
		f.pull(ctx, address)
	}()
}

// behindMemory is how long a node counts as behind after it has heard of a later version. Other nodes repeat what they have with each probe; a
// version that only a lost node had is forgotten.
const behindMemory = 5 * time.Second

// hear records that another node has a version.
func (f *follower) hear(version uint64) {
	if version > f.version() {
		f.heardLaterAt.Store(int64(clock.Now()))
	}
}

// isBehind reports whether another node has a later version than the one in force here, as far as is known.
func (f *follower) isBehind() bool {
	at := f.heardLaterAt.Load()
	return at != 0 && clock.Now()-time.Duration(at) < behindMemory
}

func (f *follower) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var result documentResult
	err := f.client.Call(ctx, address, documentMethod, documentParams{NewerThan: f.version()}, &result)
	var document *routing.Document
	if err == nil {
		document, err = f.resolveDocument(&result)
	}
	if err != nil {
		f.metrics.Inc("configuration_pull_failed")
		f.logger.Info("configuration_pull_failed", zap.String("from", address), zap.Error(err))
		return
	}
	isFirst := f.table.Load() == nil
	if change := f.activate(document, nil, "node"); change != nil && !isFirst {
		go f.onChange(change) // the readers of this data centre may have lost the store
	}
}

// resolveDocument returns the configuration that a result describes, or nil if there is nothing newer.
func (f *follower) resolveDocument(r *documentResult) (*routing.Document, error) {
	switch table := f.table.Load(); {
	case r.Change != nil && table != nil:
		change, err := decodeCompressed[routing.Change](r.Change)
		if err != nil {
			return nil, err
		}
		return change.Apply(table.Document)
	case r.Full != nil:
		return decodeCompressed[routing.Document](r.Full)
	}
	return nil, nil
}

func (f *follower) serveDocument(_ context.Context, params json.RawMessage) (any, error) {
	var p documentParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
	}
	t := f.table.Load()
	if t == nil || t.Document.Version <= p.NewerThan {
		return documentResult{}, nil
	}
	if change := f.changeSince(p.NewerThan); change != nil {
		data, err := encodeCompressed(change)
		return documentResult{Change: data}, err
	}
	select {
	case f.fullTransfers <- struct{}{}:
		defer func() { <-f.fullTransfers }()
	default:
		return nil, apierror.New(apierror.Overloaded, "too many nodes are fetching the full configuration", "retry, or ask another node")
	}
	full, err := encodeCompressed(t.Document)
	return documentResult{Full: full}, err
}

// changeSince returns the change from an earlier version to the one in force, or nil if it is not known.
func (f *follower) changeSince(version uint64) *routing.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range f.changes {
		if c.From == version {
			return routing.Merge(f.changes[i:])
		}
	}
	return nil
}

// encodeCompressed returns a value as compressed JSON.
func encodeCompressed(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a configuration")
	}
	return compression.Compress(data), nil
}

func decodeCompressed[T any](compressed []byte) (*T, error) {
	data, err := compression.Decompress(compressed, maxDocumentBytes)
	if err != nil {
		return nil, err
	}
	value := new(T)
	if err := json.Unmarshal(data, value); err != nil {
		return nil, eris.Wrap(err, "decoding a configuration from another node")
	}
	return value, nil
}
