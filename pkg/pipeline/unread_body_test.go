package pipeline

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The handler closes the connection and leaves the body unread. Guards against a reading goroutine that goes on before the close is
// recorded: it took the rest of the body for a request header and held the connection open until the header timeout.
func TestDiscardUnread_CloseIsRecordedBeforeReadingGoesOn(t *testing.T) {
	socket, peer := net.Pipe()
	defer socket.Close()
	defer peer.Close()
	c := newConn(New(nil, func() Limits { return Limits{} }, nil), socket)
	defer c.cancel()
	body := &requestBody{ReadCloser: io.NopCloser(strings.NewReader("rest")), conn: c, done: make(chan struct{})}
	closing := make(chan bool, 1)
	go func() {
		<-body.done
		c.mu.Lock()
		defer c.mu.Unlock()
		closing <- c.closing
	}()

	w := newResponseWriter(c, &http.Request{Method: http.MethodPost}, 0)
	w.Header().Set("Connection", "close")
	body.discardUnread(w)

	assert.True(t, <-closing)
}

// The handler has sent a part of its response and leaves a long body unread. Guards against a rest of the body that is run as requests.
func TestServer_UnreadBodyBehindFlushedResponse(t *testing.T) {
	var calls atomic.Int32
	f := startServer(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		io.WriteString(w, "early")
		assert.NoError(t, http.NewResponseController(w).Flush())
	})
	c := f.dial()
	body := strings.Repeat(get("/from-the-body"), 2*maxUnreadBodyBytes/len(get("/from-the-body")))
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	_, text, _ := c.readResponse()

	assert.Equal(t, "early", text)
	c.requireClosed()
	assert.EqualValues(t, 1, calls.Load())
}
