package distribution

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// inForceWithin is the time within which a change must be in force on every node.
const inForceWithin = 14 * time.Second

// silentTransport connects a client to a log in memory. Reads of the configuration that arrive while it is silent get no response, not
// even after it has recovered.
type silentTransport struct {
	log     *logservice.Log
	silent  atomic.Bool
	dropped atomic.Int64
}

func (s *silentTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	stream := strings.Split(request.URL.Path, "/")[2]
	if request.Method != http.MethodGet {
		return nil, errDisconnected
	}
	if stream == logstore.StreamConfig && s.silent.Load() {
		s.dropped.Add(1)
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	query := request.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	batch, err := s.log.Read(request.Context(), stream, from, readLimit, time.Duration(wait)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(batch)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body)), Request: request}, err
}

// Guards against a change that is in force too late because a reader still waits for a read, or pauses after one, that the log dropped before
// it recovered.
func TestReadLog_NoticesDroppedReadsInTime(t *testing.T) {
	for name, silence := range map[string]time.Duration{"just dropped": 0, "short": 20 * time.Second, "long": 3 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &silentTransport{log: logservice.New(logservice.Options{})}
				self := membership.Member{ID: "a1", DataCentre: "a", ControlAddress: "a1:1", Status: membership.Alive}
				counters := &rpc.Counters{}
				d := New(Options{
					Self: self, Members: func() []membership.Member { return []membership.Member{self} },
					Log:    logstore.NewHTTPLog([]string{"http://log"}, transport),
					Client: rpc.NewClient(counters, nil), Server: rpc.NewServer(counters),
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); d.Run(ctx) }()
				defer func() { cancel(); <-done }()
				publish := func(name string) {
					_, err := transport.log.Append(ctx, logstore.StreamConfig, encode(t, template(name)))
					require.NoError(t, err)
				}
				time.Sleep(time.Minute)
				publish("first")
				time.Sleep(time.Minute)
				require.EqualValues(t, 1, d.Snapshot().Version)

				transport.silent.Store(true)
				publish("ends the pending poll")
				synctest.Wait()
				require.EqualValues(t, 1, transport.dropped.Load())
				time.Sleep(silence)
				for before := transport.dropped.Load(); silence > 0 && transport.dropped.Load() == before; {
					time.Sleep(time.Millisecond) // recover just after a read was dropped
				}
				transport.silent.Store(false)
				publish("third")
				recovered := time.Now()
				for d.Snapshot().Version < 3 && time.Since(recovered) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				assert.Less(t, time.Since(recovered), inForceWithin)
			})
		})
	}
}
