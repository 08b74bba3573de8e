package sidecar

import (
	"context"
	"net/http"
	"time"

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
	if n.mayHaveLeft(a) && !n.isServing(a) {
		return n.notTaken(a, announce.Unconfirmed, zap.String("cause", "this node has just started, and the liveness check does not say that the backend server stays"))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.tracker.Current()
	verdict := n.tracker.Observe(time.Now(), a)
	if verdict != announce.Accepted {
		return n.notTaken(a, verdict)
	}
	n.metrics.Inc("announcement", "verdict", string(verdict))
	n.announced = true
	n.adopt(before, "announcement")
	return verdict
}

// notTaken counts and logs an announcement that changes nothing, and returns the verdict.
func (n *Node) notTaken(a announce.Announcement, verdict announce.Verdict, why ...zap.Field) announce.Verdict {
	n.metrics.Inc("announcement", "verdict", string(verdict))
	fields := []zap.Field{zap.String("instance", a.ID), zap.String("verdict", string(verdict)), zap.Int64("sequence", a.Sequence)}
	n.logger.Info("announcement_not_taken", append(fields, why...)...)
	return verdict
}

// mayHaveLeft reports whether the process before this one may have acknowledged that the instance leaves: an announcement from before that
// may come late, and this process knows nothing of it. A second announcement of the same instance is not late.
func (n *Node) mayHaveLeft(a announce.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.announced || n.settings.FirstStart || a.Draining || a.StartTimeMS >= n.started.UnixMilli() {
		return false
	}
	first := n.first
	n.first = &a
	return first == nil || first.ID != a.ID || first.StartTimeMS != a.StartTimeMS || a.Sequence <= first.Sequence
}

const (
	// checkTimeout bounds a liveness check, and the wait for the configuration that says where to ask. A backend server waits a second
	// for the answer to its announcement.
	checkTimeout  = 500 * time.Millisecond
	tableInterval = 10 * time.Millisecond
)

// isServing asks the backend server's liveness check whether that instance takes calls. Without a path to ask it is taken to.
func (n *Node) isServing(a announce.Announcement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	table := n.follower.Table()
	for ; table == nil; table = n.follower.Table() { // it comes within milliseconds of the start
		if clock.Sleep(ctx, tableInterval) != nil {
			return false
		}
	}
	service := table.Service(a.Service)
	if service == nil || service.HealthPath == "" {
		return true
	}
	n.metrics.Inc("liveness_check")
	response, failed := n.inbound.client.Do(ctx, a.Address, &hop.Request{Method: http.MethodGet, Target: service.HealthPath, Host: a.Address})
	if failed != nil {
		n.logger.Info("liveness_check_failed", zap.String("instance", a.ID), zap.Error(failed))
		return false
	}
	drop(response)
	return response.Status == http.StatusOK && response.Header.Get(n.inbound.headers.Instance) == a.ID
}

// isKnownService reports whether a backend server on this machine may belong to the service.
func (n *Node) isKnownService(name string) bool {
	table := n.follower.Table()
	return name == *n.service.Load() || table == nil || table.Service(name) != nil
}

// Leave implements Announcer.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.tracker.Current()
	known := n.tracker.Leave(time.Now(), id)
	n.logger.Info("backend_leaves", zap.String("instance", id), zap.Bool("known", known))
	if known {
		n.adopt(before, "leave")
	}
}

func (n *Node) heardBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tracker.RecordActivity(time.Now())
}

// adopt makes the tracker's state effective: first in what this node hands over, then for others. The caller holds mu.
func (n *Node) adopt(before *announce.Announcement, cause string) {
	current := n.tracker.Current()
	n.inbound.set(current)
	e := membership.Endpoint{State: membership.EndpointGone}
	if before != nil {
		e.Service, e.Address, e.Slots = before.Service, before.Address, before.Slots
	}
	if current != nil {
		e.Service, e.Address, e.Slots = current.Service, current.Address, current.Slots
		e.State = stateOf(current)
		n.service.Store(&current.Service)
	}
	if n.stopping.Load() && e.State != membership.EndpointGone {
		e.State = membership.EndpointDraining
	}
	n.membership.SetEndpoint(e)
	if before == nil || current == nil || before.ID != current.ID || before.Draining != current.Draining {
		n.logger.Info("backend_changed", zap.String("service", e.Service), zap.String("state", string(e.State)), zap.Int("slots", e.Slots), zap.String("cause", cause))
	}
}

func stateOf(a *announce.Announcement) membership.EndpointState {
	switch {
	case a.Draining:
		return membership.EndpointDraining
	case a.ColdRemaining > 0:
		return membership.EndpointWarming
	}
	return membership.EndpointReady
}

// tick lets a silent backend server lapse.
func (n *Node) tick(ctx context.Context) {
	after := lapseIntervals*time.Duration(n.settings.Backend.AnnouncementInterval) + lapseSlack
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.mu.Lock()
			before := n.tracker.Current()
			if n.tracker.Expire(now, after) {
				n.adopt(before, "silent for "+after.String())
			}
			n.mu.Unlock()
			n.metrics.Gauge("endpoints_ejected").Update(int64(n.outbound.chooser.Ejected()))
		}
	}
}
