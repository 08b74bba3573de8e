package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
	"github.com/laburnumcleat/laburnumcleat/standin/child"
)

// Ports of every node. Each node has its own loopback IP address.
const (
	portCalls   = 7001
	portNodes   = 7002
	portControl = 7003
	portAPI     = 7004
	portBackend = 7100
	portLog     = 7200
)

// ControlPort is the port suffix of every node's address for control messages, which carry gossip and look-ups.
var ControlPort = ":" + strconv.Itoa(portControl)

const (
	stopTimeout     = 90 * time.Second // for a graceful shutdown
	retentionS      = 3600
	maxPerDC        = 250
	seedsPerNode    = 3
	startsPerSecond = 100 // processes; at a higher rate the machine is the bottleneck and distorts measurements
)

// Options configures Start.
type Options struct {
	Deployment Deployment
	BinDir     string   // directory with the executables
	WorkDir    string   // directory for settings, keys and process logs
	LogURL     string   // URL of a running log service; empty: start a stand-in
	LogArgs    []string // additional arguments for the log service stand-in
	LogLevel   string   // log level of the nodes; default info
	ColdStart  time.Duration
	NoBackends bool // do not start backend servers
	Secure     bool // use TLS between nodes and for operators, and require tokens

	// BackendArgs, if set, returns additional arguments for the backend server of a node.
	BackendArgs func(node string) []string

	// DialOverrides, if set, returns for the nodes of a data centre a map from node addresses to the addresses they connect
	// to instead, so that a fault-injecting proxy can be placed between data centres.
	DialOverrides func(dataCentre string, nodes []Address) map[string]string
	// LogURLFor, if set, returns the URL of the log service for the nodes of a data centre.
	LogURLFor func(dataCentre, logURL string) string
}

// Address is one listening address of a node.
type Address struct {
	DataCentre string
	HostPort   string
}

// Node is one node with its backend server.
type Node struct {
	ID         string
	DataCentre string
	Service    string
	CallURL    string // base URL of the listener for callers
	APIURL     string
	BackendURL string

	node    *child.Process
	backend *child.Process
	access  *access
}

// Fleet is a running deployment.
type Fleet struct {
	Options Options
	Nodes   []*Node
	LogURL  string

	log       *child.Process
	access    *access
	nodeIPs   []string                     // IP addresses, by index in Nodes
	overrides map[string]map[string]string // by data centre
}

// Start starts the log service, the nodes and the backend servers. It does not wait for them to become ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{Options: o, LogURL: o.LogURL}
	octet, err := freeOctet()
	if err != nil {
		return nil, err
	}
	if f.LogURL == "" {
		if err := f.startLog(octet); err != nil {
			return nil, err
		}
	}
	if err := f.prepare(octet); err != nil {
		f.Kill()
		return nil, err
	}
	if err := f.startNodes(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

// freeOctet picks an unused second octet for the loopback addresses, so that concurrent fleets do not share addresses.
func freeOctet() (int, error) {
	for range 100 {
		n, err := rand.Int(rand.Reader, big.NewInt(200))
		if err != nil {
			return 0, eris.Wrap(err, "reading random bytes")
		}
		octet := int(n.Int64()) + 20
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, portLog))
		if err == nil {
			listener.Close()
			return octet, nil
		}
	}
	return 0, eris.New("no free loopback addresses; stop other fleets first")
}

func (f *Fleet) startLog(octet int) error {
	address := fmt.Sprintf("127.%d.0.1:%d", octet, portLog)
	f.LogURL = "http://" + address
	arguments := append([]string{"log", "--listen", address, "--retention-s", strconv.Itoa(retentionS)}, f.Options.LogArgs...)
	f.log = child.New(f.path("log.log"), f.binary("laburnum-standin"), arguments...)
	return f.log.Start()
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (f *Fleet) path(name string) string   { return filepath.Join(f.Options.WorkDir, name) }
func (f *Fleet) binary(name string) string { return filepath.Join(f.Options.BinDir, name) }

// prepare writes the keys and settings of all nodes and sets Nodes.
func (f *Fleet) prepare(octet int) error {
	if err := f.writeKey(); err != nil {
		return err
	}
	var err error
	if f.access, err = newAccess(f.Options.WorkDir, f.Options.Secure); err != nil {
		return err
	}
	d := f.Options.Deployment
	placements := d.placements()
	hostNumbers := make([]int, len(d.DataCentres))
	ips := make([]string, len(placements))
	for i, s := range placements {
		hostNumbers[s.dataCentre]++
		if hostNumbers[s.dataCentre] > maxPerDC {
			return eris.Errorf("more than %d nodes in a data centre; add data centres", maxPerDC)
		}
		ips[i] = fmt.Sprintf("127.%d.%d.%d", octet, s.dataCentre+1, hostNumbers[s.dataCentre])
	}
	f.nodeIPs = ips
	f.buildOverrides(placements, ips)
	for i, s := range placements {
		seeds := f.seeds(placements, ips, i)
		if err := f.prepareNode(s, ips[i], seeds); err != nil {
			return err
		}
	}
	return nil
}

// buildOverrides calls Options.DialOverrides for each data centre.
func (f *Fleet) buildOverrides(placements []placement, ips []string) {
	f.overrides = make(map[string]map[string]string)
	if f.Options.DialOverrides == nil {
		return
	}
	d := f.Options.Deployment
	var addresses []Address
	for i, s := range placements {
		for _, port := range []int{portNodes, portControl} {
			addresses = append(addresses, Address{DataCentre: d.DataCentres[s.dataCentre], HostPort: hostPort(ips[i], port)})
		}
	}
	for _, dc := range d.DataCentres {
		f.overrides[dc] = f.Options.DialOverrides(dc, addresses)
	}
}

func (f *Fleet) logURLFor(dataCentre string) string {
	if f.Options.LogURLFor == nil {
		return f.LogURL
	}
	return f.Options.LogURLFor(dataCentre, f.LogURL)
}

// seeds returns the control addresses of seedsPerNode nodes spread over the fleet, except the node's own address.
func (f *Fleet) seeds(placements []placement, ips []string, own int) []string {
	var seeds []string
	for k := range seedsPerNode {
		i := k * len(placements) / seedsPerNode
		if i != own {
			seeds = append(seeds, hostPort(ips[i], portControl))
		}
	}
	return seeds
}

func (f *Fleet) writeKey() error {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return eris.Wrap(err, "reading random bytes")
	}
	return eris.Wrap(os.WriteFile(f.path("context.key"), []byte(hex.EncodeToString(key)), 0o600), "writing key")
}

func (f *Fleet) prepareNode(s placement, ip string, seeds []string) error {
	d := f.Options.Deployment
	address := func(port int) string { return hostPort(ip, port) }
	dataCentre := d.DataCentres[s.dataCentre]
	level := f.Options.LogLevel
	if level == "" {
		level = "info"
	}
	nodeSettings := settings.Settings{
		ID: s.id, Region: d.Region, DataCentre: dataCentre,
		Listen:        settings.Listen{Calls: address(portCalls), Nodes: address(portNodes), Control: address(portControl), API: address(portAPI)},
		Seeds:         seeds,
		DialOverrides: f.overrides[dataCentre],
		Platform:      settings.Platform{URLs: []string{f.logURLFor(dataCentre)}, RetentionS: retentionS},
		Keys:          settings.Keys{ContextFiles: []string{f.path("context.key")}},
		DrainTimeoutS: 60, LogLevel: level,
	}
	if err := f.access.configure(&nodeSettings, ip); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(nodeSettings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encoding settings")
	}
	file := f.path(s.id + ".json")
	if err := os.WriteFile(file, encoded, 0o644); err != nil {
		return eris.Wrap(err, "writing settings")
	}
	n := &Node{
		ID: s.id, DataCentre: dataCentre, Service: s.service.Name,
		CallURL: "http://" + address(portCalls), APIURL: f.access.scheme() + address(portAPI), access: f.access, BackendURL: "http://" + address(portBackend),
	}
	n.node = child.New(f.path(s.id+".node.log"), f.binary("laburnumd"), "--settings", file)
	arguments := []string{"backend",
		"--service", s.service.Name, "--listen", address(portBackend), "--api", n.APIURL,
		"--slots", strconv.Itoa(d.Slots), "--connections", strconv.Itoa(d.Connections),
		"--service-time-ms", strconv.Itoa(s.service.ServiceTimeMS),
		"--executions", f.path(s.id + ".executions"), "--cold-start-ms", strconv.FormatInt(f.Options.ColdStart.Milliseconds(), 10)}
	arguments = append(arguments, f.access.backendFlags()...)
	if f.Options.BackendArgs != nil {
		arguments = append(arguments, f.Options.BackendArgs(s.id)...)
	}
	n.backend = child.New(f.path(s.id+".backend.log"), f.binary("laburnum-standin"), arguments...)
	f.Nodes = append(f.Nodes, n)
	return nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	pause := time.Second / startsPerSecond
	for _, n := range f.Nodes {
		if err := n.start(f.Options.NoBackends); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	return nil
}

func (n *Node) start(noBackend bool) error {
	if err := n.node.Start(); err != nil {
		return err
	}
	if noBackend {
		return nil
	}
	return n.backend.Start()
}

// Kill kills the node's process, as a crash does. Its backend server keeps running.
func (n *Node) Kill() { n.node.Kill() }

// KillBackend kills the backend server.
func (n *Node) KillBackend() { n.backend.Kill() }

// KillVM kills the node and its backend server.
func (n *Node) KillVM() {
	n.node.Kill()
	n.backend.Kill()
}

// Restart restarts the node's process after Kill or Stop.
func (n *Node) Restart() error { return n.node.Start() }

// RestartBackend restarts the backend server.
func (n *Node) RestartBackend() error { return n.backend.Start() }

// Stop shuts the node down gracefully and waits until it has exited.
func (n *Node) Stop() error {
	if err := n.node.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrap(err, "signalling node")
	}
	return n.node.Wait(stopTimeout)
}

// Wait waits until the node's process exits by itself. It returns an error if the timeout expires or the process exits with
// a failure.
func (n *Node) Wait(timeout time.Duration) error { return n.node.Wait(timeout) }

// StopBackend shuts the backend server down gracefully and waits until it has exited.
func (n *Node) StopBackend() error {
	if err := n.backend.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrap(err, "signalling backend server")
	}
	return n.backend.Wait(stopTimeout)
}

// Freeze suspends the node's process with SIGSTOP. Resume resumes it.
func (n *Node) Freeze() error { return n.node.Signal(syscall.SIGSTOP) }

// Resume resumes the node's process after Freeze.
func (n *Node) Resume() error { return n.node.Signal(syscall.SIGCONT) }

// Reload makes the node reload its key files.
func (n *Node) Reload() error { return n.node.Signal(syscall.SIGHUP) }

// BackendPID returns the process id of the backend server.
func (n *Node) BackendPID() int {
	return n.backend.PID()
}

// PID returns the process id of the node.
func (n *Node) PID() int {
	return n.node.PID()
}

// Kill kills all processes.
func (f *Fleet) Kill() {
	var group errgroup.Group
	for _, n := range f.Nodes {
		group.Go(func() error { n.KillVM(); return nil })
	}
	_ = group.Wait()
	if f.log != nil {
		f.log.Kill()
	}
}
