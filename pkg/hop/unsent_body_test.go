package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against another request on a connection whose previous request body was cut off by the deadline of the exchange after the peer had
// responded: the peer reads the other request as the rest of that body.
func TestDo_ConnectionIsNotReusedAfterUnsentBody(t *testing.T) {
	const timeout = 300 * time.Millisecond
	body := bytes.Repeat([]byte("f"), 16<<20) // more than the socket buffers hold
	// A response reaches the pool before the deadline interrupts the body, for some of these at least.
	for _, early := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond} {
		t.Run(early.String(), func(t *testing.T) {
			t.Parallel()
			received := make(chan []byte, 1) // the body of the first request
			deadline := time.Now().Add(timeout)
			p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
				if number > 1 {
					readRequest(r)
					io.WriteString(c, responseTo("b", "second"))
					return
				}
				defer close(received)
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				time.Sleep(time.Until(deadline.Add(-early)))
				io.WriteString(c, "HTTP/1.1 504 Gateway Timeout\r\nId: a\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(2 * timeout)
				c.SetReadDeadline(time.Now().Add(10 * timeout))
				data, _ := io.ReadAll(request.Body)
				received <- data
			})
			c := newClient(t)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			r := request("a")
			r.Method, r.Body = http.MethodPost, body
			c.Do(ctx, p.address, r) // may end at the deadline as well
			time.Sleep(time.Until(deadline.Add(remainingBodyTimeout)))

			response, failed := c.Do(testContext(t), p.address, request("b"))
			assert.Empty(t, strings.TrimLeft(string(<-received), "f"), "bytes of another request in the body")
			require.Nil(t, failed)
			assert.Equal(t, "second", string(response.Body))
			assert.Equal(t, int32(2), p.accepted.Load())
		})
	}
}

// Guards against another request on a connection after a body whose source ended before the announced length: the peer takes it for the rest.
func TestDo_ConnectionIsNotReusedAfterShortSource(t *testing.T) {
	const bodyTimeout = 3 * time.Second // for the rest of the body
	responded := make(chan struct{})
	ended := make(chan error, 1)
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
		c.SetReadDeadline(time.Now().Add(bodyTimeout))
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, responseTo(request.Header.Get("Id"), "early"))
		if number > 1 {
			return
		}
		close(responded)
		_, err = io.Copy(io.Discard, request.Body)
		ended <- err
	})
	c := newClient(t)
	r := request("a")
	r.Method, r.Length = http.MethodPost, 100
	r.Stream = io.MultiReader(strings.NewReader("beginning"), &endingReader{responded})
	c.Do(testContext(t), p.address, r) // may report the failure of the source
	response, failed := c.Do(testContext(t), p.address, request("b"))
	assert.ErrorIs(t, <-ended, io.ErrUnexpectedEOF)
	require.Nil(t, failed)
	assert.Equal(t, "early", string(response.Body))
	assert.Equal(t, int32(2), p.accepted.Load())
}

// endingReader ends without an error once its channel is closed.
type endingReader struct{ end chan struct{} }

func (r *endingReader) Read([]byte) (int, error) {
	<-r.end
	return 0, io.EOF
}
