package logstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Guards against answers of the log service that stop the program or pass for a valid batch.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(`{"entries":[{"offset":1,"time_ms":1,"data":{}}],"first":1,"next":2,"time_ms":1}`))
	f.Add([]byte(`{"entries":`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, answer []byte) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
		defer server.Close()
		_, err := NewHTTPLog([]string{server.URL}, server.Client().Transport).Read(context.Background(), StreamConfig, 1, 10, 0)
		if err != nil {
			require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
		}
	})
}

// Guards against an append that is reported as not done although its answer was lost.
func TestAppend_ErrorKinds(t *testing.T) {
	for name, test := range map[string]struct {
		answer func(http.ResponseWriter)
		want   apierror.Kind
	}{
		"lost":       {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, apierror.Unknown},
		"overloaded": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusTooManyRequests) }, apierror.Overloaded},
		"not JSON":   {func(w http.ResponseWriter) { _, _ = w.Write([]byte("{")) }, apierror.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { test.answer(w) }))
			defer server.Close()
			_, err := NewHTTPLog([]string{server.URL}, server.Client().Transport).Append(context.Background(), StreamConfig, []byte(`{}`))
			require.Equal(t, test.want, apierror.KindOf(err), "%v", err)
		})
	}
	_, err := NewHTTPLog([]string{"http://127.0.0.1:1"}, http.DefaultTransport).Append(context.Background(), StreamConfig, []byte(`{}`))
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err), "nothing listens there")
}
