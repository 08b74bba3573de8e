package hop

import (
	"bufio"
	"context"
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

// newEndlessPeer sends prefix on the first connection and then repeats the same bytes until the client closes it. The first of these come
// with prefix, since bytes that arrive after the next request was sent cannot be told from a response to it. Requests on other connections get
// a complete response with the body "own". sent counts the bytes of the first connection.
func newEndlessPeer(t *testing.T, prefix, repeated string) (p *peer, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	block := strings.Repeat(repeated, 1+(32<<10)/len(repeated))
	return newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		if number > 1 {
			io.WriteString(c, responseTo(id, "own"))
			return
		}
		for text := prefix + block; ; text = block {
			n, err := io.WriteString(c, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}), sent
}

const (
	// maxSocketBufferBytes is an upper bound for unread data in the socket buffers of both sides.
	maxSocketBufferBytes = 16 << 20
	// maxCallDuration is far below testLimit, so that a call that ends only with its context fails the test.
	maxCallDuration = 5 * time.Second
)

// Guards against a faulty server that sends an endless stream without a valid response: the call must fail before its deadline, with
// bounded memory, and must not affect the next call.
func TestDo_EndlessResponseHeader(t *testing.T) {
	for name, c := range map[string][2]string{
		"no line ending":                  {"", "x"},
		"endless field":                   {"HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"},
		"fields":                          {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses":               {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"empty lines":                     {"", "\r\n"},
		"zeros":                           {"", "\x00"},
		"responses to other requests":     {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nx"},
		"body of a mismatched response":   {"HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer fields after last chunk": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, sent := newEndlessPeer(t, c[0], c[1])
			client := newClient(t)
			began := time.Now()
			response, failed := client.Do(testContext(t), p.address, request("a"))
			require.Nil(t, response)
			require.NotNil(t, failed)
			if name == "interim responses" {
				assert.Equal(t, InvalidStatus, failed.Cause, "the second one ends the exchange")
			} else {
				assert.Contains(t, []Cause{InvalidResponse, Truncated}, failed.Cause)
			}
			assert.True(t, failed.Sent)
			assert.Less(t, time.Since(began), maxCallDuration)
			assert.Less(t, sent.Load(), int64(maxSocketBufferBytes))
			assertNextRequestSucceeds(t, client, p)
		})
	}
}

func assertNextRequestSucceeds(t *testing.T, client *Client, p *peer) {
	response, failed := client.Do(testContext(t), p.address, request("b"))
	require.Nil(t, failed)
	assert.Equal(t, "own", string(response.Body))
	assert.EqualValues(t, 2, p.accepted.Load(), "the connection is not reused")
}

// Guards against unbounded memory for an endless body, and against reporting it as complete: it is streamed until the deadline and then
// fails.
func TestDo_EndlessResponseBody(t *testing.T) {
	for name, c := range map[string][2]string{
		"no length": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
		"chunks":    {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newEndlessPeer(t, c[0], c[1])
			client := newClient(t)
			client.options.BufferBudget = NewBufferBudget(1 << 20)
			ctx, cancel := context.WithTimeout(testContext(t), 300*time.Millisecond)
			defer cancel()
			response, failed := client.Do(ctx, p.address, request("a"))
			require.Nil(t, failed)
			assert.LessOrEqual(t, int64(len(response.Body)), client.options.MaxBufferedBytes+1)
			_, err := io.Copy(io.Discard, response.Rest)
			assert.Error(t, err)
			assert.NoError(t, response.Rest.Close())
			assert.EqualValues(t, 1<<20, client.options.BufferBudget.Available())
			assertNextRequestSucceeds(t, client, p)
		})
	}
}

// Guards against bytes after a complete response being read without limit or delivered with the next response.
func TestDo_EndlessBytesAfterResponse(t *testing.T) {
	p, sent := newEndlessPeer(t, responseTo("a", "mine"), "x")
	client := newClient(t)
	response, failed := client.Do(testContext(t), p.address, request("a"))
	require.Nil(t, failed)
	assert.Equal(t, "mine", string(response.Body))
	assertNextRequestSucceeds(t, client, p)
	assert.Less(t, sent.Load(), int64(maxSocketBufferBytes))
}

// Long bodies are buffered while the budget allows it and streamed otherwise. Guards against leaks of the budget in either case.
func TestDo_BufferBudget(t *testing.T) {
	const length = 40_000
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", length))
		}
	})
	client := New(Options{EchoHeader: "Id", BufferBudget: NewBufferBudget(length + length/2)})
	t.Cleanup(client.Close)
	do := func() *Response {
		response, failed := client.Do(testContext(t), p.address, request("a"))
		require.Nil(t, failed)
		return response
	}
	first, second := do(), do()
	assert.True(t, first.Buffered)
	assert.False(t, second.Buffered, "the budget is exhausted")
	for _, response := range []*Response{first, second} {
		assert.EqualValues(t, length, response.Length)
		body, err := io.ReadAll(response.Rest)
		assert.NoError(t, err)
		assert.Len(t, append(response.Body, body...), length)
		response.Rest.Close()
	}
	assert.EqualValues(t, length+length/2, client.options.BufferBudget.Available())
	abandoned := do()
	abandoned.Rest.Close() // without reading the body
	assert.EqualValues(t, length+length/2, client.options.BufferBudget.Available())
}

// Guards against a header limit that rejects realistic headers.
func TestDo_LongResponseHeader(t *testing.T) {
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		id, _ := readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nX: "+strings.Repeat("x", 32<<10)+"\r\nContent-Length: 4\r\n\r\nbody")
	})
	response, failed := newClient(t).Do(testContext(t), p.address, request("a"))
	require.Nil(t, failed)
	assert.Equal(t, "body", string(response.Body))
	assert.Equal(t, http.StatusOK, response.Status)
}
