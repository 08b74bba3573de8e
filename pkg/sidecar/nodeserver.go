package sidecar

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
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
}

// ServeHTTP hands a forwarded request to the backend server.
func (h *nodeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r.Header.Get(headerCall))
	if err != nil {
		h.inbound.logger.Warn("forwarded_request_not_readable")
		h.write(w, &ruling{verdict: notRun, reason: reasonBadRequest}, nil)
		return
	}
	if c.node != h.id {
		h.write(w, &ruling{verdict: notRun, reason: reasonNode}, nil)
		return
	}
	request, err := newHopRequest(r, r.Header.Get(h.inbound.headers.RequestID), 0)
	if err != nil {
		h.write(w, &ruling{verdict: notRun, reason: reasonBody}, nil)
		return
	}
	ruled, response := h.inbound.serve(r.Context(), c, request)
	h.write(w, ruled, response)
}

func (h *nodeHandler) write(w http.ResponseWriter, ruled *ruling, response *hop.Response) {
	if response == nil {
		w.Header().Set(headerReply, ruled.encode())
		writeHead(w, http.StatusServiceUnavailable, 0)
		return
	}
	copyHeader(w.Header(), response.Header)
	w.Header().Set(headerReply, ruled.encode())
	if !writeResponse(w, response) {
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

// writeResponse sends a response. It reports false if the body broke off after its first bytes were sent.
func writeResponse(w http.ResponseWriter, response *hop.Response) bool {
	writeHead(w, response.Status, response.Length)
	_, err := w.Write(response.Body)
	if response.Rest == nil {
		return true // a failed write means that the caller is gone
	}
	defer response.Rest.Close()
	if err != nil {
		return false
	}
	_, err = io.Copy(flushingWriter{w}, response.Rest)
	return err == nil
}

// flushingWriter passes pieces of a long response on as they arrive.
type flushingWriter struct{ http.ResponseWriter }

func (f flushingWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if flusher, ok := f.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
	return n, err
}
