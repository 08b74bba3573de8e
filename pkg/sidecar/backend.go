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
	if n.needsConfirmation(a) {
		if liveness := n.confirm(a); !announce.IsConfirmed(liveness, time.Since(n.started), n.announcementTimeout()) {
			return n.rejectAnnouncement(a, announce.Unconfirmed, zap.String("liveness", string(liveness)), zap.Duration("uptime", time.Since(n.started)),
				zap.String("cause", "the backend server may have left before this node started"))
		}
	}
	n.readmitIfServing(a)
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

// readmitIfServing makes the tracker take the announcements of a process again that counts as ended, but goes on announcing itself and passes the liveness
// check.
func (n *Node) readmitIfServing(a announce.Announcement) {
	n.mu.Lock()
	hasOutlived := n.tracker.HasOutlivedDeparture(time.Now(), a)
	n.mu.Unlock()
	if !hasOutlived || n.liveness(a) != announce.Serving {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tracker.Readmit(time.Now(), a)
	n.metrics.Inc("backend_readmitted")
	n.logger.Warn("backend_readmitted", zap.String("instance", a.ID), zap.Int64("start_time_ms", a.StartTimeMS),
		zap.String("cause", "it has announced itself for long after its departure and serves"))
}

// rejectAnnouncement counts and logs an announcement that is not applied, and returns its verdict.
func (n *Node) rejectAnnouncement(a announce.Announcement, verdict announce.Verdict, details ...zap.Field) announce.Verdict {
	n.metrics.Inc("announcement", "verdict", string(verdict))
	fields := []zap.Field{zap.String("instance", a.ID), zap.String("verdict", string(verdict)), zap.Int64("sequence", a.Sequence)}
	n.logger.Info("announcement_not_taken", append(fields, details...)...)
	return verdict
}

// needsConfirmation reports whether an announcement may be one from before a departure that the previous process of this node has acknowledged. This
// process has no record of that. Once an announcement of the backend server's process was accepted, the later ones need none.
func (n *Node) needsConfirmation(a announce.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isKnown := n.tracker.IsCurrentProcess(a) && !n.provisional
	if isKnown || n.settings.FirstStart || a.Draining || a.StartTimeMS >= n.started.UnixMilli() || time.Since(n.started) >= announce.MaxDelay {
		return false
	}
	n.unconfirmed = true
	return true
}

const (
	// checkTimeout bounds a liveness check, including the wait for the configuration that holds its path. A backend server waits 1 s for
	// the response to its announcement.
	checkTimeout      = 500 * time.Millisecond
	tablePollInterval = 10 * time.Millisecond
)

// confirm returns what the liveness check at the start of this process, or another one, shows about the sender of an announcement.
func (n *Node) confirm(a announce.Announcement) announce.Liveness {
	select {
	case <-n.found:
	case <-time.After(checkTimeout):
	}
	n.mu.Lock()
	confirmed := n.confirmed == a.ID
	n.mu.Unlock()
	if confirmed {
		return announce.Serving
	}
	return n.liveness(a)
}

// liveness queries the backend server's liveness check to find out whether the sender of an announcement accepts calls. Without a configured path
// there is nothing that could confirm an announcement, and it is believed.
func (n *Node) liveness(a announce.Announcement) announce.Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	response, err := n.checkLiveness(ctx, a.Service)
	switch {
	case errors.Is(err, errNoLivenessPath):
		return announce.Serving
	case err != nil:
		n.logger.Info("liveness_check_failed", zap.String("instance", a.ID), zap.Error(err))
		return announce.Unknown
	case response.Header.Get(n.inbound.headers.NotExecuted) != "":
		return announce.Unknown
	case response.Status != http.StatusOK || response.Header.Get(n.inbound.headers.Instance) != a.ID || n.isLeaving(response.Header):
		return announce.NotServing
	}
	return announce.Serving
}

// isLeaving reports whether a response header says that the backend server is leaving. An unreadable limit beside it is reported when calls get it.
func (n *Node) isLeaving(header http.Header) bool {
	intake, _ := n.platform.Intake(header)
	return intake.Leaving
}

// errNoLivenessPath is returned if the configuration has no liveness check for a service.
var errNoLivenessPath = eris.New("no liveness check is configured")

// checkLiveness waits for the configuration and queries the liveness check of the backend server. It returns the response without its body.
func (n *Node) checkLiveness(ctx context.Context, serviceName string) (*hop.Response, error) {
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
	return response, nil
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
	response, err := n.checkLiveness(ctx, a.Service)
	if err == nil && response.Status != http.StatusOK {
		err = eris.Errorf("the liveness check returned status %d", response.Status)
	}
	if err != nil {
		n.logger.Info("backend_not_found", zap.Error(err))
		return
	}
	header := response.Header
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
	if !ok || a.Slots < 1 || n.unconfirmed || n.inbound.gate.Load() != nil {
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
func (n *Node) Leave(id string, connection int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.tracker.Current()
	n.left, n.provisional, n.confirmed = true, false, ""
	isOfEarlier := n.tracker.IsOfEarlierProcess(id, connection)
	if isOfEarlier {
		n.metrics.Inc("departure_of_earlier_process")
	}
	known := n.tracker.Leave(time.Now(), id, connection)
	n.logger.Info("backend_leaves", zap.String("instance", id), zap.Bool("known", known), zap.Bool("earlier_process", isOfEarlier))
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

// announcementTimeout returns how long announcements may fail to arrive before the backend server is considered gone.
func (n *Node) announcementTimeout() time.Duration {
	return maxMissedAnnouncements*time.Duration(n.settings.Backend.AnnouncementInterval) + announcementSlack
}

// expireBackend periodically removes a backend server whose announcements have stopped, until ctx ends.
func (n *Node) expireBackend(ctx context.Context) {
	timeout := n.announcementTimeout()
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
