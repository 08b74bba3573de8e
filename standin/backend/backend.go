// Package backend is a stand-in for a backend server: it has slots, a service time, a cold start, sheds load beyond its
// slots, offers a health endpoint that can mislead, announces itself to the node of its VM and drains on request. It
// logs each execution by request id, so that tests can tell how often a request ran.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Announcement is the body of POST /v1/backend at the API address of the node.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"` // "ip:port"
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // "warming", "ready", "draining" or "gone"
}

// Options configures a Server.
type Options struct {
	Listen           string        // "ip:port"; port 0 selects a free one
	Service          string        // name of the service
	NodeAPI          string        // base URL of the node's operator interface; empty: no announcements
	Token            string        // for announcements; empty: none
	CAFile           string        // PEM certificates that NodeAPI is verified against; empty: those of the system
	NodeCalls        string        // base URL of the node's outbound side, for nested calls
	Slots            int           // requests served at the same time; default 10
	Connections      int           // accepted connections; default 120
	ServiceTime      time.Duration // of each request; default 20 ms
	Jitter           float64       // part of the service time that varies, 0 to 1
	ColdStart        time.Duration // state "warming" after the start
	ColdFactor       float64       // service time while warming, relative to the normal one; default 5
	MisleadingHealth bool          // the health endpoint reports an idle, ready server whatever the truth
	Nested           string        // path that each request calls through NodeCalls; empty: none
	Seed             uint64        // of the random service times and faults
	Faults           Faults
	Logger           *zap.Logger

	// DrainHold is the least time between the announcement "draining" and the end of the process, so that tests can see
	// whether new work still arrives.
	DrainHold time.Duration

	// ExecutionLog gets one line with the request id and the time in Unix microseconds at the begin of each execution, so
	// that the count survives the death of the process. Nil: none.
	ExecutionLog io.Writer
}

const (
	defaultSlots       = 10
	defaultConnections = 120
	defaultServiceTime = 20 * time.Millisecond
	defaultColdFactor  = 5
	announceInterval   = time.Second
	announceTimeout    = 900 * time.Millisecond
	headerTimeout      = 5 * time.Second
	maxBodyBytes       = 64 << 20
)

func (o *Options) setDefaults() {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = defaultServiceTime
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = defaultColdFactor
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

// Server is a running stand-in.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	client   *http.Client // for announcements and nested calls
	random   *lockedRandom
	slots    chan struct{}
	started  time.Time

	mu         sync.Mutex
	draining   bool
	faults     Faults
	executions map[string]int
	peak       int // most requests served at the same time
	busy       int
	shed       int
	cancelled  int
}

// New opens the listener of a server. Run serves it.
func New(o Options) (*Server, error) {
	o.setDefaults()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options:    o,
		listener:   newLimitedListener(listener, o.Connections),
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots, DialTLSContext: dialTrusting(o.CAFile)}},
		random:     newLockedRandom(o.Seed),
		slots:      make(chan struct{}, o.Slots),
		started:    time.Now(),
		faults:     o.Faults,
		executions: make(map[string]int),
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Address returns the "ip:port" at which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves and announces until ctx ends, then drains: it announces "draining", waits until its node has no call in
// flight here, announces "gone" and closes. The drain is bounded by grace.
func (s *Server) Run(ctx context.Context, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	if !s.announceUntil(ctx, served) {
		s.client.CloseIdleConnections()
		return nil
	}
	s.setDraining()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	s.announce(drain, "draining")
	_ = clock.Sleep(drain, s.options.DrainHold)
	s.waitIdle(drain)
	s.announce(drain, "gone")
	err := s.http.Shutdown(drain)
	s.client.CloseIdleConnections()
	return errors.Join(err, ignoreClosed(<-served))
}

// Kill closes the listener and all connections at once and ends Run without a drain, as the death of the process does.
func (s *Server) Kill() {
	s.http.Close()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// announceUntil announces every second until ctx ends. It reports false if the server was killed before.
func (s *Server) announceUntil(ctx context.Context, served chan error) bool {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announce(ctx, s.state())
		select {
		case <-ctx.Done():
			return true
		case <-served:
			return false
		case <-ticker.C:
		}
	}
}

func (s *Server) state() string {
	if s.isDraining() {
		return "draining"
	}
	if s.cold() {
		return "warming"
	}
	return "ready"
}

func (s *Server) cold() bool {
	return time.Since(s.started) < s.options.ColdStart
}

func (s *Server) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// idleChecks is how many times in a row the server must be idle before it closes: a call that its node granted before it
// heard of the drain may still be on its way.
const (
	idleChecks        = 5
	idleCheckInterval = 50 * time.Millisecond
)

func (s *Server) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for idle := 0; idle < idleChecks; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idle++
		if s.Stats().Busy > 0 {
			idle = 0
		}
	}
}
