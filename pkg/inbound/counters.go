package inbound

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// refusalCounter counts refusals between two ticks, so that a surge of refusals is reported as one event per reason.
type refusalCounter struct {
	mu        sync.Mutex
	counts    map[callctx.Reason]int
	lastLimit int // in-flight limit at the last tick
}

// countRefusal counts a call with an outcome other than Answered.
func (h *Handler) countRefusal(outcome callctx.Outcome, reason callctx.Reason) {
	h.options.Metrics.Inc("inbound_refused", "outcome", string(outcome), "reason", string(reason))
	h.refusals.mu.Lock()
	defer h.refusals.mu.Unlock()
	h.refusals.counts[reason]++
}

// reportMetrics updates the gauges, and reports the refusals and the change of the limit since the last tick as explain events.
func (h *Handler) reportMetrics(now time.Time) {
	load := h.load()
	h.options.Metrics.Gauge("inbound_in_flight").Update(int64(load.InFlight))
	h.options.Metrics.Gauge("inbound_limit").Update(int64(load.Limit))
	h.options.Metrics.Gauge("inbound_queued").Update(int64(load.Queued))
	stats := h.table.Stats()
	h.options.Metrics.Gauge("inbound_entries").Update(int64(stats.Entries))
	h.options.Metrics.Gauge("inbound_kept_bytes").Update(stats.KeptBytes)

	h.refusals.mu.Lock()
	counts := h.refusals.counts
	h.refusals.counts = make(map[callctx.Reason]int)
	changed := load.Limit != h.refusals.lastLimit
	h.refusals.lastLimit = load.Limit
	h.refusals.mu.Unlock()
	if h.options.Explain == nil {
		return
	}
	for reason, count := range counts {
		h.options.Explain(explain.Event{Time: now, Kind: explain.Refused, Subject: "inbound", Cause: string(reason), Count: count})
	}
	if changed {
		h.options.Explain(explain.Event{Time: now, Kind: explain.Limited, Subject: "inbound", Cause: "in flight, limit, queued: " + load.String()})
	}
}

func endpointFields(e membership.Endpoint) []zap.Field {
	return []zap.Field{zap.String("service", e.Service), zap.String("address", e.Address), zap.String("state", string(e.State))}
}
