// Package logservice implements a stand-in for the platform's log service, for tests and the demo.
//
// It keeps streams in memory, expires records by age and count, limits appends per second, and can inject the faults of the
// real service: outages, slow requests, lost responses to appends and refused reads. Log is the in-process implementation,
// Server exposes it over HTTP.
package logservice

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// Limits of the log service. DefaultAppendsPerSecond applies if Options.AppendsPerSecond is 0.
const (
	DefaultAppendsPerSecond = 400
	DefaultMaxBatchBytes    = 8 << 20
	maxRecordBytes          = 32 << 20
	maxReadEntries          = 10_000
)

// Options sets the limits of a log service. The zero value never expires records.
type Options struct {
	RetainFor        time.Duration    // records older than this expire; 0: never
	RetainCount      int              // each stream keeps at most this many records; 0: all
	AppendsPerSecond int              // summed over all streams; 0: DefaultAppendsPerSecond, negative: unlimited
	Now              func() time.Time // clock of the log service; nil: time.Now
}

// Log is the core of the stand-in. It implements logstore.Log and is safe for concurrent use.
type Log struct {
	options Options
	limiter *rate.Limiter
	faults  *faults

	mu      sync.Mutex
	streams map[string]*stream
}

// stream holds the retained records of one stream. entries[0] has offset first.
type stream struct {
	entries  []logstore.Entry
	first    int64
	appended chan struct{} // closed at each append
}

// New returns an empty log service in mode Up.
func New(o Options) *Log {
	if o.Now == nil {
		o.Now = time.Now
	}
	perSecond := o.AppendsPerSecond
	if perSecond == 0 {
		perSecond = DefaultAppendsPerSecond
	}
	limit := rate.Limit(perSecond)
	if perSecond < 0 {
		limit, perSecond = rate.Inf, 1
	}
	return &Log{
		options: o,
		limiter: rate.NewLimiter(limit, perSecond),
		faults:  newFaults(),
		streams: make(map[string]*stream),
	}
}

// Append implements logstore.Log. Data that is not JSON is stored as a JSON string. Errors are of kind TooLarge, Overloaded
// or Unavailable if nothing was appended, and of kind Unknown if the response was lost.
func (l *Log) Append(ctx context.Context, name string, data json.RawMessage) (logstore.Entry, error) {
	fault := l.faults.current()
	if fault.Mode == Down {
		return logstore.Entry{}, errDown()
	}
	if len(data) > maxRecordBytes {
		return logstore.Entry{}, apierror.New(apierror.TooLarge, "record exceeds 32 MiB", "split the record")
	}
	if !l.limiter.Allow() {
		return logstore.Entry{}, apierror.New(apierror.Overloaded, "limit of appends per second exceeded", "retry later")
	}
	if fault.Mode == Slow {
		return l.appendDelayed(ctx, name, data, fault.delay())
	}
	entry := l.append(name, data)
	if fault.Mode == LoseAppendResponses {
		return logstore.Entry{}, errResponseLost()
	}
	return entry, nil
}

// appendDelayed appends after the delay, even if ctx ends before that. In that case it returns an error of kind Unknown.
func (l *Log) appendDelayed(ctx context.Context, name string, data json.RawMessage, delay time.Duration) (logstore.Entry, error) {
	done := make(chan logstore.Entry, 1)
	copied := append(json.RawMessage(nil), data...)
	time.AfterFunc(delay, func() { done <- l.append(name, copied) })
	select {
	case entry := <-done:
		return entry, nil
	case <-ctx.Done():
		return logstore.Entry{}, errResponseLost()
	}
}

func errResponseLost() error {
	return apierror.New(apierror.Unknown, "log service: response lost", "search the stream for the record id")
}

func (l *Log) append(name string, data json.RawMessage) logstore.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	entry := logstore.Entry{Offset: s.next(), TimeMS: l.options.Now().UnixMilli(), Data: storedForm(data)}
	s.entries = append(s.entries, entry)
	close(s.appended)
	s.appended = make(chan struct{})
	l.expire(s)
	return entry
}

// storedForm returns a copy of data, so that the caller may reuse its buffer. Data that is not JSON becomes a JSON string.
func storedForm(data json.RawMessage) json.RawMessage {
	if json.Valid(data) {
		return append(json.RawMessage(nil), data...)
	}
	quoted, err := json.Marshal(strings.ToValidUTF8(string(data), "\uFFFD"))
	if err != nil {
		panic("encoding a string: " + err.Error()) // strings are always encodable
	}
	return quoted
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() int64 {
	return s.first + int64(len(s.entries))
}

// expire removes the records that exceed the retention.
func (l *Log) expire(s *stream) {
	drop := 0
	if l.options.RetainCount > 0 && len(s.entries) > l.options.RetainCount {
		drop = len(s.entries) - l.options.RetainCount
	}
	if l.options.RetainFor > 0 {
		oldest := l.options.Now().Add(-l.options.RetainFor).UnixMilli()
		for drop < len(s.entries) && s.entries[drop].TimeMS < oldest {
			drop++
		}
	}
	s.first += int64(drop)
	s.entries = s.entries[drop:]
}

// Read implements logstore.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (logstore.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		fault := l.faults.current()
		if err := fault.beforeRead(ctx); err != nil {
			return logstore.Batch{}, err
		}
		batch, appended := l.read(name, from, limit)
		if len(batch.Entries) > 0 || wait <= 0 || batch.First > from {
			return batch, nil
		}
		select {
		case <-appended:
		case <-fault.changed:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return logstore.Batch{}, errCancelled(ctx)
		}
	}
}

func errCancelled(ctx context.Context) error {
	return apierror.New(apierror.Unavailable, "log service: "+ctx.Err().Error(), "retry")
}

func (l *Log) read(name string, from int64, limit int) (logstore.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	batch := logstore.Batch{First: s.first, Next: s.next(), TimeMS: l.options.Now().UnixMilli(), Entries: []logstore.Entry{}}
	size := 0
	for i := max(from-s.first, 0); i < int64(len(s.entries)); i++ {
		if len(batch.Entries) >= min(limit, maxReadEntries) || size > DefaultMaxBatchBytes {
			break
		}
		batch.Entries = append(batch.Entries, s.entries[i])
		size += len(s.entries[i].Data)
	}
	return batch, s.appended
}
