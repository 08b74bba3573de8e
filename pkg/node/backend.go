package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
)

// announcementLifetime is how long an announcement holds without renewal. Backend servers renew every second.
const announcementLifetime = 3 * time.Second

// backendTracker passes the announcements of the local backend server on to the inbound side, the membership and the
// presence stream, and withdraws the endpoint when they cease.
type backendTracker struct {
	inbound    *inbound.Handler
	membership *membership.Service
	presence   *presence.Presence
	logger     *zap.Logger

	mu       sync.Mutex
	endpoint membership.Endpoint // as last announced to the fleet; State is empty before the first announcement
	renewed  time.Time
	leaving  bool
}

func newBackendTracker(i *inbound.Handler, m *membership.Service, p *presence.Presence, logger *zap.Logger) *backendTracker {
	return &backendTracker{inbound: i, membership: m, presence: p, logger: logger}
}

// announce takes an announcement of the backend server. Once the node is leaving, every state counts as draining.
func (b *backendTracker) announce(e membership.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving && e.State != membership.EndpointGone {
		e.State = membership.EndpointDraining
	}
	b.renewed = time.Now()
	b.inbound.SetBackend(e)
	b.presence.SetService(e.Service)
	b.publish(e)
}

// tick withdraws the endpoint when its announcement has expired.
func (b *backendTracker) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint.State == "" || b.endpoint.State == membership.EndpointGone || now.Sub(b.renewed) < announcementLifetime {
		return
	}
	gone := b.endpoint
	gone.State = membership.EndpointGone
	b.logger.Warn("backend_withdrawn", zap.String("service", gone.Service), zap.String("cause", "not announced for 3 s"))
	b.publish(gone)
}

// leave marks the endpoint as draining from now on.
func (b *backendTracker) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	if b.endpoint.State == "" || b.endpoint.State == membership.EndpointGone {
		return
	}
	draining := b.endpoint
	draining.State = membership.EndpointDraining
	b.publish(draining)
}

// publish tells the fleet about a changed endpoint. Renewals without a change cost nothing.
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
