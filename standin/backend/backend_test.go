package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// start runs a server and returns its base URL and a function that stops it gracefully.
func start(t *testing.T, o Options) (*Server, string, func()) {
	t.Helper()
	s, err := New(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, time.Minute) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		require.NoError(t, <-ended)
	}
	t.Cleanup(stop)
	return s, "http://" + s.Address(), stop
}

func post(t *testing.T, url, id, body string) (*http.Response, []byte, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(callctx.HeaderRequestID, id)
	r.Header.Set(callctx.HeaderContext, "passed on")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

// Guards against tests that count executions or check responses with a stand-in that miscounts.
func TestServerCountsExecutionsAndIdentifiesResponses(t *testing.T) {
	_, url, _ := start(t, Options{ServiceTime: time.Microsecond})
	for run := 1; run <= 2; run++ {
		response, data, err := post(t, url+"/orders", "id-1", "body")
		require.NoError(t, err)
		var reply Reply
		require.NoError(t, json.Unmarshal(data, &reply))
		require.Equal(t, "id-1", response.Header.Get(callctx.HeaderRequestID))
		require.Equal(t, "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5", reply.BodySHA256)
		require.Equal(t, run, reply.Execution)
	}
	response, err := http.Get(url + "/executions")
	require.NoError(t, err)
	defer response.Body.Close()
	counts := map[string]int{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&counts))
	require.Equal(t, map[string]int{"id-1": 2}, counts)
}

// Guards against a stand-in that serves more than its slots, and against a health endpoint that cannot mislead.
func TestServerShedsBeyondSlots(t *testing.T) {
	s, url, _ := start(t, Options{Slots: 1, ServiceTime: time.Hour, MisleadingHealth: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
			response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return s.Stats().Busy == 1 }, time.Minute, time.Millisecond)
	response, _, err := post(t, url, "id-2", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, s.Executions()["id-2"])
	health, err := http.Get(url + "/healthz")
	require.NoError(t, err)
	defer health.Body.Close()
	var stats Stats
	require.NoError(t, json.NewDecoder(health.Body).Decode(&stats))
	require.Equal(t, Stats{}, stats, "it claims to be idle")
	cancel()
	<-ended
	require.Eventually(t, func() bool { return s.Stats().Busy == 0 }, time.Minute, time.Millisecond, "cancelled")
}

// Guards against fault tests that pass because no fault was injected.
func TestServerInjectsFaults(t *testing.T) {
	s, url, _ := start(t, Options{ServiceTime: time.Microsecond})
	for name, faults := range map[string]Faults{"truncate": {Truncate: 1}, "close": {Close: 1}} {
		s.SetFaults(faults)
		_, _, err := post(t, url, name, "")
		require.Error(t, err, name)
		require.Equal(t, 1, s.Executions()[name], "the fault comes after the execution")
	}
	s.SetFaults(Faults{NoLength: 1})
	response, data, err := post(t, url, "no length", "")
	require.NoError(t, err)
	require.EqualValues(t, -1, response.ContentLength)
	require.False(t, json.Valid(data), "cut in the middle")
}

// Guards against a stop that does not announce itself, and against nested calls that lose the context.
func TestAnnouncementsAndNestedCalls(t *testing.T) {
	announced := make(chan Announcement, 100)
	nested := make(chan *http.Request, 1)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/backend" {
			nested <- r
			w.Header().Set(callctx.HeaderNoRetry, "true")
			return
		}
		var a Announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil {
			announced <- a
		}
	}))
	defer node.Close()
	s, url, stop := start(t, Options{Service: "tracker", Slots: 3, Connections: 7, ServiceTime: time.Microsecond,
		NodeAPI: node.URL, NodeCalls: node.URL, Nested: "/records/1"})
	require.Equal(t, Announcement{"tracker", s.Address(), 3, 7, "ready"}, <-announced)
	response, data, err := post(t, url, "id", "")
	require.NoError(t, err)
	require.Contains(t, string(data), `"nested":200`)
	require.Equal(t, "true", response.Header.Get(callctx.HeaderNoRetry))
	r := <-nested
	require.Equal(t, "passed on", r.Header.Get(callctx.HeaderContext))
	require.NotEqual(t, "id", r.Header.Get(callctx.HeaderRequestID))
	stop()
	states := []string{}
	for len(announced) > 0 {
		a := <-announced
		if a.State != "ready" {
			states = append(states, a.State)
		}
	}
	require.Equal(t, []string{"draining", "gone"}, states)
}
