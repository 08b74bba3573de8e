package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DeadPeerDetection says when a connection on which nothing comes back is given up.
type DeadPeerDetection struct {
	UserTimeout   time.Duration // for data that was sent (TCP_USER_TIMEOUT)
	ProbeInterval time.Duration // between keep-alive probes while nothing is sent; two without an answer end the connection
}

// apply makes the connections of a dialer end by themselves when the other side, or the path to it, is gone without a reset.
func (s *DeadPeerDetection) apply(d *net.Dialer) {
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: s.ProbeInterval, Interval: s.ProbeInterval, Count: 2}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
