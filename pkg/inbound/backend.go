package inbound

import (
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// announcementTimeout is how long an announcement of the backend server is valid.
const announcementTimeout = 3 * time.Second

// backend is the backend server of this VM with its admission control. When the address changes, a new backend with the
// initial limit replaces it.
type backend struct {
	endpoint      membership.Endpoint // as last announced; guarded by Handler.mu
	lastAnnounced time.Time           // guarded by Handler.mu
	admission     *admission
	client        atomic.Pointer[backendClient]
	snapshot      atomic.Pointer[config.Snapshot]
}

// usableSlots returns the maximum number of calls in flight. Each call holds a connection.
func usableSlots(e membership.Endpoint) int {
	if e.Connections > 0 {
		return max(1, min(e.Slots, e.Connections))
	}
	return max(1, e.Slots)
}

func usableConnections(e membership.Endpoint) int {
	if e.Connections > 0 {
		return e.Connections
	}
	return usableSlots(e)
}

func newBackend(e membership.Endpoint, snapshot *config.Snapshot, now func() time.Time) *backend {
	service := serviceConfig(snapshot, e.Service)
	limits := newLimiter(usableSlots(e), service.InitialLimit)
	limits.setSlots(usableSlots(e), e.State == membership.EndpointWarming)
	b := &backend{
		endpoint:  e,
		admission: newAdmission(newScheduler(limits, service.QueueLimit, rankPolicies(snapshot)), now),
	}
	b.client.Store(newBackendClient(e.Address, usableConnections(e)))
	b.snapshot.Store(snapshot)
	return b
}

// configure applies a snapshot if it differs from the current one. It runs for each call, so the common case is one comparison.
func (b *backend) configure(snapshot *config.Snapshot, service string) {
	if b.snapshot.Swap(snapshot) == snapshot {
		return
	}
	limits := serviceConfig(snapshot, service)
	b.admission.configure(rankPolicies(snapshot), limits.QueueLimit, limits.InitialLimit)
}

// renew applies a repeated announcement.
func (b *backend) renew(e membership.Endpoint) {
	if e.Connections != b.endpoint.Connections || e.Slots != b.endpoint.Slots {
		old := b.client.Swap(newBackendClient(e.Address, usableConnections(e)))
		old.close()
	}
	b.endpoint = e
	b.admission.announce(usableSlots(e), e.State == membership.EndpointWarming)
}

func serviceConfig(snapshot *config.Snapshot, name string) config.Service {
	fallback := config.Service{Name: name, QueueLimit: config.DefaultQueueLimit, InitialLimit: config.DefaultInitialLimit}
	if snapshot == nil {
		return fallback
	}
	if service, ok := snapshot.Services[name]; ok {
		return service
	}
	return fallback
}

// defaultTarget is the latency target while no ranks are configured.
const defaultTarget = time.Second

// rankPolicies returns the ranks of a snapshot, most urgent first, or one unnamed rank if there are none.
func rankPolicies(snapshot *config.Snapshot) []rankPolicy {
	if snapshot == nil || len(snapshot.Ranks) == 0 {
		return []rankPolicy{{targetLatency: defaultTarget}}
	}
	list := make([]rankPolicy, 0, len(snapshot.Ranks))
	for _, rank := range snapshot.Ranks {
		target := time.Duration(rank.TargetMS) * time.Millisecond
		list = append(list, rankPolicy{name: rank.Name, minShare: rank.MinShare, targetLatency: target})
	}
	return list
}

// SetBackend applies an announcement of this VM's backend server. It must be called at least every 3 s, otherwise Tick
// withdraws the backend server.
func (h *Handler) SetBackend(e membership.Endpoint) {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.backend
	switch {
	case e.State == membership.EndpointGone:
		h.withdraw(callctx.NoEndpoint)
	case e.State == membership.EndpointDraining:
		if current != nil {
			current.admission.close(callctx.Draining)
			current.endpoint, current.lastAnnounced = e, now
		}
	case current == nil || current.endpoint.Address != e.Address || current.endpoint.Service != e.Service || current.endpoint.State == membership.EndpointDraining:
		h.withdraw(callctx.NoEndpoint)
		h.backend = newBackend(e, h.options.Snapshot(), h.now)
		h.backend.lastAnnounced = now
	default:
		current.renew(e)
		current.lastAnnounced = now
	}
}

// Backend returns the endpoint as last announced. Its state is "gone" if there is none, or if it was withdrawn.
func (h *Handler) Backend() membership.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.backend == nil {
		return membership.Endpoint{State: membership.EndpointGone}
	}
	return h.backend.endpoint
}

// withdraw removes the backend server and refuses its waiting calls; calls in flight finish normally. The caller holds h.mu.
func (h *Handler) withdraw(reason callctx.Reason) {
	if h.backend == nil {
		return
	}
	h.backend.admission.close(reason)
	h.backend.client.Load().close()
	h.backend = nil
}

// withdrawExpired withdraws a backend server whose announcement was not renewed in time.
func (h *Handler) withdrawExpired(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.backend == nil || now.Sub(h.backend.lastAnnounced) < announcementTimeout {
		return
	}
	h.options.Metrics.Inc("inbound_backend_withdrawn")
	h.log.Warn("backend_withdrawn", endpointFields(h.backend.endpoint)...)
	h.withdraw(callctx.NoEndpoint)
}

func (h *Handler) currentBackend() (*backend, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.backend == nil {
		return nil, ""
	}
	return h.backend, h.backend.endpoint.Service
}
