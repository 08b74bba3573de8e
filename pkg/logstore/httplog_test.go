package logstore

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Guards against malformed responses of the log service that cause a panic or an error of another kind than Unavailable.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(`{"entries":[{"offset":1,"time_ms":1,"data":{}}],"first":1,"next":2,"time_ms":1}`))
	f.Add([]byte(`{"entries":`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, response []byte) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(response) }))
		defer server.Close()
		_, err := NewHTTPLog([]string{server.URL}, server.Client().Transport).Read(context.Background(), StreamConfig, 1, 10, 0)
		if err != nil {
			require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
		}
	})
}

// Guards against reads that fail as long as the first of several log services is silent.
func TestRead_SilentServiceIsFollowedByNext(t *testing.T) {
	silent := make(chan struct{})
	first := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent }))
	defer first.Close()
	defer close(silent)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "0", r.URL.Query().Get("wait_ms"), "the change may be there already")
		_, _ = w.Write([]byte(`{"entries":[],"first":1,"next":7}`))
	}))
	defer second.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	batch, err := NewHTTPLog([]string{first.URL, second.URL}, transport).Read(context.Background(), StreamConfig, 1, 10, time.Second)
	require.NoError(t, err)
	require.EqualValues(t, 7, batch.Next)
}

// Guards against requests that time out one after the other after a network has silently dropped all connections: each would be sent on another
// idle one.
func TestRead_ReplacesConnectionsThatWentSilentTogether(t *testing.T) {
	var silent atomic.Bool
	arrived, hold, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connected, _ := r.Context().Value(connectedBeforeKey{}).(bool); connected && silent.Load() {
			<-release
			return
		}
		if r.URL.Query().Get("limit") == "2" {
			close(arrived)
			<-hold
		}
		_, _ = w.Write([]byte(`{"entries":[],"first":1,"next":1}`))
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectedBeforeKey{}, !silent.Load())
	}
	server.Start()
	defer server.Close()
	defer close(release)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	log := NewHTTPLog([]string{server.URL}, transport)
	held := make(chan error, 1)
	go func() {
		_, err := log.Read(context.Background(), StreamConfig, 1, 2, 0)
		held <- err
	}()
	<-arrived
	_, err := log.Read(context.Background(), StreamConfig, 1, 1, 0)
	require.NoError(t, err)
	close(hold)
	require.NoError(t, <-held) // two connections are idle now
	silent.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = log.Read(ctx, StreamConfig, 1, 1, 0)
	require.Error(t, err)
	start := time.Now()
	_, err = log.Read(context.Background(), StreamConfig, 1, 1, 0)
	require.NoError(t, err)
	require.Less(t, time.Since(start), requestTimeout)
}

// connectedBeforeKey is the context key of whether a connection was opened before the network went silent.
type connectedBeforeKey struct{}

// Guards against an append being reported as not appended although only its response was lost.
func TestAppend_ErrorKinds(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(http.ResponseWriter)
		want    apierror.Kind
	}{
		"lost":       {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, apierror.Unknown},
		"overloaded": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusTooManyRequests) }, apierror.Overloaded},
		"not JSON":   {func(w http.ResponseWriter) { _, _ = w.Write([]byte("{")) }, apierror.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { test.respond(w) }))
			defer server.Close()
			_, err := NewHTTPLog([]string{server.URL}, server.Client().Transport).Append(context.Background(), StreamConfig, []byte(`{}`))
			require.Equal(t, test.want, apierror.KindOf(err), "%v", err)
		})
	}
	_, err := NewHTTPLog([]string{"http://127.0.0.1:1"}, http.DefaultTransport).Append(context.Background(), StreamConfig, []byte(`{}`))
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err), "connection refused")
}
