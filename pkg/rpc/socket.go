package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// Counters counts what passed the sockets of one node, TLS included.
type Counters struct {
	Sent, Received atomic.Int64
	Requests       atomic.Int64 // sent by Client.Call
}

// timedConn limits how long a connection may be idle, how long a message may take to arrive, and how long a peer may
// refuse to read. A failed write closes the connection, because the peer would take the next message for the rest of
// the one that was cut short.
type timedConn struct {
	net.Conn
	idle     time.Duration
	lastRead atomic.Int64 // clock.Now of the latest bytes
	frameEnd atomic.Int64 // clock.Now until which the message being read must have arrived; 0 between messages
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
	if end := c.frameEnd.Load(); end != 0 {
		return time.Now().Add(time.Duration(end) - clock.Now())
	}
	return time.Now().Add(c.idle)
}

func (c *timedConn) beginFrame() {
	c.frameEnd.Store(int64(clock.Now() + frameTimeout))
}

func (c *timedConn) endFrame() {
	c.frameEnd.Store(0)
}

// Write also renews the read deadline: a request that was just sent must not find the connection closed as idle.
func (c *timedConn) Write(p []byte) (int, error) {
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	if c.frameEnd.Load() == 0 {
		if err := c.SetReadDeadline(now.Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.Close()
	}
	return n, err
}

// acceptSocket completes the TLS handshake of an accepted socket if tlsConfig is not nil.
func acceptSocket(raw net.Conn, bytes *Counters, tlsConfig *tls.Config) (*timedConn, error) {
	counted := CountBytes(raw, bytes)
	if tlsConfig == nil {
		return &timedConn{Conn: counted, idle: serverIdleTimeout}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	secure := tls.Server(counted, tlsConfig)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return &timedConn{Conn: secure, idle: serverIdleTimeout}, nil
}
