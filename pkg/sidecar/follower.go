package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/packing"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	// pollWait bounds a read that waits for the next configuration. A store that turns a node away silently leaves it without an
	// answer, also after it is back; the wait and the time limit of the call together are how long that goes unnoticed.
	pollWait         = 2 * time.Second
	pollPause        = 800 * time.Millisecond // after a configuration, so that a quick succession of them costs few reads
	successionLength = 2                      // versions in one read, from which on the newest one is read next
	readerCheck      = 500 * time.Millisecond // whether this node has become a reader
	firstBackoff     = 100 * time.Millisecond
	lastBackoff      = time.Second // the store is asked again so soon after its return
	// peerDelay is how long a node that hears of a newer version in a probe waits for it to come from the store or through the
	// relay.
	peerDelay   = 300 * time.Millisecond
	pullTimeout = time.Second
)

// documentMethod is the RPC method with which a node asks another for its configuration.
const documentMethod = "sidecar.document"

// documentParams asks for a configuration that is newer than a version.
type documentParams struct {
	NewerThan uint64 `json:"newer"` // 0: none is known
}

// documentResult answers with what changed since that version, or with the whole configuration if that is not known any more.
// Both are nil if there is nothing newer.
type documentResult struct {
	Change []byte `json:"change,omitempty"` // a packed routing.Change
	Whole  []byte `json:"whole,omitempty"`  // a packed routing.Document
}

const (
	keptDocuments = 8 // former versions from which a node can say what changed
	maxWhole      = 2 // whole configurations that a node serves at a time
	maxWholeBytes = 256 << 20
)

// follower keeps the node at the newest configuration. The version never falls while the process runs.
type follower struct {
	source  Source
	client  *rpc.Client
	metrics *metrics.Registry
	logger  *zap.Logger
	first   bool // the whole fleet starts for the first time: neither a copy nor a history is in the store

	table   atomic.Pointer[routing.Table]
	mu      sync.Mutex          // serialises activation
	former  []*routing.Document // versions in force before, the latest last; guarded by mu
	whole   chan struct{}       // one element for each whole configuration being served
	copied  uint64              // version of the copy that this node has read or written; of Run
	pulling atomic.Bool
	storeUp atomic.Bool

	isReader func() bool                         // whether this node reads the store
	isWriter func() bool                         // whether it also keeps the copy in the store
	changed  func(before, now *routing.Document) // called after a version was read from the store
}

func newFollower(source Source, client *rpc.Client, server *rpc.Server, m *metrics.Registry, logger *zap.Logger) *follower {
	f := &follower{
		source: source, client: client, metrics: m, logger: logger,
		whole:    make(chan struct{}, maxWhole),
		isReader: func() bool { return true }, isWriter: func() bool { return true }, changed: func(*routing.Document, *routing.Document) {},
	}
	server.Handle(documentMethod, f.serveDocument)
	return f
}

// Table returns the configuration in force, or nil if none is known yet.
func (f *follower) Table() *routing.Table { return f.table.Load() }

// version is that of the configuration in force, 0 if there is none.
func (f *follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// offer activates a configuration if it is newer than the one in force and has no fault. It reports whether it did.
func (f *follower) offer(d *routing.Document, from string) bool {
	if d == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.version()
	if d.Version <= before {
		return false
	}
	table, err := routing.Compile(d)
	if err != nil {
		f.metrics.Inc("configuration_rejected")
		f.logger.Error("configuration_rejected", zap.Uint64("version", d.Version), zap.String("from", from), zap.Error(err),
			zap.String("remedy", "publish a corrected configuration; the one in force stays"))
		return false
	}
	if current := f.table.Load(); current != nil {
		f.former = append(f.former, current.Document)
		if len(f.former) > keptDocuments {
			f.former = f.former[1:]
		}
	}
	f.table.Store(table)
	f.metrics.Inc("configuration_activated", "from", from)
	f.metrics.Gauge("configuration_version").Update(int64(d.Version))
	f.logger.Info("configuration_activated", zap.Uint64("version", d.Version), zap.Uint64("before", before),
		zap.String("from", from), zap.Int("routes", len(d.Routes)), zap.Int("services", len(d.Services)))
	return true
}

// Run reads the source until ctx ends. A node that is no reader reads it only while it has no configuration.
func (f *follower) Run(ctx context.Context) {
	position, known := int64(0), f.first
	if !f.first && f.readCopy(ctx) {
		_ = clock.Sleep(ctx, readerCheck) // by then the other members are known, and with them who reads
	}
	backoff := firstBackoff
	for ctx.Err() == nil {
		if f.table.Load() != nil && !f.isReader() {
			known = false
			_ = clock.Sleep(ctx, readerCheck)
			continue
		}
		var p Published
		var err error
		if known {
			p, err = f.source.Next(ctx, position, pollWait)
		} else {
			p, err = f.source.Newest(ctx)
		}
		if err != nil {
			known = known && apierror.KindOf(err) != apierror.NotFound
			f.failed(err)
			_ = clock.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		f.reached()
		backoff = firstBackoff
		// A quick succession of configurations is read by its newest, not one after the other.
		known = p.Position-position < successionLength || !known
		position = p.Position
		before := f.table.Load()
		if f.offer(p.Document, "store") && before != nil {
			go f.changed(before.Document, p.Document) // a data centre that is cut off must not hold up the next read
		}
		f.keepCopy(ctx)
		if p.Document == nil {
			continue
		}
		_ = clock.Sleep(ctx, pollPause)
	}
}

// readCopy starts with the copy of the newest configuration that a node has left in the store. It may be a little older than the
// operators' own; the readers find that out within a second and pass the newer one on. It reports whether there was a copy.
func (f *follower) readCopy(ctx context.Context) bool {
	data, err := f.source.Copy(ctx)
	if err != nil {
		f.failed(err) // the operators' own is read in any case
	}
	if err != nil || data == nil {
		return false
	}
	document, err := unpack[routing.Document](data)
	if err != nil {
		f.metrics.Inc("configuration_copy_unreadable")
		f.logger.Warn("configuration_copy_unreadable", zap.Error(err), zap.String("remedy", "it is replaced with the next configuration"))
		return false
	}
	f.copied = document.Version
	f.offer(document, "copy")
	return f.table.Load() != nil
}

// keepCopy replaces the copy for nodes that start later, if it is older than the configuration in force.
func (f *follower) keepCopy(ctx context.Context) {
	t := f.table.Load()
	if t == nil || t.Document.Version <= f.copied || !f.isWriter() {
		return
	}
	data, err := pack(t.Document)
	if err == nil {
		err = f.source.PutCopy(ctx, data)
	}
	if err != nil {
		f.metrics.Inc("configuration_copy_failed")
		f.logger.Info("configuration_copy_failed", zap.Uint64("version", t.Document.Version), zap.Error(err))
		return // it is tried again after the next read
	}
	f.copied = t.Document.Version
}

func (f *follower) failed(err error) {
	f.metrics.Inc("store_failed")
	if f.storeUp.Swap(false) {
		f.logger.Warn("store_lost", zap.Error(err), zap.String("remedy", "the configuration in force stays; newer ones come from other nodes"))
	}
}

func (f *follower) reached() {
	if !f.storeUp.Swap(true) {
		f.logger.Info("store_reached")
	}
}

// heard takes in that another node has a version. If it is newer, and has not come otherwise after a delay, it is asked of that
// node.
func (f *follower) heard(ctx context.Context, version uint64, address string, delay time.Duration) {
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

func (f *follower) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var result documentResult
	err := f.client.Call(ctx, address, documentMethod, documentParams{NewerThan: f.version()}, &result)
	var document *routing.Document
	if err == nil {
		document, err = f.documentIn(&result)
	}
	if err != nil {
		f.metrics.Inc("configuration_pull_failed")
		f.logger.Info("configuration_pull_failed", zap.String("from", address), zap.Error(err))
		return
	}
	before := f.table.Load()
	if f.offer(document, "node") && before != nil {
		go f.changed(before.Document, document) // the readers of this data centre may be cut off from the store
	}
}

// documentIn returns the document that a result leads to, or nil if there is nothing newer.
func (f *follower) documentIn(r *documentResult) (*routing.Document, error) {
	switch table := f.table.Load(); {
	case r.Change != nil && table != nil:
		change, err := unpack[routing.Change](r.Change)
		if err != nil {
			return nil, err
		}
		return change.Apply(table.Document)
	case r.Whole != nil:
		return unpack[routing.Document](r.Whole)
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
	if former := f.formerVersion(p.NewerThan); former != nil {
		change, err := pack(routing.Diff(former, t.Document))
		return documentResult{Change: change}, err
	}
	select {
	case f.whole <- struct{}{}:
		defer func() { <-f.whole }()
	default:
		return nil, apierror.New(apierror.Overloaded, "other nodes are being sent the configuration", "ask again, or another node")
	}
	whole, err := pack(t.Document)
	return documentResult{Whole: whole}, err
}

func (f *follower) formerVersion(version uint64) *routing.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.former {
		if d.Version == version {
			return d
		}
	}
	return nil
}

// pack encodes what is passed between nodes as compressed JSON.
func pack(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a configuration")
	}
	return packing.Compress(data), nil
}

func unpack[T any](packed []byte) (*T, error) {
	data, err := packing.Decompress(packed, maxWholeBytes)
	if err != nil {
		return nil, err
	}
	value := new(T)
	if err := json.Unmarshal(data, value); err != nil {
		return nil, eris.Wrap(err, "decoding a configuration from another node")
	}
	return value, nil
}
