package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a faulty backend server that writes an earlier refusal once more on a kept connection, with or without the id of that
// request: the next request runs, so its caller must not be told that it has not, and it must not run on a second backend server.
func TestStaleRefusal_NotTakenForTheNextRequest(t *testing.T) {
	for name, withID := range map[string]bool{"with the earlier id": true, "without an id": false} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 2)
			ran := make(chan string, 10)
			for _, n := range m.nodes {
				n.backend.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
					conn, buffered, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					t.Cleanup(func() { conn.Close() })
					refusal := ""
					for r, err := r, error(nil); err == nil; r, err = http.ReadRequest(buffered.Reader) {
						id := r.Header.Get(testHeaders.RequestID)
						answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 3\r\n\r\nran", testHeaders.RequestID, id, testHeaders.Signature)
						if strings.HasPrefix(r.URL.Path, "/safe/refused") {
							echo := ""
							if withID {
								echo = testHeaders.RequestID + ": " + id + "\r\n"
							}
							refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", echo, testHeaders.NotExecuted)
							answer = ""
						} else {
							ran <- id
						}
						if _, err := conn.Write([]byte(refusal + answer)); err != nil {
							return
						}
					}
				})
			}
			n := m.nodes[0]
			m.call(n, "GET", "/safe/refused", "")
			a, id := m.call(n, "POST", "/unsafe/", "x")
			assert.NotEqual(t, http.StatusServiceUnavailable, a.status)
			assert.Equal(t, id, <-ran)
			assert.Empty(t, ran, "it runs once")
		})
	}
}
