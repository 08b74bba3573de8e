package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// inlineBodyBytes is the longest body that is written before the response is awaited. A backend server may answer before it
	// reads a longer one, and the windows of a connection may be too small to hold it.
	inlineBodyBytes = 4 << 10
	// shortBodyBytes is the longest response body that does not count against Options.Buffers.
	shortBodyBytes = 16 << 10
	// maxHeadBytes bounds what is read for the head of a response, those before the final one included. Servers send a few hundred
	// bytes; one in trouble may never end.
	maxHeadBytes = 64 << 10
	// maxForeign bounds the responses to other requests that are skipped.
	maxForeign = 4
	// maxForeignBytes bounds the body of a response that is skipped.
	maxForeignBytes = 1 << 20
	// bodyAfterAnswer is how long the rest of a body may still be written after an early answer before the connection is
	// given up.
	bodyAfterAnswer = 100 * time.Millisecond
)

var (
	errForeign = errors.New("the response belongs to another request")
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// exchange sends the request on the connection and reads its response. The connection is kept or closed.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) (*Response, *Failure) {
	deadline, _ := ctx.Deadline()
	if err := cn.SetDeadline(deadline); err != nil {
		cn.Close()
		return nil, &Failure{Cause: ConnectionLost, Err: err}
	}
	stop := context.AfterFunc(ctx, func() {
		// The connection may have ended by itself; then there is nothing to interrupt.
		_ = cn.SetDeadline(past)
	})
	body, failed := c.write(ctx, cn, r)
	if failed != nil {
		stop()
		cn.Close()
		return nil, failed
	}
	response, failed := c.read(ctx, cn, r)
	if failed != nil {
		stop()
		cn.Close()
		if body.failed() {
			failed.Cause = RequestBodyFailed
		}
		return nil, failed
	}
	return c.finish(response, cn, stop, body)
}

// bodyWriter is the state of a body that is written while the response is awaited. A nil one has been written.
type bodyWriter struct {
	done chan struct{}
	err  error // of the source; valid after done
}

func (b *bodyWriter) failed() bool {
	if b == nil {
		return false
	}
	select {
	case <-b.done:
		return b.err != nil
	default:
		return false
	}
}

// write sends the header and a short body, and starts to send a long one.
func (c *Client) write(ctx context.Context, cn *conn, r *Request) (*bodyWriter, *Failure) {
	head := r.head()
	inline := r.Stream == nil && len(r.Body) <= inlineBodyBytes
	if inline {
		head = append(head, r.Body...)
	}
	n, err := cn.Write(head)
	if err != nil {
		return nil, &Failure{Sent: n > 0, Cause: causeOf(ctx, err, ConnectionLost), Err: err}
	}
	if inline {
		return nil, nil
	}
	b := &bodyWriter{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		b.err = r.writeBody(cn)
	}()
	return b, nil
}

// head formats the request line and the header.
func (r *Request) head() []byte {
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

// writeBody sends the body. If its source fails the connection is interrupted, so that the other side does not take what it has
// for the whole. An error of the connection itself shows when the response is read.
func (r *Request) writeBody(cn *conn) error {
	if r.Stream == nil {
		_, _ = cn.Write(r.Body)
		return nil
	}
	source := &sourceReader{Reader: io.MultiReader(bytes.NewReader(r.Body), r.Stream)}
	if r.Length >= 0 {
		if n, _ := io.Copy(cn, io.LimitReader(source, r.Length)); n < r.Length && source.err == nil {
			return nil
		}
	} else {
		chunks := httputil.NewChunkedWriter(cn)
		if _, err := io.Copy(chunks, source); err == nil {
			_ = chunks.Close()
			_, _ = io.WriteString(cn, "\r\n")
		}
	}
	if source.err != nil {
		_ = cn.SetDeadline(past)
	}
	return source.err
}

// sourceReader remembers the error of the source, as opposed to that of the destination.
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

// read returns the response to the request, with its body unread. Responses to other requests are skipped.
func (c *Client) read(ctx context.Context, cn *conn, r *Request) (*http.Response, *Failure) {
	for range maxForeign {
		response, failed := c.readHead(ctx, cn, r)
		if failed != nil {
			return nil, failed
		}
		echo := ""
		if c.options.EchoHeader != "" {
			echo = response.Header.Get(c.options.EchoHeader)
		}
		if echo == "" || echo == r.ID {
			return response, nil
		}
		if !skip(response) {
			break
		}
	}
	return nil, &Failure{Sent: true, Cause: InvalidResponse, Err: errForeign}
}

// readHead reads the header of the next final response.
func (c *Client) readHead(ctx context.Context, cn *conn, r *Request) (*http.Response, *Failure) {
	cn.source.left = maxHeadBytes
	defer func() { cn.source.left = unbounded }()
	for {
		if _, err := cn.reader.Peek(1); err != nil {
			return nil, &Failure{Sent: true, Cause: causeOf(ctx, err, ConnectionLost), Err: err}
		}
		response, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, &Failure{Sent: true, Cause: causeOf(ctx, err, InvalidResponse), Err: err}
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, &Failure{Sent: true, Cause: InvalidResponse, Err: errors.New("the connection was switched to another protocol")}
		}
	}
}

// skip reads a foreign response to its end. It reports false if the end cannot be found.
func skip(response *http.Response) bool {
	if response.ContentLength < 0 && !isChunked(response) {
		return false
	}
	n, err := io.CopyN(io.Discard, response.Body, maxForeignBytes)
	return err == io.EOF && n < maxForeignBytes
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// finish reads the body, or its beginning if it is long.
func (c *Client) finish(in *http.Response, cn *conn, stop func() bool, body *bodyWriter) (*Response, *Failure) {
	idleFor := keepAliveTimeout(in.Header.Get("Keep-Alive")) // now, since the caller may change the header later
	release := func(complete bool) {
		if !stop() || !complete || in.Close || idleFor < 0 || !cn.reusable(in, body) {
			cn.Close()
			return
		}
		cn.idleFor = idleFor
		c.pool.put(cn)
	}
	out := &Response{Status: in.StatusCode, Header: in.Header, Length: in.ContentLength}
	if in.Body == http.NoBody {
		release(true)
		return out, nil
	}
	data, whole, held, err := c.readBody(in)
	if err != nil {
		c.options.BufferBudget.giveBack(held)
		release(false)
		return nil, &Failure{Sent: true, Cause: bodyCause(err), Err: err}
	}
	out.Body = data
	if !whole {
		out.Rest = &rest{body: in.Body, release: func(complete bool) {
			c.options.BufferBudget.giveBack(held)
			release(complete)
		}}
		return out, nil
	}
	out.Length = int64(len(data))
	if body == nil {
		release(true)
	} else {
		go release(true) // waits for the rest of the request's body, which the response need not wait for
	}
	if held > 0 {
		out.Body, out.Buffered = nil, true
		out.Rest = &rest{body: io.NopCloser(bytes.NewReader(data)), release: func(bool) { c.options.BufferBudget.giveBack(held) }}
	}
	return out, nil
}

func bodyCause(err error) Cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return DeadlineExceeded
	}
	return Truncated
}

// readBody reads a body that fits into Options.MaxBufferedBytes and the memory for long ones. Of another it reads the beginning at most.
// held is what was taken from Options.Buffers.
func (c *Client) readBody(in *http.Response) (data []byte, whole bool, held int64, err error) {
	limit := c.options.MaxBufferedBytes
	if in.ContentLength < 0 {
		return c.readUnknown(in, limit)
	}
	if in.ContentLength > limit {
		return nil, false, 0, nil
	}
	if in.ContentLength > shortBodyBytes {
		if !c.options.BufferBudget.take(in.ContentLength) {
			return nil, false, 0, nil
		}
		held = in.ContentLength
	}
	data = make([]byte, in.ContentLength)
	if _, err = io.ReadFull(in.Body, data); err != nil {
		return nil, false, held, err
	}
	// Reaches the end of the body, which net/http reports separately.
	if _, err = in.Body.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return nil, false, held, err
	}
	return data, true, held, nil
}

// readUnknown is readBody for a body whose length was not stated.
func (c *Client) readUnknown(in *http.Response, limit int64) (data []byte, whole bool, held int64, err error) {
	first := min(limit, shortBodyBytes)
	data, err = io.ReadAll(io.LimitReader(in.Body, first+1))
	if err != nil || int64(len(data)) <= first {
		return data, err == nil, 0, err
	}
	if limit == first || !c.options.BufferBudget.take(limit) {
		return data, false, 0, nil
	}
	more, err := io.ReadAll(io.LimitReader(in.Body, limit-int64(len(data))+1))
	data = append(data, more...)
	return data, int64(len(data)) <= limit, limit, err
}

// reusable reports whether the connection can carry another request after this response.
func (cn *conn) reusable(in *http.Response, body *bodyWriter) bool {
	if in.ContentLength < 0 && !isChunked(in) {
		return false // the body ended with the connection
	}
	if body != nil {
		select {
		case <-body.done:
		case <-time.After(bodyAfterAnswer):
			return false
		}
		if body.err != nil {
			return false
		}
	}
	return cn.reader.Buffered() == 0
}

// keepAliveTimeout returns how long a connection may be idle according to a Keep-Alive header: half of what the header
// says, since the request also needs time to arrive. It is 0 if the header does not say, and negative if the connection is not
// to be used again.
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

// rest is the remainder of a long body.
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

// Close gives up the remainder. The connection is closed unless the body was read to its end.
func (r *rest) Close() error {
	r.end(false)
	return nil
}
