package outbound

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/transport"
)

var errLocalAborted = errors.New("the local handler aborted the response")

// serveLocal runs a handler of this process with the semantics of a request over the network. A response up to
// callctx.MaxBufferedResponse is returned when the handler has returned; a longer one is streamed.
func serveLocal(handler http.Handler, request *http.Request) (*http.Response, error) {
	request.RequestURI = request.URL.RequestURI()
	if request.Body == nil {
		request.Body = http.NoBody
	}
	w := &localWriter{header: make(http.Header), method: request.Method, result: make(chan localResult, 1)}
	go w.run(handler, request)
	select {
	case result := <-w.result:
		return result.response, result.err
	case <-request.Context().Done():
		w.abandon()
		return nil, &transport.Error{Written: true, Cause: request.Context().Err()}
	}
}

type localResult struct {
	response *http.Response
	err      error
}

// localWriter is the http.ResponseWriter for a local handler.
type localWriter struct {
	header http.Header
	method string
	result chan localResult

	mu         sync.Mutex
	status     int
	sentHeader http.Header // copy of header at the time of WriteHeader
	buffer     bytes.Buffer
	written    int64
	pipe       *io.PipeWriter // non-nil once the response is streamed
	abandoned  bool
}

func (w *localWriter) run(handler http.Handler, request *http.Request) {
	completed := false
	defer func() {
		// A panic aborts the response, as in the server of net/http.
		_ = recover()
		w.finish(completed)
	}()
	handler.ServeHTTP(w, request)
	completed = true
}

// Header implements http.ResponseWriter.
func (w *localWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. It ignores informational responses.
func (w *localWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(status)
}

func (w *localWriter) writeHeader(status int) {
	if w.status != 0 || status < 200 {
		return
	}
	w.status = status
	w.sentHeader = w.header.Clone()
}

// Write implements http.ResponseWriter.
func (w *localWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.writeHeader(http.StatusOK)
	if w.abandoned {
		w.mu.Unlock()
		return 0, errLocalAborted
	}
	if w.method == http.MethodHead || !bodyAllowed(w.status) {
		w.mu.Unlock()
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.pipe == nil && w.buffer.Len()+len(p) <= callctx.MaxBufferedResponse {
		w.buffer.Write(p)
		w.mu.Unlock()
		return len(p), nil
	}
	pipe := w.startPipe()
	w.mu.Unlock()
	return pipe.Write(p)
}

// startPipe switches to streaming and returns the response to the caller, with the buffered data first.
func (w *localWriter) startPipe() *io.PipeWriter {
	if w.pipe != nil {
		return w.pipe
	}
	reader, writer := io.Pipe()
	w.pipe = writer
	body := &pipeBody{Reader: io.MultiReader(bytes.NewReader(w.buffer.Bytes()), reader), pipe: reader}
	w.result <- localResult{response: w.response(body)}
	return writer
}

func (w *localWriter) response(body io.ReadCloser) *http.Response {
	response := &http.Response{StatusCode: w.status, Header: w.sentHeader, Body: body, ContentLength: w.declaredLength()}
	if response.ContentLength < 0 {
		response.TransferEncoding = []string{"chunked"}
	}
	return response
}

// declaredLength returns the Content-Length set by the handler, or -1 if there is none.
func (w *localWriter) declaredLength() int64 {
	n, err := strconv.ParseInt(w.sentHeader.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

func (w *localWriter) finish(complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if complete {
		w.writeHeader(http.StatusOK)
		noBody := w.method == http.MethodHead || !bodyAllowed(w.status)
		complete = noBody || w.declaredLength() < 0 || w.declaredLength() == w.written
	}
	if w.pipe != nil {
		if complete {
			w.pipe.Close()
		} else {
			w.pipe.CloseWithError(io.ErrUnexpectedEOF)
		}
		return
	}
	if !complete {
		w.result <- localResult{err: &transport.Error{Written: true, Cause: errLocalAborted}}
		return
	}
	w.result <- localResult{response: w.response(io.NopCloser(bytes.NewReader(w.buffer.Bytes())))}
}

// abandon makes later writes fail, since the caller no longer reads the response.
func (w *localWriter) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	if w.pipe != nil {
		w.pipe.CloseWithError(errLocalAborted)
	}
}

// pipeBody is the body of a streamed response. Closing it makes the handler's writes fail.
type pipeBody struct {
	io.Reader
	pipe *io.PipeReader
}

// Close implements io.Closer.
func (b *pipeBody) Close() error { return b.pipe.Close() }
