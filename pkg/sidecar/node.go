// Package sidecar implements the node that runs beside a backend server: it accepts requests from clients and from the backend server on
// its VM, routes them according to the operators' configuration, and forwards requests from other nodes to its backend server.
//
// A request is matched to a route, an endpoint is chosen, and the outbound node sends it to the inbound node of that endpoint, which
// forwards it to the backend server. Membership, admission, placement and retry budgets are separate packages. Platform-specific names and
// formats are confined to the platform adapter.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/dryrun"
	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	// maxMissedAnnouncements is the number of missed announcements after which a backend server is considered gone. Announcements may be
	// seconds late.
	maxMissedAnnouncements = 3
	announcementSlack      = time.Second
	expiryInterval         = 500 * time.Millisecond
	maxHeaderBytes         = 1 << 20     // bounds memory; the limit for callers comes from the configuration
	defaultIdleTimeout     = time.Minute // until a configuration is in force
	defaultHeaderTimeout   = 10 * time.Second
	nodeIdleTimeout        = 10 * time.Second // idle timeout of connections between nodes; longer than the client side keeps them
)

const (
	// maxWaitToBeFound is how long a node waits at most, when the whole fleet starts for the first time, until it reads the directory.
	maxWaitToBeFound   = 2 * time.Second
	foundCheckInterval = 50 * time.Millisecond
)

// contactsInterval is the time between reads of the platform's directory while other nodes are known.
const contactsInterval = time.Minute

// Node is one running sidecar.
type Node struct {
	settings *Settings
	platform Platform
	logger   *zap.Logger
	metrics  *metrics.Registry

	rpcServer  *rpc.Server
	rpcClient  *rpc.Client
	membership *membership.Service
	follower   *follower
	rollouts   *rollouts
	quarantine *quarantines
	limits     *teamLimits
	link       *link.Link
	buffers    *hop.BufferBudget // for long responses of the backend server
	inbound    *inbound
	outbound   *outbound
	service    atomic.Pointer[string] // service of the backend server on this VM

	mu          sync.Mutex // guards the fields below
	tracker     announce.Tracker
	announced   bool   // an announcement was accepted
	left        bool   // a backend server has left
	confirmed   string // ID of the instance that the liveness check at the start has shown; "": none, or too long ago
	provisional bool   // that instance is in use and not announced yet
	unconfirmed bool   // an announcement needed confirmation
	started     time.Time

	found        chan struct{} // closed when the liveness check at the start has ended
	stopping     atomic.Bool
	shutdownStep atomic.Value // string; what the shutdown waits for
	registered   bool         // in the platform's directory; used by the membership's join loop only
	// rolloutsKnown is set when the states of roll-outs were read after the start, so that no gate means that there is none.
	rolloutsKnown atomic.Bool
	view          atomic.Pointer[endpointView]

	control   net.Listener
	callers   *pipelineServer
	nodes     *pipelineServer
	auxiliary []*graceful.Server // servers for announcements, readiness and metrics
}

// New builds a node and opens its listeners. Start it with Run.
func New(s *Settings, p Platform, logger *zap.Logger) (*Node, error) {
	n := &Node{settings: s, platform: p, logger: logger.With(zap.String("node", s.ID)), metrics: metrics.New(), found: make(chan struct{}), started: time.Now()}
	n.service.Store(&s.Backend.Service)
	bytes := &rpc.Counters{}
	n.rpcServer = rpc.NewServer(bytes)
	n.rpcClient = rpc.NewClient(bytes, nil)
	n.rpcClient.OverrideAddresses(s.DialOverrides)
	n.follower = newFollower(p, n.rpcClient, n.rpcServer, n.metrics, n.logger)
	n.follower.firstStart, n.follower.storeRecovery = s.FirstStart, time.Duration(s.Bounds.StoreRecovery)
	n.link = link.New(s.LinkMbps)
	n.buffers = hop.NewBufferBudget(s.bufferBytes())
	n.inbound = newInbound(p, n.link, n.buffers, n.metrics, n.logger, n.backendResponded)
	n.inbound.onLeaving = n.backendLeaves
	n.inbound.onCrash = func(process string, running []quarantine.Run) { n.quarantine.crashed(process, running) }
	n.inbound.onCleared = func(request quarantine.Fingerprint, isFrequent bool) { n.quarantine.cleared(request, isFrequent) }
	n.membership = membership.New(membership.Options{
		Self: n.self(), Directory: n.directory, ContactsInterval: contactsInterval, Exclusive: true, Timing: membership.RegionalTiming, Client: n.rpcClient, Server: n.rpcServer,
		Heartbeat: func() membership.Heartbeat {
			return membership.Heartbeat{Version: int64(n.follower.version()), Digest: n.inbound.suspects.Digest()}
		},
		OnHeartbeat: func(from membership.Member, beat membership.Heartbeat) {
			n.quarantine.observeDigest(beat.Digest, from.ControlAddress)
			n.follower.observeVersion(context.Background(), uint64(beat.Version), from.ControlAddress, peerDelay)
		},
		Metrics: n.metrics, Logger: n.logger,
	})
	n.setUpRelay()
	n.limits = newTeamLimits(n)
	n.outbound = n.newOutbound()
	n.rpcServer.Handle(dryrun.Method, n.serveWhere)
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// setUpRelay connects the follower to the relay: a few nodes of each data centre read the store and relay changes to the others.
func (n *Node) setUpRelay() {
	r := &relay{
		self: n.settings.ID, address: n.settings.Listen.Control, dataCentre: n.settings.DataCentre, members: n.membership.SharedMembers, client: n.rpcClient,
		follower: n.follower, substitute: n.follower.substitute, metrics: n.metrics, logger: n.logger,
	}
	n.rpcServer.Handle(changeMethod, r.serveChange)
	n.rpcServer.Handle(substituteMethod, r.serveSubstitute)
	n.follower.isReader, n.follower.isStandby, n.follower.isWriter, n.follower.hasPeers = r.isReader, r.isStandby, r.isWriter, r.hasPeers
	n.follower.onChange = r.broadcast
	n.follower.onTurnedAway = r.askSubstitute
	n.rollouts = n.newRollouts(r)
	n.quarantine = newQuarantines(n.platform, r, n.rpcServer, n.inbound.suspects)
	n.follower.onOrders, n.follower.onRollouts, n.follower.onBlocked = n.rollouts.observe, n.observeRollouts, n.quarantine.observeKept
	generations := NewGenerations(n.metrics, n.logger)
	generations.OnChange(n.rollouts.storeRestored)
	generations.OnChange(n.quarantine.keepAll)
	n.platform.SetGenerations(generations)
}

func (n *Node) self() membership.Member {
	return membership.Member{
		ID: n.settings.ID, Region: n.settings.Region, DataCentre: n.settings.DataCentre,
		ControlAddress: n.settings.Listen.Control, CallAddress: n.settings.Listen.Nodes,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func (n *Node) newOutbound() *outbound {
	retryBound := retry.Bound{Ratio: n.settings.Bounds.RetryRatio, Slack: n.settings.Bounds.RetrySlack, Window: time.Duration(n.settings.Bounds.RetryWindow)}
	o := &outbound{
		self: n.settings.ID, service: func() string { return *n.service.Load() }, headers: n.platform.Headers(), key: n.platform.Key, isBehind: n.follower.isBehind,
		table: n.follower.Table, endpoints: n.endpoints, chooser: placement.New(placement.Options{DataCentre: n.settings.DataCentre, Policy: placement.DefaultPolicy()}),
		shortages: placement.NewShortages(placement.DefaultShortagePolicy(), nil, nil),
		budget:    retry.New(retry.Options{Bound: retryBound, Policy: retry.DefaultPolicy(), Nodes: func() int { return len(n.membership.SharedMembers()) }}),
		local:     n.inbound, link: n.link, starting: newStarting(), limits: n.limits,
		client: hop.New(hop.Options{
			EchoHeader: n.platform.Headers().RequestID, DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout, DialOverrides: n.settings.DialOverrides,
			MaxBufferedBytes: link.MaxShortBytes,
		}),
		metrics: n.metrics, logger: n.logger, logLimit: rate.NewLimiter(logLinesPerSecond, logBurst),
	}
	n.metrics.Collect(o.teamStats.collect)
	return o
}

// endpointView caches the endpoints by service for one version of the membership table.
type endpointView struct {
	version   uint64
	byService map[string][]placement.Endpoint
}

// endpoints returns the usable endpoints of a service. Callers must not modify the slice.
func (n *Node) endpoints(service string) []placement.Endpoint {
	version := n.membership.Version()
	view := n.view.Load()
	if view == nil || view.version != version {
		view = &endpointView{version: version, byService: make(map[string][]placement.Endpoint)}
		members := n.membership.SharedMembers()
		for i := range members {
			m := &members[i]
			if e, ok := usableEndpoint(m); ok {
				view.byService[m.Endpoint.Service] = append(view.byService[m.Endpoint.Service], e)
			}
		}
		n.view.Store(view)
	}
	return view.byService[service]
}

func usableEndpoint(m *membership.Member) (placement.Endpoint, bool) {
	e := m.Endpoint
	usable := e != nil && (m.Status == membership.Alive || m.Status == membership.Suspect) &&
		(e.State == membership.EndpointReady || e.State == membership.EndpointWarming)
	if !usable {
		return placement.Endpoint{}, false
	}
	return placement.Endpoint{
		ID: m.ID, Incarnation: m.Incarnation, Address: m.CallAddress, DataCentre: m.DataCentre, Slots: e.Slots,
		Warming: e.State == membership.EndpointWarming, Suspect: m.Status == membership.Suspect,
	}, true
}

// directory registers this node in the platform's directory and reads the registered nodes. If the whole fleet starts for the first time, it
// registers before it reads: then of any two nodes, at least one finds the other. It reads only if no other node has found it for a while.
// Otherwise it registers only if the contact of its previous process is gone or has other addresses.
func (n *Node) directory(ctx context.Context) ([]membership.Member, error) {
	if n.settings.FirstStart && !n.registered {
		if err := n.register(ctx); err != nil {
			return nil, err
		}
		if n.isFoundWithin(ctx, rand.N(maxWaitToBeFound)) {
			return nil, nil
		}
	}
	contacts, err := n.platform.Contacts(ctx)
	if err != nil {
		return nil, err
	}
	var members []membership.Member
	own := n.contact()
	found := false
	for _, c := range contacts {
		found = found || c.hasAddressesOf(own)
		members = append(members, membership.Member{
			ID: c.ID, Region: c.Region, DataCentre: c.DataCentre, ControlAddress: c.Control, CallAddress: c.Nodes, Incarnation: c.Incarnation,
		})
	}
	if !found {
		if n.registered {
			n.logger.Warn("contact_was_removed", zap.String("remedy", "other nodes considered this node dead; it registers again"))
		}
		if err := n.register(ctx); err != nil {
			return members, err
		}
	}
	n.registered = true
	n.removeDeadContacts(ctx, contacts)
	return members, nil
}

// isFoundWithin waits until other nodes are known, because they have contacted this one, and reports whether that happened in time.
func (n *Node) isFoundWithin(ctx context.Context, wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end) && clock.Sleep(ctx, foundCheckInterval) == nil; {
		if len(n.membership.SharedMembers()) > 1 {
			return true
		}
	}
	return false
}

func (n *Node) contact() Contact {
	self := n.membership.Self()
	return Contact{
		ID: self.ID, Region: self.Region, DataCentre: self.DataCentre, Control: self.ControlAddress, Nodes: self.CallAddress, Incarnation: self.Incarnation,
	}
}

func (n *Node) register(ctx context.Context) error {
	err := n.platform.Register(ctx, n.contact())
	if err != nil {
		n.metrics.Inc("directory_failed")
	}
	n.registered = err == nil
	return err
}

// removeDeadContacts removes the contacts of dead nodes: a VM that is permanently lost cannot remove its own, and starting nodes would wait
// for it. Only the first live member does this.
func (n *Node) removeDeadContacts(ctx context.Context, contacts []Contact) {
	members := n.membership.Members()
	first := slices.IndexFunc(members, func(m membership.Member) bool { return m.Status == membership.Alive })
	if first < 0 || members[first].ID != n.settings.ID {
		return
	}
	dead := make(map[string]uint64)
	for _, m := range members {
		if m.Status == membership.Dead {
			dead[m.ID] = m.Incarnation
		}
	}
	for _, c := range contacts {
		if incarnation, ok := dead[c.ID]; !ok || incarnation < c.Incarnation {
			continue
		}
		if err := n.platform.Remove(ctx, c.ID); err != nil {
			n.logger.Info("contact_not_removed", zap.String("of", c.ID), zap.Error(err))
			return // retried after the next read of the directory
		}
		n.logger.Info("contact_removed", zap.String("of", c.ID), zap.String("cause", "the node is dead"))
	}
}

// isReady reports whether clients may send requests to this node.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.follower.Table() != nil
}

// metricsHandler serves the metrics.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	return mux
}
