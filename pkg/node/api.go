package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
)

const (
	announcementIntervalMS = 1000
	maxTokensBytes         = 1 << 20
)

// apiHandler returns the handler of the operators' HTTP interface.
func (n *Node) apiHandler(tokens []operator.Token) http.Handler {
	return operator.New(operator.Options{
		Node:                  &nodeView{node: n},
		Publisher:             n.distribution,
		Remover:               &remover{node: n},
		Drainer:               n.drainer,
		Backend:               n.backend,
		Metrics:               n.metrics,
		Logger:                n.logger,
		Tokens:                tokens,
		DisableAuthentication: n.settings.Operators.AllowAnonymous,
	})
}

// readTokens loads the operators' tokens from a JSON file. An empty path means no tokens.
func readTokens(path string) ([]operator.Token, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.InvalidField("operators.tokens_file", "not readable: "+err.Error(), "set the path of a readable tokens file")
	}
	if len(data) > maxTokensBytes {
		return nil, apierror.InvalidField("operators.tokens_file", fmt.Sprintf("has %d bytes, more than %d", len(data), maxTokensBytes), "remove tokens that are not used")
	}
	var tokens []operator.Token
	if err := json.Unmarshal(data, &tokens); err != nil {
		return nil, apierror.InvalidField("operators.tokens_file", "not valid JSON: "+err.Error(), "correct the file; docs/operators.md describes its format")
	}
	return tokens, operator.ValidateTokens("operators.tokens_file", tokens).Err()
}

// nodeView implements operator.NodeView.
type nodeView struct {
	node *Node
}

func (v *nodeView) Self() operator.Member {
	self := v.node.membership.Self()
	member := toOperatorMember(self)
	member.Version = v.node.distribution.State().Version
	member.Digest = v.node.distribution.State().Digest()
	return member
}

// Members returns the members with their last reported versions, and starts a refresh of these versions in the background.
func (v *nodeView) Members() []operator.Member {
	members := v.node.membership.Members()
	v.node.versions.refresh(members)
	result := make([]operator.Member, 0, len(members))
	for _, m := range members {
		if m.ID == v.node.settings.ID {
			result = append(result, v.Self())
			continue
		}
		result = append(result, v.node.versions.annotate(toOperatorMember(m)))
	}
	return result
}

func (v *nodeView) State() *config.State                  { return v.node.distribution.State() }
func (v *nodeView) Ready() (bool, string)                 { return v.node.distribution.Ready() }
func (v *nodeView) Events(subject string) []explain.Event { return v.node.recorder.Events(subject) }

func toOperatorMember(m membership.Member) operator.Member {
	member := operator.Member{
		ID: m.ID, Region: m.Region, DataCentre: m.DataCentre,
		ControlAddress: m.ControlAddress, CallAddress: m.CallAddress, APIAddress: m.APIAddress,
		Incarnation: m.Incarnation, Status: string(m.Status),
	}
	if e := m.Endpoint; e != nil {
		member.Endpoint = &operator.Endpoint{Service: e.Service, Address: e.Address, Slots: e.Slots, Connections: e.Connections, State: string(e.State)}
	}
	return member
}

// Announce implements operator.Backend.
func (b *backendTracker) Announce(a operator.Announcement) (operator.AnnouncementResponse, error) {
	b.announce(membership.Endpoint{
		Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections, State: membership.EndpointState(a.State),
	})
	return operator.AnnouncementResponse{RenewMS: announcementIntervalMS, ExpireMS: announcementLifetime.Milliseconds()}, nil
}

// remover implements operator.Remover.
type remover struct {
	node *Node
}

func (r *remover) Remove(ctx context.Context, id string, incarnation uint64) error {
	for _, m := range r.node.membership.Members() {
		if m.ID == id && m.Incarnation == incarnation && m.Status == membership.Alive {
			return apierror.New(apierror.Conflict, id+" is alive", "stop the node first, or wait until it is declared dead")
		}
	}
	return r.node.presence.EndIncarnation(ctx, presence.KindRemoved, id, incarnation)
}

// drainer implements operator.Drainer. It drains the local backend server; the node continues to route outbound calls.
type drainer struct {
	node *Node

	mu    sync.Mutex
	state operator.DrainState
}

func (d *drainer) Drain() operator.DrainStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == "" {
		d.state = operator.DrainRunning
		d.node.backend.startDraining()
		go d.run()
	}
	return operator.DrainStatus{Node: d.node.settings.ID, State: d.state, InFlight: d.node.inbound.InFlight()}
}

func (d *drainer) run() {
	ctx, cancel := context.WithTimeout(context.Background(), d.node.settings.DrainTimeout())
	defer cancel()
	if err := d.node.inbound.Drain(ctx); err != nil {
		d.node.logger.Warn("drain_incomplete", zap.Error(err))
		return
	}
	d.mu.Lock()
	d.state = operator.DrainDone
	d.mu.Unlock()
	d.node.logger.Info("drained")
}
