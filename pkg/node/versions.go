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
	methodStatus        = "node.status"
	collectInterval     = 250 * time.Millisecond // shortest time between two rounds of status requests
	collectConcurrency  = 32
	collectRequestLimit = time.Second
)

// statusAnswer is the result of node.status.
type statusAnswer struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	Ready   bool   `json:"ready"`
}

func (n *Node) registerStatusRPC() {
	n.server.Handle(methodStatus, func(context.Context, json.RawMessage) (any, error) {
		state := n.distribution.State()
		ready, _ := n.distribution.Ready()
		return statusAnswer{Version: state.Version, Digest: state.Digest(), Ready: ready}, nil
	})
}

// versionCollector asks other members for their versions when an operator wants to know. Heartbeats reach a few members
// only, and sending every member's version to all would cost bytes at each change.
type versionCollector struct {
	client *rpc.Client
	self   string

	mu      sync.Mutex
	known   map[string]heardVersion
	started time.Time
	running bool
}

type heardVersion struct {
	incarnation uint64
	version     int64
	digest      string
	at          time.Time
}

func newVersionCollector(client *rpc.Client, self string) *versionCollector {
	return &versionCollector{client: client, self: self, known: make(map[string]heardVersion)}
}

// heard records the version of a member. Answers of one incarnation that arrive out of order keep the highest version.
func (c *versionCollector) heard(m membership.Member, answer statusAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[m.ID]
	if m.Incarnation < known.incarnation || m.Incarnation == known.incarnation && answer.Version < known.version {
		return
	}
	c.known[m.ID] = heardVersion{incarnation: m.Incarnation, version: answer.Version, digest: answer.Digest, at: time.Now()}
}

// annotate adds the last known version to a member.
func (c *versionCollector) annotate(m operator.Member) operator.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.known[m.ID]; ok && known.incarnation == m.Incarnation {
		m.Version, m.Digest = known.version, known.digest
		m.AgeMS = time.Since(known.at).Milliseconds()
	}
	return m
}

// refresh starts a round of status requests in the background unless one is running or has just been started.
func (c *versionCollector) refresh(members []membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || time.Since(c.started) < collectInterval {
		return
	}
	c.running, c.started = true, time.Now()
	go c.collect(members)
}

func (c *versionCollector) collect(members []membership.Member) {
	group := errgroup.Group{}
	group.SetLimit(collectConcurrency)
	for _, m := range members {
		if m.ID == c.self || m.Status != membership.Alive {
			continue
		}
		group.Go(func() error { c.ask(m); return nil })
	}
	_ = group.Wait()
	c.mu.Lock()
	c.running = false
	c.mu.Unlock()
}

func (c *versionCollector) ask(m membership.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), collectRequestLimit)
	defer cancel()
	var answer statusAnswer
	if err := c.client.Call(ctx, m.ControlAddress, methodStatus, struct{}{}, &answer); err == nil {
		c.heard(m, answer)
	}
}
