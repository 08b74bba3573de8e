package logstore

import (
	"context"
	"net/http"
	"net/http/httptest"
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
