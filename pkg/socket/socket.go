// Package socket examines TCP connections and reads from them in ways that package net does not offer: a process that was paused learns what
// has arrived meanwhile, and idle connections hold no buffers.
package socket

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether the kernel holds bytes of the connection that the process has not read. A connection whose socket cannot be
// examined, for example since it is closed, has none.
func HasUnread(conn net.Conn) bool {
	unread := false
	return control(conn, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	}) && unread
}

// IsClosedByPeer reports whether the peer has closed its side of the connection, or the connection is lost. Unread bytes may precede the
// close. It returns false if the socket cannot be examined.
func IsClosedByPeer(conn net.Conn) bool { return poll(conn, unix.POLLRDHUP) != 0 }

// IsReset reports whether the connection is lost: no side can send any more. It returns false if the peer has only closed its side, and if the
// socket cannot be examined.
func IsReset(conn net.Conn) bool { return poll(conn, 0)&(unix.POLLHUP|unix.POLLERR) != 0 }

// poll returns which of the events, and of those that are always reported, the connection has; 0 if it cannot be examined.
func poll(conn net.Conn, events int16) (occurred int16) {
	control(conn, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			occurred = fds[0].Revents
		}
	})
	return occurred
}

// control calls examine with the descriptor of the connection and reports whether it could.
func control(conn net.Conn, examine func(fd int)) bool {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { examine(int(fd)) }) == nil
}

type connKey struct{}

// WithConn returns a context for the requests that arrive on the connection.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerLeft reports whether the caller of a request has left: the context has ended, or the connection of WithConn is closed by the peer.
// The context ends as well when a server notices the close. However, if the process was paused, a handler may run before that.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && IsClosedByPeer(conn)
}
