package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
)

// bufferedBody is the longest request body that is read before the request is sent on. A longer one is streamed, and such a request
// is not sent a second time.
const bufferedBody = 256 << 10

// errBodyTooLarge means that a body exceeds the limit of the configuration.
var errBodyTooLarge = errors.New("the body exceeds the limit")

// newHopRequest reads the beginning of the body and builds the request to pass on. limit bounds the body, 0 means no bound.
func newHopRequest(r *http.Request, id string, limit int64) (*hop.Request, error) {
	out := &hop.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: passedOn(r.Header), ID: id}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return out, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > 0 && r.ContentLength <= bufferedBody {
		out.Body = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, out.Body)
		return out, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bufferedBody))
	if err != nil {
		return nil, err
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	out.Body = body
	if len(body) < bufferedBody {
		return out, nil
	}
	out.Length = r.ContentLength
	out.Stream = r.Body
	if limit > 0 && r.ContentLength < 0 {
		out.Stream = &limitedBody{reader: r.Body, left: limit - int64(len(body))}
	}
	return out, nil
}

// requestTarget is the request target as the sender wrote it.
func requestTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && (r.RequestURI[0] == '/' || r.RequestURI == "*") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// limitedBody fails when more than the limit is read, so that a body which is too long is not taken for a shorter one.
type limitedBody struct {
	reader io.Reader
	left   int64
}

func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
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

// ServeHTTP hands a forwarded request to the backend server.
func (h *nodeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r.Header.Get(headerCall))
	if err != nil {
		h.inbound.logger.Warn("forwarded_request_not_readable")
		h.write(r.Context(), w, &ruling{verdict: notRun, reason: reasonBadRequest}, nil)
		return
	}
	if c.node != h.id {
		h.write(r.Context(), w, &ruling{verdict: notRun, reason: reasonNode}, nil)
		return
	}
	request, err := newHopRequest(r, r.Header.Get(h.inbound.headers.RequestID), 0)
	if err != nil {
		h.write(r.Context(), w, &ruling{verdict: notRun, reason: reasonBody}, nil)
		return
	}
	ruled, response := h.inbound.serve(r.Context(), c, request)
	h.write(r.Context(), w, ruled, response)
}

func (h *nodeHandler) write(ctx context.Context, w http.ResponseWriter, ruled *ruling, response *hop.Response) {
	if response == nil {
		w.Header().Set(headerReply, ruled.encode())
		writeHead(w, http.StatusServiceUnavailable, 0)
		return
	}
	copyHeader(w.Header(), response.Header)
	w.Header().Set(headerReply, ruled.encode())
	if !writeResponse(ctx, w, response, h.link) {
		panic(http.ErrAbortHandler) // the other node must see that the response is incomplete
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range passedOn(from) {
		to[name] = values
	}
}

// writeHead sends status and header without what net/http would add by itself.
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

// writeResponse sends a response, a long one when its turn on the link comes. It reports false if the body broke off after its
// first bytes were sent.
func writeResponse(ctx context.Context, w http.ResponseWriter, response *hop.Response, l *link.Link) bool {
	if response.Rest == nil {
		writeHead(w, response.Status, response.Length)
		l.CountShort(int64(len(response.Body)))
		_, _ = w.Write(response.Body) // a failed write means that the caller is gone
		return true
	}
	defer response.Rest.Close()
	turn := l.Reserve(response.Length)
	defer turn.Release()
	writeHead(w, response.Status, response.Length)
	body := io.MultiReader(bytes.NewReader(response.Body), response.Rest)
	_, err := io.CopyBuffer(&pacedWriter{ctx, w, turn}, struct{ io.Reader }{body}, make([]byte, link.MaxShortBytes))
	return err == nil
}

// pacedWriter passes the pieces of a long response on as they arrive and the link has room.
type pacedWriter struct {
	ctx context.Context
	http.ResponseWriter
	turn *link.Reservation
}

func (p *pacedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, err := p.turn.NextChunk(p.ctx, len(data)-written)
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
