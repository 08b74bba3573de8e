package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
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
	// readersPerDataCentre read the store; the others of their data centre get what has changed from them. One is enough; the
	// second covers for its death, its freeze and a store that turns it away.
	readersPerDataCentre = 2
	// relayFanout bounds the nodes that one node passes a change on to. Each passes it on to its part of the rest.
	relayFanout  = 8
	relayTimeout = 2 * time.Second // a change of many routes takes most of a second on a thin link
)

// changeMethod is the RPC method with which a change of the configuration is passed on.
const changeMethod = "sidecar.change"

// changeParams is a change on its way through the data centre.
type changeParams struct {
	To        uint64   `json:"to"`              // version that the change leads to
	Change    []byte   `json:"change"`          // a packed routing.Change
	From      string   `json:"from"`            // control address of a node that has the whole configuration
	ForwardTo []string `json:"cover,omitempty"` // control addresses that the receiver passes the change on to
}

// relay spreads changes of the configuration, so that the store and thin links carry each version a few times
// and not once for each node. A node that a change does not reach hears of the version in the probes of other members.
type relay struct {
	self       string // node id
	address    string // control address of this node
	dataCentre string
	members    func() []membership.Member // not to be changed
	client     *rpc.Client
	follower   *follower
	metrics    *metrics.Registry
	logger     *zap.Logger
}

// isReader reports whether this node reads the store.
func (r *relay) isReader() bool { return r.before() < readersPerDataCentre }

// isWriter reports whether this node keeps the copy of the configuration in the store: one node of each data centre does, once it knows
// others.
func (r *relay) isWriter() bool {
	knowsOthers := slices.ContainsFunc(r.members(), func(m membership.Member) bool { return r.isOther(&m) })
	return knowsOthers && r.before() == 0
}

// isOther reports whether the member is another node that is alive.
func (r *relay) isOther(m *membership.Member) bool {
	return m.ID != r.self && m.Status == membership.Alive
}

// before is the number of nodes of the data centre that come before this one. All of them order themselves by the same hash.
func (r *relay) before() int {
	own := xxhash.Sum64String(r.self)
	before := 0
	members := r.members()
	for i := range members {
		m := &members[i]
		if m.DataCentre == r.dataCentre && r.isOther(m) && xxhash.Sum64String(m.ID) < own {
			before++
		}
	}
	return before
}

// groups returns the other nodes that are alive, by data centre.
func (r *relay) groups() map[string][]membership.Member {
	groups := make(map[string][]membership.Member)
	for _, m := range r.members() {
		if r.isOther(&m) {
			groups[m.DataCentre] = append(groups[m.DataCentre], m)
		}
	}
	return groups
}

// spread passes a change on: to the nodes of the own data centre, and to one of each other, which passes it on there. Its readers may
// be cut off from the store.
func (r *relay) spread(before, now *routing.Document) {
	groups := r.groups()
	if before == nil || len(groups) == 0 {
		return // those who start read the store, or ask another node
	}
	change, err := pack(routing.Diff(before, now))
	if err != nil {
		r.logger.Error("configuration_not_relayed", zap.Error(err))
		return
	}
	var sending sync.WaitGroup
	for dataCentre, members := range groups {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		var addresses []string
		for _, m := range members {
			addresses = append(addresses, m.ControlAddress)
		}
		p := &changeParams{To: now.Version, Change: change, From: r.address, ForwardTo: addresses}
		if dataCentre == r.dataCentre {
			sending.Go(func() { r.passOn(p) })
			continue
		}
		p.ForwardTo = addresses[1:]
		sending.Go(func() { r.send(addresses[0], p) })
	}
	sending.Wait()
}

// passOn sends the change to some nodes of its cover, each with a part of the rest.
func (r *relay) passOn(p *changeParams) {
	heads := min(relayFanout, len(p.ForwardTo))
	var sending sync.WaitGroup
	for i := range heads {
		var cover []string
		for j := heads + i; j < len(p.ForwardTo); j += heads {
			cover = append(cover, p.ForwardTo[j])
		}
		sending.Go(func() {
			r.send(p.ForwardTo[i], &changeParams{To: p.To, Change: p.Change, From: p.From, ForwardTo: cover})
		})
	}
	sending.Wait()
}

func (r *relay) send(address string, p *changeParams) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	var done bool
	if err := r.client.Call(ctx, address, changeMethod, p, &done); err != nil {
		r.metrics.Inc("configuration_relay_failed")
		r.logger.Debug("configuration_relay_failed", zap.String("to", address), zap.Error(err))
		if len(p.ForwardTo) > 0 {
			r.passOn(p) // in its place
		}
	}
}

// serveChange takes in a change and passes it on.
func (r *relay) serveChange(_ context.Context, params json.RawMessage) (any, error) {
	var p changeParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apierror.InvalidField("params", err.Error(), "run the same version on all nodes")
	}
	if p.To <= r.follower.version() {
		return true, nil // it has come this way before
	}
	if len(p.ForwardTo) > 0 {
		go r.passOn(&p)
	}
	change, err := unpack[routing.Change](p.Change)
	if err != nil {
		return nil, apierror.InvalidField("params.change", err.Error(), "run the same version on all nodes")
	}
	r.apply(change, p.From)
	return true, nil
}

func (r *relay) apply(c *routing.Change, from string) {
	table := r.follower.Table()
	if table != nil && c.To <= table.Document.Version {
		return
	}
	if table != nil {
		document, err := c.Apply(table.Document)
		if err == nil {
			r.follower.offer(document, "relay")
			return
		}
		r.metrics.Inc("configuration_change_unfit")
		r.logger.Info("configuration_change_unfit", zap.Uint64("to", c.To), zap.Uint64("version", table.Document.Version), zap.Error(err))
	}
	r.follower.heard(context.Background(), c.To, from, 0)
}
