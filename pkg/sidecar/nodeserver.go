package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
)

// maxBufferedBody is the longest request body, in bytes, that is buffered before the request is forwarded. A longer body is streamed, and a
// streamed request is not retried once another node may have read from it.
const maxBufferedBody = 256 << 10

// errBodyTooLarge is returned if a body exceeds the limit of the configuration.
var errBodyTooLarge = errors.New("request body exceeds the configured limit")

// newHopRequest builds the request to forward, with up to maxBufferedBody bytes of the body buffered. limit bounds the body in bytes; 0
// means no limit.
func newHopRequest(r *http.Request, id string, limit int64) (*hop.Request, error) {
	out := &hop.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: endToEndHeader(r.Header), ID: id}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return out, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > 0 && r.ContentLength <= maxBufferedBody {
		out.Body = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, out.Body)
		return out, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	out.Body = body
	if len(body) < maxBufferedBody {
		return out, nil
	}
	out.Length = r.ContentLength
	out.Stream = r.Body
	if limit > 0 && r.ContentLength < 0 {
		out.Stream = &limitedBody{reader: r.Body, remaining: limit - int64(len(body))}
	}
	return out, nil
}

// requestTarget returns the request target exactly as received.
func requestTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && (r.RequestURI[0] == '/' || r.RequestURI == "*") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// limitedBody returns an error when the body exceeds the limit, so that an oversized body is not mistaken for a complete, shorter one.
type limitedBody struct {
	reader    io.Reader
	remaining int64
}

func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// nodeHandler serves requests that other nodes forward.
type nodeHandler struct {
	id      string
	inbound *inbound
	link    *link.Link
}

// ServeHTTP passes a forwarded request to the inbound side.
func (h *nodeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r.Header.Get(headerCall))
	if err != nil {
		h.inbound.logger.Warn("forwarded_request_not_readable")
		h.writeReply(r.Context(), w, link.Due{}, &callReply{verdict: verdictNotRun, reason: reasonBadRequest}, nil)
		return
	}
	c.readExtension(extensionOf(r.Header))
	if c.node != h.id {
		h.writeReply(r.Context(), w, link.Due{}, &callReply{verdict: verdictNotRun, reason: reasonOtherNode}, nil)
		return
	}
	request, err := newHopRequest(r, r.Header.Get(h.inbound.headers.RequestID), 0)
	if err != nil {
		h.writeReply(r.Context(), w, link.Due{}, &callReply{verdict: verdictNotRun, reason: reasonBodyFailed}, nil)
		return
	}
	now := time.Now()
	due := link.Due{Target: now.Add(c.targetRemaining), Deadline: now.Add(c.deadlineRemaining)}
	reply, response := h.inbound.serve(r.Context(), c, request)
	h.writeReply(r.Context(), w, due, reply, response)
}

func (h *nodeHandler) writeReply(ctx context.Context, w http.ResponseWriter, due link.Due, reply *callReply, response *hop.Response) {
	if response != nil {
		copyHeader(w.Header(), response.Header)
	}
	w.Header().Set(headerReply, reply.encode())
	setExtension(w.Header(), reply.extension())
	if response == nil {
		writeHead(w, http.StatusServiceUnavailable, 0)
		return
	}
	if !writeResponse(ctx, w, response, h.link, due) {
		panic(http.ErrAbortHandler) // the outbound node must see that the response is incomplete
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeader(from) {
		to[name] = values
	}
}

// writeHead sends status and header without the fields that net/http adds by default. A negative length means unknown.
func writeHead(w http.ResponseWriter, status int, length int64) {
	header := w.Header()
	for _, name := range []string{"Date", "Content-Type"} {
		if _, set := header[name]; !set {
			header[name] = nil
		}
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

// writeResponse sends a response; long responses are paced by the link. It reports false if the body was truncated after its first bytes
// were sent.
func writeResponse(ctx context.Context, w http.ResponseWriter, response *hop.Response, l *link.Link, due link.Due) bool {
	if response.Rest == nil {
		writeHead(w, response.Status, response.Length)
		l.CountShort(headerBytesPerMessage + int64(len(response.Body)))
		_, _ = w.Write(response.Body) // a failed write means that the caller has disconnected
		return true
	}
	defer response.Rest.Close()
	reservation := l.Reserve(response.Length, due)
	defer reservation.Release()
	writeHead(w, response.Status, response.Length)
	body := io.MultiReader(bytes.NewReader(response.Body), response.Rest)
	_, err := io.CopyBuffer(&pacedWriter{ctx, w, reservation}, struct{ io.Reader }{body}, make([]byte, link.MaxShortBytes))
	return err == nil
}

// pacedWriter writes a long response in chunks, each when the link has capacity, and flushes every chunk.
type pacedWriter struct {
	ctx context.Context
	http.ResponseWriter
	reservation *link.Reservation
}

func (p *pacedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, err := p.reservation.NextChunk(p.ctx, len(data)-written)
		if err != nil {
			return written, err
		}
		n, err = p.ResponseWriter.Write(data[written : written+n])
		written += n
		if err != nil {
			return written, err
		}
		if flusher, ok := p.ResponseWriter.(http.Flusher); ok {
			flusher.Flush()
		}
	}
	return written, nil
}
