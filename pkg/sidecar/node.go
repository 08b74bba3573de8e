// Package sidecar is the node that runs beside a backend server on a platform: it takes the requests of the clients and of the
// backend server on its machine, routes them by the operators' configuration, and hands the requests of others to its backend server.
//
// The path of a request: route, endpoint, inbound node, backend server, answer. Membership, admission, placement and retries
// are packages of their own; what the platform calls its things is known only to its adapter.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/pipeline"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	// lapseIntervals is how many announcements may be missing before a backend server counts as gone. They may be seconds late.
	lapseIntervals = 3
	lapseSlack     = time.Second
	tickInterval   = 500 * time.Millisecond
	maxHeaderBytes = 1 << 20     // the configuration sets the limit for callers; this bounds the memory
	defaultIdle    = time.Minute // until a configuration sets limits
	defaultHeader  = 10 * time.Second
	nodeIdle       = 10 * time.Second // of connections between nodes; longer than their clients keep them
)

// membershipTiming differs from the defaults in what the distances within a region allow: round trips take a few milliseconds.
var membershipTiming = membership.Timing{
	JoinTimeout: 600 * time.Millisecond, JoinBackoffMaximum: 2 * time.Second,
	JoinsPerSecond: 200,
	ReturnWithin:   30 * time.Second, ReturnInterval: time.Second,
}

// contactsInterval is the time between two looks into the platform's directory while other nodes are known.
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
	inbound    *inbound
	outbound   *outbound
	service    atomic.Pointer[string] // of the backend server on this machine

	mu      sync.Mutex // guards tracker
	tracker announce.Tracker

	stopping atomic.Bool
	entered  atomic.Bool // in the platform's directory
	view     atomic.Pointer[endpointView]

	control net.Listener
	callers *callerServer
	nodes   *graceful.Server
	others  []*graceful.Server // announcements, readiness, metrics
}

// New builds a node and opens its listeners. Start it with Run.
func New(s *Settings, p Platform, logger *zap.Logger) (*Node, error) {
	n := &Node{settings: s, platform: p, logger: logger.With(zap.String("node", s.ID)), metrics: metrics.New()}
	n.service.Store(&s.Backend.Service)
	bytes := &rpc.Bytes{}
	n.rpcServer = rpc.NewServer(bytes)
	n.rpcClient = rpc.NewClient(bytes, nil)
	n.follower = newFollower(p, n.rpcClient, n.rpcServer, n.metrics, n.logger)
	n.inbound = newInbound(p.Headers(), n.metrics, n.logger, n.heardBackend)
	n.membership = membership.New(membership.Options{
		Self: n.self(), Contacts: n.contacts, ContactsInterval: contactsInterval, ContactsInOrder: true, Exclusive: true, Timing: membershipTiming, Client: n.rpcClient, Server: n.rpcServer,
		Beat: func() membership.Beat { return membership.Beat{Version: int64(n.follower.version())} },
		OnBeat: func(from membership.Member, beat membership.Beat) {
			n.follower.heard(context.Background(), uint64(beat.Version), from.ControlAddress, peerDelay)
		},
		Metrics: n.metrics, Logger: n.logger,
	})
	n.relayChanges()
	n.outbound = n.newOutbound()
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, nil
}

// relayChanges has a few nodes of each data centre read the store and pass changes on to the others.
func (n *Node) relayChanges() {
	r := &relay{
		self: n.settings.ID, address: n.settings.Listen.Control, dataCentre: n.settings.DataCentre, members: n.membership.Members, client: n.rpcClient,
		follower: n.follower, metrics: n.metrics, logger: n.logger,
	}
	n.rpcServer.Handle(changeMethod, r.serveChange)
	n.follower.isReader = r.isReader
	n.follower.changed = r.spread
}

func (n *Node) self() membership.Member {
	return membership.Member{
		ID: n.settings.ID, Region: n.settings.Region, DataCentre: n.settings.DataCentre,
		ControlAddress: n.settings.Listen.Control, CallAddress: n.settings.Listen.Nodes,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

func (n *Node) newOutbound() *outbound {
	terms := retry.Terms{Ratio: n.settings.Bounds.RetryRatio, Slack: n.settings.Bounds.RetrySlack, Window: time.Duration(n.settings.Bounds.RetryWindow)}
	return &outbound{
		self: n.settings.ID, service: func() string { return *n.service.Load() }, headers: n.platform.Headers(),
		table: n.follower.Table, endpoints: n.endpoints, chooser: placement.New(n.settings.DataCentre),
		budget:  retry.New(terms, func() int { return len(n.membership.Members()) }),
		local:   n.inbound,
		client:  hop.New(hop.Options{EchoHeader: n.platform.Headers().RequestID, DialTimeout: peerDialTimeout, UserTimeout: peerUserTimeout}),
		metrics: n.metrics, logger: n.logger, logLimit: rate.NewLimiter(logPerSecond, logBurst),
	}
}

// endpointView holds the endpoints by service, as of one version of the membership table.
type endpointView struct {
	version   uint64
	byService map[string][]placement.Endpoint
}

// endpoints returns the endpoints of a service. Callers must not change the slice.
func (n *Node) endpoints(service string) []placement.Endpoint {
	version := n.membership.Version()
	view := n.view.Load()
	if view == nil || view.version != version {
		view = &endpointView{version: version, byService: make(map[string][]placement.Endpoint)}
		for _, m := range n.membership.Members() {
			if e, ok := endpointOf(&m); ok {
				view.byService[m.Endpoint.Service] = append(view.byService[m.Endpoint.Service], e)
			}
		}
		n.view.Store(view)
	}
	return view.byService[service]
}

func endpointOf(m *membership.Member) (placement.Endpoint, bool) {
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

// contacts enters this node in the platform's directory and then reads the addresses of other nodes. In that order, of any two
// nodes at least one finds the other.
func (n *Node) contacts(ctx context.Context) ([]string, error) {
	if !n.entered.Load() {
		if err := n.platform.Enter(ctx, Contact{ID: n.settings.ID, Control: n.settings.Listen.Control}); err != nil {
			n.metrics.Inc("directory_failed")
			return nil, err
		}
		n.entered.Store(true)
	}
	contacts, err := n.platform.Contacts(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, c := range contacts {
		if c.ID != n.settings.ID {
			addresses = append(addresses, c.Control)
		}
	}
	return addresses, nil
}

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
		}
	}
}

// isReady reports whether clients may send requests to this node.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.follower.Table() != nil
}

// ServeHTTP shows the metrics.
func (n *Node) serveMetrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	return mux
}

// callerLimits are the limits of the configuration in force.
func (n *Node) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{Idle: defaultIdle, Header: defaultHeader, HeaderBytes: maxHeaderBytes}
	t := n.follower.Table()
	if t == nil {
		return limits
	}
	if ms := t.Document.Limits.IdleTimeoutMS; ms > 0 {
		limits.Idle = time.Duration(ms) * time.Millisecond
	}
	if ms := t.Document.Limits.HeaderTimeoutMS; ms > 0 {
		limits.Header = time.Duration(ms) * time.Millisecond
	}
	if bytes := t.Document.Limits.HeaderBytes; bytes > 0 {
		limits.HeaderBytes = bytes
	}
	return limits
}

// listen opens the listeners.
func (n *Node) listen() error {
	l := n.settings.Listen
	var open []net.Listener
	fail := func(err error) error {
		for _, listener := range open {
			listener.Close()
		}
		return err
	}
	listen := func(address string) (*net.TCPListener, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "listening on %s; free the port or change the setting", address)
		}
		open = append(open, listener)
		return listener.(*net.TCPListener), nil
	}
	control, err := listen(l.Control)
	if err != nil {
		return fail(err)
	}
	n.control = control
	callers, err := listen(l.Callers)
	if err != nil {
		return fail(err)
	}
	n.callers = &callerServer{graceful.New(callers), pipeline.New(n.outbound, n.callerLimits, n.panicked)}
	for _, w := range []struct {
		address string
		handler http.Handler
		target  **graceful.Server
	}{
		{l.Nodes, &nodeHandler{id: n.settings.ID, inbound: n.inbound}, &n.nodes},
		{l.Announcements, n.platform.AnnouncementHandler(n), nil},
		{l.Readiness, n.platform.ReadinessHandler(n.isReady), nil},
		{l.Metrics, n.serveMetrics(), nil},
	} {
		listener, err := listen(w.address)
		if err != nil {
			return fail(err)
		}
		server := &http.Server{Handler: w.handler, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: nodeIdle, ReadHeaderTimeout: nodeIdle}
		s := graceful.NewServer(server, graceful.New(listener))
		if w.target != nil {
			*w.target = s
		} else {
			n.others = append(n.others, s)
		}
	}
	return nil
}

// callerServer serves the clients and the backend server on this machine.
type callerServer struct {
	listener *graceful.Listener
	server   *pipeline.Server
}

// drainLimit bounds the wait for the accept loop to take what waits in the backlog.
const drainLimit = time.Second

// Stop answers the requests that have been received, and ends the connections.
func (c *callerServer) Stop(ctx context.Context) error {
	c.server.CloseAfterAnswers()
	c.listener.Drain(drainLimit)
	return c.server.Wait(ctx)
}

func (n *Node) panicked(value any) {
	n.metrics.Inc("panics")
	n.logger.Error("panic", zap.Any("value", value), zap.String("remedy", "report it; the connection was closed"))
}
