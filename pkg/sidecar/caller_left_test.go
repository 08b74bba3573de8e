package sidecar

import (
	"net"
	"net/http"
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

func sendAndLeave(t *testing.T, address, request string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
