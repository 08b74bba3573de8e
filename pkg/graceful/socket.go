package graceful

import (
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// maxHops is the largest value of a packet's TTL or hop limit. Operating systems start with a lower one, so a listening socket that
// requires it takes no first packet of a handshake. Handshakes that have begun are not affected.
const maxHops = 255

// setMinHops makes a socket drop incoming packets whose TTL or hop limit is below hops. 0 admits all packets.
func setMinHops(socket syscall.Conn, hops int) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "accessing the socket")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_MINTTL, hops)
		if domain, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DOMAIN); err == nil && domain == unix.AF_INET6 && optErr == nil {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_MINHOPCOUNT, hops)
		}
	})
	if err == nil {
		err = optErr
	}
	return eris.Wrap(err, "setting the minimum TTL of the socket")
}
