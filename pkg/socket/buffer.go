package socket

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// bufferBytes is enough for a typical request or response header.
const bufferBytes = 4 << 10

// buffers holds the buffers of connections that do not wait for bytes.
var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// readers holds the buffered readers of connections that do not wait for bytes.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// AcquireReader returns a buffered reader of the source. Pass it to ReleaseReader when it has nothing buffered and is not used any more.
func AcquireReader(source io.Reader) *bufio.Reader {
	r := readers.Get().(*bufio.Reader)
	r.Reset(source)
	return r
}

// ReleaseReader lets another connection use the reader.
func ReleaseReader(r *bufio.Reader) {
	r.Reset(nil)
	readers.Put(r)
}

// IdleReader reads from a connection. Await waits for the next bytes without a buffer, so that thousands of idle connections need little
// memory. It is not safe for concurrent use.
type IdleReader struct {
	net.Conn
	pooled *[bufferBytes]byte // holds unread; nil: none
	unread []byte
}

// Await waits until bytes have arrived, unless some are unread. The error is that of the read, such as io.EOF or the end of the read
// deadline.
func (r *IdleReader) Await() error {
	if len(r.unread) > 0 {
		return nil
	}
	conn, ok := r.Conn.(syscall.Conn)
	if !ok {
		return nil // the next Read waits
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	n, readErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		pooled := buffers.Get().(*[bufferBytes]byte)
		n, readErr = readRetrying(int(fd), pooled[:])
		if n > 0 {
			r.pooled, r.unread = pooled, pooled[:n]
			return true
		}
		buffers.Put(pooled)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return err
	case readErr != nil:
		return &net.OpError{Op: "read", Net: "tcp", Addr: r.RemoteAddr(), Err: readErr}
	case n == 0:
		return io.EOF
	}
	return nil
}

// readRetrying reads, and tries again if a signal interrupts it.
func readRetrying(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}

// Read implements io.Reader.
func (r *IdleReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		return r.Conn.Read(p)
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	if len(r.unread) == 0 {
		buffers.Put(r.pooled)
		r.pooled, r.unread = nil, nil
	}
	return n, nil
}
