// Package backend implements a stand-in for a backend server. It has a fixed number of slots, a service time and a cold
// start, sheds load beyond its slots, announces itself to the node of its VM, and drains on shutdown. Its health endpoint
// can be made to report a false state. It logs each execution by request id, so that tests can count how often a request ran.
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
	NodeAPI          string        // base URL of the node's operator API; empty: no announcements
	Token            string        // bearer token for announcements; empty: none
	CAFile           string        // PEM file with the CA certificates that verify NodeAPI; empty: the system's
	NodeCalls        string        // base URL of the node's listener for outbound calls, used for nested calls
	Slots            int           // concurrent requests; default 10
	Connections      int           // maximum open connections; default 120
	ServiceTime      time.Duration // mean duration of a request; default 20 ms
	Jitter           float64       // variation of the service time as a fraction of it, 0 to 1
	ColdStart        time.Duration // duration of the state "warming" after the start
	ColdFactor       float64       // multiple of the service time while warming; default 5
	MisleadingHealth bool          // the health endpoint always reports an idle, ready server
	Nested           string        // path that each request calls through NodeCalls; empty: no nested call
	Seed             uint64        // for random service times and faults
	Faults           Faults
	Logger           *zap.Logger

	// DrainHold is the minimum time between announcing "draining" and exiting, so that tests can detect requests that
	// arrive during the drain.
	DrainHold time.Duration

	// ExecutionLog receives one line with the request id and the Unix time in microseconds at the start of each execution,
	// so that the count survives a crash of the process. Nil disables it.
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

// Server is a running stand-in for a backend server.
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
	peak       int // maximum of busy
	busy       int // requests being served
	shed       int
	cancelled  int
}

// New opens the listener and returns a server. Run serves requests.
func New(o Options) (*Server, error) {
	o.setDefaults()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options:    o,
		listener:   newLimitedListener(listener, o.Connections),
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots, DialTLSContext: dialVerified(o.CAFile)}},
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

// Run serves requests and announces the server until ctx ends. It then shuts down gracefully: it announces "draining",
// waits until no request is in flight, announces "gone" and closes. grace bounds the shutdown.
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
	return errors.Join(err, ignoreServerClosed(<-served))
}

// Kill closes the listener and all connections immediately, as a crash of the process does. Run returns without a drain.
func (s *Server) Kill() {
	s.http.Close()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// announceUntil announces the current state every announceInterval until ctx ends. It returns false if the server was
// killed first.
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
	if s.isWarming() {
		return "warming"
	}
	return "ready"
}

func (s *Server) isWarming() bool {
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

// idleChecks is the number of consecutive checks that must find the server idle before it closes: a call that the node
// admitted before it learned of the drain may still be in transit.
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
