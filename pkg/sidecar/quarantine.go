package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	quarantineTimeout = time.Second // of one message about requests that crash backend servers
	// maxShareWait bounds how long the callers of requests that were lost in a crash wait until other nodes know of it: they may send
	// the request again at once.
	maxShareWait          = 100 * time.Millisecond
	quarantinePullBackoff = 500 * time.Millisecond // between pulls
	maxAskedForQuarantine = 3                      // nodes that a starting node asks
)

// quarantineMethod is the RPC method that exchanges records of requests that crash backend servers.
const quarantineMethod = "sidecar.quarantine"

// quarantineParams holds records that the receiver merges. A receiver that does not know the method ignores them.
type quarantineParams struct {
	Records   []quarantine.Record `json:"records"`
	ForwardTo []string            `json:"forward,omitempty"` // control addresses that the receiver forwards the records to
	Pull      bool                `json:"pull,omitempty"`    // the sender asks for all shared records of the receiver
}

// quarantineResult holds what the sender lacks about its records or, if it pulled, all shared records.
type quarantineResult struct {
	Records []quarantine.Record `json:"records,omitempty"`
}

// quarantines shares the table of requests that crash backend servers with all nodes. What a node observes is pushed to the others at once; a node
// that missed it, or has just started, sees from the digest in another node's heartbeat that it lacks something, and pulls it.
type quarantines struct {
	table   *quarantine.Table
	source  Source
	relay   *relay
	client  *rpc.Client
	metrics *metrics.Registry
	logger  *zap.Logger

	mu       sync.Mutex
	pulledAt time.Time                       // start of the latest pull
	unkept   map[quarantine.Fingerprint]bool // whose records in the store are to be replaced or removed
	changed  chan struct{}                   // capacity 1; there are such
}

func newQuarantines(source Source, r *relay, server *rpc.Server, table *quarantine.Table) *quarantines {
	q := &quarantines{
		table: table, source: source, relay: r, client: r.client, metrics: r.metrics, logger: r.logger,
		unkept: make(map[quarantine.Fingerprint]bool), changed: make(chan struct{}, 1),
	}
	server.Handle(quarantineMethod, q.serve)
	return q
}

// crashed records and shares that a process of a backend server crashed with what it was running. It returns when the nodes that it sent the
// records to have responded, or after maxShareWait.
func (q *quarantines) crashed(process string, running []quarantine.Run) {
	changed := q.table.Crashed(time.Now(), process, running)
	if len(changed) == 0 {
		return
	}
	for _, r := range changed {
		if q.logIfBlocked(r.Request, "crash") {
			q.keep(r.Request)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.share(changed)
	}()
	select {
	case <-done:
	case <-time.After(maxShareWait):
	}
	q.updateGauges()
}

// share pushes records to all nodes.
func (q *quarantines) share(records []quarantine.Record) {
	q.relay.spread(func(address string, forwardTo []string) {
		q.send(address, quarantineParams{Records: records, ForwardTo: forwardTo})
	})
}

func (q *quarantines) forward(p quarantineParams) {
	fanOut(p.ForwardTo, func(address string, forwardTo []string) {
		q.send(address, quarantineParams{Records: p.Records, ForwardTo: forwardTo})
	})
}

// send sends records to a node and merges what it returns.
func (q *quarantines) send(address string, p quarantineParams) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	if err := q.exchange(ctx, address, p); err != nil {
		q.metrics.Inc("quarantine_not_shared")
		q.logger.Debug("quarantine_not_shared", zap.String("to", address), zap.Error(err))
		q.forward(p) // take over forwarding from the unreachable node
	}
}

func (q *quarantines) exchange(ctx context.Context, address string, p quarantineParams) error {
	var result quarantineResult
	if err := q.client.Call(ctx, address, quarantineMethod, &p, &result); err != nil {
		return err
	}
	q.merge(result.Records, address)
	return nil
}

// merge adds the records of another node to the table, and returns what that node lacks about them.
func (q *quarantines) merge(records []quarantine.Record, from string) (lacking []quarantine.Record) {
	if len(records) == 0 {
		return nil
	}
	blocked, lacking := q.table.Merge(time.Now(), records)
	for _, request := range blocked {
		// If the crashes were seen by several nodes, no one of them may have known of all when it merged its own.
		if q.logIfBlocked(request, from) && q.relay.indexInFleet() == 0 {
			q.keep(request)
		}
	}
	q.updateGauges()
	return lacking
}

// serve answers quarantineMethod.
func (q *quarantines) serve(_ context.Context, params json.RawMessage) (any, error) {
	var p quarantineParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
	}
	lacking := q.merge(p.Records, "push")
	q.forward(p) // the sender waits for the response before callers may send the requests again
	if p.Pull {
		return quarantineResult{q.table.Shared(time.Now())}, nil
	}
	return quarantineResult{lacking}, nil
}

// observeDigest pulls the records of another node if its table differs and is not empty.
func (q *quarantines) observeDigest(digest, address string) {
	if digest == "" || digest == q.table.Digest() || !q.mayPull() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
		defer cancel()
		q.pull(ctx, address)
	}()
}

// mayPull reports whether the latest pull is long enough ago, and counts a new one.
func (q *quarantines) mayPull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if now.Sub(q.pulledAt) < quarantinePullBackoff {
		return false
	}
	q.pulledAt = now
	return true
}

// pull exchanges all shared records with another node, and reports whether it responded.
func (q *quarantines) pull(ctx context.Context, address string) bool {
	err := q.exchange(ctx, address, quarantineParams{Records: q.table.Shared(time.Now()), Pull: true})
	if err != nil {
		q.metrics.Inc("quarantine_not_pulled")
		q.logger.Info("quarantine_not_pulled", zap.String("from", address), zap.Error(err))
	}
	return err == nil
}

// learn asks a few other nodes for their records when this process has started and knows them.
func (q *quarantines) learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startDuration)
	defer cancel()
	for !q.relay.hasPeers() {
		if clock.Sleep(ctx, startPollInterval) != nil {
			return // the digests of other nodes show later whether there are any
		}
	}
	var peers []membership.Member
	for _, m := range q.relay.members() {
		if q.relay.isLivePeer(&m) {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(len(peers), maxAskedForQuarantine)] {
		if q.pull(ctx, m.ControlAddress) {
			return
		}
	}
}

// cleared is called when a backend server has answered a suspect. It shares that if the request was blocked, or is frequent: all nodes send a suspect to
// one endpoint, which may serve only few of such requests. Otherwise, each node that sends the request learns it from its own answer.
func (q *quarantines) cleared(request quarantine.Fingerprint, isFrequent bool) {
	now := time.Now()
	_, wasBlocked := q.table.Get(now, request)
	if wasBlocked {
		q.keep(request)
	}
	record, ok := q.table.Find(now, request)
	isShared := ok && (isFrequent || wasBlocked)
	q.logger.Info("suspect_cleared", zap.Stringer("fingerprint", request), zap.Bool("shared", isShared))
	if isShared {
		q.metrics.Inc("suspect_cleared_shared")
		go q.share([]quarantine.Record{record})
	}
	q.updateGauges()
}

// logIfBlocked logs a request that is blocked, and reports whether it is.
func (q *quarantines) logIfBlocked(request quarantine.Fingerprint, from string) bool {
	verdict, left := q.table.Verdict(time.Now(), request)
	if verdict != quarantine.Blocked {
		return false
	}
	q.metrics.Inc("request_blocked_after_crashes")
	q.logger.Warn("request_blocked", zap.Stringer("fingerprint", request), zap.String("from", from), zap.Duration("for", left),
		zap.String("remedy", "correct the backend server; backend_crashed lines with this fingerprint name the requests"))
	return true
}

func (q *quarantines) updateGauges() {
	suspects, blocked := q.table.Counts(time.Now())
	q.metrics.Gauge("requests_suspected").Update(int64(suspects))
	q.metrics.Gauge("requests_blocked").Update(int64(blocked))
}
