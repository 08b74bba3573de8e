package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
)

// announcementLifetime is the time after which an announcement expires unless it is renewed. Backend servers renew every second.
const announcementLifetime = 3 * time.Second

// backendTracker forwards the announcements of the local backend server to the inbound handler, the membership and the
// presence stream, and withdraws the endpoint when the announcement expires.
type backendTracker struct {
	inbound    *inbound.Handler
	membership *membership.Service
	presence   *presence.Presence
	logger     *zap.Logger

	mu        sync.Mutex
	endpoint  membership.Endpoint // last published to the fleet; State is empty before the first announcement
	renewedAt time.Time
	draining  bool
}

func newBackendTracker(i *inbound.Handler, m *membership.Service, p *presence.Presence, logger *zap.Logger) *backendTracker {
	return &backendTracker{inbound: i, membership: m, presence: p, logger: logger}
}

// announce processes an announcement of the backend server. After startDraining, every state except gone is published as draining.
func (b *backendTracker) announce(e membership.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining && e.State != membership.EndpointGone {
		e.State = membership.EndpointDraining
	}
	b.renewedAt = time.Now()
	b.inbound.SetBackend(e)
	b.presence.SetService(e.Service)
	b.publish(e)
}

// tick withdraws the endpoint when its announcement has expired.
func (b *backendTracker) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint.State == "" || b.endpoint.State == membership.EndpointGone || now.Sub(b.renewedAt) < announcementLifetime {
		return
	}
	gone := b.endpoint
	gone.State = membership.EndpointGone
	b.logger.Warn("backend_withdrawn", zap.String("service", gone.Service), zap.String("cause", "not announced for 3 s"))
	b.publish(gone)
}

// startDraining publishes the endpoint as draining. Draining cannot be undone.
func (b *backendTracker) startDraining() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	if b.endpoint.State == "" || b.endpoint.State == membership.EndpointGone {
		return
	}
	e := b.endpoint
	e.State = membership.EndpointDraining
	b.publish(e)
}

// publish sends a changed endpoint to the fleet. A renewal without a change sends nothing. The caller holds b.mu.
func (b *backendTracker) publish(e membership.Endpoint) {
	e.Sequence = b.endpoint.Sequence
	if e == b.endpoint {
		return
	}
	e.Sequence++
	b.endpoint = e
	b.membership.SetEndpoint(e)
	b.logger.Info("backend_announced", zap.String("service", e.Service), zap.String("state", string(e.State)), zap.Int("slots", e.Slots))
}
