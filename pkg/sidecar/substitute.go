package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// substituteMethod is the RPC method that asks a node to read the store in place of a reader.
const substituteMethod = "sidecar.substitute"

const (
	// maxSubstitutes bounds the nodes of a data centre that read the store in place of its readers, since the store may be down for all nodes.
	maxSubstitutes = 4
	// maxAsked is the number of nodes that a node tries to ask.
	maxAsked = 2
	// substituteTerm is how long a node reads the store after it was asked. It is longer than askInterval and two failed reads take.
	substituteTerm = 5 * time.Second
	// askInterval is the minimum time between two requests to the same substitute.
	askInterval = time.Second
	askTimeout  = time.Second
)

// substituteParams asks a node to read the store. The position is that of the asking node; zero means that it knows none.
type substituteParams struct {
	Generation int64 `json:"generation,omitempty"`
	Offset     int64 `json:"offset,omitempty"`
}

// substitute lets other nodes read the store while it does not serve the readers of a data centre. A reader that is turned away asks the node
// behind it in the order of readers, which reads for substituteTerm, and asks the one behind it if its own reads fail.
type substitute struct {
	mu       sync.Mutex
	until    time.Time      // this node reads the store until then
	position *StorePosition // of the node that asked, until it is taken
	asked    chan struct{}  // capacity 1; this node was asked
	askedAt  time.Time      // when this node last asked others
}

func newSubstitute() *substitute { return &substitute{asked: make(chan struct{}, 1)} }

// isActive reports whether this node reads the store in place of a reader.
func (s *substitute) isActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

// start makes this node read the store for substituteTerm, from the position if it is not nil.
func (s *substitute) start(position *StorePosition) {
	s.mu.Lock()
	s.until, s.position = time.Now().Add(substituteTerm), position
	s.mu.Unlock()
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

// takePosition returns the position of the node that asked, or nil. It returns each position once.
func (s *substitute) takePosition() *StorePosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.position
	s.position = nil
	return p
}

// mayAsk reports whether askInterval has passed since this node last asked, and if so starts a new interval.
func (s *substitute) mayAsk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.askedAt.IsZero() && time.Since(s.askedAt) < askInterval {
		return false
	}
	s.askedAt = time.Now()
	return true
}

// askSubstitute asks the next node to read the store. If that node cannot be asked, for example since it runs an earlier
// build, it asks the one behind it. position is nil if this node knows none.
func (r *relay) askSubstitute(ctx context.Context, position *StorePosition) {
	if !r.substitute.mayAsk() {
		return
	}
	var p substituteParams
	if position != nil {
		p = substituteParams(*position)
	}
	go func() {
		for _, m := range r.nextReaders() {
			if r.ask(ctx, m.ControlAddress, &p) {
				return
			}
		}
	}()
}

// ask reports whether the node has agreed to read the store.
func (r *relay) ask(ctx context.Context, address string, p *substituteParams) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r.metrics.Inc("substitute_asked")
	var agreed bool
	err := r.client.Call(ctx, address, substituteMethod, p, &agreed)
	if err != nil {
		r.metrics.Inc("substitute_ask_failed")
		r.logger.Debug("substitute_ask_failed", zap.String("to", address), zap.Error(err))
	}
	return err == nil && agreed
}

// nextReaders returns the nodes behind this one in the order of readers that it may ask to read the store.
func (r *relay) nextReaders() []membership.Member {
	index, _ := r.indexInDataCentre()
	count := min(maxAsked, readersPerDataCentre+maxSubstitutes-1-index)
	own := xxhash.Sum64String(r.self)
	var behind []membership.Member
	for _, m := range r.members() {
		if m.DataCentre == r.dataCentre && m.Endpoint != nil && r.isLivePeer(&m) && xxhash.Sum64String(m.ID) > own {
			behind = append(behind, m)
		}
	}
	slices.SortFunc(behind, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return behind[:max(0, min(count, len(behind)))]
}

func (r *relay) serveSubstitute(_ context.Context, params json.RawMessage) (any, error) {
	var p substituteParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
	}
	if !r.substitute.isActive() {
		r.metrics.Inc("substitute_started")
		r.logger.Info("substitute_started", zap.Duration("for", substituteTerm))
	}
	position := StorePosition(p)
	r.substitute.start(knownPosition(position, position != StorePosition{}))
	return true, nil
}
