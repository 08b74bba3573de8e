package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// peerTransport identifies the node to the log service, which counts bytes per node.
type peerTransport struct {
	*http.Transport
	peer string
}

func (p peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(logservice.PeerHeader, p.peer)
	return p.Transport.RoundTrip(r)
}

// httpFleet is a fleet whose nodes reach the log service over HTTP.
type httpFleet struct {
	*fleet
	server *logservice.Server
	url    string
}

func newHTTPFleet(b *testing.B, perCentre int, centres ...string) *httpFleet {
	f := newFleet(b, logservice.Options{AppendsPerSecond: -1})
	f.timing = Timing{}
	h := &httpFleet{fleet: f, server: logservice.NewServer(f.log)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	h.url = "http://" + listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = h.server.Serve(ctx, listener) })
	b.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	for _, centre := range centres {
		for i := range perCentre {
			m, l := f.addMember(fmt.Sprintf("%s%d", centre, i+1), centre)
			defer f.launch(m, l, func(o *Options) { o.Log = h.client(m.ID) })
		}
	}
	return h
}

func (h *httpFleet) client(peer string) *logstore.HTTPLog {
	transport := &http.Transport{}
	h.t.Cleanup(transport.CloseIdleConnections)
	return logstore.NewHTTPLog([]string{h.url}, peerTransport{transport, peer})
}

func (h *httpFleet) platformBytes() (total int64) {
	for _, p := range h.server.Stats() {
		total += p.BytesSent + p.BytesReceived
	}
	return total
}

func (h *httpFleet) controlBytes() (total int64) {
	for _, n := range h.runningNodes() {
		total += n.bytes.Sent.Load()
	}
	return total
}

// serviceTemplate returns a record that publishes a template with one service and ten routes.
func serviceTemplate(name string) *config.Record {
	routes := ""
	for i := range 10 {
		routes += fmt.Sprintf(`{"name":"%s-%d","path_prefix":"/%s/%d","service":"%s","rank":"urgent","timeout_ms":500},`, name, i, name, i, name)
	}
	r := template(name)
	r.Payload = json.RawMessage(`{"body":{"services":[{"name":"` + name + `"}],"routes":[` + routes[:len(routes)-1] + `]}}`)
	return r
}

// BenchmarkConvergence measures the time from an accepted publish to the last activation, and the bytes sent per change.
// Heartbeats are exchanged in process and not counted. The baseline for the bytes is every node polling the log.
func BenchmarkConvergence(b *testing.B) {
	for _, perCentre := range []int{16, 64} {
		b.Run(fmt.Sprintf("nodes=%d", 3*perCentre), func(b *testing.B) {
			h := newHTTPFleet(b, perCentre, "a", "b", "c")
			waitAll(b, h, func(n *node) bool { ready, _ := n.Ready(); return ready })
			platformBefore, controlBefore := h.platformBytes(), h.controlBytes()
			var times []time.Duration
			nodes := h.runningNodes()
			for i := 0; b.Loop(); i++ {
				result, err := nodes[i%len(nodes)].Publish(context.Background(), serviceTemplate(fmt.Sprintf("t%d", i)))
				require.NoError(b, err)
				require.Equal(b, config.Accepted, result.Outcome)
				start := time.Now()
				waitAll(b, h, func(n *node) bool { return n.Snapshot().Version >= result.Offset })
				times = append(times, time.Since(start))
			}
			changes := int64(len(times))
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50_ms")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99_ms")
			b.ReportMetric(float64((h.controlBytes()-controlBefore)/changes)/float64(len(nodes)), "control_B/node/change")
			b.ReportMetric(float64((h.platformBytes()-platformBefore)/changes), "platform_B/change")
			b.ReportMetric(float64(h.pollingBytes(b, changes)/changes), "polling_B/change")
			for _, n := range nodes {
				require.Zero(b, n.metrics.Values()["config_divergence"])
			}
			encoded, err := nodes[0].State().Encode()
			require.NoError(b, err)
			b.ReportMetric(float64(len(encoded)), "state_B")
		})
	}
}

func waitAll(b *testing.B, h *httpFleet, condition func(*node) bool) {
	deadline := time.Now().Add(waitTimeout)
	for _, n := range h.runningNodes() {
		for !condition(n) {
			if time.Now().After(deadline) {
				_, reason := n.Ready()
				b.Fatalf("%s: timed out at offset %d; %s", n.member.ID, n.State().Offset, reason)
			}
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// pollingBytes returns the bytes that the log service would transfer if every node read each of the changes itself,
// extrapolated from at most 20 changes.
func (h *httpFleet) pollingBytes(b *testing.B, changes int64) int64 {
	before := h.platformBytes()
	sample := min(changes, 20)
	var group sync.WaitGroup
	for _, n := range h.runningNodes() {
		group.Go(func() {
			client := h.client("poller-" + n.member.ID)
			for offset := int64(1); offset <= sample; offset++ {
				_, err := client.Read(context.Background(), logstore.StreamConfig, offset, 1, 0)
				if err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	return (h.platformBytes() - before) * changes / sample
}
