package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
)

// callersOfPausedNode is high enough that a node which checks none of them forwards at least one.
const callersOfPausedNode = 40

// Guards against requests that reach the backend server although their callers left while the process was paused. The requests and the
// closes of their connections are in the backlog when the node starts to serve, and the node has all it needs to forward them.
func TestPausedNode_ForwardsNoRequestOfCallersThatLeft(t *testing.T) {
	for name, method := range map[string]string{"idempotent": "GET /safe/", "not idempotent": "POST /unsafe/"} {
		for from, address := range map[string]func(*Settings) string{
			"node":   func(s *Settings) string { return s.Listen.Nodes },
			"client": func(s *Settings) string { return s.Listen.Callers },
		} {
			t.Run(name+" from a "+from, func(t *testing.T) {
				m := &mesh{t: t, platform: newFakePlatform()}
				m.platform.publish(testDocument(1))
				b := newBackend(t, "i-0")
				m.adjust = func(n *Node) {
					n.follower.activate(testDocument(1), nil, "test")
					n.Announce(announce.Announcement{ID: b.id, Service: "s", Address: b.address, Slots: callersOfPausedNode, Sequence: 1, StartTimeMS: time.Now().UnixMilli()})
					c := call{service: "s", class: "safe", caller: "s", node: n.settings.ID, idempotent: method == "GET /safe/", targetRemaining: time.Second, deadlineRemaining: 5 * time.Second}
					for range callersOfPausedNode {
						sendAndLeave(t, address(n.settings), method+" HTTP/1.1\r\nHost: h.example\r\n"+headerCall+": "+c.encode()+"\r\n"+testHeaders.RequestID+": "+m.newID()+"\r\nContent-Length: 0\r\n\r\n")
					}
				}
				n := m.startNode(m.settings(0, b), b)
				a, id := m.call(n, http.MethodGet, "/safe/", "")
				assert.Equal(t, http.StatusOK, a.status)
				m.eventually("the earlier requests have ended", func() bool {
					return n.metrics.Counter("inbound", "verdict", string(verdictAnswered), "reason", "").Count() > 0 && n.inbound.running.Load() == 0
				})
				assert.Equal(t, []string{id}, b.requests())
			})
		}
	}
}

// maxNoticeTime bounds the time until a request of a caller who has left is out of all queues.
const maxNoticeTime = 500 * time.Millisecond

// Guards against requests that wait in the queue of a backend server after their callers have left, and are executed when a slot is free.
func TestQueuedRequest_OfCallerThatLeftIsNotExecuted(t *testing.T) {
	const post = "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\n"
	for name, sent := range map[string]string{
		"idempotent":                "GET /safe/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
		"not idempotent":            post + "Content-Length: 0\r\n\r\n",
		"part of a long body":       post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", maxBufferedBody+1),
		"another request behind it": post + "Content-Length: 0\r\n\r\n" + post + "Content-Length: 0\r\n\r\n",
	} {
		for from := range 2 {
			t.Run(fmt.Sprintf("%s at node %d", name, from), func(t *testing.T) {
				m := newMesh(t, 2)
				m.nodes[1].Leave(m.nodes[1].backend.id, 0)
				m.eventually("one backend server is used", func() bool { return len(m.nodes[from].endpoints("s")) == 1 })
				release := m.occupySlots(m.nodes[0])
				conn, err := net.Dial("tcp", m.nodes[from].settings.Listen.Callers)
				require.NoError(t, err)
				_, err = conn.Write([]byte(sent))
				require.NoError(t, err)
				m.eventually("the request waits", func() bool { return m.nodes[0].queued() == 1 })
				before := len(m.nodes[0].backend.requests()) // those that occupy the slots
				require.NoError(t, conn.Close())
				closed := time.Now()
				m.eventually("the request is withdrawn", func() bool { return m.nodes[0].queued() == 0 })
				assert.Less(t, time.Since(closed), maxNoticeTime, "it waited on")
				release()
				a, id := m.call(m.nodes[0], http.MethodGet, "/safe/", "")
				assert.Equal(t, http.StatusOK, a.status)
				assert.Equal(t, []string{id}, m.nodes[0].backend.requests()[before:])
			})
		}
	}
}

// occupySlots occupies all slots of the node's backend server until release is called.
func (m *mesh) occupySlots(n *testNode) (release func()) {
	held := make(chan struct{})
	n.backend.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
		select {
		case <-held:
		case <-r.Context().Done():
		}
	})
	before := len(n.backend.requests())
	var callers sync.WaitGroup
	for range n.limit() {
		callers.Go(func() { m.call(n, http.MethodGet, "/safe/", "") })
	}
	m.eventually("all slots are occupied", func() bool { return n.inbound.isFull() && len(n.backend.requests())-before == n.limit() })
	return func() {
		close(held)
		callers.Wait()
	}
}

// queued returns how many calls wait for a slot of the node's backend server.
func (n *testNode) queued() int { return n.inbound.instance.Load().admission.Load("").Queued }

func sendAndLeave(t *testing.T, address, request string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
