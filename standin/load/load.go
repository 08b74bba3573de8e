// Package load generates calls of several ranks at given rates, records the result of each call, and verifies the records
// against the executions logged by the backend servers.
//
// The load is open-loop: calls start on a schedule that does not depend on the results of earlier calls, so that a slow
// system does not reduce the offered load. The schedule depends only on the streams and the seed.
package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/client"
)

// Stream is one kind of call that arrives at a mean rate.
type Stream struct {
	Name       string            `json:"name"`
	Rank       string            `json:"rank"` // used only in the summary; the route determines the rank of the calls
	Method     string            `json:"method"`
	Path       string            `json:"path"`
	Idempotent bool              `json:"idempotent"`        // of the route; if set, Verify accepts several executions
	BodyBytes  int               `json:"body_bytes"`        // size of each request body; 0: no body
	Headers    map[string]string `json:"headers,omitempty"` // set on each request
	Rate       float64           `json:"rate"`              // mean calls per second
	StartMS    int               `json:"start_ms"`          // offset from the start of the run
	DurationMS int               `json:"duration_ms"`       // length of the stream
	TimeoutMS  int               `json:"timeout_ms"`        // timeout of a call
	TargetMS   int               `json:"target_ms"`         // latency target; a successful response within it is in time
}

// Options configures a run.
type Options struct {
	Nodes            []string        `json:"nodes"` // "host:port" addresses of the nodes' listeners for callers
	Streams          []Stream        `json:"streams"`
	Seed             uint64          `json:"seed"`
	Plain            bool            `json:"plain"`     // send one plain HTTP request per call, without pkg/client
	PlainConcurrency int             `json:"fifo"`      // with Plain: concurrent requests to each address, others wait in a FIFO queue; 0: unlimited
	Output           io.Writer       `json:"-"`         // receives one JSON line per call; nil: none
	Stop             <-chan struct{} `json:"-"`         // when closed, no further call starts; calls in flight finish. Nil: never
	MaxCalls         int             `json:"max_calls"` // maximum calls in flight; default 20,000. Calls beyond it are recorded as dropped
}

const defaultMaxCalls = 20_000

// validate returns all invalid fields as an apierror.List.
func (o *Options) validate() error {
	var errs apierror.List
	if len(o.Nodes) == 0 {
		errs = append(errs, apierror.InvalidField("nodes", "empty", "set at least one node"))
	}
	for i := range o.Streams {
		s := &o.Streams[i]
		field := fmt.Sprintf("streams[%d]", i)
		if !(s.Rate > 0) || s.Rate > 1e6 {
			errs = append(errs, apierror.InvalidField(field+".rate", "out of range", "use a rate above 0, up to 1000000 calls a second"))
		}
		if s.DurationMS <= 0 || s.StartMS < 0 {
			errs = append(errs, apierror.InvalidField(field+".duration_ms", "out of range", "use a positive duration and a start of at least 0"))
		}
		if s.Path == "" || s.Path[0] != '/' {
			errs = append(errs, apierror.InvalidField(field+".path", "does not start with /", "use a path that starts with /"))
		}
		if s.TimeoutMS <= 0 || s.TargetMS <= 0 {
			errs = append(errs, apierror.InvalidField(field+".timeout_ms", "timeout or target is not positive", "set both in milliseconds"))
		}
	}
	return errs.Err()
}

// Arrival is one scheduled call.
type Arrival struct {
	At     time.Duration // offset from the start of the run
	Stream int           // index into Options.Streams
	Number int           // sequence number of the call within the run
}

// Schedule returns all arrivals in order of time. Each stream is a Poisson process with its own random source, derived from
// seed and the stream's index, so that appending a stream does not change the others.
func Schedule(streams []Stream, seed uint64) []Arrival {
	var all []Arrival
	for i := range streams {
		s := &streams[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		end := float64(s.DurationMS) / 1000
		for at := random.ExpFloat64() / s.Rate; at < end; at += random.ExpFloat64() / s.Rate {
			offset := time.Duration(s.StartMS)*time.Millisecond + time.Duration(at*float64(time.Second))
			all = append(all, Arrival{At: offset, Stream: i})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	for i := range all {
		all[i].Number = i
	}
	return all
}

// Outcomes of records in addition to those of callctx.
const (
	// Dropped marks a call that was not sent because Options.MaxCalls calls were in flight.
	Dropped callctx.Outcome = "dropped"
)

// Record is the result of one call.
type Record struct {
	Number     int             `json:"number"`
	Stream     string          `json:"stream"`
	Rank       string          `json:"rank"`
	Idempotent bool            `json:"idempotent,omitempty"`
	ID         string          `json:"id"` // the last request id
	Outcome    callctx.Outcome `json:"outcome"`
	Reason     callctx.Reason  `json:"reason,omitempty"`
	Status     int             `json:"status,omitempty"`
	StartMS    float64         `json:"start_ms"`   // scheduled start, relative to the start of the run
	LatencyMS  float64         `json:"latency_ms"` // measured from the scheduled start
	InTime     bool            `json:"in_time"`
	Foreign    bool            `json:"foreign,omitempty"` // answered with the response to another request
	Truncated  bool            `json:"cut,omitempty"`     // answered with an incomplete response
	Sends      []client.Send   `json:"sends,omitempty"`
}

// Run makes all calls and returns their records in schedule order. When ctx ends it starts no further calls and returns the
// records of those that were started. Errors are of kind apierror.Invalid or come from writing to Options.Output.
func Run(ctx context.Context, o Options) ([]Record, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	caller, err := newCaller(&o)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	g := &generator{options: o, caller: caller, inFlight: make(chan struct{}, orDefault(o.MaxCalls, defaultMaxCalls))}
	return g.run(ctx, Schedule(o.Streams, o.Seed))
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// generator runs one schedule.
type generator struct {
	options  Options
	caller   caller
	inFlight chan struct{}

	mu       sync.Mutex
	writeErr error
}

func (g *generator) run(ctx context.Context, schedule []Arrival) ([]Record, error) {
	records := make([]Record, len(schedule))
	var group sync.WaitGroup
	begin := time.Now()
	started := 0
	for i := range schedule {
		if !waitUntil(ctx, g.options.Stop, begin.Add(schedule[i].At)) {
			break
		}
		started++
		select {
		case g.inFlight <- struct{}{}:
		default:
			records[i] = g.newRecord(&schedule[i])
			records[i].Outcome = Dropped
			g.writeRecord(&records[i])
			continue
		}
		group.Go(func() {
			defer func() { <-g.inFlight }()
			records[i] = g.call(ctx, begin, &schedule[i])
			g.writeRecord(&records[i])
		})
	}
	group.Wait()
	return records[:started], g.writeErr
}

// waitUntil waits until the given time and returns false if the run ends first. It does not wait for a time in the past.
func waitUntil(ctx context.Context, stop <-chan struct{}, at time.Time) bool {
	timer := time.NewTimer(max(time.Until(at), 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-stop:
		return false
	case <-ctx.Done():
		return false
	}
}

func (g *generator) newRecord(a *Arrival) Record {
	s := &g.options.Streams[a.Stream]
	return Record{Number: a.Number, Stream: s.Name, Rank: s.Rank, Idempotent: s.Idempotent, StartMS: milliseconds(a.At)}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// call makes one call. Latency and timeout count from the scheduled start, so that delays of the generator itself are
// included in the result.
func (g *generator) call(ctx context.Context, begin time.Time, a *Arrival) Record {
	s := &g.options.Streams[a.Stream]
	record := g.newRecord(a)
	body := requestBody(g.options.Seed, a, s.BodyBytes)
	scheduled := begin.Add(a.At)
	callCtx, cancel := context.WithDeadline(ctx, scheduled.Add(time.Duration(s.TimeoutMS)*time.Millisecond))
	defer cancel()
	result := g.caller.call(callCtx, s, body)
	latency := time.Since(scheduled)
	record.ID, record.Outcome, record.Reason, record.Status, record.Sends = result.id, result.outcome, result.reason, result.status, result.sends
	record.LatencyMS = milliseconds(latency)
	if result.outcome == callctx.Answered {
		record.Foreign, record.Truncated = checkResponse(result, body)
		record.InTime = latency <= time.Duration(s.TargetMS)*time.Millisecond && !isErrorStatus(result.status) && !record.Foreign && !record.Truncated
	}
	return record
}

// requestBody returns a pseudo-random body that starts with the call's number, so that responses to different calls can be
// distinguished.
func requestBody(seed uint64, a *Arrival, size int) []byte {
	if size <= 0 {
		return nil
	}
	body := make([]byte, size)
	random := rand.New(rand.NewPCG(seed^0x9e3779b97f4a7c15, uint64(a.Number)))
	for i := range body {
		body[i] = 'a' + byte(random.IntN(26))
	}
	copy(body, fmt.Sprintf("%d:", a.Number))
	return body
}

// isErrorStatus reports whether a status is an HTTP error (400 or more).
func isErrorStatus(status int) bool { return status >= 400 }

// echo holds the fields of the backend stand-in's response that identify the request.
type echo struct {
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256"`
}

// checkResponse reports whether a response belongs to another request and whether it is incomplete. Error responses of the
// backend stand-in do not identify the request and are not checked.
func checkResponse(result callResult, body []byte) (foreign, truncated bool) {
	if isErrorStatus(result.status) {
		return false, false
	}
	var parsed echo
	if json.Unmarshal(result.body, &parsed) != nil {
		return false, true
	}
	sum := sha256.Sum256(body)
	return parsed.RequestID != result.id || parsed.BodySHA256 != hex.EncodeToString(sum[:]), false
}

func (g *generator) writeRecord(r *Record) {
	if g.options.Output == nil {
		return
	}
	line, err := json.Marshal(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		_, err = g.options.Output.Write(append(line, '\n'))
	}
	if g.writeErr == nil {
		g.writeErr = err
	}
}
