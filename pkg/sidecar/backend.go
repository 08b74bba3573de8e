package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// Announce implements Announcer.
func (n *Node) Announce(a announce.Announcement) announce.Verdict {
	if a.Address != n.settings.Backend.Address || !n.isKnownService(a.Service) {
		n.metrics.Inc("announcement", "verdict", string(announce.Foreign))
		n.logger.Warn("announcement_foreign", zap.String("instance", a.ID), zap.String("service", a.Service), zap.String("address", a.Address))
		return announce.Foreign
	}
	if n.recordUnconfirmed(a) && !n.isConfirmed(a) {
		return n.rejectAnnouncement(a, announce.Unconfirmed, zap.String("cause", "this node has just started, and the liveness check did not confirm that the backend server is serving"))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.tracker.Current()
	verdict := n.tracker.Observe(time.Now(), a)
	if verdict != announce.Accepted {
		return n.rejectAnnouncement(a, verdict)
	}
	n.metrics.Inc("announcement", "verdict", string(verdict))
	n.announced, n.provisional = true, false
	n.publishBackend(previous, "announcement")
	return verdict
}

// rejectAnnouncement counts and logs an announcement that is not applied, and returns its verdict.
func (n *Node) rejectAnnouncement(a announce.Announcement, verdict announce.Verdict, details ...zap.Field) announce.Verdict {
	n.metrics.Inc("announcement", "verdict", string(verdict))
	fields := []zap.Field{zap.String("instance", a.ID), zap.String("verdict", string(verdict)), zap.Int64("sequence", a.Sequence)}
	n.logger.Info("announcement_not_taken", append(fields, details...)...)
	return verdict
}

// recordUnconfirmed stores an announcement that may be out of date, and reports whether it needs confirmation. The previous process of this
// node may have acknowledged that the instance leaves; an announcement sent before the departure may arrive late, and this process has no
// record of the departure. A second, newer announcement of the same instance is not late; it is recognised by the stored one.
func (n *Node) recordUnconfirmed(a announce.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.announced || n.settings.FirstStart || a.Draining || a.StartTimeMS >= n.started.UnixMilli() {
		return false
	}
	previous := n.unconfirmed
	n.unconfirmed = &a
	return previous == nil || previous.ID != a.ID || previous.StartTimeMS != a.StartTimeMS || a.Sequence <= previous.Sequence
}

const (
	// checkTimeout bounds a liveness check, including the wait for the configuration that holds its path. A backend server waits 1 s for
	// the response to its announcement.
	checkTimeout      = 500 * time.Millisecond
	tablePollInterval = 10 * time.Millisecond
)

// isConfirmed reports whether the liveness check at the start of this process, or another one, shows that the instance accepts calls.
func (n *Node) isConfirmed(a announce.Announcement) bool {
	select {
	case <-n.found:
	case <-time.After(checkTimeout):
	}
	n.mu.Lock()
	confirmed := n.confirmed == a.ID
	n.mu.Unlock()
	return confirmed || n.isServing(a)
}

// isServing queries the backend server's liveness check to find out whether the instance accepts calls. It returns true if no path is
// configured.
func (n *Node) isServing(a announce.Announcement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	header, err := n.checkLiveness(ctx, a.Service)
	if errors.Is(err, errNoLivenessPath) {
		return true
	}
	if err != nil {
		n.logger.Info("liveness_check_failed", zap.String("instance", a.ID), zap.Error(err))
		return false
	}
	return header.Get(n.inbound.headers.Instance) == a.ID && !n.isLeaving(header)
}

// isLeaving reports whether a response header says that the backend server is leaving. An unreadable limit beside it is reported when calls get it.
func (n *Node) isLeaving(header http.Header) bool {
	intake, _ := n.platform.Intake(header)
	return intake.Leaving
}

// errNoLivenessPath is returned if the configuration has no liveness check for a service.
var errNoLivenessPath = eris.New("no liveness check is configured")

// checkLiveness waits for the configuration and queries the liveness check of the backend server. It returns the header of a success.
func (n *Node) checkLiveness(ctx context.Context, serviceName string) (http.Header, error) {
	table := n.follower.Table()
	for ; table == nil; table = n.follower.Table() { // it arrives within milliseconds after the start
		if err := clock.Sleep(ctx, tablePollInterval); err != nil {
			return nil, err
		}
	}
	service := table.Service(serviceName)
	if service == nil || service.HealthPath == "" {
		return nil, errNoLivenessPath
	}
	n.metrics.Inc("liveness_check")
	address := n.settings.Backend.Address
	response, failed := n.inbound.client.Do(ctx, address, &hop.Request{Method: http.MethodGet, Target: service.HealthPath, Host: address})
	if failed != nil {
		return nil, failed
	}
	discard(response)
	if response.Status != http.StatusOK {
		return nil, eris.Errorf("the liveness check returned status %d", response.Status)
	}
	return response.Header, nil
}

// findBackend makes a restarted node use the backend server that runs beside it before the next announcement, if the liveness check says
// which instance it is and how many slots it has. The instance is provisional: it may have left, and the previous process may have
// acknowledged that. Without an announcement it is used for one announcement interval and a second at most.
func (n *Node) findBackend(ctx context.Context) {
	defer close(n.found)
	if n.settings.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startDuration) // a long configuration arrives late on a slow link
	defer cancel()
	a := announce.Announcement{Service: n.settings.Backend.Service, Address: n.settings.Backend.Address}
	header, err := n.checkLiveness(ctx, a.Service)
	if err != nil {
		n.logger.Info("backend_not_found", zap.Error(err))
		return
	}
	report, ok, err := n.platform.Report(header)
	a.ID, a.Slots = header.Get(n.inbound.headers.Instance), report.Slots
	leaving := n.isLeaving(header)
	if err != nil || a.ID == "" || leaving {
		n.logger.Info("backend_not_found", zap.String("instance", a.ID), zap.Bool("leaving", leaving), zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.announced || n.left {
		return // an announcement or a departure says more
	}
	n.confirmed = a.ID
	time.AfterFunc(time.Duration(n.settings.Backend.AnnouncementInterval)+announcementSlack, n.dropProvisional)
	if !ok || a.Slots < 1 || n.unconfirmed != nil || n.inbound.gate.Load() != nil {
		return // the slots, or the version that a roll-out depends on, are only known from an announcement
	}
	n.provisional = true
	n.tracker.Observe(time.Now(), a)
	n.publishBackend(nil, "liveness check")
	n.inbound.observeIntake(n.inbound.instance.Load(), n.started, header)
}

// dropProvisional stops using a provisional instance that has not announced itself.
func (n *Node) dropProvisional() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = ""
	if !n.provisional {
		return
	}
	previous := n.tracker.Current()
	n.provisional = false
	if n.tracker.Expire(time.Now(), 0) {
		n.publishBackend(previous, "not announced since the start of this node")
	}
}

// isKnownService reports whether a backend server on this VM may belong to the service.
func (n *Node) isKnownService(name string) bool {
	table := n.follower.Table()
	return name == *n.service.Load() || table == nil || table.Service(name) != nil
}

// Leave implements Announcer.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.tracker.Current()
	n.left, n.provisional, n.confirmed = true, false, ""
	known := n.tracker.Leave(time.Now(), id)
	n.logger.Info("backend_leaves", zap.String("instance", id), zap.Bool("known", known))
	if known {
		n.publishBackend(previous, "leave")
	}
}

func (n *Node) backendResponded() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tracker.RecordActivity(time.Now())
}

// backendLeaves stops the use of an instance whose response says that it is leaving, whether or not it has announced that.
func (n *Node) backendLeaves(i *instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.tracker.Current()
	if current == nil || current.Draining || !n.inbound.isCurrent(i) {
		return
	}
	n.tracker.Drain()
	n.publishBackend(current, "response")
}

// publishBackend applies the tracker's state: first to the requests that this node forwards, then to the membership table that other nodes
// see. The caller must hold mu.
func (n *Node) publishBackend(previous *announce.Announcement, cause string) {
	current := n.tracker.Current()
	n.inbound.setAnnouncement(current)
	e := membership.Endpoint{State: membership.EndpointGone}
	if previous != nil {
		e.Service, e.Address, e.Slots = previous.Service, previous.Address, previous.Slots
	}
	if current != nil {
		e.Service, e.Address, e.Slots = current.Service, current.Address, current.Slots
		e.State = endpointState(current)
		n.service.Store(&current.Service)
	}
	if current != nil && n.inbound.isHeld(current) {
		e.State = membership.EndpointHeld
	}
	if n.stopping.Load() && e.State != membership.EndpointGone {
		e.State = membership.EndpointDraining
	}
	n.membership.SetEndpoint(e)
	if previous == nil || current == nil || previous.ID != current.ID || previous.Draining != current.Draining {
		n.logger.Info("backend_changed", zap.String("service", e.Service), zap.String("state", string(e.State)), zap.Int("slots", e.Slots), zap.String("cause", cause))
	}
}

func endpointState(a *announce.Announcement) membership.EndpointState {
	switch {
	case a.Draining:
		return membership.EndpointDraining
	case a.ColdRemaining > 0:
		return membership.EndpointWarming
	}
	return membership.EndpointReady
}

// expireBackend periodically removes a backend server whose announcements have stopped, until ctx ends.
func (n *Node) expireBackend(ctx context.Context) {
	timeout := maxMissedAnnouncements*time.Duration(n.settings.Backend.AnnouncementInterval) + announcementSlack
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.mu.Lock()
			previous := n.tracker.Current()
			if n.tracker.Expire(now, timeout) {
				n.publishBackend(previous, "no announcement or response for "+timeout.String())
			}
			n.mu.Unlock()
			n.metrics.Gauge("endpoints_ejected").Update(int64(n.outbound.chooser.Ejected()))
		}
	}
}
