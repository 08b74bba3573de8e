package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
)

// world is a small deployment: the store, and nodes with a backend each.
type world struct {
	dir         string
	record      *os.File
	network     string // of the machines, without the last number
	start       time.Time
	store       *standin.Store
	storeServer *standin.Server
	nodes       []*node

	mu     sync.Mutex
	events []event
}

// node is one sidecar process and the backend beside it.
type node struct {
	w                     *world
	id, ip, zone, service string
	slots, bytes          int
	work                  time.Duration
	linkMbps              float64
	started               bool // before
	boots                 int  // of the backend
	keepsID               bool // a new boot of the backend has the id of the one before

	sidecar *exec.Cmd
	backend *exec.Cmd
	orders  io.WriteCloser
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	return &world{dir: dir, record: record, network: network, start: time.Now(), store: store, storeServer: store.Serve()}, nil
}

// freeNetwork returns loopback addresses of machines whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(180), rand.IntN(250))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no free ports")
}

func isFree(network string) bool {
	for _, port := range []int{portNodes, portBackend, portReady, portCallers, portAnnounce, portControl, portMetrics} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", network, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill(n.sidecar)
		n.kill(n.backend)
	}
	w.storeServer.Close()
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

func (n *node) kill(c *exec.Cmd) {
	if c == nil || c.Process == nil {
		return
	}
	_ = c.Process.Kill() // an error means that it has ended
	_ = c.Wait()
}

// addNode adds a node. Call startNode then.
func (w *world) addNode(service, zone string) *node {
	i := len(w.nodes)
	n := &node{
		w: w, id: fmt.Sprintf("sidecar-%s-%d", zone, i+1), ip: fmt.Sprintf("%s%d", w.network, i+1),
		zone: zone, service: service, slots: 9, bytes: 400, work: 50 * time.Millisecond, linkMbps: 1000,
	}
	w.nodes = append(w.nodes, n)
	return n
}

// Ports of the machines.
const (
	portNodes, portBackend, portReady, portCallers, portAnnounce = 8300, 8301, 8302, 8304, 8306
	portControl, portMetrics                                     = 7620, 7621
)

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// startSidecar starts the sidecar with the command of the deploy file and settings as its template makes them.
func (n *node) startSidecar() error {
	settings := map[string]any{
		"id": n.id, "region": "muscat", "data_centre": n.zone, "first_start": !n.started, "link_mbps": n.linkMbps, "memory_mb": 284,
		"listen": map[string]any{
			"callers": n.address(portCallers), "nodes": n.address(portNodes), "control": n.address(portControl), "announcements": n.address(portAnnounce),
			"readiness": n.address(portReady), "metrics": n.address(portMetrics),
		},
		"backend": map[string]any{"service": n.service, "address": n.address(portBackend), "announcement_interval": beatInterval.String()},
		"store":   map[string]any{"address": n.w.storeServer.Address},
		"bounds": map[string]any{
			"grace_period": "6s", "drain": "2000ms", "config_apply": "2000ms", "store_recovery": "3000ms", "retry_ratio": 0.2, "retry_slack": 60, "retry_window": "10s",
			"ready_checked_in": "1s",
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(n.w.dir, n.id+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.started = true
	n.sidecar = exec.Command("target/laburnum-sidecar", "--settings", path)
	n.sidecar.Stdout, n.sidecar.Stderr = log, log
	n.sidecar.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return startOnOneCore(n.sidecar)
}

// startOnOneCore starts a process that stays on one core and sees no other, as on the users' machines.
func startOnOneCore(c *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var usual, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &usual); err != nil {
		return err
	}
	for cpu, skip := 0, rand.IntN(usual.Count()); ; cpu++ {
		if !usual.IsSet(cpu) {
			continue
		}
		if skip == 0 {
			one.Set(cpu)
			break
		}
		skip--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	err := c.Start()
	return errors.Join(err, unix.SchedSetaffinity(0, &usual))
}

// startBackend starts a new boot of the backend, under a new id.
func (n *node) startBackend() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if n.boots == 0 || !n.keepsID {
		n.boots++
	}
	n.backend = exec.Command(program, "backend", "--id", fmt.Sprintf("i-%s-%d", n.id, n.boots), "--service", n.service, "--address", n.address(portBackend),
		"--control", n.address(portAnnounce), "--slots", fmt.Sprint(n.slots), "--work", n.work.String(), "--bytes", fmt.Sprint(n.bytes))
	n.backend.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.backend.Stderr = os.Stderr
	if n.orders, err = n.backend.StdinPipe(); err != nil {
		return err
	}
	out, err := n.backend.StdoutPipe()
	if err != nil {
		return err
	}
	if err := n.backend.Start(); err != nil {
		return err
	}
	go n.w.collect(out)
	return nil
}

func (n *node) order(text string) error {
	_, err := io.WriteString(n.orders, text+"\n")
	return err
}

// collect records what a backend tells.
func (w *world) collect(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		if e.Kind != "ready" {
			w.note("backend %s of %s: %s %s %s %s", e.Backend, e.Service, e.Kind, e.ID, e.Method, e.Target)
		}
		w.mu.Lock()
		w.events = append(w.events, e)
		w.mu.Unlock()
	}
}

// runs returns the runs of each request so far.
func (w *world) runs() map[string][]event {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string][]event)
	for _, e := range w.events {
		if e.Kind == "run" {
			runs[e.ID] = append(runs[e.ID], e)
		}
	}
	return runs
}

// backendsReady returns the backends whose reports were acknowledged since a time.
func (w *world) backendsReady(since time.Time) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ready := make(map[string]bool)
	for _, e := range w.events {
		if e.Kind == "ready" && e.AtMS >= since.UnixMilli() {
			ready[e.Backend] = true
		}
	}
	return ready
}

// startAll publishes the configuration, starts everything and waits until all nodes and backends are ready.
func (w *world) startAll(d *routing.Document) error {
	if err := w.publish(d); err != nil {
		return err
	}
	begun := time.Now()
	for _, n := range w.nodes {
		if err := n.startSidecar(); err != nil {
			return err
		}
		if err := n.startBackend(); err != nil {
			return err
		}
	}
	if err := w.await(20*time.Second, "the start", func() bool { return w.allReady() && len(w.backendsReady(begun)) == len(w.nodes) }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all nodes know all backends, and settle_window has passed
	return nil
}

func (w *world) publish(d *routing.Document) error {
	err := w.store.Publish(d)
	w.note("operator: version %08x acknowledged", d.Version)
	return err
}

func (w *world) allReady() bool {
	for _, n := range w.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ready := standin.Ready(ctx, n.address(portReady))
		cancel()
		if !ready {
			return false
		}
	}
	return true
}

func (w *world) await(most time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errors.New("waited too long for " + what)
}

// answer is what a client got.
type answer struct {
	status     int // 0: none
	signed     bool
	retryAfter string
	body       string
	err        error
	took       time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d signed=%v retry-after=%q bytes=%d after %d ms", a.status, a.signed, a.retryAfter, len(a.body), a.took.Milliseconds())
}

// send sends a request on a new connection to a node, and returns the answer.
func (w *world) send(n *node, method, host, target, id, body string, budget time.Duration) answer {
	begun := time.Now()
	a := answer{}
	defer func() { w.note("client at %s: %s %s %s%s -> %v", n.id, id, method, host, target, a) }()
	conn, err := net.DialTimeout("tcp", n.address(portCallers), time.Second)
	if err != nil {
		a.err, a.took = err, time.Since(begun)
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(begun.Add(budget + 500*time.Millisecond)) // fails only on a closed connection
	if _, err = io.WriteString(conn, encodeRequest(method, host, target, id, body, budget)); err == nil {
		a, err = readAnswer(bufio.NewReader(conn), method)
	}
	a.err, a.took = err, time.Since(begun)
	return a
}

func encodeRequest(method, host, target, id, body string, budget time.Duration) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, headerID, id, headerDeadline, budget.Milliseconds())
	if body != "" || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

func readAnswer(r *bufio.Reader, method string) (answer, error) {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, signed: response.Header.Get(headerSignature) != "", retryAfter: response.Header.Get("Retry-After")}
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	return a, err
}
