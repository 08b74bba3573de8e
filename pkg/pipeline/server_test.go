package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second // reached only when a test fails

type fixture struct {
	*Server
	t       *testing.T
	address string
	listen  net.Listener
}

func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(handler, func() Limits { return limits }, func(value any) { t.Errorf("panic: %v", value) })
	var running sync.WaitGroup
	running.Go(func() { assert.NoError(t, s.Serve(listener)) })
	t.Cleanup(func() {
		listener.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		s.CloseAfterResponses()
		assert.NoError(t, s.Wait(ctx))
		running.Wait()
	})
	return &fixture{s, t, listener.Addr().String(), listener}
}

type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	c, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{c, f.t, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *client) readResponse() (status int, body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, string(data), response.Close
}

func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Pipelined safe requests are served concurrently: no handler returns before all three have started.
func TestServer_ServesPipelinedRequestsConcurrentlyInOrder(t *testing.T) {
	var served sync.WaitGroup
	served.Add(3)
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		served.Done()
		served.Wait() // wait until all three requests are in progress
		io.WriteString(w, r.URL.Path)
	})
	c := f.dial()
	c.send(get("/1") + get("/2") + get("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		_, body, closes := c.readResponse()
		assert.Equal(t, want, body)
		assert.False(t, closes)
	}
}

func TestServer_ServesUnsafeRequestsExclusively(t *testing.T) {
	var mu sync.Mutex
	active, peak := 0, 0
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		active++
		peak = max(peak, active)
		mu.Unlock()
		body, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		io.WriteString(w, r.URL.Path+string(body))
		mu.Lock()
		active--
		mu.Unlock()
	})
	c := f.dial()
	c.send(post("/1", "a") + get("/2") + post("/3", "b") + post("/4", "c"))
	for _, want := range []string{"/1a", "/2", "/3b", "/4c"} {
		_, body, _ := c.readResponse()
		assert.Equal(t, want, body)
	}
	assert.Equal(t, 1, peak)
}

// The time of receipt includes the wait for earlier requests of the connection, because the client's timeout started when it sent
// the request.
func TestReceivedAt_IncludesQueueingTime(t *testing.T) {
	const wait = 200 * time.Millisecond
	times := make(chan time.Duration, 3)
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		times <- time.Since(ReceivedAt(r))
		time.Sleep(wait)
	})
	c := f.dial()
	c.send(strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 3))
	for turn := range 3 {
		c.readResponse()
		assert.GreaterOrEqual(t, <-times, time.Duration(turn)*wait)
	}
}

// The client disconnects while a request is served and the next one is unread. The server of net/http does not detect this.
func TestServer_DetectsDisconnectBehindPendingRequest(t *testing.T) {
	ended := make(chan struct{}, 2)
	serving := make(chan struct{}, 2)
	f := startServer(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.NoError(t, err)
		serving <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	for _, text := range []string{get("/1") + get("/2"), post("/1", "body")} {
		c := f.dial()
		c.send(text)
		<-serving
		c.Close()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("the disconnect was not detected")
		}
	}
}

func TestServer_ConnectionClose(t *testing.T) {
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/end" {
			w.Header().Set("Connection", "close")
		}
		io.WriteString(w, r.URL.Path)
	})
	for name, c := range map[string]struct {
		send   string
		closes []bool
	}{
		"client requests close":      {"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/2"), []bool{true}},
		"HTTP/1.0 client":            {"GET /1 HTTP/1.0\r\n\r\n", []bool{true}},
		"handler requests close":     {post("/end", "a"), []bool{true}},
		"stays open with keep-alive": {post("/1", "a") + get("/2"), []bool{false, false}},
		"malformed request":          {get("/1") + "what\r\n\r\n", []bool{false, true}},
		"no host":                    {"GET / HTTP/1.1\r\n\r\n", []bool{true}},
		"CR in a header value":       {"GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", []bool{true}},
	} {
		t.Run(name, func(t *testing.T) {
			conn := f.dial()
			conn.t = t
			conn.send(c.send)
			for _, want := range c.closes {
				_, _, closes := conn.readResponse()
				assert.Equal(t, want, closes)
			}
			if c.closes[len(c.closes)-1] {
				conn.requireClosed()
			}
		})
	}
}

// In a graceful shutdown, requests that were read get their responses, the last response has Connection: close, and idle
// connections are closed.
func TestCloseAfterResponses(t *testing.T) {
	serving, release := make(chan struct{}, 2), make(chan struct{})
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		serving <- struct{}{}
		<-release
		io.WriteString(w, r.URL.Path)
	})
	idle, busy := f.dial(), f.dial()
	busy.send(get("/1") + get("/2"))
	<-serving
	<-serving
	f.CloseAfterResponses()
	idle.requireClosed()
	close(release)
	_, body, closes := busy.readResponse()
	assert.Equal(t, "/1", body)
	assert.False(t, closes)
	_, body, closes = busy.readResponse()
	assert.Equal(t, "/2", body)
	assert.True(t, closes)
	busy.requireClosed()

	late := f.dial() // a connection opened after the call gets one response and is closed
	late.send(get("/3"))
	_, _, closes = late.readResponse()
	assert.True(t, closes)
}

func TestLimits(t *testing.T) {
	f := startServer(t, Limits{IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond, MaxHeaderBytes: 6000}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	})
	f.dial().requireClosed() // idle
	slow := f.dial()
	slow.send("GET / HTTP/1.1\r\nHost:")
	status, _, closes := slow.readResponse()
	assert.Equal(t, http.StatusRequestTimeout, status)
	assert.True(t, closes)
	large := f.dial()
	large.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n")
	status, _, _ = large.readResponse()
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	// The limit does not count the body, even if body and header are read together.
	body := f.dial()
	body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000))
	status, content, _ := body.readResponse()
	assert.Equal(t, http.StatusOK, status)
	assert.Len(t, content, 5000)
}

// Guards against a response that waits for the rest of a slowly sent body which the handler does not read.
func TestServer_RespondsWithoutReadingBody(t *testing.T) {
	f := startServer(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	c := f.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nbeginning")
	status, _, closes := c.readResponse()
	assert.Equal(t, http.StatusNotFound, status)
	assert.True(t, closes, "the rest of the body would be parsed as the next request")
}

func TestServer_LongResponsesAndExpectContinue(t *testing.T) {
	long := strings.Repeat("x", 300_000)
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			data, err := io.ReadAll(r.Body)
			assert.NoError(t, err)
			w.Write(data)
			return
		}
		for i := 0; i < len(long); i += 1000 {
			io.WriteString(w, long[i:i+1000])
		}
	})
	c := f.dial()
	c.send(get("/"))
	_, body, _ := c.readResponse()
	assert.Equal(t, long, body)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, line, "100 Continue")
	_, err = c.reader.ReadString('\n')
	require.NoError(t, err)
	c.send("ok")
	_, body, _ = c.readResponse()
	assert.Equal(t, "ok", body)
	c.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + get("/2"))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: "HEAD"})
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	_, body, _ = c.readResponse()
	assert.Equal(t, long, body)
}

// Guards against an aborted response that looks complete to the client.
func TestServer_AbortedResponse(t *testing.T) {
	f := startServer(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		io.WriteString(w, "12345")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	c := f.dial()
	c.send(get("/"))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.Error(t, err)
}

// Pattern: requests of different urgency on one connection. Guards against connections that are taken for pipelined though each request waits for the
// response to the one before, and the other way round.
func TestNeighbours_ShortestTargetOfAPipelinedConnection(t *testing.T) {
	targets := map[string]time.Duration{"/export": 2 * time.Second, "/view": 250 * time.Millisecond}
	var mu sync.Mutex
	shortest := map[string]time.Duration{}
	viewSeen := make(chan struct{})
	f := startServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		n := NeighboursOf(r.Context())
		n.Observe(targets[r.URL.Path])
		mu.Lock()
		shortest[r.URL.RequestURI()] = n.ShortestTarget()
		mu.Unlock()
		switch r.URL.RawQuery {
		case "held":
			<-viewSeen
		case "behind":
			close(viewSeen)
		}
	})
	c := f.dial()
	c.send("GET /export HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, c)
	c.send("GET /export?held HTTP/1.1\r\nHost: a\r\n\r\nGET /view?behind HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, c)
	readResponse(t, c)
	assert.Zero(t, shortest["/export"], "the requests are not pipelined yet")
	assert.Equal(t, 250*time.Millisecond, shortest["/view?behind"])
	assert.Zero(t, NeighboursOf(context.Background()).ShortestTarget())
}

func readResponse(t *testing.T, c *client) {
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
}
