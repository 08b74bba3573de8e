package logservice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type service struct {
	t      *testing.T
	log    *logservice.Log
	server *logservice.Server
	url    string
	client *logstore.HTTPLog
}

// peerTransport adds the peer header to each request, as a node's transport may do.
type peerTransport struct {
	http.RoundTripper
	name string
}

func (n peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(logservice.PeerHeader, n.name)
	return n.RoundTripper.RoundTrip(r)
}

func serve(t *testing.T, options logservice.Options) *service {
	log := logservice.New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &service{t: t, log: log, server: logservice.NewServer(log), url: "http://" + listener.Addr().String()}
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(ctx, listener) }()
	transport := &http.Transport{}
	s.client = logstore.NewHTTPLog([]string{s.url}, peerTransport{transport, "n1"})
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		require.NoError(t, <-done)
	})
	return s
}

func (s *service) control(body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(s.url+"/control", "application/json", bytes.NewReader([]byte(body)))
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	return response.StatusCode
}

func (s *service) append(text string) error {
	_, err := s.client.Append(context.Background(), "config", json.RawMessage(text))
	return err
}

func (s *service) read(from int64, wait time.Duration) logstore.Batch {
	batch, err := s.client.Read(context.Background(), "config", from, 100, wait)
	require.NoError(s.t, err)
	return batch
}

// Guards against offsets that do not start at 1 or have gaps, and against a long poll that misses an append.
func TestAppendAndLongPoll(t *testing.T) {
	s := serve(t, logservice.Options{})
	polled := make(chan logstore.Batch)
	go func() { polled <- s.read(1, 30*time.Second) }()
	require.NoError(t, s.append(`{"a":1}`))
	require.Equal(t, int64(1), (<-polled).Entries[0].Offset)
	require.NoError(t, s.append(`no JSON`))
	batch := s.read(1, 0)
	require.Equal(t, int64(3), batch.Next)
	require.JSONEq(t, `{"a":1}`, string(batch.Entries[0].Data))
	require.JSONEq(t, `"no JSON"`, string(batch.Entries[1].Data))
	require.Empty(t, s.read(3, 0).Entries)
}

// Guards against records that are kept beyond the retention by count or age, and against a First that does not reflect
// their expiry.
func TestRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	log := logservice.New(logservice.Options{RetainCount: 3, RetainFor: time.Minute, Now: func() time.Time { return now }})
	for i := range 5 {
		_, err := log.Append(context.Background(), "s", json.RawMessage(fmt.Sprint(i)))
		require.NoError(t, err)
	}
	batch, err := log.Read(context.Background(), "s", 1, 10, time.Hour)
	require.NoError(t, err)
	require.Equal(t, int64(3), batch.First)
	require.Len(t, batch.Entries, 3)
	now = now.Add(2 * time.Minute)
	batch, err = log.Read(context.Background(), "s", 6, 10, 0)
	require.NoError(t, err)
	require.Equal(t, int64(6), batch.First)
	require.Equal(t, int64(6), batch.Next)
}

// Guards against a client that reports a rejected append as a lost response: status 429 means that nothing was appended.
func TestAppendLimit(t *testing.T) {
	s := serve(t, logservice.Options{AppendsPerSecond: 1})
	require.NoError(t, s.append(`1`))
	refused := 0
	for range 3 {
		if err := s.append(`2`); err != nil {
			require.Equal(t, apierror.Overloaded, apierror.KindOf(err))
			refused++
		}
	}
	require.Equal(t, int64(5-refused), s.read(1, 0).Next)
}

// Guards against modes whose effect, as seen by the HTTP client, differs from their documentation.
func TestFaultModes(t *testing.T) {
	s := serve(t, logservice.Options{})
	require.Equal(t, http.StatusUnprocessableEntity, s.control(`{"mode":"sideways"}`))
	require.Equal(t, http.StatusOK, s.control(`{"mode":"lose_append_answers"}`))
	require.Equal(t, apierror.Unknown, apierror.KindOf(s.append(`1`)))
	require.Equal(t, int64(2), s.read(1, 0).Next)

	require.Equal(t, http.StatusOK, s.control(`{"mode":"refuse_reads"}`))
	require.NoError(t, s.append(`2`))
	_, err := s.client.Read(context.Background(), "config", 1, 1, 0)
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err))

	require.Equal(t, http.StatusOK, s.control(`{"mode":"down"}`))
	require.Equal(t, apierror.Unknown, apierror.KindOf(s.append(`3`)))
	_, err = s.client.Read(context.Background(), "config", 1, 1, 0)
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err))

	require.Equal(t, http.StatusOK, s.control(`{"mode":"slow","delay_ms":200}`))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = s.client.Append(ctx, "config", json.RawMessage(`4`))
	require.Equal(t, apierror.Unknown, apierror.KindOf(err))
	require.Equal(t, http.StatusOK, s.control(`{"mode":"up"}`))
	require.Equal(t, int64(3), s.read(3, time.Minute).Entries[0].Offset, "a slow append must take effect although its caller has given up")
}

// Guards against long polls that keep waiting after an outage begins.
func TestOutageEndsLongPolls(t *testing.T) {
	s := serve(t, logservice.Options{})
	readErr := make(chan error)
	go func() {
		_, err := s.client.Read(context.Background(), "config", 1, 1, time.Minute)
		readErr <- err
	}()
	require.Eventually(t, func() bool { return s.server.Stats()["n1"].Reads == 1 }, time.Minute, time.Millisecond)
	require.Equal(t, http.StatusOK, s.control(`{"mode":"down"}`))
	require.Error(t, <-readErr)
}

// Guards against byte counters that omit headers or are attributed to the wrong peer.
func TestStatsPerPeer(t *testing.T) {
	s := serve(t, logservice.Options{})
	require.NoError(t, s.append(`{"a":1}`))
	s.read(1, 0)
	require.Eventually(t, func() bool { return s.server.Stats()["n1"].BytesSent > 0 }, time.Minute, time.Millisecond)
	stats := s.server.Stats()
	require.Len(t, stats, 1)
	require.Equal(t, int64(1), stats["n1"].Appends)
	require.Equal(t, int64(1), stats["n1"].Reads)
	require.Greater(t, stats["n1"].BytesReceived, int64(100))
	require.Greater(t, stats["n1"].BytesSent, int64(100))
}

// Guards against reporting an append to an unreachable log service with an unknown outcome: nothing was appended.
func TestAppendToUnreachableService(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := logstore.NewHTTPLog([]string{"http://" + listener.Addr().String()}, &http.Transport{})
	_, err = client.Append(context.Background(), "config", json.RawMessage(`1`))
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
}
