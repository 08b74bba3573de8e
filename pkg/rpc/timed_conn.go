package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Counters counts the traffic of a node. Bytes are counted on the sockets and include TLS overhead.
type Counters struct {
	Sent, Received atomic.Int64
	Requests       atomic.Int64 // calls made with Client.Call
}

// timedConn limits how long a connection may be idle, how long a message may take to arrive, and how long a write may
// block. A failed write closes the connection, because the peer would read the next message as the rest of the truncated
// one.
type timedConn struct {
	net.Conn
	idleTimeout   time.Duration
	lastRead      atomic.Int64 // clock.Now of the last successful read
	frameDeadline atomic.Int64 // clock.Now by which the current message must be complete; 0 between messages
}

func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.readDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(clock.Now()))
	}
	return n, err
}

func (c *timedConn) readDeadline() time.Time {
	if end := c.frameDeadline.Load(); end != 0 {
		return time.Now().Add(time.Duration(end) - clock.Now())
	}
	return time.Now().Add(c.idleTimeout)
}

func (c *timedConn) beginFrame() {
	c.frameDeadline.Store(int64(clock.Now() + frameTimeout))
}

func (c *timedConn) endFrame() {
	c.frameDeadline.Store(0)
}

// Write also extends the read deadline, so that the connection is not closed as idle right after a request was sent.
func (c *timedConn) Write(p []byte) (int, error) {
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	if c.frameDeadline.Load() == 0 {
		if err := c.SetReadDeadline(now.Add(c.idleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Close()
	}
	return n, err
}

// acceptSocket wraps an accepted socket and, if tlsConfig is not nil, completes the TLS handshake.
func acceptSocket(raw net.Conn, counters *Counters, tlsConfig *tls.Config) (*timedConn, error) {
	counted := CountBytes(raw, counters)
	if tlsConfig == nil {
		return &timedConn{Conn: counted, idleTimeout: serverIdleTimeout}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	secure := tls.Server(counted, tlsConfig)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return &timedConn{Conn: secure, idleTimeout: serverIdleTimeout}, nil
}
