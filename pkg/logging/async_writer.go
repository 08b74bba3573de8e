package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// AsyncWriter writes log lines from a bounded buffer in a separate goroutine, so that logging never blocks on a slow reader of the output.
// Lines that do not fit into the buffer are dropped; a log line reports their number.
type AsyncWriter struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	out           io.Writer
	dropped       atomic.Int64
}

// NewAsync returns a logger that writes to out through a buffer of the given number of lines, and the writer behind it.
func NewAsync(out io.Writer, level string, lines int) (*zap.Logger, *AsyncWriter, error) {
	w := &AsyncWriter{lines: make(chan []byte, lines), flushRequests: make(chan chan struct{}), out: out}
	logger, err := New(w, level)
	if err != nil {
		return nil, nil, err
	}
	go w.run()
	return logger, w, nil
}

// Write implements io.Writer for the logger. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that are not reported yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Flush waits until all previously written lines are written to the output, or until the timeout.
func (w *AsyncWriter) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// run writes lines to the output. Write errors are ignored, because the output is the only place to report them.
func (w *AsyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case done := <-w.flushRequests:
			w.drain()
			close(done)
		}
		if len(w.lines) > 0 {
			continue
		}
		if n := w.dropped.Swap(0); n > 0 {
			at := time.Now().UTC().Format(timeFormat)
			_, _ = fmt.Fprintf(w.out, "time=%s level=warn event=log_lines_dropped count=%d cause=\"the output was read too slowly\"\n", at, n)
		}
	}
}

func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
