package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// conn is a connection of a client. Its own goroutine reads requests; each request is served on another.
type conn struct {
	server *Server
	socket net.Conn
	source *headerLimit
	reader *bufio.Reader
	ctx    context.Context // ends when the client has gone
	gone   context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	started int  // requests handed to the handler
	written int  // answers written
	ending  bool // no further request is started; the connection ends with the answer to the last one
	broken  bool // nothing more can be written
	waiting bool // for the first byte of a request
	alone   bool // the latest request is to be served alone

	received time.Time // first byte of the latest request; of the conn's own goroutine
}

// headerLimit bounds what is read for one header.
type headerLimit struct {
	net.Conn
	left   int64     // negative: no bound
	readAt time.Time // latest read
}

var errHeaderTooLarge = errors.New("the header exceeds the limit")

func (h *headerLimit) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeaderTooLarge
	}
	if h.left > 0 && int64(len(p)) > h.left {
		p = p[:h.left]
	}
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.readAt = time.Now()
	}
	if h.left > 0 {
		h.left -= int64(n)
	}
	return n, err
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket, source: &headerLimit{Conn: socket, left: -1}}
	c.reader = bufio.NewReaderSize(c.source, readBufferBytes)
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.gone = context.WithCancel(s.base)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.gone()
	for {
		request, status := c.next()
		if status != 0 {
			c.refuse(status)
			break
		}
		if request == nil || !c.begin(request) {
			break
		}
	}
	c.finish()
}

// next reads the header of the next request. Without one it returns nil, and a status if the client is to be told why.
func (c *conn) next() (*http.Request, int) {
	if !c.awaitFirstByte() {
		return nil, 0
	}
	c.received = c.source.readAt
	limits := c.server.limits()
	c.source.left = limits.MaxHeaderBytes
	if limits.MaxHeaderBytes <= 0 {
		c.source.left = -1
	} else if c.source.left -= int64(c.reader.Buffered()); c.source.left < 1 {
		c.source.left = 1 // what was read ahead belongs to this request or to later ones
	}
	// The socket reports a deadline that cannot be set with the next read.
	_ = c.socket.SetReadDeadline(deadlineAfter(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	c.source.left = -1
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return nil, http.StatusRequestTimeout
	case err != nil && isNetworkError(err):
		return nil, 0
	case err != nil || !isAcceptable(request):
		return nil, http.StatusBadRequest
	}
	_ = c.socket.SetReadDeadline(time.Time{})
	request.RemoteAddr = c.socket.RemoteAddr().String()
	return request, 0
}

func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

func isNetworkError(err error) bool {
	var failed *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed)
}

// awaitFirstByte waits for a request. It returns false if the connection ends before: closed by the client, or idle for too long.
func (c *conn) awaitFirstByte() bool {
	c.mu.Lock()
	c.waiting = true
	c.setIdleDeadline()
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return err == nil && !c.ending
}

// setIdleDeadline limits the wait for the next request while no request is served. The caller holds mu.
func (c *conn) setIdleDeadline() {
	if !c.waiting {
		return
	}
	switch {
	case c.ending && c.started == c.written:
		_ = c.socket.SetReadDeadline(time.Now())
	case c.started > c.written:
		_ = c.socket.SetReadDeadline(time.Time{})
	default:
		_ = c.socket.SetReadDeadline(deadlineAfter(c.server.limits().IdleTimeout))
	}
}

// isAcceptable reports what net/http's server checks beyond http.ReadRequest.
func isAcceptable(r *http.Request) bool {
	if r.ProtoMajor != 1 || r.ProtoAtLeast(1, 1) && r.Host == "" {
		return false
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return false
			}
		}
	}
	return true
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions || method == http.MethodTrace
}

// begin starts to serve a request. It returns false if no further request is to be read.
func (c *conn) begin(r *http.Request) bool {
	hasBody := r.Body != nil && r.Body != http.NoBody
	alone := hasBody || !isSafe(r.Method)
	c.mu.Lock()
	for !c.broken && ((alone || c.alone) && c.started > c.written || c.started-c.written >= maxAhead) {
		c.changed.Wait()
	}
	if c.ending || c.broken {
		c.mu.Unlock()
		return false
	}
	number := c.started
	c.started++
	c.alone = alone
	if r.Close || !r.ProtoAtLeast(1, 1) || c.server.isStopping() {
		c.ending = true
	}
	more := !c.ending
	c.mu.Unlock()

	w := newWriter(c, r, number)
	body := make(chan struct{})
	if hasBody {
		r.Body = &requestBody{ReadCloser: r.Body, conn: c, continues: strings.EqualFold(r.Header.Get("Expect"), "100-continue"), read: body}
	} else {
		close(body)
	}
	go c.handle(w, r, c.received)
	<-body // the next request, or the client's close, follows the body
	return more
}

// handle serves one request.
func (c *conn) handle(w *writer, r *http.Request, received time.Time) {
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, receivedKey{}, received))
	defer cancel()
	completed := false
	defer func() {
		if !completed {
			recovered := recover()
			c.abort()
			if recovered != http.ErrAbortHandler {
				c.server.panicked(recovered)
			}
		}
	}()
	r = r.WithContext(ctx)
	c.server.handler.ServeHTTP(w, r)
	if b, ok := r.Body.(*requestBody); ok {
		b.giveUp(w)
	}
	w.end()
	completed = true
}

// abort closes a connection on which an answer broke off.
func (c *conn) abort() {
	c.mu.Lock()
	c.broken, c.ending = true, true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.socket.Close()
}

// takeTurn waits until the answers to all earlier requests are written. It returns false if nothing can be written any more.
func (c *conn) takeTurn(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.written < number && !c.broken {
		c.changed.Wait()
	}
	return !c.broken
}

// isLast reports whether the connection ends with this answer. Once it has, no further request is started.
func (c *conn) isLast(number int, close bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if close {
		c.ending = true
	}
	return c.ending && c.started == number+1
}

// answered follows the last byte of an answer.
func (c *conn) answered(number int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = number + 1
	if err != nil {
		c.broken, c.ending = true, true
		c.socket.Close()
	}
	c.setIdleDeadline()
	c.changed.Broadcast()
}

// endAfterAnswers lets the connection end with the answers to the requests that have been read.
func (c *conn) endAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.setIdleDeadline()
	c.changed.Broadcast()
}

// refuse answers a request that cannot be read, after the answers to those before it.
func (c *conn) refuse(status int) {
	c.mu.Lock()
	number := c.started
	c.started++
	c.ending = true
	c.mu.Unlock()
	w := newWriter(c, &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, number)
	w.WriteHeader(status)
	w.end()
}

// finish ends the connection: the client's leave ends the requests, otherwise they are answered first.
func (c *conn) finish() {
	c.mu.Lock()
	graceful := c.ending && !c.broken
	c.mu.Unlock()
	if graceful {
		c.drain()
	}
	c.gone()
	c.mu.Lock()
	for c.written < c.started && !c.broken {
		c.changed.Wait()
	}
	c.mu.Unlock()
	c.socket.Close()
}

// drain waits for the last answer, and then for the client to have read it: closing a socket with unread bytes resets it, which
// can destroy the answer. Meanwhile the client's leave is noticed.
func (c *conn) drain() {
	_ = c.socket.SetReadDeadline(time.Time{})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.mu.Lock()
		for c.written < c.started && !c.broken {
			c.changed.Wait()
		}
		c.mu.Unlock()
		if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
			// A client that has gone needs no end of the answer.
			_ = half.CloseWrite()
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	}()
	_, err := io.Copy(io.Discard, c.reader)
	if err == nil || !isTimeout(err) {
		c.gone()
	}
	<-answered
}

// requestBody is a body whose end lets the connection go on.
type requestBody struct {
	io.ReadCloser
	conn      *conn
	continues bool // the client waits to be told before it sends the body
	read      chan struct{}
	once      sync.Once
	complete  bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.continues {
		b.continues = false
		if _, err := io.WriteString(b.conn.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		if err == io.EOF {
			b.complete = true
		} else if !isTimeout(err) {
			b.conn.gone()
		}
		b.end()
	}
	return n, err
}

func (b *requestBody) end() { b.once.Do(func() { close(b.read) }) }

// giveUp deals with a body that the handler has not read to its end: a short one that has arrived is read, otherwise the
// connection ends with the answer.
func (b *requestBody) giveUp(w *writer) {
	defer b.end()
	if b.complete {
		return
	}
	if !b.continues && !w.closes() {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(unreadBodyWait))
		if n, err := io.CopyN(io.Discard, b.ReadCloser, maxUnreadBody); err == io.EOF && n < maxUnreadBody {
			return
		}
	}
	w.Header().Set("Connection", "close")
}
