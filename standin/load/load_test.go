package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/client"
)

func stream(name string, rate float64) Stream {
	return Stream{Name: name, Rank: name, Method: "POST", Path: "/" + name, BodyBytes: 40, Rate: rate, DurationMS: 200, TimeoutMS: 20_000, TargetMS: 20_000}
}

// Guards against runs with the same seed that offer different loads and so cannot be compared.
func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	streams := []Stream{stream("a", 1000), stream("b", 500)}
	first := Schedule(streams, 7)
	require.Equal(t, first, Schedule(streams, 7))
	require.NotEqual(t, first, Schedule(streams, 8))
	require.InDelta(t, 300, len(first), 60)
	count := 0
	for i, a := range first {
		require.Equal(t, i, a.Number)
		if a.Stream == 0 {
			count++
		}
	}
	require.Len(t, Schedule(streams[:1], 7), count, "adding a stream must not change the others")
}

// backend responds like a node in front of the stand-in backend server. Every response has the named fault.
func backend(t *testing.T, fault string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sum := sha256.Sum256(body)
		id := r.Header.Get(callctx.HeaderRequestID)
		w.Header().Set(callctx.HeaderRequestID, id)
		w.Header().Set(callctx.HeaderOutcome, string(callctx.Answered))
		switch fault {
		case "foreign":
			id = "other"
		case "cut":
			fmt.Fprint(w, `{"request_id"`)
			return
		case "error":
			w.WriteHeader(500)
		case "refused":
			w.Header().Set(callctx.HeaderOutcome, string(callctx.NotRun))
			w.Header().Set(callctx.HeaderNoRetry, "true")
			w.WriteHeader(503)
		}
		fmt.Fprintf(w, `{"request_id": %q, "body_sha256": %q}`, id, hex.EncodeToString(sum[:]))
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against records that count a wrong response as a success.
func TestRunRecordsEachCall(t *testing.T) {
	for _, plain := range []bool{false, true} {
		for fault, want := range map[string]func(RankSummary) int{
			"":        func(s RankSummary) int { return s.InTime },
			"foreign": func(s RankSummary) int { return s.Failed },
			"cut":     func(s RankSummary) int { return s.Failed },
			"error":   func(s RankSummary) int { return s.Failed },
			"refused": func(s RankSummary) int { return s.Refused },
		} {
			t.Run(fmt.Sprintf("%s plain=%v", fault, plain), func(t *testing.T) {
				server := backend(t, fault)
				var file bytes.Buffer
				streams := []Stream{stream("a", 200)}
				records, err := Run(context.Background(), Options{Nodes: []string{server.Listener.Addr().String()}, Streams: streams, Seed: 3, Plain: plain, Output: &file})
				require.NoError(t, err)
				require.Len(t, records, len(Schedule(streams, 3)))
				summary := Summarise(records)
				require.Len(t, summary, 1)
				require.Equal(t, summary[0].Offered, want(summary[0]), summary.String())
				read, err := ReadRecords(&file)
				require.NoError(t, err)
				require.ElementsMatch(t, records, read)
			})
		}
	}
}

func TestRunRecordsDroppedCalls(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	streams := []Stream{stream("a", 100)}
	offered := len(Schedule(streams, 3))
	done := make(chan []Record)
	go func() {
		records, _ := Run(context.Background(), Options{Nodes: []string{server.Listener.Addr().String()}, Streams: streams, Seed: 3, Plain: true, MaxCalls: 1, Output: writerFunc(func(p []byte) {
			if bytes.Contains(p, []byte(fmt.Sprintf(`"number":%d,`, offered-1))) {
				close(release)
			}
		})})
		done <- records
	}()
	summary := Summarise(<-done)
	require.Equal(t, offered, summary[0].Offered)
	require.Equal(t, offered-1, summary[0].Dropped)
}

type writerFunc func(p []byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

func TestRunRefusesBadOptions(t *testing.T) {
	_, err := Run(context.Background(), Options{Streams: []Stream{{}}})
	for _, field := range []string{"nodes", "rate", "duration_ms", "path", "timeout_ms"} {
		require.ErrorContains(t, err, field)
	}
}

// Covers each violation that Verify must report and the similar cases that are allowed.
func TestVerify(t *testing.T) {
	answered := func(id string) Record { return Record{ID: id, Outcome: callctx.Answered, Status: 200} }
	retried := Record{ID: "new", Outcome: callctx.Answered, Sends: []client.Send{
		{RequestID: "old", Attempt: 1, Outcome: callctx.NotRun}, {RequestID: "new", Attempt: 1, Outcome: callctx.Answered},
	}}
	lost := Record{ID: "a", Outcome: callctx.Unknown, Sends: []client.Send{
		{RequestID: "a", Attempt: 1, Outcome: callctx.Unknown}, {RequestID: "a", Attempt: 2, Outcome: callctx.NotRun, NotSent: true},
	}}
	for _, test := range []struct {
		name       string
		record     Record
		executions map[string]int
		want       Verification
		dirty      bool
	}{
		{"ok", answered("a"), map[string]int{"a": 1}, Verification{OK: 1}, false},
		{"doubled", answered("a"), map[string]int{"a": 2}, Verification{OK: 1, Duplicated: 1}, true},
		{"doubled under two ids", retried, map[string]int{"old": 1, "new": 1}, Verification{OK: 1, Duplicated: 1, NotRunExecuted: 1}, true},
		{"new id after a refusal", retried, map[string]int{"new": 1}, Verification{OK: 1}, false},
		{"idempotent", Record{ID: "a", Outcome: callctx.Answered, Idempotent: true}, map[string]int{"a": 2}, Verification{OK: 1}, false},
		{"cut", Record{ID: "a", Outcome: callctx.Answered, Truncated: true}, map[string]int{"a": 1}, Verification{Truncated: 1}, true},
		{"foreign", Record{ID: "a", Outcome: callctx.Answered, Foreign: true}, map[string]int{"a": 1}, Verification{Foreign: 1}, true},
		{"refused and executed", Record{ID: "a", Outcome: callctx.NotRun}, map[string]int{"a": 1}, Verification{NotRunExecuted: 1}, true},
		{"refused", Record{ID: "a", Outcome: callctx.NotRun}, nil, Verification{}, false},
		{"unknown and executed", lost, map[string]int{"a": 1}, Verification{}, false},
		{"answered without execution", answered("a"), map[string]int{"b": 1}, Verification{OK: 1, Unexecuted: 1, Stray: 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.want.Calls = 1
			got := Verify([]Record{test.record}, test.executions)
			require.Equal(t, test.want, got)
			require.Equal(t, test.dirty, !got.Clean())
		})
	}
}
