// Package load generates calls in ranks at given rates, records what became of each, and checks the records against what
// the backend servers executed.
//
// The load is open-loop: calls start by a schedule that does not depend on how earlier calls went, so that a slow system
// gets no relief. The schedule depends only on the seed.
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
	Rank       string            `json:"rank"` // only for the summary; the route decides the rank of the calls
	Method     string            `json:"method"`
	Path       string            `json:"path"`
	Idempotent bool              `json:"idempotent"`        // of the route; Verify accepts several executions of an id
	BodyBytes  int               `json:"body_bytes"`        // of each request; 0: no body
	Headers    map[string]string `json:"headers,omitempty"` // of each request
	Rate       float64           `json:"rate"`              // calls a second
	StartMS    int               `json:"start_ms"`          // begin after the start of the run
	DurationMS int               `json:"duration_ms"`       // length of the stream
	TimeoutMS  int               `json:"timeout_ms"`        // deadline of a call
	TargetMS   int               `json:"target_ms"`         // a response within this time is in time
}

// Options configures a run.
type Options struct {
	Nodes    []string        `json:"nodes"` // "host:port" of the nodes' interface for callers
	Streams  []Stream        `json:"streams"`
	Seed     uint64          `json:"seed"`
	Plain    bool            `json:"plain"`     // plain HTTP: one request for each call, without pkg/client
	FIFO     int             `json:"fifo"`      // with Plain: each address is a backend server with that many slots behind a queue of its own; 0: no queue
	Output   io.Writer       `json:"-"`         // one JSON line for each call; nil: none
	Stop     <-chan struct{} `json:"-"`         // when closed, no further call starts; those in flight finish. Nil: never
	MaxCalls int             `json:"max_calls"` // in flight at the same time; default 20,000. A call beyond it is recorded as dropped
}

const defaultMaxCalls = 20_000

// validate returns every fault as an apierror.List.
func (o *Options) validate() error {
	var errs apierror.List
	if len(o.Nodes) == 0 {
		errs = append(errs, apierror.InvalidField("nodes", "empty", "name at least one node"))
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
			errs = append(errs, apierror.InvalidField(field+".path", "does not start with /", "start it with /"))
		}
		if s.TimeoutMS <= 0 || s.TargetMS <= 0 {
			errs = append(errs, apierror.InvalidField(field+".timeout_ms", "timeout or target is not positive", "set both in milliseconds"))
		}
	}
	return errs.Err()
}

// Arrival is one scheduled call.
type Arrival struct {
	At     time.Duration // after the start of the run
	Stream int           // index into Options.Streams
	Number int           // of the call within the run
}

// Schedule returns all arrivals in order of time. Each stream is a Poisson process with a seed of its own, so that
// adding a stream does not change the others.
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

// Outcomes of records beyond those of callctx.
const (
	// Dropped marks a call that was not sent, because the generator itself had too many calls in flight.
	Dropped callctx.Outcome = "dropped"
)

// Record is what became of one call.
type Record struct {
	Number     int             `json:"number"`
	Stream     string          `json:"stream"`
	Rank       string          `json:"rank"`
	Idempotent bool            `json:"idempotent,omitempty"`
	ID         string          `json:"id"` // the last request id
	Outcome    callctx.Outcome `json:"outcome"`
	Reason     callctx.Reason  `json:"reason,omitempty"`
	Status     int             `json:"status,omitempty"`
	StartMS    float64         `json:"start_ms"`   // scheduled start after the start of the run
	LatencyMS  float64         `json:"latency_ms"` // from the scheduled start
	InTime     bool            `json:"in_time"`
	Foreign    bool            `json:"foreign,omitempty"` // answered with the response to another request
	Truncated  bool            `json:"cut,omitempty"`     // answered with an incomplete response
	Sends      []client.Send   `json:"sends,omitempty"`
}

// Run makes all calls and returns their records in order of the schedule. It returns early with what is done when ctx
// ends. Errors are of kind apierror.Invalid, or come from Options.Output.
func Run(ctx context.Context, o Options) ([]Record, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	caller, err := newCaller(&o)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	g := &generator{options: o, caller: caller, slots: make(chan struct{}, orDefault(o.MaxCalls, defaultMaxCalls))}
	return g.run(ctx, Schedule(o.Streams, o.Seed))
}

func orDefault(value, standard int) int {
	if value <= 0 {
		return standard
	}
	return value
}

// generator runs one schedule.
type generator struct {
	options Options
	caller  caller
	slots   chan struct{}

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
		case g.slots <- struct{}{}:
		default:
			records[i] = g.newRecord(&schedule[i])
			records[i].Outcome = Dropped
			g.write(&records[i])
			continue
		}
		group.Go(func() {
			defer func() { <-g.slots }()
			records[i] = g.call(ctx, begin, &schedule[i])
			g.write(&records[i])
		})
	}
	group.Wait()
	return records[:started], g.writeErr
}

// waitUntil reports false if the run ends before. A time that has passed is not waited for.
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

// call makes one call. Latency counts from the scheduled start, so that a generator that falls behind shows.
func (g *generator) call(ctx context.Context, begin time.Time, a *Arrival) Record {
	s := &g.options.Streams[a.Stream]
	record := g.newRecord(a)
	body := bodyOf(g.options.Seed, a, s.BodyBytes)
	scheduled := begin.Add(a.At)
	limited, cancel := context.WithDeadline(ctx, scheduled.Add(time.Duration(s.TimeoutMS)*time.Millisecond))
	defer cancel()
	answer := g.caller.call(limited, s, body)
	latency := time.Since(scheduled)
	record.ID, record.Outcome, record.Reason, record.Status, record.Sends = answer.id, answer.outcome, answer.reason, answer.status, answer.sends
	record.LatencyMS = milliseconds(latency)
	if answer.outcome == callctx.Answered {
		record.Foreign, record.Truncated = check(answer, body)
		record.InTime = latency <= time.Duration(s.TargetMS)*time.Millisecond && !failed(answer.status) && !record.Foreign && !record.Truncated
	}
	return record
}

// bodyOf returns the body of a call, which no other call of the run has.
func bodyOf(seed uint64, a *Arrival, size int) []byte {
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

// failed reports whether a status is an error of the backend server.
func failed(status int) bool { return status >= 400 }

// echo is the part of the backend stand-in's response that identifies the request.
type echo struct {
	RequestID  string `json:"request_id"`
	BodySHA256 string `json:"body_sha256"`
}

// check reports whether a response belongs to another request, and whether it is incomplete. The backend stand-in's
// error responses do not identify the request and cannot be checked.
func check(answer answer, body []byte) (foreign, cut bool) {
	if failed(answer.status) {
		return false, false
	}
	var parsed echo
	if json.Unmarshal(answer.body, &parsed) != nil {
		return false, true
	}
	sum := sha256.Sum256(body)
	return parsed.RequestID != answer.id || parsed.BodySHA256 != hex.EncodeToString(sum[:]), false
}

func (g *generator) write(r *Record) {
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
