package pipeline

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxNoticeTime bounds the time until a handler learns that its client has disconnected.
const maxNoticeTime = 500 * time.Millisecond

// Guards against requests that run on after their client has disconnected because the goroutine that would notice waits for a body that the
// handler does not read, or for the responses to earlier requests.
func TestDisconnect_NoticedWhileNothingIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		sent    string
		started int
	}{
		"a body that is not read":      {"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart", 1},
		"a request that must wait":     {get("/1") + post("/2", "body"), 1},
		"a request behind many others": {strings.Repeat(get("/1"), maxPipelinedRequests+1), maxPipelinedRequests},
	} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}, maxPipelinedRequests+1), make(chan struct{}, maxPipelinedRequests+1)
			s := startServer(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				select {
				case <-r.Context().Done():
				case <-time.After(testTimeout):
				}
				ended <- struct{}{}
			})
			client := s.dial()
			client.send(c.sent)
			for range c.started {
				<-started
			}
			time.Sleep(2 * closeCheckInterval) // a client that stays is not taken for one that has left
			assert.Empty(t, ended)
			require.NoError(t, client.Close())
			assert.Eventually(t, func() bool { return len(ended) == c.started }, maxNoticeTime, time.Millisecond)
			assert.Empty(t, started, "the request that waited was started")
		})
	}
}
