package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// AsyncWriter writes log lines on a goroutine of its own, so that logging never waits for a slow reader of the output. Lines that do not
// fit into the buffer are dropped, and a line says how many.
type AsyncWriter struct {
	lines   chan []byte
	flush   chan chan struct{}
	out     io.Writer
	dropped atomic.Int64
}

// NewAsync returns a logger that writes to out through a buffer of so many lines.
func NewAsync(out io.Writer, level string, lines int) (*zap.Logger, *AsyncWriter, error) {
	b := &AsyncWriter{lines: make(chan []byte, lines), flush: make(chan chan struct{}), out: out}
	logger, err := New(b, level)
	if err != nil {
		return nil, nil, err
	}
	go b.run()
	return logger, b, nil
}

// Write implements io.Writer for the logger. It never blocks and never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Flush returns when the lines written before are out, or after limit.
func (b *AsyncWriter) Flush(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case b.flush <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// run writes lines. There is nobody to tell of a failed write: the output is where failures are told.
func (b *AsyncWriter) run() {
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line)
		case done := <-b.flush:
			b.drain()
			close(done)
		}
		if len(b.lines) > 0 {
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			at := time.Now().UTC().Format(timeFormat)
			_, _ = fmt.Fprintf(b.out, "time=%s level=warn event=log_lines_dropped count=%d cause=\"the output was read too slowly\"\n", at, n)
		}
	}
}

func (b *AsyncWriter) drain() {
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line)
		default:
			return
		}
	}
}
