package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const backendDialTimeout = 2 * time.Second

var errSealed = errors.New("write on a connection that was sealed after a failed call")

// trackedConn is a connection to the backend server that tracks whether any byte of the current request may have reached the
// network. The trace hooks of net/http are not sufficient: after a failure, its write loop may still write.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	writing bool // a write is in progress
	written bool // bytes of the current request were passed to the network
}

// beginRequest resets the tracking for a new request.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal blocks further writes and reports whether any byte of the current request may have been written.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written || c.writing
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written = c.written || n > 0
	return n, err
}

// dialBackend opens a tracked connection. An error means that nothing was sent.
func dialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}
