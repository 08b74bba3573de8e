// Package graceful shuts down HTTP servers without losing requests that have reached the process or its sockets.
package graceful

import (
	"errors"
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
// therefore lets Accept empty the backlog before the socket is closed.
type Listener struct {
	*net.TCPListener

	once     sync.Once
	drained  chan struct{} // closed when the backlog is empty and the socket is closed
	draining chan struct{} // closed when Drain starts
}

// errBacklogEmpty is returned by a non-blocking accept when no connection is pending.
var errBacklogEmpty = errors.New("no connection pending in the backlog")

// NewListener wraps a listener.
func NewListener(inner *net.TCPListener) *Listener {
	return &Listener{TCPListener: inner, drained: make(chan struct{}), draining: make(chan struct{})}
}

// Accept returns the next connection. After Drain has started, it returns the connections of the backlog and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.draining:
		return l.acceptFromBacklog()
	default:
	}
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.draining: // interrupted by the deadline that Drain sets
		return l.acceptFromBacklog()
	default:
		return nil, err
	}
}

// acceptFromBacklog accepts without blocking. It closes the socket as soon as the backlog is empty. This leaves a window of a few
// microseconds in which a new connection can be completed and then reset.
func (l *Listener) acceptFromBacklog() (net.Conn, error) {
	conn, err := l.acceptNonBlocking()
	if err == nil {
		return conn, nil
	}
	l.once.Do(func() {
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
	return net.FileConn(file)
}

// Drain waits until Accept has returned all connections of the backlog and the socket is closed. If that takes longer than
// timeout, for example because nothing calls Accept, Drain closes the socket. Further calls return immediately.
func (l *Listener) Drain(timeout time.Duration) {
	select {
	case <-l.draining:
		return
	default:
		close(l.draining)
	}
	// Unblocks a pending Accept. An error means that the socket is already closed.
	if err := l.SetDeadline(time.Now()); err != nil {
		return
	}
	select {
	case <-l.drained:
	case <-time.After(timeout):
		l.TCPListener.Close()
	}
}
