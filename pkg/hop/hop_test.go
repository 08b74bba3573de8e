package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testLimit = 30 * time.Second // only reached when a test fails

// peer is a server that passes its raw connections to a function.
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

// readRequest reads one request with its body and returns its ID.
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

func responseTo(id, body string) string {
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

func testContext(t *testing.T) context.Context {
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
			io.WriteString(c, responseTo(id, "body"))
		}
	})
	c := newClient(t)
	for _, id := range []string{"a", "b", "c"} {
		response, failed := c.Do(testContext(t), p.address, request(id))
		require.Nil(t, failed)
		assert.Equal(t, "body", string(response.Body))
		assert.Nil(t, response.Rest)
	}
	assert.EqualValues(t, 1, p.accepted.Load())
}

// Guards against faulty responses of a backend server that are delivered as complete, reported with the wrong cause, or mixed up with the
// response to the next request.
func TestDo_FaultyResponses(t *testing.T) {
	for name, c := range map[string]struct {
		rawResponse string
		reset       bool
		want        Cause
		body        string // expected body if the call succeeds
	}{
		"closed without a response":          {rawResponse: "", want: ConnectionLost},
		"reset without a response":           {rawResponse: "", reset: true, want: ConnectionLost},
		"not HTTP":                           {rawResponse: "!!! what\r\n\r\n", want: InvalidResponse},
		"truncated header":                   {rawResponse: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Le", want: InvalidResponse},
		"truncated body":                     {rawResponse: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n12345", want: Truncated},
		"truncated chunks":                   {rawResponse: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", want: Truncated},
		"only a response to another request": {rawResponse: responseTo("z", "other"), want: ConnectionLost},
		"undelimited mismatched response":    {rawResponse: "HTTP/1.1 200 OK\r\nId: z\r\n\r\nother", want: InvalidResponse},
		"late response, then the right one":  {rawResponse: responseTo("z", "other") + responseTo("a", "mine"), body: "mine"},
		"interim response first":             {rawResponse: "HTTP/1.1 102 Processing\r\n\r\n" + responseTo("a", "mine"), body: "mine"},
		"status 000":                         {rawResponse: "HTTP/1.1 000 \r\nId: a\r\nContent-Length: 4\r\n\r\nmine", want: InvalidStatus},
		"status 000, then a response":        {rawResponse: "HTTP/1.1 000 \r\n\r\n" + responseTo("a", "mine"), want: InvalidStatus},
		"signed status":                      {rawResponse: "HTTP/1.1 +99 \r\n\r\n" + responseTo("a", "mine"), want: InvalidStatus},
		"status 099":                         {rawResponse: "HTTP/1.1 099 \r\n\r\n" + responseTo("a", "mine"), want: InvalidStatus},
		"status 600":                         {rawResponse: strings.Replace(responseTo("a", "mine"), "200", "600", 1), want: InvalidStatus},
		"status 999":                         {rawResponse: strings.Replace(responseTo("a", "mine"), "200", "999", 1), want: InvalidStatus},
		"status of four digits":              {rawResponse: strings.Replace(responseTo("a", "mine"), "200", "2000", 1), want: InvalidResponse},
		"status of letters":                  {rawResponse: strings.Replace(responseTo("a", "mine"), "200", "2xx", 1), want: InvalidResponse},
		"continue first":                     {rawResponse: "HTTP/1.1 100 Continue\r\n\r\n" + responseTo("a", "mine"), body: "mine"},
		"second interim response":            {rawResponse: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + responseTo("a", "mine"), want: InvalidStatus},
		"status 599":                         {rawResponse: strings.Replace(responseTo("a", "mine"), "200", "599", 1), body: "mine"},
		"no length, delimited by close":      {rawResponse: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it", body: "all of it"},
		"no length, reset before the end":    {rawResponse: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of", reset: true, want: Truncated},
		"bytes after the response":           {rawResponse: responseTo("a", "mine") + "garbage", body: "mine"},
		"duplicate response":                 {rawResponse: responseTo("a", "mine") + responseTo("a", "mine"), body: "mine"},
		"no content":                         {rawResponse: "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n", body: ""},
	} {
		t.Run(name, func(t *testing.T) {
			delivered := make(chan struct{})
			p := newPeer(t, func(conn *net.TCPConn, r *bufio.Reader, _ int32) {
				if _, ok := readRequest(r); !ok {
					return
				}
				io.WriteString(conn, c.rawResponse)
				if c.reset {
					<-delivered // a reset discards data that the client has not read yet
					conn.SetLinger(0)
				}
			})
			client := newClient(t)
			response, failed := doWithDelayedReset(t, client, p.address, c.reset, delivered)
			if c.want != "" {
				require.NotNil(t, failed)
				assert.Equal(t, c.want, failed.Cause, failed.Error())
				assert.True(t, failed.Sent, "a request that the peer received must count as sent")
				return
			}
			require.Nil(t, failed)
			assert.Equal(t, c.body, string(response.Body))
			// Bytes after the response must not be delivered to the next request.
			response, failed = client.Do(testContext(t), p.address,
				&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, ID: "a"})
			if failed == nil {
				assert.Equal(t, c.body, string(response.Body))
			}
			assert.GreaterOrEqual(t, p.accepted.Load(), int32(1))
		})
	}
}

// doWithDelayedReset sends a request and, if reset is set, signals the peer to reset the connection 50 ms later, so that the client can
// read the data first.
func doWithDelayedReset(t *testing.T, c *Client, address string, reset bool, delivered chan struct{}) (*Response, *Failure) {
	if reset {
		time.AfterFunc(50*time.Millisecond, func() { close(delivered) })
	}
	return c.Do(testContext(t), address, request("a"))
}

func TestDo_ReplacesClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
		id, _ := readRequest(r)
		io.WriteString(c, responseTo(id, "body"))
		if number == 1 {
			c.Close()
			close(closed)
			return
		}
		readRequest(r)
	})
	c := newClient(t)
	_, failed := c.Do(testContext(t), p.address, request("a"))
	require.Nil(t, failed)
	<-closed
	require.Eventually(t, func() bool { return !c.pool.idle[p.address][0].isUsable() }, testLimit, time.Millisecond)
	response, failed := c.Do(testContext(t), p.address, request("b"))
	require.Nil(t, failed, "a connection whose close is visible must not be used")
	assert.Equal(t, "body", string(response.Body))
	assert.EqualValues(t, 2, p.accepted.Load())
}

func TestDo_ConnectionRefusedIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	_, failed := newClient(t).Do(testContext(t), listener.Addr().String(), request("a"))
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
		readErr := make(chan error, 1)
		ctx, cancel, received := end()
		p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
			readRequest(r)
			received()
			_, err := r.ReadByte()
			readErr <- err
		})
		_, failed := newClient(t).Do(ctx, p.address, request("a"))
		require.NotNil(t, failed)
		assert.Equal(t, want, failed.Cause)
		assert.True(t, failed.Sent)
		select {
		case err := <-readErr:
			assert.ErrorIs(t, err, io.EOF, "the peer sees the connection closed")
		case <-time.After(testLimit):
			t.Fatal("the connection was not closed")
		}
		cancel()
	}
}

// Guards against a response that is cut off although all of it had arrived before the deadline: the process was paused meanwhile.
func TestDo_ArrivedResponseIsReadAfterDeadline(t *testing.T) {
	const length = 20_000
	body := strings.Repeat("x", length)
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for { // the connection is reused if the response is read before the client acts on its deadline
			id, ok := readRequest(r)
			if !ok {
				return
			}
			sent := map[string]string{"whole": body, "half": body[:length/2]}[id]
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n"+sent)
		}
	})
	client := New(Options{EchoHeader: "Id", IdleTimeout: testLimit, MaxBufferedBytes: 1})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, failed := client.Do(ctx, p.address, request("whole"))
	require.Nil(t, failed)
	<-ctx.Done()
	got, err := io.ReadAll(response.Rest)
	require.NoError(t, err)
	assert.Equal(t, body, string(response.Body)+string(got))

	ctx, cancel = context.WithTimeout(t.Context(), testLimit)
	response, failed = client.Do(ctx, p.address, request("half"))
	require.Nil(t, failed)
	cancel()
	_, err = io.ReadAll(response.Rest)
	assert.Error(t, err, "a cancelled exchange ends")
}

// Guards against corrupt requests after a backend server responds before it has read a long request body: the response is delivered, and
// the rest of the body, never another request, follows on the connection.
func TestDo_EarlyResponseToLongBody(t *testing.T) {
	const size = 8 << 20 // more than the socket buffers hold
	delivered := make(chan struct{})
	next := make(chan string, 10) // IDs of later requests
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			io.WriteString(c, responseTo(id, "early"))
			if id == "a" {
				<-delivered
			} else {
				next <- id
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return // the client closed the connection
			}
		}
	})
	c := newClient(t)
	r := request("a")
	r.Method, r.Body = "POST", make([]byte, size)
	response, failed := c.Do(testContext(t), p.address, r)
	require.Nil(t, failed)
	assert.Equal(t, "early", string(response.Body))
	close(delivered)
	for _, id := range []string{"b", "c", "d"} {
		response, failed = c.Do(testContext(t), p.address, request(id))
		require.Nil(t, failed)
		assert.Equal(t, "early", string(response.Body))
		assert.Equal(t, id, <-next, "the next request must follow the complete body")
	}
}

// Guards against a data race on the response header, which the caller may modify while the rest of the request body is still being
// written. The race detector finds the fault.
func TestDo_ResponseIsMutableWhileBodyIsSent(t *testing.T) {
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			io.WriteString(c, responseTo(id, "done"))
		}
	})
	c := newClient(t)
	for range 50 {
		r := request("a")
		r.Method, r.Body = "POST", make([]byte, 100<<10)
		response, failed := c.Do(testContext(t), p.address, r)
		require.Nil(t, failed)
		response.Header.Set("Changed", "by the caller")
	}
}

// Guards against a peer that takes a partial request body for a complete one after the caller disconnects.
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
		_, failed := newClient(t).Do(testContext(t), p.address, r)
		require.NotNil(t, failed)
		assert.Equal(t, RequestBodyFailed, failed.Cause)
		assert.Error(t, <-ended, "the body is truncated")
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("caller disconnected") }

func TestDo_StreamsLongBody(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	for _, complete := range []bool{true, false} {
		p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
			readRequest(r)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1048576\r\n\r\n")
			if !complete {
				io.WriteString(c, body[:700000])
				return
			}
			io.WriteString(c, body)
		})
		response, failed := newClient(t).Do(testContext(t), p.address, request("a"))
		require.Nil(t, failed)
		require.NotNil(t, response.Rest)
		assert.EqualValues(t, len(body), response.Length)
		rest, err := io.ReadAll(response.Rest)
		if complete {
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

// Guards against a response without an id, written once more on a connection that is in use again, being taken for the response to the next
// request: a refusal would report "not run" for a request that runs.
func TestDo_UnidentifiedResponseOnReusedConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for number := 1; ; number++ {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			if number > 1 || id == "refused" {
				io.WriteString(c, refusal)
			}
			if id != "refused" {
				io.WriteString(c, responseTo(id, "mine"))
			}
		}
	})
	client := New(Options{EchoHeader: "Id", RequireEcho: true, IdleTimeout: testLimit, FreshIdleTimeout: testLimit})
	t.Cleanup(client.Close)
	do := func(id string) (*Response, *Failure) { return client.Do(testContext(t), p.address, request(id)) }
	response, failed := do("refused")
	require.Nil(t, failed, "on a new connection it can only belong to this request")
	assert.Equal(t, http.StatusServiceUnavailable, response.Status)
	response, failed = do("a")
	require.Nil(t, failed)
	assert.Equal(t, "mine", string(response.Body))
	assert.EqualValues(t, 2, p.accepted.Load(), "what follows a response without an id could not be told from it")
	response, failed = do("b")
	require.Nil(t, response)
	assert.Equal(t, InvalidResponse, failed.Cause)
	assert.True(t, failed.Sent)
	response, failed = client.Do(testContext(t), p.address, &Request{Method: "GET", Target: "/", Host: "h"})
	require.Nil(t, failed, "a request without an id gets a response without one")
	assert.Equal(t, http.StatusOK, response.Status)
}

// Guards against a response whose header is cut off, at any byte, being delivered as a complete one with an empty or short body.
func TestDo_ResponseHeaderCutAtEachByte(t *testing.T) {
	for name, head := range map[string]string{
		"sized":   "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 10\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSignature: s\r\nId: a\r\n\r\n",
		"unsized": "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\nId: a\r\n\r\n",
	} {
		p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
			if _, ok := readRequest(r); ok {
				io.WriteString(c, head[:number-1])
			}
		})
		client := newClient(t)
		for cut := range len(head) {
			response, failed := client.Do(testContext(t), p.address, request("a"))
			require.Nil(t, response, "%s, %d bytes", name, cut)
			assert.True(t, failed.Sent)
		}
	}
}
