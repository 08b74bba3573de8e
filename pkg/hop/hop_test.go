package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testLimit = 30 * time.Second // only reached when a test fails

// peer is a server whose connections are handled by a function that sees the raw bytes.
type peer struct {
	address  string
	accepted atomic.Int32
}

func newPeer(t *testing.T, handle func(c *net.TCPConn, r *bufio.Reader, number int32)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &peer{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			number := p.accepted.Add(1)
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c), number)
			}()
		}
	}()
	return p
}

// readRequest reads one request with its body and returns its id.
func readRequest(r *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "", false
	}
	return request.Header.Get("Id"), true
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string([]byte{byte('0' + n/10), byte('0' + n%10)}) }

func request(id string) *Request {
	return &Request{Method: "GET", Target: "/x?y", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
}

func newClient(t *testing.T) *Client {
	c := New(Options{EchoHeader: "Id", IdleTimeout: testLimit, FreshIdleTimeout: testLimit})
	t.Cleanup(c.Close)
	return c
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	return ctx
}

func TestDo_ReusesConnections(t *testing.T) {
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			io.WriteString(c, answer(id, "body"))
		}
	})
	c := newClient(t)
	for _, id := range []string{"a", "b", "c"} {
		response, failed := c.Do(within(t), p.address, request(id))
		require.Nil(t, failed)
		assert.Equal(t, "body", string(response.Body))
		assert.Nil(t, response.Rest)
	}
	assert.EqualValues(t, 1, p.accepted.Load())
}

// The answers that a faulty backend server gives, and what the caller may make of them.
func TestDo_FaultyResponses(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		reset  bool
		want   Cause
		body   string // if there is a response
	}{
		"closed without an answer":         {answer: "", want: ConnectionLost},
		"reset without an answer":          {answer: "", reset: true, want: ConnectionLost},
		"bytes that are no answer":         {answer: "!!! what\r\n\r\n", want: InvalidResponse},
		"header cut":                       {answer: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Le", want: InvalidResponse},
		"body cut":                         {answer: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n12345", want: Truncated},
		"chunks cut":                       {answer: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", want: Truncated},
		"answer to another request only":   {answer: answer("z", "other"), want: ConnectionLost},
		"foreign answer without an end":    {answer: "HTTP/1.1 200 OK\r\nId: z\r\n\r\nother", want: InvalidResponse},
		"late answer, then the right one":  {answer: answer("z", "other") + answer("a", "mine"), body: "mine"},
		"interim answer first":             {answer: "HTTP/1.1 102 Processing\r\n\r\n" + answer("a", "mine"), body: "mine"},
		"no length, ends with connection":  {answer: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it", body: "all of it"},
		"no length, reset before the end":  {answer: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of", reset: true, want: Truncated},
		"bytes behind the answer":          {answer: answer("a", "mine") + "garbage", body: "mine"},
		"a second answer behind the first": {answer: answer("a", "mine") + answer("a", "mine"), body: "mine"},
		"no content":                       {answer: "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n", body: ""},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			p := newPeer(t, func(conn *net.TCPConn, r *bufio.Reader, _ int32) {
				if _, ok := readRequest(r); !ok {
					return
				}
				io.WriteString(conn, c.answer)
				if c.reset {
					<-read // a reset discards what the other side has not read yet
					conn.SetLinger(0)
				}
			})
			client := newClient(t)
			response, failed := doAndSignal(t, client, p.address, c.reset, read)
			if c.want != "" {
				require.NotNil(t, failed)
				assert.Equal(t, c.want, failed.Cause, failed.Error())
				assert.True(t, failed.Sent, "the request was received")
				return
			}
			require.Nil(t, failed)
			assert.Equal(t, c.body, string(response.Body))
			// What stands behind the answer must not reach the next request.
			response, failed = client.Do(within(t), p.address, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, ID: "a"})
			if failed == nil {
				assert.Equal(t, c.body, string(response.Body))
			}
			assert.GreaterOrEqual(t, p.accepted.Load(), int32(1))
		})
	}
}

// doAndSignal lets a peer reset the connection after a moment in which its bytes can be read.
func doAndSignal(t *testing.T, c *Client, address string, reset bool, read chan struct{}) (*Response, *Failure) {
	if reset {
		time.AfterFunc(50*time.Millisecond, func() { close(read) })
	}
	return c.Do(within(t), address, request("a"))
}

func TestDo_ReplacesClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
		id, _ := readRequest(r)
		io.WriteString(c, answer(id, "body"))
		if number == 1 {
			c.Close()
			close(closed)
			return
		}
		readRequest(r)
	})
	c := newClient(t)
	_, failed := c.Do(within(t), p.address, request("a"))
	require.Nil(t, failed)
	<-closed
	require.Eventually(t, func() bool { return !c.pool.idle[p.address][0].isUsable() }, testLimit, time.Millisecond)
	response, failed := c.Do(within(t), p.address, request("b"))
	require.Nil(t, failed, "the close was visible before the request was sent")
	assert.Equal(t, "body", string(response.Body))
	assert.EqualValues(t, 2, p.accepted.Load())
}

func TestDo_ConnectionRefusedIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	_, failed := newClient(t).Do(within(t), listener.Addr().String(), request("a"))
	require.NotNil(t, failed)
	assert.Equal(t, &Failure{Cause: Unreachable, Err: failed.Err}, failed)
}

func TestDo_ContextEndsWhileWaitingForResponse(t *testing.T) {
	for want, end := range map[Cause]func() (context.Context, context.CancelFunc, func()){
		Cancelled: func() (context.Context, context.CancelFunc, func()) {
			ctx, cancel := context.WithCancel(context.Background())
			return ctx, cancel, cancel
		},
		DeadlineExceeded: func() (context.Context, context.CancelFunc, func()) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			return ctx, cancel, func() {}
		},
	} {
		gone := make(chan error, 1)
		ctx, cancel, received := end()
		p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
			readRequest(r)
			received()
			_, err := r.ReadByte()
			gone <- err
		})
		_, failed := newClient(t).Do(ctx, p.address, request("a"))
		require.NotNil(t, failed)
		assert.Equal(t, want, failed.Cause)
		assert.True(t, failed.Sent)
		select {
		case err := <-gone:
			assert.ErrorIs(t, err, io.EOF, "the other side learns that nobody waits")
		case <-time.After(testLimit):
			t.Fatal("the connection was not closed")
		}
		cancel()
	}
}

// A backend server that answers before it has read a long body and reads on: the answer is delivered, and the rest of the body
// is what follows on the connection, never another request.
func TestDo_EarlyResponseToLongBody(t *testing.T) {
	const size = 8 << 20 // more than the sockets hold
	delivered := make(chan struct{})
	next := make(chan string, 10) // ids of requests that follow
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			io.WriteString(c, answer(id, "early"))
			if id == "a" {
				<-delivered
			} else {
				next <- id
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return // the connection was given up
			}
		}
	})
	c := newClient(t)
	r := request("a")
	r.Method, r.Body = "POST", make([]byte, size)
	response, failed := c.Do(within(t), p.address, r)
	require.Nil(t, failed)
	assert.Equal(t, "early", string(response.Body))
	close(delivered)
	for _, id := range []string{"b", "c", "d"} {
		response, failed = c.Do(within(t), p.address, request(id))
		require.Nil(t, failed)
		assert.Equal(t, "early", string(response.Body))
		assert.Equal(t, id, <-next, "what follows the body is a request")
	}
}

// The response belongs to the caller, who may change its header while the rest of the request's body is still being sent. Fails with
// the race detector.
func TestDo_ResponseIsMutableWhileBodyIsSent(t *testing.T) {
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			io.WriteString(c, answer(id, "done"))
		}
	})
	c := newClient(t)
	for range 50 {
		r := request("a")
		r.Method, r.Body = "POST", make([]byte, 100<<10)
		response, failed := c.Do(within(t), p.address, r)
		require.Nil(t, failed)
		response.Header.Set("Changed", "by the caller")
	}
}

// A caller that breaks off while its body is passed on: the other side must not take the part for the whole.
func TestDo_RequestBodySourceFails(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		ended := make(chan error, 1)
		p := newPeer(t, func(_ *net.TCPConn, r *bufio.Reader, _ int32) {
			request, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
			ended <- err
		})
		r := request("a")
		r.Method, r.Length = "POST", length
		r.Stream = io.MultiReader(strings.NewReader("beginning"), failingReader{})
		_, failed := newClient(t).Do(within(t), p.address, r)
		require.NotNil(t, failed)
		assert.Equal(t, RequestBodyFailed, failed.Cause)
		assert.Error(t, <-ended, "the body was cut")
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("the caller has gone") }

func TestDo_StreamsLongBody(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	for _, whole := range []bool{true, false} {
		p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
			readRequest(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1048576\r\n\r\n")
			if !whole {
				io.WriteString(c, body[:700000])
				return
			}
			io.WriteString(c, body)
		})
		response, failed := newClient(t).Do(within(t), p.address, request("a"))
		require.Nil(t, failed)
		require.NotNil(t, response.Rest)
		assert.EqualValues(t, len(body), response.Length)
		rest, err := io.ReadAll(response.Rest)
		if whole {
			require.NoError(t, err)
			assert.Equal(t, len(body), len(response.Body)+len(rest))
		} else {
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 0, "timeout=10": 5 * time.Second, "max=5, timeout=3": 1500 * time.Millisecond, "timeout=0": -1, "timeout=x": 0,
	} {
		assert.Equal(t, want, keepAliveTimeout(header), header)
	}
}
