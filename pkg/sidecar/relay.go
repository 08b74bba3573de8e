package sidecar

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	// readersPerDataCentre is the number of nodes of each data centre that read the store and relay changes to the other nodes. One is
	// enough; the second covers a reader that crashes, hangs or is refused by the store.
	readersPerDataCentre = 2
	// maxExtraReaders bounds the readers of a data centre beyond readersPerDataCentre, while the nodes before them have no known endpoint.
	maxExtraReaders = 8
	// relayFanout bounds the nodes that one node sends a change to. Each of them forwards it to its share of the remaining nodes.
	relayFanout  = 8
	relayTimeout = 2 * time.Second // a change of many routes takes most of a second on a low-bandwidth link
)

// changeMethod is the RPC method that relays a configuration change.
const changeMethod = "sidecar.change"

// changeParams holds a configuration change that is relayed through a data centre.
type changeParams struct {
	To        uint64   `json:"to"`              // version after the change
	Change    []byte   `json:"change"`          // a routing.Change as compressed JSON
	From      string   `json:"from"`            // control address of a node that has the full configuration
	ForwardTo []string `json:"cover,omitempty"` // control addresses that the receiver forwards the change to
}

// relay distributes configuration changes between nodes, so that the store and low-bandwidth links carry each version a few times instead
// of once per node. A node that misses a change learns of the version from the probes of other members.
type relay struct {
	self       string // node ID
	address    string // control address of this node
	dataCentre string
	members    func() []membership.Member // callers must not modify the result
	client     *rpc.Client
	follower   *follower
	substitute *substitute
	metrics    *metrics.Registry
	logger     *zap.Logger
}

// isReader reports whether this node is one of its data centre's readers of the store, or reads it in place of one. Nodes without a known endpoint
// are not counted: they may be entries that nodes could not remove from the directory when they stopped. If many nodes have none, maxExtraReaders
// protects the store.
func (r *relay) isReader() bool {
	known, all := r.indexInDataCentre()
	return known < readersPerDataCentre && all < readersPerDataCentre+maxExtraReaders || r.substitute.isActive()
}

// isWriter reports whether this node maintains the copy of the configuration in the store. One node of each data centre does, once it
// knows other nodes.
func (r *relay) isWriter() bool {
	_, all := r.indexInDataCentre()
	return r.hasPeers() && all == 0
}

// isStandby reports whether the store serves the first reader of the data centre, as far as is known, and this node is another one.
func (r *relay) isStandby() bool {
	known, _ := r.indexInDataCentre()
	return known > 0 && !r.substitute.isActive()
}

func (r *relay) hasPeers() bool {
	return slices.ContainsFunc(r.members(), func(m membership.Member) bool { return r.isLivePeer(&m) })
}

// isLivePeer reports whether the member is another node and alive.
func (r *relay) isLivePeer(m *membership.Member) bool {
	return m.ID != r.self && m.Status == membership.Alive
}

// precedes reports whether the member is another live node whose ID has a lower hash than own, that of this node's ID.
func (r *relay) precedes(m *membership.Member, own uint64) bool {
	return r.isLivePeer(m) && xxhash.Sum64String(m.ID) < own
}

// indexInDataCentre returns the position of this node among the live nodes of its data centre, ordered by the hash of their IDs: among those
// whose endpoint is known, and among all. When a fleet starts for the first time, the directory has no other entries than those of its nodes,
// so that both are the same. All nodes use the same order.
func (r *relay) indexInDataCentre() (known, all int) {
	own := xxhash.Sum64String(r.self)
	members := r.members()
	for i := range members {
		m := &members[i]
		if m.DataCentre != r.dataCentre || !r.precedes(m, own) {
			continue
		}
		all++
		if m.Endpoint != nil || r.follower.firstStart {
			known++
		}
	}
	return known, all
}

// indexInFleet returns the position of this node among all live nodes, ordered by the hash of their IDs.
func (r *relay) indexInFleet() int {
	own := xxhash.Sum64String(r.self)
	index := 0
	for _, m := range r.members() {
		if r.precedes(&m, own) {
			index++
		}
	}
	return index
}

// peersByDataCentre returns the other live nodes, grouped by data centre.
func (r *relay) peersByDataCentre() map[string][]membership.Member {
	peers := make(map[string][]membership.Member)
	for _, m := range r.members() {
		if r.isLivePeer(&m) {
			peers[m.DataCentre] = append(peers[m.DataCentre], m)
		}
	}
	return peers
}

// broadcast relays a change to all nodes: the readers of another data centre may have lost the store.
func (r *relay) broadcast(c *routing.Change) {
	if !r.hasPeers() {
		return // starting nodes read the store or pull from another node
	}
	change, err := encodeCompressed(c)
	if err != nil {
		r.logger.Error("configuration_not_relayed", zap.Error(err))
		return
	}
	p := changeParams{To: c.To, Change: change, From: r.address}
	r.spread(func(address string, forwardTo []string) { r.send(address, p, forwardTo) })
}

// forward relays a change to the nodes that its sender left to this one.
func (r *relay) forward(p changeParams) {
	fanOut(p.ForwardTo, func(address string, forwardTo []string) { r.send(address, p, forwardTo) })
}

func (r *relay) send(address string, p changeParams, forwardTo []string) {
	p.ForwardTo = forwardTo
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	var done bool
	if err := r.client.Call(ctx, address, changeMethod, &p, &done); err != nil {
		r.metrics.Inc("configuration_relay_failed")
		r.logger.Debug("configuration_relay_failed", zap.String("to", address), zap.Error(err))
		r.forward(p) // take over forwarding from the unreachable node
	}
}

// serveChange applies a change and forwards it.
func (r *relay) serveChange(_ context.Context, params json.RawMessage) (any, error) {
	var p changeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
	}
	if p.To <= r.follower.version() {
		return true, nil // already in force
	}
	r.follower.hear(p.To)
	go r.forward(p)
	change, err := decodeCompressed[routing.Change](p.Change)
	if err != nil {
		return nil, apierror.InvalidField("params.change", err.Error(), "run the same version on all nodes")
	}
	r.apply(change, p.From)
	return true, nil
}

func (r *relay) apply(c *routing.Change, from string) {
	current := r.follower.document()
	if c.To <= current.Version {
		return
	}
	document, err := c.Apply(current)
	if err == nil {
		r.follower.activate(document, c, "relay")
		return
	}
	if c.Format < routing.FormatTeams {
		r.follower.noteUnstated(c.To)
	}
	r.metrics.Inc("configuration_change_unfit")
	r.logger.Info("configuration_change_unfit", zap.Uint64("to", c.To), zap.Uint64("version", current.Version), zap.Error(err))
	r.follower.observeVersion(context.Background(), c.To, from, 0)
}
