package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client saw of a request; status 0: no answer.
type answer struct {
	status int
	signed bool
	server string
	body   string
	err    error
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
	fmt.Fprintf(conn, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nLaburnumcleat-Request-Attempt-Id: %s\r\nLaburnumcleat-Deadline-Milliseconds: %d\r\n%s\r\n", method, route, id, host, id, deadline.Milliseconds(), length)
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	signature := response.Header.Get("Laburnumcleat-Server-Signature")
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
	fmt.Fprintf(k.conn, "GET /%s/%s HTTP/1.1\r\nHost: %s\r\nLaburnumcleat-Request-Attempt-Id: %s\r\nLaburnumcleat-Deadline-Milliseconds: %d\r\n\r\n", route, id, host, id, deadline.Milliseconds())
	_ = k.conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, server: response.Header.Get("Laburnumcleat-Server-Signature"), body: string(body), err: err}
}
