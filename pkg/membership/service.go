package membership

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// Options configure a Service. Self, Client and Server are required.
type Options struct {
	Self     Member                                      // id, addresses, region, data centre and incarnation
	Seeds    []string                                    // control addresses
	Contacts func(ctx context.Context) ([]string, error) // control addresses from the presence stream; may be nil
	// ContactsInterval is the interval at which the contacts are read while other members are known. Nodes that start at the same
	// time may form several groups, which only the contacts merge. 0: never.
	ContactsInterval time.Duration
	// Directory registers this member in a shared directory and returns all registered members with their addresses and
	// incarnations. They are assumed alive until probes fail, so that nodes that start at the same time know each other
	// immediately; a join then adds the state that the directory lacks. Called instead of Contacts; may be nil.
	Directory   func(ctx context.Context) ([]Member, error)
	Client      *rpc.Client
	Server      *rpc.Server                            // New registers its methods here
	Heartbeat   func() Heartbeat                       // state reported to peers; must not block
	OnHeartbeat func(from Member, heartbeat Heartbeat) // called for each probe and ack
	// Exclusive means that no other process can run under this id at the same time, for instance because it would need the same
	// sockets. A higher incarnation of this id then belongs to an earlier process, and this one raises its own incarnation above it
	// instead of being superseded.
	Exclusive    bool
	OnSuperseded func(incarnation uint64)  // called once when another process uses this id with a higher incarnation
	OnChange     func()                    // called after changes to the table; must not block
	Metrics      *metrics.Registry         // nil: not counted
	Logger       *zap.Logger               // nil: no log
	Explain      func(event explain.Event) // nil: dropped
	Timing       Timing                    // zero value: defaults
}

// Service runs the membership protocol of one node. It is safe for concurrent use.
type Service struct {
	options Options
	timing  Timing

	mu        sync.Mutex // guards system and published
	system    *system
	published uint64 // table.changes at the latest snapshot

	snapshot atomic.Pointer[snapshot]
	inFlight sync.WaitGroup

	contactsReadAt time.Time // used by the joiner only
	joined         bool      // the joiner has received a table; used by the joiner only
}

// snapshot is an immutable copy of the table for readers.
type snapshot struct {
	self      Member
	members   []Member
	version   uint64 // table.changes
	endpoints map[string][]Member
}

// New returns a service and registers its RPC methods with o.Server.
func New(o Options) *Service {
	o = o.withDefaults()
	s := &Service{options: o, timing: o.Timing.withDefaults()}
	random := rand.New(rand.NewPCG(hashID(o.Self.ID), o.Self.Incarnation))
	s.system = newSystem(s.timing, o.Self, o.Heartbeat, random, systemHooks{
		explain: s.recordDecision, count: o.Metrics.Inc, superseded: s.superseded,
	})
	s.system.exclusive = o.Exclusive
	s.publish()
	o.Server.Handle(methodProbe, s.serveProbe)
	o.Server.Handle(methodIndirect, s.serveIndirect)
	o.Server.Handle(methodJoin, s.serveJoin)
	o.Server.Handle(methodSync, s.serveSync)
	return s
}

func (o Options) withDefaults() Options {
	if o.Heartbeat == nil {
		o.Heartbeat = func() Heartbeat { return Heartbeat{} }
	}
	if o.OnHeartbeat == nil {
		o.OnHeartbeat = func(Member, Heartbeat) {}
	}
	if o.OnSuperseded == nil {
		o.OnSuperseded = func(uint64) {}
	}
	if o.OnChange == nil {
		o.OnChange = func() {}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Explain == nil {
		o.Explain = func(explain.Event) {}
	}
	return o
}

// Run runs the protocol until ctx ends. It returns after all in-flight messages have completed.
func (s *Service) Run(ctx context.Context) {
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		s.runJoiner(ctx)
	}()
	ticker := time.NewTicker(s.timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-joined
			s.inFlight.Wait()
			return
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	s.mu.Lock()
	messages := s.system.tick(time.Now())
	s.publish()
	s.mu.Unlock()
	for _, m := range messages {
		s.inFlight.Go(func() { s.send(ctx, m) })
	}
}

// send sends one message and handles the response. After a failure the probe times out, and the deltas are queued again.
func (s *Service) send(ctx context.Context, m message) {
	if m.method == methodSync {
		s.runSync(ctx, m)
		return
	}
	var reply packet
	if err := s.call(ctx, m, m.packet, &reply); err != nil {
		s.options.Metrics.Inc("membership_send_failed", "method", m.method)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.system.restoreTransmissions(m.packet.Deltas)
		return
	}
	s.mu.Lock()
	now := time.Now()
	s.system.handleAck(now, m, reply)
	next, due := s.system.startSync(now, m.to)
	s.mu.Unlock()
	s.reportHeartbeat(reply)
	if due {
		s.runSync(ctx, next)
	}
}

func (s *Service) call(ctx context.Context, m message, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	return s.options.Client.Call(ctx, m.address, m.method, params, result)
}

func (s *Service) runSync(ctx context.Context, first message) {
	var response syncResponse
	if err := s.call(ctx, first, first.sync, &response); err != nil {
		s.options.Metrics.Inc("membership_send_failed", "method", methodSync)
		return
	}
	s.mu.Lock()
	second, needed := s.system.continueSync(time.Now(), first.to, response)
	s.mu.Unlock()
	if !needed {
		return
	}
	var entries syncResponse
	if err := s.call(ctx, second, second.sync, &entries); err != nil {
		s.options.Metrics.Inc("membership_send_failed", "method", methodSync)
		return
	}
	s.mu.Lock()
	s.system.apply(time.Now(), entries.Updates)
	s.mu.Unlock()
}

func (s *Service) reportHeartbeat(p packet) {
	s.mu.Lock()
	var from Member
	known := s.system.table.entries[p.From]
	if known != nil {
		from = known.copyMember()
	}
	s.mu.Unlock()
	if known != nil {
		s.options.OnHeartbeat(from, p.heartbeat())
	}
}

// recordDecision passes a decision of the system to Options.Explain and logs it.
func (s *Service) recordDecision(e explain.Event) {
	s.options.Explain(e)
	s.options.Logger.Info("member_"+string(e.Kind), zap.String("member", e.Subject), zap.String("cause", e.Cause))
}

func (s *Service) superseded(incarnation uint64) {
	s.options.Logger.Error("membership_superseded", zap.String("id", s.options.Self.ID),
		zap.Uint64("incarnation", s.options.Self.Incarnation), zap.Uint64("successor", incarnation))
	// The system calls this while the service is locked; the callback may call the service.
	go s.options.OnSuperseded(incarnation)
}

// publish replaces the snapshot if the table changed. The caller holds mu.
func (s *Service) publish() {
	table := s.system.table
	if s.snapshot.Load() != nil && table.changes == s.published {
		return
	}
	s.published = table.changes
	v := &snapshot{version: table.changes, endpoints: make(map[string][]Member)}
	for _, id := range slices.Sorted(maps.Keys(table.entries)) {
		e := table.entries[id]
		if e.ControlAddress == "" {
			continue
		}
		m := e.copyMember()
		v.members = append(v.members, m)
		if id == s.system.self {
			v.self = m
		}
		if m.usable() {
			v.endpoints[m.Endpoint.Service] = append(v.endpoints[m.Endpoint.Service], m)
		}
	}
	s.snapshot.Store(v)
	s.options.Metrics.Gauge("membership_ready").Update(v.ready())
	s.options.OnChange()
}

// ready returns the number of alive members whose endpoint is ready.
func (v *snapshot) ready() int64 {
	ready := int64(0)
	for i := range v.members {
		if m := &v.members[i]; m.Status == Alive && m.Endpoint != nil && m.Endpoint.State == EndpointReady {
			ready++
		}
	}
	return ready
}

// usable reports whether calls may be sent to the member's endpoint.
func (m Member) usable() bool {
	if m.Status.ended() || m.Endpoint == nil {
		return false
	}
	return m.Endpoint.State == EndpointReady || m.Endpoint.State == EndpointWarming
}

// Self returns this node's own entry.
func (s *Service) Self() Member {
	return s.snapshot.Load().self
}

// Members returns a copy of all known members, sorted by id and including self. It contains dead and left members for
// Timing.Retention.
func (s *Service) Members() []Member {
	return append([]Member(nil), s.snapshot.Load().members...)
}

// SharedMembers is like Members without the copy. Callers must not modify the slice.
func (s *Service) SharedMembers() []Member { return s.snapshot.Load().members }

// Version changes with each change of Members.
func (s *Service) Version() uint64 {
	return s.snapshot.Load().version
}

// Endpoints returns the alive and suspect members whose endpoint of the service is ready or warming, sorted by id. The
// slice is shared: callers must not modify it.
func (s *Service) Endpoints(service string) []Member {
	return s.snapshot.Load().endpoints[service]
}

// SetEndpoint announces a change of this node's backend server. The service sets the sequence. An unchanged endpoint is not sent
// again.
func (s *Service) SetEndpoint(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.system.setEndpoint(time.Now(), e) {
		s.publish()
	}
}

// Leave announces that this node leaves the fleet. It returns when the directly notified members have responded, or when ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	messages := s.system.leave(time.Now())
	s.publish()
	s.mu.Unlock()
	var inFlight sync.WaitGroup
	for _, m := range messages {
		inFlight.Go(func() {
			var reply packet
			if s.call(ctx, m, m.packet, &reply) != nil {
				s.options.Metrics.Inc("membership_send_failed", "method", m.method)
			}
		})
	}
	inFlight.Wait()
}

func (s *Service) serveProbe(_ context.Context, params json.RawMessage) (any, error) {
	var p packet
	if err := decode(params, &p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	reply, ok := s.system.handleProbe(time.Now(), p)
	s.mu.Unlock()
	if !ok {
		return nil, apierror.New(apierror.NotFound, "member "+p.To+" is not served here", "")
	}
	s.reportHeartbeat(p)
	return reply, nil
}

func (s *Service) serveIndirect(ctx context.Context, params json.RawMessage) (any, error) {
	var p packet
	if err := decode(params, &p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	probe, ok := s.system.handleIndirect(time.Now(), p)
	s.mu.Unlock()
	if !ok {
		return nil, apierror.New(apierror.NotFound, "member "+p.To+" is not known here", "")
	}
	var ack packet
	err := s.call(ctx, probe, probe.packet, &ack)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.system.handleAck(time.Now(), probe, ack)
	}
	return s.system.indirectReply(time.Now(), err == nil), nil
}

func (s *Service) serveJoin(_ context.Context, params json.RawMessage) (any, error) {
	var request joinRequest
	if err := decode(params, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.system.handleJoin(time.Now(), request), nil
}

func (s *Service) serveSync(_ context.Context, params json.RawMessage) (any, error) {
	var request syncRequest
	if err := decode(params, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.system.handleSync(time.Now(), request), nil
}

func decode(params json.RawMessage, v any) error {
	if err := json.Unmarshal(params, v); err != nil {
		return apierror.New(apierror.Invalid, "params are not valid: "+err.Error(), "run the same version on all nodes")
	}
	return nil
}
