// Command standin plays the clients, the backend servers and the platform's store of a small deployment around real sidecar processes, for
// the cases of the review. Each case is a scenario; see the file of the same name.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	host          = "review.example"
	beatInterval  = 1500 * time.Millisecond
	gracePeriod   = 6 * time.Second
	slots         = 9
	restartDelay  = time.Second
	bodyLimit     = 64 << 20 // as the example of the operator's configuration has it
	segmentBytes  = 1460     // segment size of the backend servers' connections
	receiveBuffer = 16 << 10 // their receive buffer: the pages say that links have small windows
)

// world is a deployment and the record of what was sent, answered and run.
type world struct {
	dir     string
	trouble bool
	start   time.Time
	store   *standin.Store
	server  *standin.Server
	nodes   []*node

	mu       sync.Mutex
	record   *bufio.Writer
	requests atomic.Int64
	done     chan struct{} // closed when the scenario ends
	restart  bool          // the platform starts a process again that has ended by itself
	ends     atomic.Int64  // of processes by themselves
	starting sync.Mutex    // held while a process is started, or the scenario ends
}

// node is a sidecar process with its backend server.
type node struct {
	id, service string
	settings    map[string]any
	callers     string // address for clients
	announce    string
	ready       string
	path        string // of the settings
	backend     *backend

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  atomic.Bool // it has ended by itself
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddresses returns free ports of a loopback address that nothing else uses as the source of its connections.
func freeAddresses(node, count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+os.Getpid()%100, os.Getpid()/100%250, node+1))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// newWorld starts the store with the configuration and one sidecar with a backend server for each name in services.
func newWorld(dir string, trouble bool, record io.Writer, d *routing.Document, services []string, handle handler) (*world, error) {
	w := &world{dir: dir, trouble: trouble, start: time.Now(), store: standin.NewStore(), record: bufio.NewWriter(record), done: make(chan struct{})}
	w.server = w.store.Serve()
	if err := w.store.Publish(d); err != nil {
		return nil, err
	}
	for i, service := range services {
		n, err := w.newNode(i, service)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		if err := n.backend.open(w, handle); err != nil {
			return nil, err
		}
		if err := n.startProcess(w); err != nil {
			return nil, err
		}
	}
	for _, n := range w.nodes {
		go n.backend.beat(w, n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, n := range w.nodes {
		for !standin.Ready(ctx, n.ready) {
			if ctx.Err() != nil {
				return nil, fmt.Errorf("node %s did not become ready", n.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second) // traffic starts some seconds after the machines do
	w.logf("%d nodes are ready", len(w.nodes))
	return w, nil
}

func (w *world) newNode(i int, service string) (*node, error) {
	n := &node{id: fmt.Sprintf("sidecar-%d", i), service: service, path: filepath.Join(w.dir, fmt.Sprintf("node-%d.json", i))}
	a, err := freeAddresses(i, 7)
	if err != nil {
		return nil, err
	}
	n.callers, n.announce, n.ready = a[0], a[3], a[4]
	n.backend = &backend{id: fmt.Sprintf("i-%d", i), service: service, address: a[6]}
	// The fields are those of deploy/sidecar.json.tmpl, the bounds those of the site.
	n.settings = map[string]any{
		"id": n.id, "region": "muscat", "data_centre": []string{"seeb", "nizwa", "sohar"}[i%3], "first_start": true, "link_mbps": 1000, "memory_mb": 284,
		"listen":  map[string]any{"callers": a[0], "nodes": a[1], "control": a[2], "announcements": a[3], "readiness": a[4], "metrics": a[5]},
		"backend": map[string]any{"service": service, "address": a[6], "announcement_interval": beatInterval.String()},
		"store":   map[string]any{"address": w.server.Address},
		"bounds": map[string]any{
			"grace_period": gracePeriod.String(), "drain": "2000ms", "config_apply": "2000ms", "retry_ratio": 0.2, "retry_slack": 60,
			"retry_window": "10s", "ready_checked_in": "1s",
		},
	}
	return n, n.writeSettings()
}

func (n *node) writeSettings() error {
	data, err := json.Marshal(n.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(n.path, data, 0o600)
}

// startProcess starts the sidecar with the command of the deploy file.
func (n *node) startProcess(w *world) error {
	log, err := os.OpenFile(n.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/laburnum-sidecar", "--settings", n.path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		select {
		case <-w.done:
		default:
			n.ended.Store(true)
			w.ends.Add(1)
			w.logf("%s: the process has ended by itself: %v", n.id, err)
		}
		close(exited)
		if w.restart {
			time.Sleep(restartDelay)
			n.startAgain(w)
		}
	}()
	return nil
}

// startAgain starts the process as the platform does after it has ended, unless the scenario has ended.
func (n *node) startAgain(w *world) {
	w.starting.Lock()
	defer w.starting.Unlock()
	select {
	case <-w.done:
		return
	default:
	}
	n.settings["first_start"] = false
	err := n.writeSettings()
	if err == nil {
		err = n.startProcess(w)
	}
	w.logf("%s: the process is started again: %v", n.id, err)
}

// close ends everything that the scenario started.
func (w *world) close() {
	w.starting.Lock()
	close(w.done)
	w.starting.Unlock()
	for _, n := range w.nodes {
		n.mu.Lock()
		cmd, exited := n.cmd, n.exited
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
		n.backend.stop()
	}
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
}

// newID returns an id for a request.
func (w *world) newID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+w.requests.Add(1)) }

func document(routes []routing.Route, services ...string) *routing.Document {
	d := &routing.Document{Version: 7, Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: bodyLimit, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}, Routes: routes}
	for _, s := range services {
		d.Services = append(d.Services, routing.Service{Name: s, HealthPath: "/health", MaxConnections: 120})
	}
	return d
}

// arrival is a request at a backend server.
type arrival struct {
	*http.Request
	backend *backend
	conn    net.Conn
	reader  *bufio.Reader
	id      string
	left    time.Duration // that the backend server was given
}

// handler serves a request of a backend server, and reports whether the connection is kept.
type handler func(w *world, a *arrival) bool

// backend is a backend server.
type backend struct {
	id, service, address string

	running  atomic.Int64
	silent   atomic.Bool // sends no announcements
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int64
	born     int64
}

// open makes the backend server accept connections. Its windows are small.
func (b *backend) open(w *world, handle handler) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			if failed == nil {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	listener, err := config.Listen(context.Background(), "tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.conns, b.born, b.sequence = listener, make(map[net.Conn]bool), time.Now().UnixMilli(), 0
	b.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(w, conn, handle)
		}
	}()
	return nil
}

// stop ends the backend server as a crash does: all of its connections are reset, and its port refuses new ones.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	b.listener.Close()
	for conn := range b.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (b *backend) serve(w *world, conn net.Conn, handle handler) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a := &arrival{Request: request, backend: b, conn: conn, reader: reader, id: request.Header.Get(wire.Headers.RequestID)}
		if ms, err := time.ParseDuration(request.Header.Get(wire.Headers.DeadlineMS) + "ms"); err == nil {
			a.left = ms
		}
		switch expected := request.Header.Get(wire.Headers.ExpectedInstance); {
		case request.URL.Path == "/health":
			a.answer(http.StatusOK, nil, wire.Headers.Instance, b.id)
		case expected != "" && expected != b.id:
			_, _ = io.Copy(io.Discard, request.Body)
			a.answer(http.StatusMisdirectedRequest, nil, wire.Headers.Instance, b.id)
		default:
			b.running.Add(1)
			keep := handle(w, a)
			b.running.Add(-1)
			if !keep {
				return
			}
		}
	}
}

// signed are the header fields of a response that a backend server made itself.
func signed() []string { return []string{wire.Headers.Signature, "3e1b.07.5a2.600.0.c9f2a4d1"} }

// answer writes a complete response with a length.
func (a *arrival) answer(status int, body []byte, fields ...string) {
	out := a.head(status, int64(len(body)), fields...)
	_, _ = a.conn.Write(append(out, body...))
}

// head returns the status line and the header of a response with a length.
func (a *arrival) head(status int, length int64, fields ...string) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), length)
	if a.id != "" {
		out = fmt.Appendf(out, "%s: %s\r\n", wire.Headers.RequestID, a.id)
	}
	out = fmt.Appendf(out, "%s: %d,0,%d\r\n", wire.LoadHeader, a.backend.running.Load(), slots)
	for i := 0; i+1 < len(fields); i += 2 {
		out = fmt.Appendf(out, "%s: %s\r\n", fields[i], fields[i+1])
	}
	return append(out, "\r\n"...)
}

// beat announces the backend server until the scenario ends.
func (b *backend) beat(w *world, n *node) {
	for {
		if !b.silent.Load() {
			b.mu.Lock()
			b.sequence++
			a := announce.Announcement{ID: b.id, Service: b.service, Address: b.address, Version: "v1", Slots: slots, Sequence: b.sequence, StartTimeMS: b.born}
			b.mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = standin.Announce(ctx, n.announce, a)
			cancel()
		}
		select {
		case <-w.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

// client is a connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// header returns the request line and the header of a request. A negative length means that it has no body.
func header(method, path, id string, deadline time.Duration, length int) []byte {
	out := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, wire.Headers.RequestID, id, wire.Headers.DeadlineMS, deadline.Milliseconds())
	if length >= 0 {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", length)
	}
	return append(out, "\r\n"...)
}

// response reads one response with its body.
func (c *client) response(method string, wait time.Duration) (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	return r, body, err
}
