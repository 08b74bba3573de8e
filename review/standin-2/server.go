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

	"github.com/laburnumcleat/laburnumcleat/platform/wire"
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
		id := r.Header.Get(wire.Headers.RequestID)
		switch {
		case r.URL.Path == healthPath:
			status := "200 OK"
			if s.leaving.Load() {
				status = "503 Service Unavailable"
			}
			writeHealth(conn, status, s.id)
			continue
		case r.Header.Get(wire.Headers.ExpectedInstance) != "" && r.Header.Get(wire.Headers.ExpectedInstance) != s.id:
			writeMisdirected(conn, s.id)
			continue
		}
		e := execution{id: id, method: r.Method, target: r.RequestURI, caller: r.Header.Get(wire.Headers.Caller), body: body, at: time.Now()}
		s.mu.Lock()
		s.runs = append(s.runs, e)
		s.mu.Unlock()
		if s.onRun != nil {
			s.onRun(e)
		}
		time.Sleep(s.work)
		text := "answer to " + id
		if writeAnswer(conn, s.id, id, text) != nil {
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

// writeHealth answers a liveness check.
func writeHealth(w io.Writer, status, instance string) {
	fmt.Fprintf(w, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 0,0,9\r\nContent-Length: 0\r\n\r\n", status, wire.Headers.Instance, instance, wire.LoadHeader)
}

// writeMisdirected turns away a request for another instance.
func writeMisdirected(w io.Writer, instance string) {
	fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.Headers.Instance, instance)
}

// writeAnswer answers a request that has run.
func writeAnswer(w io.Writer, instance, id, text string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n%s: 1,0,9\r\nContent-Length: %d\r\n\r\n%s",
		wire.Headers.RequestID, id, wire.Headers.Signature, instance, id, wire.LoadHeader, len(text), text)
	return err
}
