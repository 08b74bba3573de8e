package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	stopGracePeriod = 3 * time.Second
	longWork        = 2200 * time.Millisecond // keeps a stopping node busy with a request of its own caller
	lateWork        = 900 * time.Millisecond  // of requests that arrive during the stop
)

// newStoppingMesh starts two nodes whose backend servers work for longWork on requests with "long" in their path, and lateWork on others. It
// also sends a long request to the first node, whose result is sent to the channel.
func newStoppingMesh(t *testing.T) (m *mesh, longStatus chan int) {
	m = newMesh(t, 2)
	for _, n := range m.nodes {
		n.settings.Bounds.GracePeriod = Duration(stopGracePeriod)
		n.backend.setHandler(func(w http.ResponseWriter, r *http.Request, _ string) {
			work := lateWork
			if strings.Contains(r.URL.Path, "long") {
				work = longWork
			}
			select {
			case <-r.Context().Done():
				n.backend.abandoned <- r.URL.Path
			case <-time.After(work):
			}
		})
	}
	longStatus = make(chan int, 1)
	go func() {
		r, _ := m.request(context.Background(), m.nodes[0], http.MethodGet, "/safe/long", "")
		longStatus <- send(r).status
	}()
	m.eventually("the long request runs", func() bool { return m.arrivals() == 1 })
	return m, longStatus
}

// Guards against requests of other nodes that a stopping node still passes to its backend server, since it waits for its own callers, and then cuts at
// the end of the grace period, non-idempotent ones among them.
func TestGracefulShutdown_AnswersLateRequestsOfOtherNodes(t *testing.T) {
	m, longStatus := newStoppingMesh(t)
	stopping, other := m.nodes[0], m.nodes[1]
	stopping.stop()
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for end := time.Now().Add(stopGracePeriod); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		callers.Go(func() {
			r, _ := m.request(context.Background(), other, http.MethodPost, "/unsafe/late", "order")
			status := send(r).status
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	callers.Wait()
	require.NoError(t, <-stopping.done)
	stopping.done <- nil // for the cleanup
	assert.Equal(t, http.StatusOK, <-longStatus)
	assert.Empty(t, stopping.backend.abandoned, "requests that were cut")
	assert.Zero(t, statuses[http.StatusBadGateway], "%v", statuses)
	assert.NotZero(t, statuses[http.StatusOK])
}

// Guards against a request that is taken late during a stop, behind another one on its connection, and then cut at the end of the grace period.
func TestGracefulShutdown_LateRequestIsAnsweredOrRefused(t *testing.T) {
	m, longStatus := newStoppingMesh(t)
	stopping := m.nodes[0]
	conn, err := net.Dial("tcp", stopping.settings.Listen.Callers)
	require.NoError(t, err)
	defer conn.Close()
	sendSafe := func(path string) {
		_, err := fmt.Fprintf(conn, "GET /safe/%s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n\r\n", path, testHeaders.RequestID, m.newID())
		require.NoError(t, err)
	}
	sendSafe("long-too")
	m.eventually("both long requests run", func() bool { return m.arrivals() == 2 })
	started := time.Now()
	stopping.stop()
	time.Sleep(time.Until(started.Add(longWork - 200*time.Millisecond)))
	sendSafe("late")
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		assert.Equal(t, want, response.StatusCode)
		if want == http.StatusServiceUnavailable {
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	}
	assert.Equal(t, http.StatusOK, <-longStatus)
	require.NoError(t, <-stopping.done)
	stopping.done <- nil // for the cleanup
	for _, n := range m.nodes {
		assert.Empty(t, n.backend.abandoned, "requests that were cut")
	}
}
