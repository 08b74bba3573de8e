package outbound

import (
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// tier orders endpoints by preference. A later tier is used when the earlier ones are short of capacity.
type tier int

const (
	tierDataCentre tier = iota // own data centre
	tierRegion                 // own region
	tierFar                    // other regions
	tierRefusing               // endpoints that refused lately or are sure to refuse this call
	tierSuspect                // members that do not answer probes
	tierCount
)

func (h *Handler) tierOf(m *membership.Member) tier {
	self := &h.options.Self
	switch {
	case m.Status != membership.Alive:
		return tierSuspect
	case m.Region != self.Region:
		return tierFar
	case m.DataCentre != self.DataCentre:
		return tierRegion
	default:
		return tierDataCentre
	}
}

// candidate is one endpoint that a call may use.
type candidate struct {
	member *membership.Member
	state  *endpoint
	score  float64 // estimated load for each unit of weight; lower is better
	full   bool    // no slot is estimated to be free
	spare  bool    // at most half of the slots are estimated to be in use
}

// pick chooses an endpoint among members, without those in tried. Within a tier the better of two random ones is
// chosen; if it has no free slot, the next tier is looked at. It returns nil if no endpoint is left.
func (h *Handler) pick(c *call, members []membership.Member, tried map[endpointKey]bool) *candidate {
	now := h.now()
	tiers := h.candidates(c, members, tried, now)
	var best *candidate
	for t := tierDataCentre; t < tierRefusing; t++ {
		chosen := h.betterOfTwo(tiers[t], now)
		if chosen == nil {
			continue
		}
		if !chosen.full {
			return chosen
		}
		if best == nil || best.score >= noLimitScore {
			best = chosen
		}
	}
	if best != nil {
		return best
	}
	if chosen := h.betterOfTwo(tiers[tierRefusing], now); chosen != nil {
		return chosen
	}
	return h.betterOfTwo(tiers[tierSuspect], now)
}

// candidates sorts the members that may be used into tiers. Ejected ones are left out, unless more than half of the
// service is ejected: members that left since may have pushed the ejected ones above the cap.
func (h *Handler) candidates(c *call, members []membership.Member, tried map[endpointKey]bool, now time.Time) [tierCount][]*candidate {
	var tiers [tierCount][]*candidate
	all := make([]candidate, len(members))
	ejected := 0
	for i := range members {
		all[i].member = &members[i]
		all[i].state = h.endpoints.get(keyOf(&members[i]), now)
		all[i].state.touch(now)
		if all[i].state.ejected(now) {
			ejected++
		}
	}
	ignoreEjection := ejected*2 > len(members)
	for i := range all {
		one := &all[i]
		if tried[keyOf(one.member)] || !ignoreEjection && one.state.ejected(now) {
			continue
		}
		t := h.tierOf(one.member)
		if t < tierRefusing && (one.state.avoided(c.firstOnly(), now) || c.tooEarlyFor(one.member)) {
			t = tierRefusing
		}
		tiers[t] = append(tiers[t], one)
	}
	return tiers
}

func (h *Handler) betterOfTwo(tier []*candidate, now time.Time) *candidate {
	switch len(tier) {
	case 0:
		return nil
	case 1:
		tier[0].rate(now)
		return tier[0]
	}
	i := h.random(len(tier))
	j := h.random(len(tier) - 1)
	if j >= i {
		j++
	}
	tier[i].rate(now)
	tier[j].rate(now)
	if tier[j].score < tier[i].score {
		return tier[j]
	}
	return tier[i]
}

// firstOnly reports whether the call runs only on an endpoint that accepts it as attempt 1.
func (c *call) firstOnly() bool {
	return !c.route.Idempotent && !c.resend
}

// tooEarlyFor reports whether the id is older than the member's presence record can be. Such a member is sure to refuse
// the call, because its predecessor may have run it.
func (c *call) tooEarlyFor(m *membership.Member) bool {
	started := time.UnixMilli(int64(m.Incarnation))
	return c.firstOnly() && !c.idTime.After(started.Add(callctx.ClockError))
}

// noLimitScore ranks endpoints that report a limit of 0, which take no calls, after all others.
const noLimitScore = 1e9

func (c *candidate) rate(now time.Time) {
	slots := 1
	weight := c.state.weight(now)
	if c.member.Endpoint != nil {
		slots = c.member.Endpoint.Slots
		if c.member.Endpoint.State == membership.EndpointWarming {
			weight = minWeight
		}
	}
	calls, limit := c.state.load(now, slots)
	c.full = calls >= limit
	c.spare = calls*2 <= limit && limit > 0
	if limit == 0 {
		c.score = noLimitScore + calls
		return
	}
	c.score = (calls + 1) / (limit * weight)
}

// settle counts a verdict on an endpoint and ejects it when it is due and the cap of half of the service allows it.
func (h *Handler) settle(service string, c *candidate, v verdict) {
	now := h.now()
	if !c.state.observe(v, now) {
		return
	}
	h.ejecting.Lock()
	defer h.ejecting.Unlock()
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
	h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Ejected, Subject: c.member.ID, Cause: "calls to it failed in a row; not used for " + duration.String()})
	h.options.Logger.Info("endpoint ejected", zap.String("member", c.member.ID), zap.String("service", service), zap.Duration("duration", duration))
}
