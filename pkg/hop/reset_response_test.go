package hop

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// respondUnsized responds to a request whose body it does not read with the beginning of a body without a length.
func respondUnsized(c *net.TCPConn, r *bufio.Reader, body string) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nConnection: close\r\n\r\n"+body)
	return true
}

// Guards against a part of a response that is delivered as a complete one: the response has no length, and the connection is reset while the
// request body is still being written. The write gets the error then, and the read the end of the stream.
func TestDo_UnsizedResponseResetDuringUpload(t *testing.T) {
	const uploads = 50
	for name, response := range map[string]int{"short": 100, "longer than the buffer": 3 * defaultMaxBufferedBytes} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, streamed %v", name, streamed), func(t *testing.T) {
				p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
					if respondUnsized(c, r, strings.Repeat("x", response)) {
						time.Sleep(time.Millisecond)
						c.SetLinger(0) // Close resets the connection
					}
				})
				client := newClient(t)
				complete := 0
				for range uploads {
					upload := bytes.Repeat([]byte("u"), 16<<20) // more than the socket buffers hold
					r := request("a")
					r.Method, r.Body = http.MethodPost, upload
					if streamed {
						r.Body, r.Stream, r.Length = nil, bytes.NewReader(upload), int64(len(upload))
					}
					got, failed := client.Do(testContext(t), p.address, r)
					if failed != nil {
						assert.True(t, failed.Sent)
						continue
					}
					if got.Rest == nil {
						complete++
						continue
					}
					if _, err := io.Copy(io.Discard, got.Rest); err == nil {
						complete++
					}
				}
				assert.Zero(t, complete, "truncated responses taken for complete ones")
			})
		}
	}
}

// Guards against a failure for a response without a length that is complete: the peer closes its side while the request body is still being written.
func TestDo_UnsizedResponseEndsDuringUpload(t *testing.T) {
	ended := make(chan struct{})
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		if respondUnsized(c, r, "all of it") {
			c.CloseWrite()
			<-ended
		}
	})
	defer close(ended)
	r := request("a")
	r.Method, r.Body = http.MethodPost, make([]byte, 16<<20)
	response, failed := newClient(t).Do(testContext(t), p.address, r)
	require.Nil(t, failed)
	assert.Equal(t, "all of it", string(response.Body))
}
