// Package graceful shuts down HTTP servers without losing requests that have reached the process or its sockets.
package graceful

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Listener is a TCP listener that can be drained.
//
// The kernel completes connections before the process accepts them. A client may already have sent a request on such a
// connection. Closing the listening socket would reset it, and the client could not tell whether the request was read. Drain
// therefore makes the kernel drop new handshakes, lets Accept empty the backlog, and only then closes the socket. A client whose
// handshake was dropped sends it again and is refused.
type Listener struct {
	*net.TCPListener

	once        sync.Once
	draining    chan struct{} // closed when Drain starts
	drained     chan struct{} // closed when the backlog is empty and the socket is closed
	beforeClose func()        // called when the backlog is empty; set by tests only

	prepared      chan struct{} // closed when the fields below are final
	blocked       bool          // the kernel drops new handshakes
	handshakesEnd time.Time     // the handshakes that had begun when Drain started are complete
}

const (
	// handshakeTimeout is how long Drain waits for the end of handshakes that have begun; longer than a round trip between data centres.
	handshakeTimeout = 50 * time.Millisecond
	// acceptInterval is the interval at which the backlog is checked meanwhile.
	acceptInterval = 5 * time.Millisecond
)

// ErrHandshakesNotBlocked is returned by Drain if the kernel cannot drop new handshakes. The backlog was drained, but a connection that
// was completed between the last accept and the close of the socket was reset.
var ErrHandshakesNotBlocked = errors.New("new handshakes could not be blocked; use a kernel that has IP_MINTTL for TCP")

// errBacklogEmpty is returned by a non-blocking accept when no connection is pending.
var errBacklogEmpty = errors.New("no connection pending in the backlog")

// Listen opens a listener on an ip:port.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets have no minimum TTL
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s; free the port or change the setting", address)
	}
	return &Listener{
		TCPListener: inner.(*net.TCPListener), draining: make(chan struct{}), drained: make(chan struct{}), prepared: make(chan struct{}),
	}, nil
}

// Accept returns the next connection. After Drain has started, it returns the connections of the backlog and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.isDraining() {
		conn, err := l.TCPListener.AcceptTCP()
		if err == nil {
			return l.admitPackets(conn)
		}
		if !l.isDraining() { // otherwise interrupted by the deadline that Drain sets
			return nil, err
		}
	}
	return l.acceptFromBacklog()
}

// Close implements net.Listener. It returns nil if Drain has closed the socket.
func (l *Listener) Close() error {
	err := l.TCPListener.Close()
	if l.isDraining() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (l *Listener) isDraining() bool {
	select {
	case <-l.draining:
		return true
	default:
		return false
	}
}

// admitPackets undoes on an accepted connection what it may have inherited from a socket that drops new handshakes.
func (l *Listener) admitPackets(conn *net.TCPConn) (net.Conn, error) {
	if !l.isDraining() {
		return conn, nil
	}
	<-l.prepared
	if !l.blocked {
		return conn, nil
	}
	if err := setMinHops(conn, 0); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// acceptFromBacklog accepts without blocking, and closes the socket when the backlog is empty and no handshake is pending.
func (l *Listener) acceptFromBacklog() (net.Conn, error) {
	<-l.prepared
	conn, err := l.acceptNonBlocking()
	for errors.Is(err, errBacklogEmpty) && time.Now().Before(l.handshakesEnd) {
		time.Sleep(acceptInterval)
		conn, err = l.acceptNonBlocking()
	}
	if err == nil {
		return conn, nil
	}
	l.once.Do(func() {
		if l.beforeClose != nil {
			l.beforeClose()
		}
		l.TCPListener.Close()
		close(l.drained)
	})
	if !errors.Is(err, errBacklogEmpty) {
		return nil, err
	}
	return nil, net.ErrClosed
}

func (l *Listener) acceptNonBlocking() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(listenerFD uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	switch {
	case err != nil:
		return nil, net.ErrClosed
	case errors.Is(acceptErr, syscall.EAGAIN):
		return nil, errBacklogEmpty
	case acceptErr != nil:
		return nil, eris.Wrap(acceptErr, "accepting a connection from the backlog")
	}
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close() // FileConn duplicates the descriptor
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return l.admitPackets(conn.(*net.TCPConn))
}

// Drain waits until Accept has returned all connections of the backlog and the socket is closed. If that takes longer than
// timeout, for example because nothing calls Accept, Drain closes the socket. Further calls return immediately.
//
// The error is nil or wraps ErrHandshakesNotBlocked.
func (l *Listener) Drain(timeout time.Duration) error {
	if l.isDraining() {
		return nil
	}
	close(l.draining)
	blockErr := setMinHops(l.TCPListener, maxHops)
	if blockErr == nil {
		l.blocked, l.handshakesEnd = true, time.Now().Add(handshakeTimeout)
	}
	close(l.prepared)
	// Unblocks a pending Accept. An error means that the socket is already closed.
	if err := l.SetDeadline(time.Now()); err != nil {
		return nil
	}
	select {
	case <-l.drained:
	case <-time.After(timeout):
		l.TCPListener.Close()
	}
	if blockErr != nil {
		return fmt.Errorf("%w: %w", ErrHandshakesNotBlocked, blockErr)
	}
	return nil
}
