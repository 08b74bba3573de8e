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
	// ContactsInterval has the contacts read also while other members are known. Nodes that started together may have found each
	// other in several groups, which nothing else would join. 0: never.
	ContactsInterval time.Duration
	// Directory returns all members that entered a common directory, this one first of all, with their addresses and incarnations. They
	// are taken for alive until they turn out not to be, so that nodes which start together know each other at once, and the
	// table of any of them adds what the directory does not say. Read when Contacts would be; may be nil.
	Directory   func(ctx context.Context) ([]Member, error)
	Client      *rpc.Client
	Server      *rpc.Server                       // New registers its methods here
	Heartbeat   func() Heartbeat                  // state to report; must not block
	OnHeartbeat func(from Member, beat Heartbeat) // called for each probe and ack
	// Exclusive says that no other process can run under this id at the same time, because it holds the same sockets. A higher
	// incarnation of this id then belongs to an earlier process, and this one takes the next instead of giving way.
	Exclusive    bool
	OnSuperseded func(incarnation uint64)  // called once when this id appears with a higher incarnation
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
	published uint64 // table.changes that the view shows

	view atomic.Pointer[view]
	sent sync.WaitGroup

	contactsRead time.Time // by the joiner
	joined       bool      // the joiner has got a table
}

// view is an immutable copy of the table for readers.
type view struct {
	self      Member
	members   []Member
	version   uint64 // table.changes
	endpoints map[string][]Member
}

// New returns a service and registers its methods at o.Server.
func New(o Options) *Service {
	o = o.withDefaults()
	s := &Service{options: o, timing: o.Timing.withDefaults()}
	random := rand.New(rand.NewPCG(hashID(o.Self.ID), o.Self.Incarnation))
	s.system = newSystem(s.timing, o.Self, o.Heartbeat, random, notices{
		explain: s.decided, count: o.Metrics.Inc, superseded: s.superseded,
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

// Run joins and ticks until ctx ends. It returns after all messages under way have ended.
func (s *Service) Run(ctx context.Context) {
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		s.keepJoined(ctx)
	}()
	ticker := time.NewTicker(s.timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-joined
			s.sent.Wait()
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
		s.sent.Go(func() { s.send(ctx, m) })
	}
}

// send delivers one message and takes in its answer. After a failure the probe times out, and what it carried is sent to others.
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
		s.system.undelivered(m.packet.Deltas)
		return
	}
	s.mu.Lock()
	now := time.Now()
	s.system.handleAck(now, m, reply)
	next, due := s.system.startSync(now, m.to)
	s.mu.Unlock()
	s.reportBeat(reply)
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

func (s *Service) reportBeat(p packet) {
	s.mu.Lock()
	var from Member
	known := s.system.table.entries[p.From]
	if known != nil {
		from = known.copyMember()
	}
	s.mu.Unlock()
	if known != nil {
		s.options.OnHeartbeat(from, p.beat())
	}
}

// decided records and logs a decision of the system.
func (s *Service) decided(e explain.Event) {
	s.options.Explain(e)
	s.options.Logger.Info("member_"+string(e.Kind), zap.String("member", e.Subject), zap.String("cause", e.Cause))
}

func (s *Service) superseded(incarnation uint64) {
	s.options.Logger.Error("membership_superseded", zap.String("id", s.options.Self.ID),
		zap.Uint64("incarnation", s.options.Self.Incarnation), zap.Uint64("successor", incarnation))
	// The system calls this while the service is locked; the callback may call the service.
	go s.options.OnSuperseded(incarnation)
}

// publish renews the view if the table changed. The caller holds mu.
func (s *Service) publish() {
	table := s.system.table
	if s.view.Load() != nil && table.changes == s.published {
		return
	}
	s.published = table.changes
	v := &view{version: table.changes, endpoints: make(map[string][]Member)}
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
	s.view.Store(v)
	s.options.Metrics.Gauge("membership_ready").Update(v.ready())
	s.options.OnChange()
}

// ready returns the number of alive members whose endpoint is ready.
func (v *view) ready() int64 {
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
	return s.view.Load().self
}

// Members returns a copy of all known members, sorted by id and including self. Dead and left members are kept in it
// for Timing.Retention.
func (s *Service) Members() []Member {
	return append([]Member(nil), s.view.Load().members...)
}

// SharedMembers returns what Members does without a copy: callers must not change it.
func (s *Service) SharedMembers() []Member { return s.view.Load().members }

// Version changes with each change of Members.
func (s *Service) Version() uint64 {
	return s.view.Load().version
}

// Endpoints returns the alive and suspect members whose endpoint of the service is ready or warming, sorted by id. The
// slice is shared: callers must not change it.
func (s *Service) Endpoints(service string) []Member {
	return s.view.Load().endpoints[service]
}

// SetEndpoint announces a change of this node's backend server. Sequence is set by the service; an announcement without
// a change sends nothing.
func (s *Service) SetEndpoint(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.system.setEndpoint(time.Now(), e) {
		s.publish()
	}
}

// Leave announces that this node takes no more part. It returns when the members told at once have answered, or when
// ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	messages := s.system.leave(time.Now())
	s.publish()
	s.mu.Unlock()
	var told sync.WaitGroup
	for _, m := range messages {
		told.Go(func() {
			var reply packet
			if s.call(ctx, m, m.packet, &reply) != nil {
				s.options.Metrics.Inc("membership_send_failed", "method", m.method)
			}
		})
	}
	told.Wait()
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
	s.reportBeat(p)
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
