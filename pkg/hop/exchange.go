package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/socket"
)

const (
	// inlineBodyBytes is the longest request body that is written in full before the response is read. Longer bodies are written
	// concurrently: they may exceed the TCP windows, and a backend server may respond before it reads the body.
	inlineBodyBytes = 4 << 10
	// shortBodyBytes is the longest response body that does not count against Options.BufferBudget.
	shortBodyBytes = 16 << 10
	// maxResponseHeaderBytes limits the status line and header of a response, including those of preceding 1xx responses. Typical
	// headers have a few hundred bytes, but a faulty server may send an endless one.
	maxResponseHeaderBytes = 64 << 10
	// maxMismatchedResponses limits how many responses are read in search of the one that belongs to the request.
	maxMismatchedResponses = 4
	// maxMismatchedBodyBytes limits the body of a response to another request that is discarded, with its chunk headers: a chunk may hold one byte.
	maxMismatchedBodyBytes = 1 << 20
	// remainingBodyTimeout limits how long the rest of a request body may be written after an early response. When it expires, the
	// connection is closed instead of reused.
	remainingBodyTimeout = 100 * time.Millisecond
)

var (
	errResponseMismatch = errors.New("response belongs to another request")
	errUnidentified     = errors.New("response without an id on a connection that carried other requests")
	errResetBeforeEnd   = errors.New("connection lost before the end of a response without a length")
)

// pastDeadline is an expired deadline that interrupts pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// exchange sends the request on the connection and reads its response. It takes ownership of the connection, which is returned to the
// pool or closed.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) (*Response, *Failure) {
	deadline, _ := ctx.Deadline()
	if err := cn.SetDeadline(deadline); err != nil {
		cn.Close()
		return nil, &Failure{Cause: ConnectionLost, Err: err}
	}
	cn.arrived.begin(ctx)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) { // otherwise the deadline of the connection has expired
			// An error means that the connection is already closed and there is nothing to interrupt.
			_ = cn.SetDeadline(pastDeadline)
		}
	})
	body, failed := c.writeRequest(ctx, cn, r)
	if failed != nil {
		stop()
		cn.Close()
		return nil, failed
	}
	response, failed := c.readResponse(ctx, cn, r)
	if failed != nil {
		stop()
		cn.Close()
		if body.failed() {
			failed.Cause = RequestBodyFailed
		}
		return nil, failed
	}
	if body != nil && !isDelimited(response) {
		response.Body = &undelimitedBody{response.Body, cn, body}
	}
	return c.completeResponse(response, cn, stop, body)
}

// undelimitedBody is a response body that ends with its connection, beside a request body that is still being written. If the connection is reset,
// the kernel reports that once: when a write gets the error, reads get the end of the stream, and a truncated body looks complete.
type undelimitedBody struct {
	io.ReadCloser
	conn    *conn
	request *bodyWriter
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.isCutOff() {
		err = errResetBeforeEnd
	}
	return n, err
}

func (b *undelimitedBody) isCutOff() bool {
	if b.request.hasEnded() {
		return !b.request.complete
	}
	return socket.IsReset(b.conn.Conn)
}

// bodyWriter is the state of a request body that is written while the response is read. A nil bodyWriter means that the body has been
// written in full.
type bodyWriter struct {
	done      chan struct{}
	complete  bool  // the entire body was written; valid after done is closed
	sourceErr error // of Request.Stream; valid after done is closed
}

func (b *bodyWriter) failed() bool { return b.hasEnded() && b.sourceErr != nil }

// hasEnded reports whether writing has ended, whether or not it was successful.
func (b *bodyWriter) hasEnded() bool {
	if b == nil {
		return false
	}
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// isWritten waits until writing has ended, for remainingBodyTimeout at most, and reports whether the entire body was written.
func (b *bodyWriter) isWritten() bool {
	if b == nil {
		return true
	}
	select {
	case <-b.done:
		return b.complete
	case <-time.After(remainingBodyTimeout):
		return false
	}
}

// writeRequest writes the header and a short body. A long body is written in the background. If its source fails, the exchange is interrupted
// after the failure is recorded.
func (c *Client) writeRequest(ctx context.Context, cn *conn, r *Request) (*bodyWriter, *Failure) {
	header := r.encodeHeader()
	inline := r.Stream == nil && len(r.Body) <= inlineBodyBytes
	if inline {
		header = append(header, r.Body...)
	}
	n, err := cn.Write(header)
	if err != nil {
		return nil, &Failure{Sent: n > 0, Cause: causeOf(ctx, err, ConnectionLost), Err: err}
	}
	if inline {
		return nil, nil
	}
	b := &bodyWriter{done: make(chan struct{})}
	go func() {
		b.complete, b.sourceErr = r.writeBody(cn)
		close(b.done)
		if b.sourceErr != nil {
			// The peer must not take the partial body for a complete one. An error means that the connection is already closed.
			_ = cn.SetDeadline(pastDeadline)
		}
	}()
	return b, nil
}

// encodeHeader returns the encoded request line and header.
func (r *Request) encodeHeader() []byte {
	var out bytes.Buffer
	out.Grow(512 + len(r.Body))
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	switch {
	case r.Stream != nil && r.Length < 0:
		out.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Stream != nil:
		out.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return out.Bytes()
}

// writeBody writes the body. It reports whether all of it was written, and the error of its source. Write errors show when the response is
// read, unless the peer has responded before: the response may be complete although the deadline of the exchange has cut off the body.
func (r *Request) writeBody(cn *conn) (complete bool, sourceErr error) {
	if r.Stream == nil {
		_, err := cn.Write(r.Body)
		return err == nil, nil
	}
	source := &sourceReader{Reader: io.MultiReader(bytes.NewReader(r.Body), r.Stream)}
	var err error
	if r.Length < 0 {
		err = writeChunked(cn, source)
	} else if _, err = io.CopyN(cn, source, r.Length); err == io.EOF {
		source.err = io.ErrUnexpectedEOF // the source has fewer bytes than Length
	}
	return err == nil && source.err == nil, source.err
}

// writeChunked writes the source to its end with chunked encoding.
func writeChunked(w io.Writer, source io.Reader) error {
	chunks := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunks, source); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// sourceReader records the read error of the source, so that it can be distinguished from a write error of the destination.
type sourceReader struct {
	io.Reader
	err error
}

func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// readResponse returns the response to the request, with its body unread. It discards responses to other requests.
func (c *Client) readResponse(ctx context.Context, cn *conn, r *Request) (*http.Response, *Failure) {
	for range maxMismatchedResponses {
		response, failed := c.readResponseHeader(ctx, cn, r)
		if failed != nil {
			return nil, failed
		}
		echo := ""
		if c.options.EchoHeader != "" {
			echo = response.Header.Get(c.options.EchoHeader)
		}
		switch {
		case echo == r.ID:
			return response, nil
		case echo == "" && c.options.RequireEcho && cn.reused:
			return nil, &Failure{Sent: true, Cause: InvalidResponse, Err: errUnidentified}
		case echo == "":
			cn.unidentified = c.options.RequireEcho
			return response, nil
		}
		if !discardBody(cn, response) {
			break
		}
	}
	return nil, &Failure{Sent: true, Cause: InvalidResponse, Err: errResponseMismatch}
}

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// IsFinalStatus reports whether a response with the status can be the answer to a request. net/http reads any three digits as a status.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// readResponseHeader reads the header of the next final response. It skips one interim response: requests ask for none, and a peer that sends
// more, or a status that does not exist, may be out of step with the requests on the connection.
func (c *Client) readResponseHeader(ctx context.Context, cn *conn, r *Request) (*http.Response, *Failure) {
	cn.source.remaining = maxResponseHeaderBytes
	defer func() { cn.source.remaining = unbounded }()
	for interim := 0; ; interim++ {
		if _, err := cn.reader.Peek(1); err != nil {
			return nil, &Failure{Sent: true, Cause: causeOf(ctx, err, ConnectionLost), Err: err}
		}
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, &Failure{Sent: true, Cause: causeOf(ctx, err, InvalidResponse), Err: err}
		}
		switch status := response.StatusCode; {
		case IsFinalStatus(status):
			return response, nil
		case status < minStatus || status > maxStatus:
			return nil, &Failure{Sent: true, Cause: InvalidStatus, Err: fmt.Errorf("status %03d does not exist", status)}
		case interim > 0:
			return nil, &Failure{Sent: true, Cause: InvalidStatus, Err: errors.New("a second interim response")}
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, &Failure{Sent: true, Cause: InvalidResponse, Err: errors.New("unexpected switch to another protocol")}
		}
	}
}

// discardBody reads the response body to its end. It reports false if the end was not reached.
func discardBody(cn *conn, response *http.Response) bool {
	if !isDelimited(response) {
		return false
	}
	cn.source.remaining = maxMismatchedBodyBytes
	defer func() { cn.source.remaining = unbounded }()
	n, err := io.CopyN(io.Discard, response.Body, maxMismatchedBodyBytes)
	return err == io.EOF && n < maxMismatchedBodyBytes
}

// isDelimited reports whether the end of the response body shows in its bytes. Otherwise, the body ends with the connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || isChunked(response)
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// completeResponse reads the body, or only a prefix if the body is long, and then releases the connection.
func (c *Client) completeResponse(response *http.Response, cn *conn, stop func() bool, body *bodyWriter) (*Response, *Failure) {
	idleTimeout := keepAliveTimeout(response.Header.Get("Keep-Alive")) // read here, since the caller may modify the header later
	release := func(complete bool) {
		if !stop() || !complete || response.Close || idleTimeout < 0 || !cn.reusable(response, body) {
			cn.Close()
			return
		}
		cn.idleTimeout = idleTimeout
		c.pool.put(cn)
	}
	out := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if response.Body == http.NoBody {
		release(true)
		return out, nil
	}
	data, complete, reserved, err := c.bufferBody(response)
	if err != nil {
		c.options.BufferBudget.release(reserved)
		release(false)
		return nil, &Failure{Sent: true, Cause: bodyCause(err), Err: err}
	}
	out.Body = data
	if !complete {
		out.Rest = &rest{body: response.Body, release: func(complete bool) {
			c.options.BufferBudget.release(reserved)
			release(complete)
		}}
		return out, nil
	}
	out.Length = int64(len(data))
	if body == nil {
		release(true)
	} else {
		go release(true) // may wait for the rest of the request body, which need not delay the response
	}
	if reserved > 0 {
		out.Body, out.Buffered = nil, true
		out.Rest = &rest{body: io.NopCloser(bytes.NewReader(data)), release: func(bool) { c.options.BufferBudget.release(reserved) }}
	}
	return out, nil
}

func bodyCause(err error) Cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return DeadlineExceeded
	}
	return Truncated
}

// bufferBody reads a body that fits into Options.MaxBufferedBytes and the buffer budget. Of any other body it reads at most a prefix.
// reserved is the number of bytes reserved in Options.BufferBudget, which the caller must release.
func (c *Client) bufferBody(response *http.Response) (data []byte, complete bool, reserved int64, err error) {
	limit := c.options.MaxBufferedBytes
	if response.ContentLength < 0 {
		return c.bufferUnsizedBody(response, limit)
	}
	if response.ContentLength > limit {
		return nil, false, 0, nil
	}
	if response.ContentLength > shortBodyBytes {
		if !c.options.BufferBudget.reserve(response.ContentLength) {
			return nil, false, 0, nil
		}
		reserved = response.ContentLength
	}
	data = make([]byte, response.ContentLength)
	if _, err = io.ReadFull(response.Body, data); err != nil {
		return nil, false, reserved, err
	}
	// net/http reports the end of the body in a separate read.
	if _, err = response.Body.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return nil, false, reserved, err
	}
	return data, true, reserved, nil
}

// bufferUnsizedBody is bufferBody for a body of unknown length.
func (c *Client) bufferUnsizedBody(response *http.Response, limit int64) (data []byte, complete bool, reserved int64, err error) {
	first := min(limit, shortBodyBytes)
	data, err = io.ReadAll(io.LimitReader(response.Body, first+1))
	if err != nil || int64(len(data)) <= first {
		return data, err == nil, 0, err
	}
	if limit == first || !c.options.BufferBudget.reserve(limit) {
		return data, false, 0, nil
	}
	more, err := io.ReadAll(io.LimitReader(response.Body, limit-int64(len(data))+1))
	data = append(data, more...)
	return data, int64(len(data)) <= limit, limit, err
}

// reusable reports whether the connection can carry another request after this response.
func (cn *conn) reusable(response *http.Response, body *bodyWriter) bool {
	if !isDelimited(response) {
		return false
	}
	return body.isWritten() && cn.reader.Buffered() == 0 && !cn.unidentified
}

// keepAliveTimeout returns how long a connection may be idle according to a Keep-Alive header. This is half the timeout in the
// header, since the next request also needs time to arrive. It returns 0 if the header has no valid timeout, and a negative value
// if the connection must not be reused.
func keepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		switch {
		case err != nil || seconds < 0:
			return 0
		case seconds == 0:
			return -1
		}
		return time.Duration(seconds) * time.Second / 2
	}
	return 0
}

// rest reads the remainder of a response body. It calls release once: at the end of the body, after a read error, or on Close.
type rest struct {
	body    io.ReadCloser
	release func(complete bool)
	ended   bool
}

func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.end(err == io.EOF)
	}
	return n, err
}

func (r *rest) end(complete bool) {
	if !r.ended {
		r.ended = true
		r.release(complete)
	}
}

// Close discards the remainder. The connection is closed unless the body was read to its end.
func (r *rest) Close() error {
	r.end(false)
	return nil
}
