package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

// answer is what a client saw of a request; status 0: no answer.
type answer struct {
	status int
	signed bool
	server string
	body   string
	err    error
}

// requestHead returns the request line and the header of a client's request, without the last empty line.
func requestHead(method, route, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, route, id, host, wire.Headers.RequestID, id, wire.Headers.DeadlineMS, deadline.Milliseconds())
}

// get sends a GET on the route "history" over a new connection.
func get(n *node, id string) answer { return send(n, http.MethodGet, "history", id, 2*time.Second) }

// send sends a request without a body over a new connection.
func send(n *node, method, route, id string, deadline time.Duration) answer {
	conn, err := net.DialTimeout("tcp", n.settings.Listen.Callers, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	fmt.Fprintf(conn, "%s%s\r\n", requestHead(method, route, id, deadline), length)
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	signature := response.Header.Get(wire.Headers.Signature)
	return answer{status: response.StatusCode, signed: signature != "", server: signature, body: string(body), err: err}
}

// keptConn is a connection that a client keeps for many requests.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialKept(n *node) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", n.settings.Listen.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{conn, bufio.NewReader(conn)}, nil
}

// get sends a request with a time budget and waits for its answer.
func (k *keptConn) get(route, id string, deadline, wait time.Duration) answer {
	fmt.Fprintf(k.conn, "%s\r\n", requestHead(http.MethodGet, route, id, deadline))
	_ = k.conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, server: response.Header.Get(wire.Headers.Signature), body: string(body), err: err}
}
