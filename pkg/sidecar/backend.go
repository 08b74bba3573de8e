package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

// Announce implements Announcer.
func (n *Node) Announce(a announce.Announcement) announce.Verdict {
	if a.Address != n.settings.Backend.Address || !n.isKnownService(a.Service) {
		n.metrics.Inc("announcement", "verdict", string(announce.Foreign))
		n.logger.Warn("announcement_foreign", zap.String("instance", a.ID), zap.String("service", a.Service), zap.String("address", a.Address))
		return announce.Foreign
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.tracker.Current()
	verdict := n.tracker.Announce(time.Now(), a)
	n.metrics.Inc("announcement", "verdict", string(verdict))
	if verdict != announce.Accepted {
		n.logger.Info("announcement_not_taken", zap.String("instance", a.ID), zap.String("verdict", string(verdict)), zap.Int64("sequence", a.Sequence))
		return verdict
	}
	n.adopt(before, "announcement")
	return verdict
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
	n.tracker.Heard(time.Now())
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
	case a.Cold > 0:
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
			if n.tracker.Lapse(now, after) {
				n.adopt(before, "silent for "+after.String())
			}
			n.mu.Unlock()
			n.metrics.Gauge("endpoints_ejected").Update(int64(n.outbound.chooser.Ejected()))
		}
	}
}
