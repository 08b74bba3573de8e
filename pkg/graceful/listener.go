// Package graceful stops HTTP servers without losing a request that has reached the process or its sockets.
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
// The kernel completes a connection before the process accepts it. A client may already have sent its request on it, and
// closing the listening socket resets the connection: the client cannot tell whether the request was read. Drain accepts
// what waits, and closes the socket only when nothing does.
type Listener struct {
	*net.TCPListener

	once    sync.Once
	drained chan struct{} // closed when the socket is closed after Drain
	closing chan struct{} // closed when Drain has begun
}

// errBacklogEmpty is the result of a non-blocking accept when no connection waits.
var errBacklogEmpty = errors.New("no connection waits to be accepted")

// NewListener wraps a listener.
func NewListener(inner *net.TCPListener) *Listener {
	return &Listener{TCPListener: inner, drained: make(chan struct{}), closing: make(chan struct{})}
}

// Accept returns the next connection. After Drain it returns those that still wait, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case <-l.closing:
		return l.acceptWaiting()
	default:
	}
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.closing: // the deadline that Drain set has ended the wait
		return l.acceptWaiting()
	default:
		return nil, err
	}
}

// acceptWaiting accepts without blocking. It closes the socket right after it found the backlog empty, so that the time in
// which another connection can be completed and reset is a few microseconds.
func (l *Listener) acceptWaiting() (net.Conn, error) {
	conn, err := l.acceptNow()
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

func (l *Listener) acceptNow() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(listening uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	switch {
	case err != nil:
		return nil, net.ErrClosed
	case errors.Is(acceptErr, syscall.EAGAIN):
		return nil, errBacklogEmpty
	case acceptErr != nil:
		return nil, eris.Wrap(acceptErr, "accepting a connection that waits in the backlog")
	}
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close() // FileConn duplicates the descriptor
	return net.FileConn(file)
}

// Drain lets Accept return the waiting connections and then closes the socket. It returns when that is done, or after
// limit if nothing calls Accept.
func (l *Listener) Drain(limit time.Duration) {
	select {
	case <-l.closing:
		return
	default:
		close(l.closing)
	}
	// Wakes an Accept that waits. A failure means that the socket is closed already.
	if err := l.SetDeadline(time.Now()); err != nil {
		return
	}
	select {
	case <-l.drained:
	case <-time.After(limit):
		l.TCPListener.Close()
	}
}
