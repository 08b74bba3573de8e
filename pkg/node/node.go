// Package node assembles a node from its components: configuration, membership, the call plane and the operators' interface.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/distribution"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/pkg/outbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	"github.com/laburnumcleat/laburnumcleat/pkg/security"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

const (
	tickInterval     = 50 * time.Millisecond // interval of limit adaptation, ejection and expiry
	maxExplainEvents = 2000                  // recorded for laburnumctl explain
	headerTimeout    = 5 * time.Second       // for reading the header of an HTTP request
	maxHeaderBytes   = 64 << 10
)

// Node is one running node.
type Node struct {
	settings *settings.Settings
	logger   *zap.Logger
	metrics  *metrics.Registry
	recorder *explain.Recorder
	keys     *security.Store

	controlBytes  *rpc.Counters
	platformBytes *rpc.Counters
	server        *rpc.Server
	client        *rpc.Client

	signer       *callctx.Signer
	presence     *presence.Presence
	membership   *membership.Service
	distribution *distribution.Distributor
	inbound      *inbound.Handler
	outbound     *outbound.Handler
	backend      *backendTracker
	drainer      *drainer
	versions     *versionCollector
	tokens       []operator.Token
	superseded   chan struct{} // closed when another process uses this node's id with a higher incarnation

	listeners listeners
}

// New builds a node and opens its listeners. Start it with Run.
func New(s *settings.Settings, logger *zap.Logger) (*Node, error) {
	keys, err := security.Open(s.Keys)
	if err != nil {
		return nil, err
	}
	tokens, err := readTokens(s.Operators.TokensFile)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:      s,
		tokens:        tokens,
		logger:        logger.With(zap.String("node", s.ID)),
		metrics:       metrics.New(),
		recorder:      explain.NewRecorder(maxExplainEvents),
		keys:          keys,
		superseded:    make(chan struct{}),
		controlBytes:  &rpc.Counters{},
		platformBytes: &rpc.Counters{},
	}
	n.warnAboutInsecureSettings()
	n.build()
	if err := n.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) warnAboutInsecureSettings() {
	if n.settings.Keys.AllowPlain {
		n.logger.Warn("tls_off", zap.String("remedy", "set keys.allow_plain to false and configure the TLS files"))
	}
	if n.settings.Operators.AllowAnonymous {
		n.logger.Warn("operator_authentication_off", zap.String("remedy", "set operators.allow_anonymous to false and configure a tokens file"))
	}
}

// build creates the components in the order of their dependencies: presence, membership, distribution, calls.
func (n *Node) build() {
	self := n.selfMember()
	log := logstore.NewHTTPLog(n.settings.Platform.URLs, n.platformTransport())
	n.server = rpc.NewServer(n.controlBytes)
	n.client = rpc.NewClient(n.controlBytes, n.keys.Client())
	n.client.OverrideAddresses(n.settings.DialOverrides)
	n.signer = callctx.NewSigner(n.keys.ContextKeys())
	n.presence = presence.New(presence.Options{
		Log: log, Self: self, Retention: n.settings.Platform.Retention(), Metrics: n.metrics, Logger: n.logger,
	})
	n.membership = membership.New(membership.Options{
		Self: self, Seeds: n.settings.Seeds, Contacts: n.presence.Contacts,
		Client: n.client, Server: n.server,
		Heartbeat:    func() membership.Heartbeat { return n.distribution.Heartbeat() },
		OnHeartbeat:  func(from membership.Member, beat membership.Heartbeat) { n.distribution.OnHeartbeat(from, beat) },
		OnSuperseded: func(uint64) { close(n.superseded) },
		Metrics:      n.metrics, Logger: n.logger, Explain: n.recorder.Add,
	})
	n.distribution = distribution.New(distribution.Options{
		Self: self, Log: log, Members: n.membership.Members, MembersVersion: n.membership.Version, Client: n.client, Server: n.server,
		Metrics: n.metrics, Logger: n.logger, Explain: n.recorder.Add,
		Timing: distribution.Timing{Retention: n.settings.Platform.Retention()},
	})
	n.inbound = inbound.New(inbound.Options{
		Self: self, Snapshot: n.distribution.Snapshot, Window: n.presence.Window, Retention: n.settings.Platform.Retention(),
		Signer: n.signer, Metrics: n.metrics, Logger: n.logger, Explain: n.recorder.Add,
	})
	n.inbound.RegisterRPC(n.server)
	n.outbound = outbound.New(outbound.Options{
		Self: self, Snapshot: n.distribution.Snapshot, Endpoints: n.membership.Endpoints, Roster: n.presence.Roster,
		Local: n.inbound, Client: n.client, TLS: n.keys.Client(), DialOverrides: n.settings.DialOverrides, Signer: n.signer,
		Metrics: n.metrics, Logger: n.logger, Explain: n.recorder.Add,
	})
	n.backend = newBackendTracker(n.inbound, n.membership, n.presence, n.logger)
	n.drainer = &drainer{node: n}
	n.versions = newVersionCollector(n.client, self.ID)
	n.registerStatusRPC()
}

func (n *Node) selfMember() membership.Member {
	return membership.Member{
		ID: n.settings.ID, Region: n.settings.Region, DataCentre: n.settings.DataCentre,
		ControlAddress: n.settings.Listen.Control, CallAddress: n.settings.Listen.Nodes, APIAddress: n.settings.Listen.API,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// platformTransport returns the transport for the log service. It counts the bytes sent and received in platformBytes.
func (n *Node) platformTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return rpc.CountBytes(conn, n.platformBytes), nil
		},
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
}

// Run serves until ctx ends, then shuts down gracefully: new calls are refused as not run, calls in flight finish, and the node
// leaves the fleet. It returns a conflict error if another process uses the node's id with a higher incarnation.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	n.serve(group)
	for _, run := range []func(context.Context){n.presence.Run, n.membership.Run, n.distribution.Run, n.tick} {
		group.Go(func() error { run(groupCtx); return nil })
	}
	n.logger.Info("node_started", zap.String("calls", n.settings.Listen.Calls), zap.String("control", n.settings.Listen.Control))
	var failure error
	select {
	case <-ctx.Done():
		n.shutdown()
	case <-n.superseded:
		n.shutdown()
		failure = apierror.New(apierror.Conflict, "another process with a higher incarnation uses the node id "+n.settings.ID, "give each VM slot its own id")
	case <-groupCtx.Done():
	}
	stop()
	n.server.Close() // before its socket is closed, so that it does not report the closed socket as a failure
	if err := n.listeners.close(); err != nil {
		n.logger.Warn("requests_cut", zap.Error(err))
	}
	n.client.Close()
	err := group.Wait()
	n.logger.Info("node_stopped")
	if failure != nil {
		return failure
	}
	return err
}

// serve starts the servers on all listeners.
func (n *Node) serve(group *errgroup.Group) {
	l := &n.listeners
	l.serveHTTP(group, l.calls, n.outbound, nil)
	l.serveHTTP(group, l.nodes, n.inbound, n.keys.NodeServer())
	l.serveHTTP(group, l.api, n.apiHandler(n.tokens), n.keys.APIServer())
	group.Go(func() error { return n.server.Serve(l.control, n.keys.NodeServer()) })
}

func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.backend.tick(now)
			n.inbound.Tick(now)
			n.outbound.Tick(now)
			n.updateByteGauges()
		}
	}
}

// updateByteGauges copies the byte and request counters of the control plane and the log service into gauges.
func (n *Node) updateByteGauges() {
	n.metrics.Gauge("control_bytes_sent").Update(n.controlBytes.Sent.Load())
	n.metrics.Gauge("control_bytes_received").Update(n.controlBytes.Received.Load())
	n.metrics.Gauge("control_requests_sent").Update(n.controlBytes.Requests.Load())
	n.metrics.Gauge("platform_bytes_sent").Update(n.platformBytes.Sent.Load())
	n.metrics.Gauge("platform_bytes_received").Update(n.platformBytes.Received.Load())
}

// ReloadKeys reloads the key files. On an error the previous keys remain in use.
func (n *Node) ReloadKeys() error {
	if err := n.keys.Reload(); err != nil {
		n.logger.Error("keys_not_reloaded", zap.Error(err))
		return err
	}
	n.signer.SetKeys(n.keys.ContextKeys())
	n.logger.Info("keys_reloaded")
	return nil
}

// shutdown performs a graceful shutdown. The node first announces that it leaves, then refuses new calls and waits for calls in
// flight. It continues to answer "not run" for DrainLinger after the last call, so that other nodes close their idle connections
// to it first.
func (n *Node) shutdown() {
	n.logger.Info("node_stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout())
	defer cancel()
	n.backend.startDraining()
	n.membership.Leave(ctx)
	group, drainCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.outbound.Drain(drainCtx) })
	group.Go(func() error { return n.inbound.Drain(drainCtx) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		n.logger.Warn("drain_incomplete", zap.Error(err), zap.String("remedy", "raise drain_timeout_s above the longest route timeout"))
	}
	n.logger.Info("node_drained")
	// Starts after the last call: its caller may keep the connection for ConnectionIdleTimeout and send another call on it.
	time.Sleep(callctx.DrainLinger)
	if err := n.presence.EndIncarnation(ctx, presence.KindLeft, n.settings.ID, n.membership.Self().Incarnation); err != nil {
		n.logger.Warn("presence_not_ended", zap.Error(err))
	}
}
