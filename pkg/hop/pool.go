package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/laburnumcleat/laburnumcleat/pkg/dial"
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	source  *boundedSource // under reader
	reader  *bufio.Reader
	address string
	idleAt  time.Time     // since when it has been unused
	idleFor time.Duration // shorter than Options.IdleTimeout if the other side says so; 0: not restricted
}

// readBufferBytes holds a usual response header.
const readBufferBytes = 2 << 10

// pool keeps unused connections by address.
type pool struct {
	options Options
	dialer  *dial.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn // the latest used last
	swept   time.Time
}

// get returns a kept connection that is usable, or a new one.
func (p *pool) get(ctx context.Context, address string, freshOnly bool) (cn *conn, reused bool, err error) {
	limit := p.options.IdleTimeout
	if freshOnly {
		limit = min(limit, p.options.FreshIdleTimeout)
	}
	for {
		cn := p.take(address, limit)
		if cn == nil {
			break
		}
		if cn.isUsable() {
			return cn, true, nil
		}
		cn.Close()
	}
	cn, err = p.dial(ctx, address)
	return cn, false, err
}

// take removes the connection that was used last, if it was idle for no longer than limit.
func (p *pool) take(address string, limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	cn := kept[len(kept)-1]
	if cn.idleFor > 0 {
		limit = min(limit, cn.idleFor)
	}
	if time.Since(cn.idleAt) > limit {
		return nil // the others were idle for longer; sweep closes them
	}
	p.idle[address] = kept[:len(kept)-1]
	return cn
}

// put keeps a connection for later requests.
func (p *pool) put(cn *conn) {
	cn.idleAt = time.Now()
	p.mu.Lock()
	kept := p.idle[cn.address]
	full := len(kept) >= p.options.MaxIdlePerAddress
	if !full {
		p.idle[cn.address] = append(kept, cn)
	}
	expired := p.sweep(cn.idleAt)
	p.mu.Unlock()
	if full {
		cn.Close()
	}
	closeAll(expired)
}

// sweep removes the connections that were idle for too long, at most once a second. The caller holds mu.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.swept) < time.Second {
		return nil
	}
	p.swept = now
	var expired []*conn
	for address, kept := range p.idle {
		first := 0
		for first < len(kept) && now.Sub(kept[first].idleAt) > p.options.IdleTimeout {
			first++
		}
		expired = append(expired, kept[:first]...)
		if first == len(kept) {
			delete(p.idle, address)
		} else if first > 0 {
			p.idle[address] = append([]*conn(nil), kept[first:]...)
		}
	}
	return expired
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, kept := range idle {
		closeAll(kept)
	}
}

func (p *pool) forget(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(kept)
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.Close()
	}
}

// keepAliveProbe is the time between probes of a connection on which nothing is sent, as while a backend server works. Two
// without an answer end it, so that a connection that went silent is noticed after about 3 s.
const keepAliveProbe = time.Second

func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	source := &boundedSource{Reader: socket, left: unbounded}
	return &conn{Conn: socket, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), address: address}, nil
}

// unbounded is a boundedSource.left without effect.
const unbounded = -1

var errHeadTooLong = errors.New("the head of the response does not end")

// boundedSource fails when more is read than is left.
type boundedSource struct {
	io.Reader
	left int64
}

func (b *boundedSource) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.Reader.Read(p)
	}
	if b.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// isUsable reports whether an unused connection is open and nothing has arrived on it. What has arrived is a late answer to an
// earlier request.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	socket, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
