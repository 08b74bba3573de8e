// Command cases runs the cases of the second review: sidecar processes as the deploy file starts them, with stand-ins for the store, the
// backend servers and the clients on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
	"github.com/laburnumcleat/laburnumcleat/platform/standin"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
	"github.com/laburnumcleat/laburnumcleat/standin/child"
)

const (
	program      = "target/laburnum-sidecar" // as in deploy/system.toml
	beatInterval = 1500 * time.Millisecond
	drainBound   = 2 * time.Second
	gracePeriod  = 6 * time.Second
	startTimeout = 20 * time.Second
	callTimeout  = time.Second
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment.
type fleet struct {
	*record
	dir   string
	store *standin.Store
	at    *standin.Server
	nodes []*node
	ips   int // loopback addresses that were given out
}

// node is one sidecar process and the address of the backend server beside it.
type node struct {
	settings *sidecar.Settings
	file     string
	process  *child.Process
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	return &fleet{record: r, dir: dir, store: store, at: store.Serve()}, nil
}

// nextIP returns a loopback address on which no port of a node or a server is in use.
func (f *fleet) nextIP() string {
	for {
		f.ips++
		ip := fmt.Sprintf("127.%d.%d.%d", 90+os.Getpid()%100, os.Getpid()/100%250, f.ips)
		if isFree(ip) {
			return ip
		}
	}
}

func isFree(ip string) bool {
	for _, port := range []string{"7001", "7002", "7003", "7004", "7005", "7006", "8080"} {
		listener, err := net.Listen("tcp", ip+":"+port)
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// addNode prepares a node beside the backend server at an address, with the settings of a small deployment.
func (f *fleet) addNode(dataCentre, service, backend string, adjust func(*sidecar.Settings)) *node {
	id := fmt.Sprintf("sidecar-%s-%d", dataCentre, len(f.nodes)+1)
	ip := f.nextIP()
	s := &sidecar.Settings{
		ID: id, Region: "muscat", DataCentre: dataCentre, FirstStart: true, LinkMbps: 1000, MemoryMB: 284, LogLevel: "info",
		Listen: sidecar.Listen{
			Callers: ip + ":7001", Nodes: ip + ":7002", Control: ip + ":7003", Announcements: ip + ":7004", Readiness: ip + ":7005", Metrics: ip + ":7006",
		},
		Backend: sidecar.Backend{Service: service, Address: backend, AnnouncementInterval: sidecar.Duration(beatInterval)},
		Store:   sidecar.Store{Address: f.at.Address},
		Bounds: sidecar.Bounds{
			GracePeriod: sidecar.Duration(gracePeriod), Drain: sidecar.Duration(drainBound), ConfigApply: sidecar.Duration(2 * time.Second),
			StoreRecovery: sidecar.Duration(3 * time.Second), RetryRatio: 0.2, RetrySlack: 60, RetryWindow: sidecar.Duration(10 * time.Second),
			ReadinessInterval: sidecar.Duration(time.Second),
		},
	}
	if adjust != nil {
		adjust(s)
	}
	n := &node{settings: s, file: filepath.Join(f.dir, id+".json")}
	n.process = child.New(filepath.Join(f.dir, id+".log"), program, "--settings", n.file)
	f.nodes = append(f.nodes, n)
	return n
}

// start writes the settings of a node and starts its process.
func (f *fleet) start(n *node) error {
	data, err := json.MarshalIndent(n.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file, data, 0o600); err != nil {
		return err
	}
	f.printf("start %s", n.settings.ID)
	return n.process.Start()
}

// signal sends a signal to a node and waits until its process has ended.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.printf("send %s to %s", s, n.settings.ID)
	_ = n.process.Signal(s)
	_ = n.process.Wait(2 * gracePeriod)
	f.printf("%s has ended", n.settings.ID)
}

// lastPanic returns the first line of the latest panic in the output of a node, or "no panic".
func (f *fleet) lastPanic(n *node) string {
	data, err := os.ReadFile(filepath.Join(f.dir, n.settings.ID+".log"))
	if err != nil {
		return err.Error()
	}
	last := "no panic"
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			last = line
		}
	}
	return last
}

// restart starts a node again; the fleet has run before.
func (f *fleet) restart(n *node) error {
	n.settings.FirstStart = false
	return f.start(n)
}

// close ends all processes.
func (f *fleet) close(keepLogs bool) {
	for _, n := range f.nodes {
		_ = n.process.Signal(syscall.SIGKILL)
		_ = n.process.Wait(gracePeriod)
	}
	f.at.Close()
	if keepLogs {
		fmt.Println("logs in", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}

// document returns a configuration with the limits of the pages' example.
func document(version uint64, routes ...routing.Route) *routing.Document {
	d := &routing.Document{Version: version, Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}, Routes: routes}
	known := map[string]bool{}
	for _, r := range routes {
		for _, to := range r.Destinations {
			if !known[to.Service] {
				d.Services = append(d.Services, routing.Service{Name: to.Service, HealthPath: healthPath, MaxConnections: 120})
			}
			known[to.Service] = true
		}
	}
	return d
}

func route(name, service string, idempotent bool, target, timeout time.Duration, attempts int) routing.Route {
	return routing.Route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Idempotent: idempotent, TargetMS: target.Milliseconds(), TimeoutMS: timeout.Milliseconds(),
		MaxAttempts: attempts, Destinations: []routing.Destination{{Service: service, Weight: 1}},
	}
}

// await calls f until it returns true, for startTimeout at most.
func await(f func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return errors.New("the deployment did not become ready in time")
}

func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return standin.Ready(ctx, n.settings.Listen.Readiness)
}

// beats sends liveness reports of one boot of a backend server.
type beats struct {
	f    *fleet
	node *node

	mu   sync.Mutex
	next announce.Announcement
	stop chan struct{}
}

func newBeats(f *fleet, n *node, id string, slots int) *beats {
	return &beats{f: f, node: n, stop: make(chan struct{}), next: announce.Announcement{
		ID: id, Service: n.settings.Backend.Service, Address: n.settings.Backend.Address, Version: "v1", Slots: slots, StartTimeMS: time.Now().UnixMilli(),
	}}
}

// run sends a report every beatInterval until halt.
func (b *beats) run() {
	for {
		b.send(b.take(false))
		select {
		case <-b.stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (b *beats) halt() { close(b.stop) }

// take returns the next report.
func (b *beats) take(draining bool) announce.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next.Sequence++
	b.next.Draining = b.next.Draining || draining
	return b.next
}

// send delivers a report and returns whether it was acknowledged.
func (b *beats) send(a announce.Announcement) bool {
	status, err := b.node.report(a, b.node.settings.DataCentre)
	b.f.printf("report of %s to %s: sequence %d draining %v: status %d, error %v", a.ID, b.node.settings.ID, a.Sequence, a.Draining, status, err)
	return err == nil && status/100 == 2
}

// report sends a liveness report to a node and returns the status of the answer. An empty zone is left out.
func (n *node) report(a announce.Announcement, zone string) (int, error) {
	state, cold := wire.StateReady, sidecar.Duration(a.ColdRemaining)
	if a.Draining {
		state = wire.StateDraining
	}
	known, err := json.Marshal(wire.Heartbeat{
		Service: &a.Service, Address: &a.Address, Version: a.Version, Slots: &a.Slots, State: &state, ColdRemaining: &cold, Sequence: &a.Sequence, Born: &a.StartTimeMS,
	})
	if err != nil {
		return 0, err
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(known))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return 0, err
	}
	if zone != "" {
		fields["zone"] = zone
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.settings.Listen.Announcements+wire.InstancesPath+a.ID, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// leave sends DELETE and returns whether it was acknowledged.
func (b *beats) leave() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := standin.Leave(ctx, b.node.settings.Listen.Announcements, b.next.ID)
	b.f.printf("DELETE of %s to %s: acknowledged %v", b.next.ID, b.node.settings.ID, err == nil)
	return err == nil
}
