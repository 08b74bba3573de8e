package logservice

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Mode is how the log service behaves.
type Mode string

// The modes.
const (
	Up                  Mode = "up"
	Down                Mode = "down"                // nothing is answered and nothing is appended
	Slow                Mode = "slow"                // every request takes effect after the delay, even if the caller has gone
	LoseAppendResponses Mode = "lose_append_answers" // appends take effect, their answers are lost
	RefuseReads         Mode = "refuse_reads"        // appends work, reads are refused
)

// Control sets the mode.
type Control struct {
	Mode    Mode `json:"mode"`
	DelayMS int  `json:"delay_ms,omitempty"` // for mode slow, in milliseconds
}

// fault is the behaviour in force. changed is closed when another one replaces it, so that waiting reads notice.
type fault struct {
	Control
	changed chan struct{}
}

type faults struct {
	mu  sync.Mutex
	now fault
}

func newFaults() *faults {
	return &faults{now: fault{Control: Control{Mode: Up}, changed: make(chan struct{})}}
}

func (f *faults) current() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// SetMode changes the behaviour. It returns an error of kind Invalid for an unknown mode or a delay out of range.
func (l *Log) SetMode(c Control) error {
	switch c.Mode {
	case Up, Down, Slow, LoseAppendResponses, RefuseReads:
	default:
		return apierror.InvalidField("mode", "unknown mode "+strconv.Quote(string(c.Mode)), "use up, down, slow, lose_append_answers or refuse_reads")
	}
	if c.DelayMS < 0 || c.DelayMS > 60_000 {
		return apierror.InvalidField("delay_ms", "out of range", "use 0 to 60000 milliseconds")
	}
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	close(l.faults.now.changed)
	l.faults.now = fault{Control: c, changed: make(chan struct{})}
	return nil
}

func (f fault) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// beforeRead applies the fault to a read.
func (f fault) beforeRead(ctx context.Context) error {
	switch f.Mode {
	case RefuseReads:
		return apierror.New(apierror.Unavailable, "log service: reads are refused", "retry later")
	case Down:
		return errDown()
	case Slow:
		timer := time.NewTimer(f.delay())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errCancelled(ctx)
		}
	}
	return nil
}

func errDown() error {
	return apierror.New(apierror.Unavailable, "log service: down", "retry later")
}
