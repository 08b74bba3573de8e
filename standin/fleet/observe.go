package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

const (
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// Client returns a client of the node's operator API.
func (n *Node) Client() *operator.Client {
	return operator.NewClient([]string{n.APIURL}, n.access.token, n.access.transport)
}

// CallAddresses returns the "ip:port" of every node's listener for callers.
func (f *Fleet) CallAddresses() []string {
	addresses := make([]string, len(f.Nodes))
	for i, n := range f.Nodes {
		addresses[i] = strings.TrimPrefix(n.CallURL, "http://")
	}
	return addresses
}

// WaitReady waits until every node reports ready.
func (f *Fleet) WaitReady(ctx context.Context, timeout time.Duration) error {
	return f.waitAll(ctx, timeout, "is not ready", func(_ context.Context, n *Node) bool { return n.isReady() })
}

func (n *Node) isReady() bool {
	client := &http.Client{Timeout: requestTimeout, Transport: n.access.transport}
	response, err := client.Get(n.APIURL + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitEndpoints waits until every node knows the backend servers of all nodes as ready. It reads a gauge, because a request
// for the member list makes a node query the versions of all members, over one connection to each.
func (f *Fleet) WaitEndpoints(ctx context.Context, timeout time.Duration) error {
	return f.waitAll(ctx, timeout, "does not know all backend servers", func(_ context.Context, n *Node) bool {
		values, err := n.Metrics()
		return err == nil && int(values["laburnum_membership_ready"]) == len(f.Nodes)
	})
}

// WaitVersion waits until all given nodes have activated the version or a later one.
func (f *Fleet) WaitVersion(ctx context.Context, timeout time.Duration, version int64, nodes []*Node) error {
	return waitFor(ctx, timeout, "has not activated the version", nodes, func(ctx context.Context, n *Node) bool {
		// A status request would make the node query the versions of all others, over one connection to each.
		values, err := n.Metrics()
		return err == nil && values["laburnum_config_version"] >= float64(version)
	})
}

func (f *Fleet) waitAll(ctx context.Context, timeout time.Duration, failure string, done func(context.Context, *Node) bool) error {
	return waitFor(ctx, timeout, failure, f.Nodes, done)
}

func waitFor(ctx context.Context, timeout time.Duration, failure string, nodes []*Node, done func(context.Context, *Node) bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, n := range nodes {
		for !done(ctx, n) {
			select {
			case <-ctx.Done():
				return eris.Errorf("node %s %s after %s; see its log %s", n.ID, failure, timeout, n.node.Output())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Metrics reads the counters and gauges of the node.
func (n *Node) Metrics() (map[string]float64, error) {
	client := &http.Client{Timeout: requestTimeout, Transport: n.access.transport}
	request, err := http.NewRequest(http.MethodGet, n.APIURL+"/metrics", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "reading metrics of %s", n.ID)
	}
	request.Header.Set("Authorization", "Bearer "+n.access.token)
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "reading metrics of %s", n.ID)
	}
	defer response.Body.Close()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, eris.Wrap(lines.Err(), "reading metrics")
}

// Uptime returns the time since the most recent start of the node's process.
func (n *Node) Uptime() time.Duration {
	return time.Since(n.node.Started())
}

// RestartVM restarts the node and its backend server after KillVM.
func (n *Node) RestartVM() error {
	return n.start(false)
}

// LogStats returns the counters of the log service, summed over all peers.
func (f *Fleet) LogStats(ctx context.Context) (logservice.PeerStats, error) {
	var total logservice.PeerStats
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.LogURL+"/control/stats", nil)
	if err != nil {
		return total, eris.Wrap(err, "reading log stats")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return total, eris.Wrap(err, "reading log stats")
	}
	defer response.Body.Close()
	var peers map[string]logservice.PeerStats
	if err := json.NewDecoder(response.Body).Decode(&peers); err != nil {
		return total, eris.Wrap(err, "decoding log stats")
	}
	for _, p := range peers {
		total.Appends += p.Appends
		total.Reads += p.Reads
		total.BytesSent += p.BytesSent
		total.BytesReceived += p.BytesReceived
	}
	return total, nil
}
