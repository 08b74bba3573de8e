package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
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
