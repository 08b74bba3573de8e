package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a server.
type execution struct {
	id, method, target, caller string
	body                       []byte
	at                         time.Time
}

// server is a sound backend server: it runs requests for a time, answers health checks and turns requests for another instance away.
type server struct {
	f       *fleet
	id      string
	work    time.Duration
	leaving atomic.Bool
	onRun   func(execution)

	ip string

	mu       sync.Mutex
	runs     []execution
	listener net.Listener
	conns    map[net.Conn]bool
}

func newServer(f *fleet, id string, work time.Duration) (*server, error) {
	s := &server{f: f, id: id, work: work, ip: f.nextIP(), conns: make(map[net.Conn]bool)}
	return s, s.listen()
}

// listen makes the server accept connections at its address.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go s.serve(listener)
	return nil
}

// crash closes the listener and all connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	clear(s.conns)
}

func (s *server) address() string { return s.ip + ":8080" }

func (s *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serveConn(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Laburnumcleat-Request-Attempt-Id")
		switch {
		case r.URL.Path == healthPath:
			status := "200 OK"
			if s.leaving.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(conn, "HTTP/1.1 %s\r\nLaburnumcleat-Instance-Id: %s\r\nLaburnumcleat-Server-Load: 0,0,9\r\nContent-Length: 0\r\n\r\n", status, s.id)
			continue
		case r.Header.Get("Laburnumcleat-Expected-Instance") != "" && r.Header.Get("Laburnumcleat-Expected-Instance") != s.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nLaburnumcleat-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		e := execution{id: id, method: r.Method, target: r.RequestURI, caller: r.Header.Get("Laburnumcleat-Caller-Service"), body: body, at: time.Now()}
		s.mu.Lock()
		s.runs = append(s.runs, e)
		s.mu.Unlock()
		if s.onRun != nil {
			s.onRun(e)
		}
		time.Sleep(s.work)
		text := "answer to " + id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLaburnumcleat-Request-Attempt-Id: %s\r\nLaburnumcleat-Server-Signature: %s.%s\r\nLaburnumcleat-Server-Load: 1,0,9\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(text), text); err != nil {
			return
		}
	}
}

// executions returns what has run so far.
func (s *server) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution(nil), s.runs...)
}
