package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Silence says when a connection on which nothing comes back is given up.
type Silence struct {
	Unacknowledged time.Duration // for data that was sent (TCP_USER_TIMEOUT)
	Probe          time.Duration // between keep-alive probes while nothing is sent; two without an answer end the connection
}

// apply makes the connections of a dialer end by themselves when the other side, or the path to it, is gone without a reset.
func (s *Silence) apply(d *net.Dialer) {
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: s.Probe, Interval: s.Probe, Count: 2}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.Unacknowledged.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
