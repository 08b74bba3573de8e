package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

const (
	methodStatus       = "node.status"
	minCollectInterval = 250 * time.Millisecond // between the starts of two rounds of status requests
	collectConcurrency = 32
	statusTimeout      = time.Second
)

// statusResponse is the result of node.status.
type statusResponse struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	Ready   bool   `json:"ready"`
}

func (n *Node) registerStatusRPC() {
	n.server.Handle(methodStatus, func(context.Context, json.RawMessage) (any, error) {
		state := n.distribution.State()
		ready, _ := n.distribution.Ready()
		return statusResponse{Version: state.Version, Digest: state.Digest(), Ready: ready}, nil
	})
}

// versionCollector requests the configuration versions of other members on demand, when an operator lists members. Heartbeats
// reach only a few members, and sending every member's version to all members would cost bytes at each change.
type versionCollector struct {
	client *rpc.Client
	self   string

	mu          sync.Mutex
	known       map[string]reportedVersion
	lastStarted time.Time
	running     bool
}

// reportedVersion is the latest version that an incarnation of a member has reported.
type reportedVersion struct {
	incarnation uint64
	version     int64
	digest      string
	receivedAt  time.Time
}

func newVersionCollector(client *rpc.Client, self string) *versionCollector {
	return &versionCollector{client: client, self: self, known: make(map[string]reportedVersion)}
}

// record stores the reported version of a member. Responses may arrive out of order: older incarnations, and lower versions of the
// same incarnation, are ignored.
func (c *versionCollector) record(m membership.Member, response statusResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[m.ID]
	if m.Incarnation < known.incarnation || m.Incarnation == known.incarnation && response.Version < known.version {
		return
	}
	c.known[m.ID] = reportedVersion{incarnation: m.Incarnation, version: response.Version, digest: response.Digest, receivedAt: time.Now()}
}

// annotate adds the last reported version of the same incarnation to a member.
func (c *versionCollector) annotate(m operator.Member) operator.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.known[m.ID]; ok && known.incarnation == m.Incarnation {
		m.Version, m.Digest = known.version, known.digest
		m.AgeMS = time.Since(known.receivedAt).Milliseconds()
	}
	return m
}

// refresh starts a round of status requests in the background, unless one is running or was started less than minCollectInterval ago.
func (c *versionCollector) refresh(members []membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || time.Since(c.lastStarted) < minCollectInterval {
		return
	}
	c.running, c.lastStarted = true, time.Now()
	go c.collect(members)
}

// collect requests the status of all other alive members and returns when all requests have ended.
func (c *versionCollector) collect(members []membership.Member) {
	group := errgroup.Group{}
	group.SetLimit(collectConcurrency)
	for _, m := range members {
		if m.ID == c.self || m.Status != membership.Alive {
			continue
		}
		group.Go(func() error { c.requestStatus(m); return nil })
	}
	_ = group.Wait()
	c.mu.Lock()
	c.running = false
	c.mu.Unlock()
}

func (c *versionCollector) requestStatus(m membership.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var response statusResponse
	if err := c.client.Call(ctx, m.ControlAddress, methodStatus, struct{}{}, &response); err == nil {
		c.record(m, response)
	}
}
