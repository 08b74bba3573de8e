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
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/socket"
)

// conn is a client connection. One goroutine reads the requests; each request is served by a separate goroutine.
type conn struct {
	server       *Server
	socket       net.Conn
	headerReader *headerLimitReader
	reader       *bufio.Reader   // nil: nothing is buffered; used by the reading goroutine, and by a handler that reads a body
	ctx          context.Context // cancelled when the client disconnects
	cancel       context.CancelFunc

	mu               sync.Mutex
	changed          *sync.Cond
	requestsStarted  int  // requests passed to the handler
	responsesWritten int  // responses completely written
	closing          bool // no further request is started; the connection is closed after the pending responses
	broken           bool // no further write is possible
	awaitingRequest  bool // waiting for the first byte of a request
	exclusive        bool // no other request is served together with the latest one

	neighbours Neighbours
	receivedAt time.Time // first byte of the latest request; used by the reading goroutine only
}

// headerLimitReader limits the number of bytes read for one request header.
type headerLimitReader struct {
	socket.IdleReader
	remaining int64     // bytes until the limit; negative: no limit
	lastRead  time.Time // time of the latest successful read
}

var errHeaderTooLarge = errors.New("request header exceeds the size limit")

func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.IdleReader.Read(p)
	if n > 0 {
		h.lastRead = time.Now()
	}
	if h.remaining > 0 {
		h.remaining -= int64(n)
	}
	return n, err
}

func newConn(s *Server, accepted net.Conn) *conn {
	c := &conn{server: s, socket: accepted, headerReader: &headerLimitReader{IdleReader: socket.IdleReader{Conn: accepted}, remaining: -1}}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.WithValue(socket.WithConn(s.baseContext, accepted), neighboursKey{}, &c.neighbours))
	return c
}

// serve reads and starts requests until the connection is closed or closing.
func (c *conn) serve() {
	defer c.cancel()
	for {
		request, status := c.readRequest()
		if status != 0 {
			c.respondError(status)
			break
		}
		if request == nil || !c.startRequest(request) {
			break
		}
	}
	c.finish()
}

// readRequest reads the header of the next request. If there is none it returns nil and, if the client must get an error response,
// its status.
func (c *conn) readRequest() (*http.Request, int) {
	if !c.awaitFirstByte() {
		return nil, 0
	}
	c.receivedAt = c.headerReader.lastRead
	limits := c.server.limits()
	c.headerReader.remaining = limits.MaxHeaderBytes
	if limits.MaxHeaderBytes <= 0 {
		c.headerReader.remaining = -1
	} else if c.headerReader.remaining -= int64(c.reader.Buffered()); c.headerReader.remaining < 1 {
		c.headerReader.remaining = 1 // the buffered bytes may include later requests, so they do not exceed the limit by themselves
	}
	// If the deadline cannot be set, the next read fails.
	_ = c.socket.SetReadDeadline(deadlineAfter(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	c.headerReader.remaining = -1
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
	var networkErr net.Error
	return errors.As(err, &networkErr) && networkErr.Timeout()
}

func isNetworkError(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr)
}

// awaitFirstByte waits for the first byte of a request. It returns false if the client closes the connection, the idle timeout
// expires or the connection is closing.
func (c *conn) awaitFirstByte() bool {
	for {
		c.mu.Lock()
		c.awaitingRequest = true
		c.setIdleDeadline()
		c.mu.Unlock()
		err := c.peek()
		c.mu.Lock()
		c.awaitingRequest = false
		if isTimeout(err) && !c.closing && socket.HasUnread(c.socket) {
			c.mu.Unlock() // a request arrived when the deadline expired, or while the process was paused
			continue
		}
		if err != nil && c.server.isStopping() {
			c.closing = true
		}
		ready := err == nil && !c.closing
		c.mu.Unlock()
		return ready
	}
}

// peek waits for the next byte. Meanwhile, the connection holds no buffer.
func (c *conn) peek() error {
	if c.reader != nil && c.reader.Buffered() == 0 {
		socket.ReleaseReader(c.reader)
		c.reader = nil
	}
	if c.reader == nil {
		if err := c.headerReader.Await(); err != nil {
			return err
		}
		c.reader = socket.AcquireReader(c.headerReader)
	}
	_, err := c.reader.Peek(1)
	return err
}

// setIdleDeadline sets the read deadline for the wait for the next request: none while requests are served, otherwise the idle
// timeout, or a shorter one during a shutdown. The caller holds mu.
func (c *conn) setIdleDeadline() {
	if !c.awaitingRequest {
		return
	}
	switch {
	case c.requestsStarted > c.responsesWritten:
		_ = c.socket.SetReadDeadline(time.Time{})
	case c.closing:
		_ = c.socket.SetReadDeadline(time.Now())
	case c.server.isStopping() && c.requestsStarted == 0:
		_ = c.socket.SetReadDeadline(time.Now().Add(stopFirstRequestTimeout))
	case c.server.isStopping():
		_ = c.socket.SetReadDeadline(time.Now().Add(stopIdleTimeout))
	default:
		_ = c.socket.SetReadDeadline(deadlineAfter(c.server.limits().IdleTimeout))
	}
}

// isAcceptable makes the checks that the server of net/http makes in addition to http.ReadRequest.
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

// startRequest waits until the request may be served, starts it and waits until its body has been read or discarded. It returns
// false if no further request may be read.
func (c *conn) startRequest(r *http.Request) bool {
	hasBody := r.Body != nil && r.Body != http.NoBody
	exclusive := hasBody || !isSafe(r.Method)
	c.mu.Lock()
	c.awaitTurn(exclusive)
	if c.closing || c.broken || c.ctx.Err() != nil {
		c.mu.Unlock()
		return false
	}
	number := c.requestsStarted
	if c.requestsStarted > c.responsesWritten {
		c.neighbours.pipelined.Store(true)
	}
	c.requestsStarted++
	c.exclusive = exclusive
	if r.Close || !r.ProtoAtLeast(1, 1) || c.server.isStopping() {
		c.closing = true
	}
	more := !c.closing
	c.mu.Unlock()

	w := newResponseWriter(c, r, number)
	body := make(chan struct{})
	if hasBody {
		r.Body = &requestBody{
			ReadCloser:      r.Body,
			conn:            c,
			expectsContinue: strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
			done:            body,
		}
	} else {
		close(body)
	}
	go c.serveRequest(w, r, c.receivedAt)
	if hasBody {
		stop := c.watchClose()
		<-body // the next request or the end of the connection can only be read after the body
		stop()
	}
	return more
}

// awaitTurn waits until the next request may be served beside those in progress, or the connection is broken. The caller must hold mu.
func (c *conn) awaitTurn(exclusive bool) {
	mustWait := func() bool {
		pending := c.requestsStarted - c.responsesWritten
		return !c.broken && ((exclusive || c.exclusive) && pending > 0 || pending >= maxPipelinedRequests)
	}
	if !mustWait() {
		return
	}
	stop := c.watchClose()
	defer stop()
	for mustWait() {
		c.changed.Wait()
	}
}

// watchClose cancels the requests if the client disconnects while the reading goroutine does not read, so that it cannot notice. The caller
// must call stop.
func (c *conn) watchClose() (stop func()) {
	stopped := make(chan struct{})
	timer := time.AfterFunc(closeCheckInterval, func() {
		ticker := time.NewTicker(closeCheckInterval)
		defer ticker.Stop()
		for !socket.IsClosedByPeer(c.socket) {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
		}
		c.cancel()
	})
	return func() {
		timer.Stop()
		close(stopped)
	}
}

// serveRequest calls the handler for one request and completes the response.
func (c *conn) serveRequest(w *responseWriter, r *http.Request, receivedAt time.Time) {
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, receivedAtKey{}, receivedAt))
	defer cancel()
	completed := false
	body, hasBody := r.Body.(*requestBody)
	defer func() {
		if !completed {
			recovered := recover()
			c.abort()
			if hasBody {
				body.revoke()
				body.markDone()
			}
			if recovered != http.ErrAbortHandler {
				c.server.onPanic(recovered)
			}
		}
	}()
	r = r.WithContext(ctx)
	c.server.handler.ServeHTTP(w, r)
	if hasBody {
		body.discardUnread(w)
	}
	w.finish()
	completed = true
}

// abort closes the connection after an incomplete response.
func (c *conn) abort() {
	c.mu.Lock()
	c.broken, c.closing = true, true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.socket.Close()
}

// awaitWriteTurn waits until the responses to all earlier requests are written. It returns false if the connection is broken.
func (c *conn) awaitWriteTurn(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.responsesWritten < number && !c.broken {
		c.changed.Wait()
	}
	return !c.broken
}

// updateClosing stops the start of further requests if close is true, or if this is the last response during a shutdown. It reports
// whether the connection is to be closed after this response.
func (c *conn) updateClosing(number int, close bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.requestsStarted == number+1
	if close || last && c.server.isStopping() {
		c.closing = true
	}
	return c.closing && last
}

// responseWritten records that a response was written, or that writing it failed with err.
func (c *conn) responseWritten(number int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesWritten = number + 1
	if err != nil {
		c.broken, c.closing = true, true
		c.socket.Close()
	}
	c.setIdleDeadline()
	c.changed.Broadcast()
}

// applyStop applies a shutdown to the connection. A response that the client has received did not announce the close, so the client may
// have sent another request: the connection is not closed before the deadline for that one, and its response announces the close.
func (c *conn) applyStop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdleDeadline()
}

// respondError sends an error response for a request that could not be read, after the responses to earlier requests.
func (c *conn) respondError(status int) {
	c.mu.Lock()
	number := c.requestsStarted
	c.requestsStarted++
	c.closing = true
	c.mu.Unlock()
	w := newResponseWriter(c, &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, number)
	w.WriteHeader(status)
	w.finish()
}

// finish closes the connection. If the client disconnected, the requests are cancelled; otherwise their responses are sent first.
func (c *conn) finish() {
	c.mu.Lock()
	graceful := c.closing && !c.broken
	c.mu.Unlock()
	if graceful {
		c.drain()
	}
	c.cancel()
	c.mu.Lock()
	for c.responsesWritten < c.requestsStarted && !c.broken {
		c.changed.Wait()
	}
	c.mu.Unlock()
	c.socket.Close()
}

// drain waits for the last response, closes the write side and then reads until the client closes its side or lingerTimeout expires.
// Closing a socket with unread bytes resets the connection, so that the client may lose the response. If the client disconnects
// meanwhile, the requests are cancelled.
func (c *conn) drain() {
	_ = c.socket.SetReadDeadline(time.Time{})
	responsesDone := make(chan struct{})
	go func() {
		defer close(responsesDone)
		c.mu.Lock()
		for c.responsesWritten < c.requestsStarted && !c.broken {
			c.changed.Wait()
		}
		c.mu.Unlock()
		if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
			// Fails only if the client has disconnected, which needs no handling here.
			_ = halfCloser.CloseWrite()
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	}()
	_, err := io.Copy(io.Discard, c.headerReader)
	if err == nil || !isTimeout(err) {
		c.cancel()
	}
	<-responsesDone
}

// requestBody is a request body that signals on done when the next request can be read. The handler may leave a goroutine behind that still reads it,
// for example to stream it to a server that has responded early. After revoke, only the connection reads it.
type requestBody struct {
	io.ReadCloser
	conn            *conn
	expectsContinue bool // the client waits for 100 Continue before it sends the body
	revoked         atomic.Bool

	reading  sync.Mutex // held during a read; guards complete
	complete bool       // it was read to its end

	mu     sync.Mutex // guards isDone, and read deadlines against those for the next request
	isDone bool
	done   chan struct{}
}

// Read implements io.Reader. After the handler has returned it fails with http.ErrBodyReadAfterClose.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.revoked.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if _, err := io.WriteString(b.conn.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.complete = true
		b.markDone()
	case err != nil && !isTimeout(err):
		b.conn.cancel()
	}
	return n, err
}

// Close implements io.Closer. It discards nothing: the connection handles what is unread.
func (b *requestBody) Close() error {
	b.revoke()
	return nil
}

// revoke makes later reads fail, interrupts one in progress and waits for its end. The bytes that were read up to then are the beginning of the body.
func (b *requestBody) revoke() {
	b.revoked.Store(true)
	b.mu.Lock()
	if !b.isDone {
		// If it fails, the connection is closed, and so is the read.
		_ = b.conn.socket.SetReadDeadline(time.Now())
	}
	b.mu.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
}

// markDone lets the reading goroutine go on.
func (b *requestBody) markDone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isDone {
		b.isDone = true
		close(b.done)
	}
}

// discardUnread handles a body that the handler has not read to its end. If the rest is short and arrives within unreadBodyTimeout
// it is discarded; otherwise the connection is closed after the response.
func (b *requestBody) discardUnread(w *responseWriter) {
	defer b.markDone()
	b.revoke()
	if b.complete {
		return
	}
	if !b.expectsContinue && !w.closesConnection() {
		_ = b.conn.socket.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		if n, err := io.CopyN(io.Discard, b.ReadCloser, maxUnreadBodyBytes); err == io.EOF && n < maxUnreadBodyBytes {
			return
		}
	}
	w.Header().Set("Connection", "close")
	// Before markDone: the reading goroutine would take the rest of the body for the next request.
	b.conn.updateClosing(w.number, true)
}
