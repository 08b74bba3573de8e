package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// readAheadBytes bounds what is read from a caller ahead of the requests that are served.
	readAheadBytes = 64 << 10
	pumpBytes      = 4 << 10
	// defaultIdle and defaultHeader hold until a configuration sets limits.
	defaultIdle   = time.Minute
	defaultHeader = 10 * time.Second
)

// connLimits are the time limits of a caller's connection.
type connLimits struct {
	idle   time.Duration // between requests
	header time.Duration // to send the header of a request
}

// callerConn is a connection of a caller. It is read ahead of net/http, which stops to watch a connection on which the next request
// has arrived: the caller's close would go unnoticed while a request is served.
type callerConn struct {
	net.Conn
	limits func() connLimits
	gone   context.CancelFunc // ends the contexts of the requests on the connection

	mu       sync.Mutex
	changed  *sync.Cond
	buffer   []byte
	err      error     // of the read side; follows the buffer
	deadline time.Time // of Read
	wake     *time.Timer

	phase phase
	limit *time.Timer // of the phase
}

// phase is what the connection is used for.
type phase int

const (
	idle phase = iota
	header
	serving
)

func newCallerConn(c net.Conn, limits func() connLimits) *callerConn {
	cc := &callerConn{Conn: c, limits: limits, gone: func() {}}
	cc.changed = sync.NewCond(&cc.mu)
	cc.limit = time.AfterFunc(limits().header, cc.expire)
	cc.phase = header // a new connection is opened for a request
	return cc
}

// pump reads from the network until the connection ends.
func (c *callerConn) pump() {
	piece := make([]byte, pumpBytes)
	for {
		n, err := c.Conn.Read(piece)
		c.mu.Lock()
		c.buffer = append(c.buffer, piece[:n]...)
		if n > 0 && c.phase == idle {
			c.enter(header, c.limits().header)
		}
		c.err = err
		c.changed.Broadcast()
		for len(c.buffer) >= readAheadBytes && c.err == nil {
			c.changed.Wait()
		}
		c.mu.Unlock()
		if err != nil {
			c.gone()
			return
		}
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffer) == 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	n := copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
	c.changed.Broadcast()
	return n, nil
}

// SetReadDeadline implements net.Conn. It does not concern the pump.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.wake != nil {
		c.wake.Stop()
		c.wake = nil
	}
	if !t.IsZero() {
		c.wake = time.AfterFunc(time.Until(t), c.broadcast)
	}
	c.changed.Broadcast()
	return nil
}

func (c *callerConn) broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = io.ErrClosedPipe
	}
	c.limit.Stop()
	if c.wake != nil {
		c.wake.Stop()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// enter begins a phase; the caller holds mu. A limit of 0 means none.
func (c *callerConn) enter(p phase, limit time.Duration) {
	c.phase = p
	c.limit.Stop()
	if limit > 0 && c.err == nil {
		c.limit.Reset(limit)
	}
}

// expire closes a connection that was idle for too long, or whose request header did not arrive in time.
func (c *callerConn) expire() {
	c.mu.Lock()
	over := c.phase != serving
	c.mu.Unlock()
	if over {
		c.Close()
	}
}

// stateChanged follows net/http through the phases.
func stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.enter(serving, 0)
	case http.StateIdle:
		if len(c.buffer) > 0 {
			c.enter(header, c.limits().header)
			return
		}
		c.enter(idle, c.limits().idle)
	}
}

// withCaller ties the contexts of requests to the connection that they came on.
func withCaller(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	ctx, c.gone = context.WithCancel(ctx)
	go c.pump()
	return ctx
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	limits func() connLimits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(conn, l.limits), nil
}
