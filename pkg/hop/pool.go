package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
	"github.com/laburnumcleat/laburnumcleat/pkg/socket"
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	source       *boundedReader // underlies reader
	arrived      *arrivedReader // underlies source
	reader       *bufio.Reader  // nil while the connection is idle
	address      string
	idleSince    time.Time     // when it was returned to the pool
	reused       bool          // it carried a request before the present one
	unidentified bool          // a response on it had no id, so that a copy of that could not be told from the next response
	idleTimeout  time.Duration // from the Keep-Alive header of the peer, in addition to Options.IdleTimeout; 0: none
}

// pool keeps idle connections by address.
type pool struct {
	options   Options
	dialer    *dial.Dialer
	mu        sync.Mutex
	idle      map[string][]*conn // most recently used last
	lastSweep time.Time
}

// get returns a usable idle connection or a new one, and reports whether the connection is reused.
func (p *pool) get(ctx context.Context, address string, freshOnly bool) (cn *conn, reused bool, err error) {
	limit := p.options.IdleTimeout
	if freshOnly {
		limit = min(limit, p.options.FreshIdleTimeout)
	}
	for {
		cn := p.popIdle(address, limit)
		if cn == nil {
			break
		}
		if cn.isUsable() {
			cn.reader, cn.reused = socket.AcquireReader(cn.source), true
			return cn, true, nil
		}
		cn.Close()
	}
	cn, err = p.dial(ctx, address)
	return cn, false, err
}

// popIdle removes and returns the most recently used connection, or nil if there is none or it was idle for longer than limit.
func (p *pool) popIdle(address string, limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	cn := conns[len(conns)-1]
	if cn.idleTimeout > 0 {
		limit = min(limit, cn.idleTimeout)
	}
	if time.Since(cn.idleSince) > limit {
		return nil // the others have been idle even longer; sweep closes them
	}
	p.idle[address] = conns[:len(conns)-1]
	return cn
}

// put returns a connection that has nothing buffered to the pool, or closes it if the pool is full for its address.
func (p *pool) put(cn *conn) {
	socket.ReleaseReader(cn.reader)
	cn.reader = nil
	cn.idleSince = time.Now()
	p.mu.Lock()
	conns := p.idle[cn.address]
	full := len(conns) >= p.options.MaxIdlePerAddress
	if !full {
		p.idle[cn.address] = append(conns, cn)
	}
	expired := p.sweep(cn.idleSince)
	p.mu.Unlock()
	if full {
		cn.Close()
	}
	closeAll(expired)
}

// sweep removes and returns expired idle connections, at most once a second. The caller must hold mu.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.lastSweep) < time.Second {
		return nil
	}
	p.lastSweep = now
	var expired []*conn
	for address, conns := range p.idle {
		first := 0
		for first < len(conns) && now.Sub(conns[first].idleSince) > p.options.IdleTimeout {
			first++
		}
		expired = append(expired, conns[:first]...)
		if first == len(conns) {
			delete(p.idle, address)
		} else if first > 0 {
			p.idle[address] = append([]*conn(nil), conns[first:]...)
		}
	}
	return expired
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, conns := range idle {
		closeAll(conns)
	}
}

func (p *pool) closeIdleTo(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(conns)
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.Close()
	}
}

// keepAliveProbeInterval is the time between TCP keep-alive probes of a connection without traffic, for example while a backend
// server processes a request. Two unanswered probes close it, so a dead peer is detected after about 3 s.
const keepAliveProbeInterval = time.Second

func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	dialed, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	arrived := &arrivedReader{Conn: dialed}
	source := &boundedReader{Reader: arrived, remaining: unbounded}
	return &conn{Conn: dialed, source: source, arrived: arrived, reader: socket.AcquireReader(source), address: address}, nil
}

// arrivedGrace is how long a response is read after the deadline if a part of it had arrived by then.
const arrivedGrace = 100 * time.Millisecond

// arrivedReader reads what had arrived when the deadline of the exchange expired. A process that was paused or has little processor time
// finds the deadline expired beside bytes that arrived in time.
type arrivedReader struct {
	net.Conn
	ctx      context.Context // of the exchange
	extended bool            // arrivedGrace has begun, at most once in an exchange
}

// begin starts an exchange, whose end of ctx interrupts reads.
func (r *arrivedReader) begin(ctx context.Context) { r.ctx, r.extended = ctx, false }

// Read implements io.Reader.
func (r *arrivedReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) || r.extended || errors.Is(r.ctx.Err(), context.Canceled) || !socket.HasUnread(r.Conn) {
		return n, err
	}
	r.extended = true
	if err := r.Conn.SetReadDeadline(time.Now().Add(arrivedGrace)); err != nil {
		return 0, err
	}
	if errors.Is(r.ctx.Err(), context.Canceled) {
		return 0, context.Canceled // the interruption may have preceded the new deadline
	}
	return r.Conn.Read(p)
}

// unbounded is the value of boundedReader.remaining that disables the limit.
const unbounded = -1

var errResponseTooLong = errors.New("response header exceeds 64 KiB, or a response to discard 1 MiB")

// boundedReader fails with errResponseTooLong once remaining bytes have been read.
type boundedReader struct {
	io.Reader
	remaining int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return b.Reader.Read(p)
	}
	if b.remaining == 0 {
		return 0, errResponseTooLong
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// isUsable reports whether an idle connection is open and has no unread data. Such data would be a late response to an earlier
// request.
func (cn *conn) isUsable() bool {
	conn, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && usable
}
