package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBufferedResponseBytes is the size up to which a response is buffered until it is complete. A longer one is written in parts, each
// when the responses to earlier requests are written.
const maxBufferedResponseBytes = 64 << 10

// responseWriter is the http.ResponseWriter of one request.
type responseWriter struct {
	conn    *conn
	request *http.Request
	number  int

	header        http.Header
	status        int
	buffered      bytes.Buffer
	headerWritten bool // status line and headers were written
	chunked       bool
	err           error
}

func newResponseWriter(c *conn, r *http.Request, number int) *responseWriter {
	return &responseWriter{conn: c, request: r, number: number, header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if !w.hasBody() {
		return len(p), nil
	}
	w.buffered.Write(p)
	if w.buffered.Len() > maxBufferedResponseBytes {
		w.flush(false)
	}
	return len(p), w.err
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.WriteHeader(http.StatusOK)
	w.flush(false)
}

// SetReadDeadline is used by http.ResponseController.
func (w *responseWriter) SetReadDeadline(t time.Time) error { return w.conn.socket.SetReadDeadline(t) }

// SetWriteDeadline is used by http.ResponseController.
func (w *responseWriter) SetWriteDeadline(t time.Time) error {
	return w.conn.socket.SetWriteDeadline(t)
}

func (w *responseWriter) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

func (w *responseWriter) closesConnection() bool { return w.header.Get("Connection") == "close" }

// flush writes the buffered part of the response. If final is true, the response is complete.
func (w *responseWriter) flush(final bool) {
	if w.err != nil {
		return
	}
	if !w.conn.awaitWriteTurn(w.number) {
		w.err = io.ErrClosedPipe
		return
	}
	var out bytes.Buffer
	if !w.headerWritten {
		w.headerWritten = true
		w.writeHeaderSection(&out, final)
	}
	w.writeBody(&out, final)
	w.buffered.Reset()
	_ = w.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, w.err = w.conn.socket.Write(out.Bytes())
}

func (w *responseWriter) writeHeaderSection(out *bytes.Buffer, final bool) {
	if w.conn.updateClosing(w.number, w.closesConnection()) {
		w.header.Set("Connection", "close")
	} else {
		w.header.Del("Connection")
	}
	if w.hasBody() && w.header.Get("Content-Length") == "" {
		if final {
			w.header.Set("Content-Length", strconv.Itoa(w.buffered.Len()))
		} else {
			w.chunked = true
			w.header.Set("Transfer-Encoding", "chunked")
		}
	}
	out.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	// A write to a buffer does not fail.
	_ = w.header.Write(out)
	out.WriteString("\r\n")
}

func (w *responseWriter) writeBody(out *bytes.Buffer, final bool) {
	if !w.chunked {
		out.Write(w.buffered.Bytes())
		return
	}
	if w.buffered.Len() > 0 {
		out.WriteString(strconv.FormatInt(int64(w.buffered.Len()), 16) + "\r\n")
		out.Write(w.buffered.Bytes())
		out.WriteString("\r\n")
	}
	if final {
		out.WriteString("0\r\n\r\n")
	}
}

// finish writes the rest of the response.
func (w *responseWriter) finish() {
	w.WriteHeader(http.StatusOK)
	w.flush(true)
	w.conn.responseWritten(w.number, w.err)
}
