package outbound

import (
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// tier orders endpoints by preference. A later tier is used if the earlier ones lack capacity.
type tier int

const (
	tierDataCentre  tier = iota // same data centre
	tierRegion                  // same region
	tierOtherRegion             // other regions
	tierWarming                 // backend servers in their cold start, unless the call has the least urgent rank
	tierRefusing                // endpoints that refused recently or would refuse this call
	tierSuspect                 // members that do not respond to probes
	tierCount
)

func (h *Handler) tierOf(m *membership.Member) tier {
	self := &h.options.Self
	switch {
	case m.Status != membership.Alive:
		return tierSuspect
	case m.Region != self.Region:
		return tierOtherRegion
	case m.DataCentre != self.DataCentre:
		return tierRegion
	default:
		return tierDataCentre
	}
}

// candidate is one endpoint that a call may use.
type candidate struct {
	member           *membership.Member
	state            *endpoint
	score            float64 // estimated load per unit of weight; lower is better
	isFull           bool    // estimated to have no free slot
	hasSpareCapacity bool    // estimated to use at most half of its slots
}

// pick selects an endpoint among the members that are not in tried. Within a tier it selects the less loaded of two
// random endpoints; if that one has no free slot, it continues with the next tier. It returns nil if no endpoint is
// available.
func (h *Handler) pick(c *call, members []membership.Member, tried map[endpointKey]bool) *candidate {
	now := h.now()
	tiers := h.sample(c, members, tried, now)
	var fallback *candidate
	for t := tierDataCentre; t < tierWarming; t++ {
		chosen := h.lessLoaded(&tiers[t], now)
		if chosen == nil {
			continue
		}
		if !chosen.isFull {
			return chosen
		}
		if fallback == nil || fallback.score >= zeroLimitScore {
			fallback = chosen
		}
	}
	if fallback != nil && fallback.score < zeroLimitScore {
		return fallback
	}
	if chosen := h.lessLoaded(&tiers[tierWarming], now); chosen != nil {
		return chosen
	}
	if fallback != nil {
		return fallback
	}
	if chosen := h.lessLoaded(&tiers[tierRefusing], now); chosen != nil {
		return chosen
	}
	return h.lessLoaded(&tiers[tierSuspect], now)
}

// endpointSample is a random sample of up to two endpoints of one tier.
type endpointSample struct {
	seen    int // number of endpoints offered
	members [2]*membership.Member
	states  [2]*endpoint
}

// offer adds an endpoint by reservoir sampling: each pair of the offered endpoints is equally likely.
func (p *endpointSample) offer(member *membership.Member, state *endpoint, random func(n int) int) {
	slot := p.seen
	p.seen++
	if slot >= len(p.members) {
		slot = random(p.seen)
	}
	if slot < len(p.members) {
		p.members[slot], p.states[slot] = member, state
	}
}

// sample selects two random endpoints of each tier. It skips ejected endpoints, unless more than half of the service is
// ejected: members that have left since may have raised the ejected share above the cap.
func (h *Handler) sample(c *call, members []membership.Member, tried map[endpointKey]bool, now time.Time) [tierCount]endpointSample {
	var tiers [tierCount]endpointSample
	var buffer [64]*endpoint // avoids an allocation for most services
	states := h.endpoints.statesOf(members, buffer[:0], now)
	ejected := 0
	for _, state := range states {
		if state.ejected(now) {
			ejected++
		}
	}
	ignoreEjection := ejected*2 > len(members)
	for i, state := range states {
		member := &members[i]
		if !ignoreEjection && state.ejected(now) || len(tried) > 0 && tried[keyOf(member)] {
			continue
		}
		t := h.tierOf(member)
		if t < tierRefusing && (state.avoided(c.requiresFirstAttempt(), now) || c.mayPredate(member)) {
			t = tierRefusing
		}
		if t < tierWarming && isWarming(member) && !c.hasLeastUrgentRank() {
			t = tierWarming
		}
		tiers[t].offer(member, state, h.random)
	}
	return tiers
}

// lessLoaded returns the less loaded endpoint of a sample, or nil if the sample is empty.
func (h *Handler) lessLoaded(p *endpointSample, now time.Time) *candidate {
	if p.seen == 0 {
		return nil
	}
	first := scoreEndpoint(p.members[0], p.states[0], now)
	if p.seen == 1 {
		return first
	}
	second := scoreEndpoint(p.members[1], p.states[1], now)
	if h.random(2) == 1 { // break ties randomly, independent of member order
		first, second = second, first
	}
	if second.score < first.score {
		return second
	}
	return first
}

// zeroLimitScore is the base score of endpoints that report a limit of 0, which accept no calls. It ranks them last.
const zeroLimitScore = 1e9

func scoreEndpoint(member *membership.Member, state *endpoint, now time.Time) *candidate {
	c := &candidate{member: member, state: state}
	slots := 1
	weight := state.weight(now)
	if member.Endpoint != nil {
		slots = member.Endpoint.Slots
		if isWarming(member) {
			weight = minWeight
		}
	}
	calls, limit := state.load(now, slots)
	c.isFull = calls >= limit
	c.hasSpareCapacity = calls*2 <= limit && limit > 0
	c.score = zeroLimitScore + calls
	if limit > 0 {
		c.score = (calls + 1) / (limit * weight)
	}
	return c
}

func isWarming(m *membership.Member) bool {
	return m.Endpoint != nil && m.Endpoint.State == membership.EndpointWarming
}

// hasLeastUrgentRank reports whether the call has the least urgent rank. Only such calls warm up a backend server while
// others are available. An urgent call would often miss its target there; and the load that the others report includes
// queues of less urgent calls, which would not delay it.
func (c *call) hasLeastUrgentRank() bool {
	if c.snapshot == nil {
		return false
	}
	index, ok := c.snapshot.RankIndex(c.rank)
	return ok && index == len(c.snapshot.Ranks)-1
}

// requiresFirstAttempt reports whether the call can run only on an endpoint that accepts it as attempt 1.
func (c *call) requiresFirstAttempt() bool {
	return !c.route.Idempotent && !c.resend
}

// mayPredate reports whether the request id may be older than the member's presence record. Such a member refuses the
// call, because its previous incarnation may have run it.
func (c *call) mayPredate(m *membership.Member) bool {
	started := time.UnixMilli(int64(m.Incarnation))
	return c.requiresFirstAttempt() && !c.idTime.After(started.Add(callctx.MaxClockSkew))
}

// recordHealth records a health signal of an endpoint. It ejects the endpoint if a threshold is reached, unless more than
// half of the service would then be ejected.
func (h *Handler) recordHealth(service string, c *candidate, signal healthSignal) {
	now := h.now()
	if !c.state.recordSignal(signal, now) {
		return
	}
	h.ejectionMu.Lock()
	defer h.ejectionMu.Unlock()
	members := h.options.Endpoints(service)
	ejected := 0
	for i := range members {
		if h.endpoints.get(keyOf(&members[i]), now).ejected(now) {
			ejected++
		}
	}
	if c.state.ejected(now) {
		return
	}
	if (ejected+1)*2 > len(members) {
		h.options.Metrics.Inc("outbound_ejection_capped")
		return
	}
	h.reportEjection(service, c, c.state.eject(now))
}

func (h *Handler) reportEjection(service string, c *candidate, duration time.Duration) {
	h.options.Metrics.Inc("outbound_ejection")
	h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Ejected, Subject: c.member.ID, Cause: "consecutive calls failed; ejected for " + duration.String()})
	h.options.Logger.Info("endpoint ejected", zap.String("member", c.member.ID), zap.String("service", service), zap.Duration("duration", duration))
}
