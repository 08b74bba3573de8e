package backend

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are the rates of injected faults, each from 0 to 1, applied after the request has run.
type Faults struct {
	Truncate float64 `json:"truncate"`  // the response stops in the middle of its body
	Close    float64 `json:"close"`     // the connection closes without a response
	NoLength float64 `json:"no_length"` // the response has neither length nor chunks and ends early
	Delay    float64 `json:"delay"`     // the response is late by DelayMS
	DelayMS  int     `json:"delay_ms"`
}

// fault is what happens to one response.
type fault struct {
	truncate, close, noLength bool
	delay                     time.Duration
}

// SetFaults replaces the fault rates.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) pickFault() fault {
	s.mu.Lock()
	rates := s.faults
	s.mu.Unlock()
	var f fault
	if s.random.Float64() < rates.Delay {
		f.delay = time.Duration(rates.DelayMS) * time.Millisecond
	}
	draw := s.random.Float64()
	switch {
	case draw < rates.Truncate:
		f.truncate = true
	case draw < rates.Truncate+rates.Close:
		f.close = true
	case draw < rates.Truncate+rates.Close+rates.NoLength:
		f.noLength = true
	}
	return f
}

// write sends the response, or what the fault leaves of it.
func (f fault) write(w http.ResponseWriter, body []byte) {
	switch {
	case f.close:
		panic(http.ErrAbortHandler)
	case f.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case f.noLength:
		f.writeWithoutLength(w, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// writeWithoutLength ends a valid HTTP/1.0 response early by closing the connection.
func (f fault) writeWithoutLength(w http.ResponseWriter, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n")
	_, _ = buffered.Write(body[:len(body)/2])
	_ = buffered.Flush()
}

// lockedRandom is a seeded source for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{source: rand.New(rand.NewPCG(seed, seed))}
}

func (r *lockedRandom) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}

// limitedListener closes connections beyond a limit at once, as a backend server at its connection limit does.
type limitedListener struct {
	net.Listener
	open chan struct{}
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, open: make(chan struct{}, limit)}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
