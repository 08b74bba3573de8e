package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DeadPeerDetection configures when a connection to an unresponsive peer is closed.
type DeadPeerDetection struct {
	UserTimeout   time.Duration // how long sent data may stay unacknowledged (TCP_USER_TIMEOUT)
	ProbeInterval time.Duration // time between TCP keep-alive probes of an idle connection; two unanswered probes close it
}

// apply configures a dialer whose connections fail when the peer, or the network path to it, disappears without a reset.
func (p *DeadPeerDetection) apply(d *net.Dialer) {
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.ProbeInterval, Interval: p.ProbeInterval, Count: 2}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.UserTimeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}
