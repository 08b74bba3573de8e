package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newResettingBackend returns a backend server that answers an upload at once with a 200 without a length, sends a part of its body and resets the
// connection.
func newResettingBackend(t *testing.T, id string) *backendServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\npart", testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), testHeaders.Signature)
				time.Sleep(time.Millisecond)
				conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return &backendServer{id: id, address: listener.Addr().String()}
}

// Guards against a part of a response that reaches a caller as a complete one: the backend server resets the connection while a long upload is still
// being written.
func TestResetDuringUpload_PartIsNotDelivered(t *testing.T) {
	const uploads, uploadBytes = 30, 16 << 20 // more than the socket buffers hold
	m := &mesh{t: t, platform: newFakePlatform()}
	document := testDocument(1)
	document.Limits.BodyBytes = 2 * uploadBytes
	m.platform.publish(document)
	for i := range 2 {
		b := newResettingBackend(t, fmt.Sprintf("i-%d", i))
		m.nodes = append(m.nodes, m.startNode(m.settings(i, b), b))
	}
	m.nodes[0].announce(false) // of the other node, the backend server is not used
	m.eventually("one backend server is known", func() bool {
		return len(m.nodes[0].endpoints("s")) == 1 && len(m.nodes[1].endpoints("s")) == 1 && m.nodes[1].follower.Table() != nil
	})
	for _, n := range m.nodes {
		delivered := 0
		for range uploads {
			r, _ := m.request(context.Background(), n, http.MethodPost, "/unsafe/", "")
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("u", uploadBytes))), uploadBytes
			if a := send(r); a.err == nil && a.status == http.StatusOK {
				delivered++
			}
		}
		assert.Zero(t, delivered, "truncated responses that looked complete at %s", n.settings.ID)
	}
}
