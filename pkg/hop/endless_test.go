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

// endlessPeer answers the first connection with a beginning and then the same bytes again and again until the other side closes. Others
// get their own answer.
func endlessPeer(t *testing.T, beginning, again string) (p *peer, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	piece := strings.Repeat(again, 1+(32<<10)/len(again))
	return newPeer(t, func(c *net.TCPConn, r *bufio.Reader, number int32) {
		id, ok := readRequest(r)
		if !ok {
			return
		}
		if number > 1 {
			io.WriteString(c, answer(id, "own"))
			return
		}
		for text := beginning; ; text = piece {
			n, err := io.WriteString(c, text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}), sent
}

const (
	// socketBytes is what the sockets of both sides may hold of what the client has not read.
	socketBytes = 16 << 20
	// endsWithin is far below what a peer could send until testLimit.
	endsWithin = 5 * time.Second
)

// A server in trouble sends bytes that are no answer until the caller closes. The call ends by itself, and neither its memory nor the
// next call depends on how much comes.
func TestDo_EndlessResponseHeader(t *testing.T) {
	for name, c := range map[string][2]string{
		"no line ends":        {"", "x"},
		"one field":           {"HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"},
		"fields":              {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim answers":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"empty lines":         {"", "\r\n"},
		"zeros":               {"", "\x00"},
		"answers of others":   {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nx"},
		"body of another":     {"HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"fields behind chunk": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, sent := endlessPeer(t, c[0], c[1])
			client := newClient(t)
			began := time.Now()
			response, failed := client.Do(within(t), p.address, request("a"))
			require.Nil(t, response)
			require.NotNil(t, failed)
			assert.Contains(t, []Cause{InvalidResponse, Truncated}, failed.Cause)
			assert.True(t, failed.Sent)
			assert.Less(t, time.Since(began), endsWithin)
			assert.Less(t, sent.Load(), int64(socketBytes))
			assertOwnAnswer(t, client, p)
		})
	}
}

func assertOwnAnswer(t *testing.T, client *Client, p *peer) {
	response, failed := client.Do(within(t), p.address, request("b"))
	require.Nil(t, failed)
	assert.Equal(t, "own", string(response.Body))
	assert.EqualValues(t, 2, p.accepted.Load(), "the connection is not used again")
}

// A body without end is passed on until the deadline, in bounded memory, and then ends as one that is not complete.
func TestDo_EndlessResponseBody(t *testing.T) {
	for name, c := range map[string][2]string{
		"no length": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
		"chunks":    {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := endlessPeer(t, c[0], c[1])
			client := newClient(t)
			client.options.BufferBudget = NewBufferBudget(1 << 20)
			ctx, cancel := context.WithTimeout(within(t), 300*time.Millisecond)
			defer cancel()
			response, failed := client.Do(ctx, p.address, request("a"))
			require.Nil(t, failed)
			assert.LessOrEqual(t, int64(len(response.Body)), client.options.MaxBufferedBytes+1)
			_, err := io.Copy(io.Discard, response.Rest)
			assert.Error(t, err)
			assert.NoError(t, response.Rest.Close())
			assert.EqualValues(t, 1<<20, client.options.BufferBudget.Available())
			assertOwnAnswer(t, client, p)
		})
	}
}

// Bytes without end behind a whole answer belong to nobody.
func TestDo_EndlessBytesAfterResponse(t *testing.T) {
	p, sent := endlessPeer(t, answer("a", "mine"), "x")
	client := newClient(t)
	response, failed := client.Do(within(t), p.address, request("a"))
	require.Nil(t, failed)
	assert.Equal(t, "mine", string(response.Body))
	assertOwnAnswer(t, client, p)
	assert.Less(t, sent.Load(), int64(socketBytes))
}

// Long bodies are taken whole while there is memory for them. Otherwise they are streamed, and no memory is lost either way.
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
		response, failed := client.Do(within(t), p.address, request("a"))
		require.Nil(t, failed)
		return response
	}
	first, second := do(), do()
	assert.True(t, first.Buffered)
	assert.False(t, second.Buffered, "there is no memory for a second one")
	for _, response := range []*Response{first, second} {
		assert.EqualValues(t, length, response.Length)
		body, err := io.ReadAll(response.Rest)
		assert.NoError(t, err)
		assert.Len(t, append(response.Body, body...), length)
		response.Rest.Close()
	}
	assert.EqualValues(t, length+length/2, client.options.BufferBudget.Available())
	given := do()
	given.Rest.Close() // the caller gave up
	assert.EqualValues(t, length+length/2, client.options.BufferBudget.Available())
}

// A head of a length that servers may well send is read.
func TestDo_LongResponseHeader(t *testing.T) {
	p := newPeer(t, func(c *net.TCPConn, r *bufio.Reader, _ int32) {
		id, _ := readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nX: "+strings.Repeat("x", 32<<10)+"\r\nContent-Length: 4\r\n\r\nbody")
	})
	response, failed := newClient(t).Do(within(t), p.address, request("a"))
	require.Nil(t, failed)
	assert.Equal(t, "body", string(response.Body))
	assert.Equal(t, http.StatusOK, response.Status)
}
