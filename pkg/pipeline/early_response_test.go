package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
)

// numberedBody returns a body of which each eight bytes are their offset.
func numberedBody(size int) []byte {
	body := make([]byte, size)
	for i := 0; i < size; i += 8 {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}

// earlyBytes is the length of an early response.
const earlyBytes = 40_000

// startEarlyServer starts a server that responds to each request when it has read a part of the body, reads on, and keeps the connection. It sends
// what it has read of each body.
func startEarlyServer(t *testing.T, first int64) (address string, received <-chan []byte) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	bodies := make(chan []byte)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				requests := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					body, err := respondEarly(conn, r, first)
					bodies <- body
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), bodies
}

// respondEarly responds to a request when it has read the first bytes of the body. It returns all of the body that arrives, and an error if the rest
// was cut off.
func respondEarly(conn net.Conn, r *http.Request, first int64) ([]byte, error) {
	var body bytes.Buffer
	_, err := io.CopyN(&body, r.Body, first)
	if err == nil {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", earlyBytes, strings.Repeat("e", earlyBytes))
	}
	if err == nil {
		_, err = io.Copy(&body, r.Body)
	}
	return body.Bytes(), err
}

// Guards against other bytes where the rest of a body is due: a server responds early and reads on, while the connection discards the unread part of
// the body that is still streamed to the server.
func TestEarlyResponse_RestOfBodyHasNoGaps(t *testing.T) {
	const size, piece, uploads = 1 << 20, 16 << 10, 40
	content := numberedBody(size)
	address, received := startEarlyServer(t, size/2)
	client := hop.New(hop.Options{DialTimeout: testTimeout, UserTimeout: testTimeout}) // the test checks bytes, not times
	t.Cleanup(client.Close)
	s := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), testTimeout)
		defer cancel()
		response, failed := client.Do(ctx, address, &hop.Request{Method: r.Method, Target: "/", Host: "h", Stream: r.Body, Length: r.ContentLength})
		if !assert.Nil(t, failed) {
			return
		}
		defer response.Rest.Close()
		io.Copy(w, response.Rest)
	})
	var clients sync.WaitGroup
	for range uploads {
		clients.Go(func() {
			c, err := net.Dial("tcp", s.address)
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
				for at := 0; at < size; at += piece {
					if _, err := c.Write(content[at : at+piece]); err != nil {
						return // the connection is closed after the response
					}
					time.Sleep(time.Millisecond)
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if assert.NoError(t, err) {
				n, err := io.Copy(io.Discard, response.Body)
				assert.NoError(t, err)
				assert.EqualValues(t, earlyBytes, n)
			}
			<-sent
		})
	}
	for i := range uploads {
		select {
		case got := <-received:
			assert.True(t, bytes.HasPrefix(content, got), "other bytes in a body of %d bytes", len(got))
		case <-time.After(testTimeout):
			t.Fatalf("%d of %d bodies reached the server", i, uploads)
		}
	}
	clients.Wait()
}

// Guards against a connection that reads on, and lends its reader to another one, after a read of the body has failed while the handler, or a goroutine
// that it left behind, can still read it. That ended the process, or mixed the bytes of two clients.
func TestBody_ReadAfterTimeout(t *testing.T) {
	content := numberedBody(256)
	timedOut, read := make(chan struct{}), make(chan []byte, 1)
	s := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/next" {
			return
		}
		control := http.NewResponseController(w)
		control.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		data, err := io.ReadAll(r.Body)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		control.SetReadDeadline(time.Time{})
		close(timedOut)
		time.Sleep(50 * time.Millisecond) // the rest has arrived
		rest, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		read <- append(data, rest...)
	})
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 256\r\n\r\n" + string(content[:100]))
	<-timedOut
	c.send(string(content[100:]) + get("/next"))
	select {
	case got := <-read:
		assert.Equal(t, content, got)
	case <-time.After(testTimeout):
		t.Fatal("the rest of the body was not read")
	}
	for range 2 {
		status, _, _ := c.readResponse()
		assert.Equal(t, http.StatusOK, status)
	}
}

// Guards against a handler's goroutine that takes bytes of the next request, and against a read that is never interrupted.
func TestBody_ReadAfterHandler(t *testing.T) {
	readErr := make(chan error, 1)
	s := startServer(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/next" {
			return
		}
		started := make(chan struct{})
		go func() {
			close(started)
			_, err := io.Copy(io.Discard, r.Body)
			readErr <- err
		}()
		<-started
		time.Sleep(20 * time.Millisecond) // the goroutine waits for the body
	})
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	err := <-readErr
	assert.True(t, errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, http.ErrBodyReadAfterClose), "%v", err)
	c.send("0123456789" + get("/next")) // within unreadBodyTimeout
	status, _, closes := c.readResponse()
	assert.Equal(t, http.StatusOK, status)
	assert.False(t, closes)
	status, _, _ = c.readResponse()
	assert.Equal(t, http.StatusOK, status)
}
