package logservice

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Mode selects the behaviour of the log service.
type Mode string

// The modes.
const (
	Up                  Mode = "up"
	Down                Mode = "down"                // requests get no response and appends have no effect
	Slow                Mode = "slow"                // requests take effect after the delay, even if the caller has given up
	LoseAppendResponses Mode = "lose_append_answers" // appends take effect, their responses are lost
	RefuseReads         Mode = "refuse_reads"        // reads are refused, appends take effect
)

// Control selects the mode and its delay.
type Control struct {
	Mode    Mode `json:"mode"`
	DelayMS int  `json:"delay_ms,omitempty"` // delay in mode slow
}

// fault is the active behaviour. changed is closed when it is replaced, so that long polls re-evaluate it.
type fault struct {
	Control
	changed chan struct{}
}

type faults struct {
	mu     sync.Mutex
	active fault
}

func newFaults() *faults {
	return &faults{active: fault{Control: Control{Mode: Up}, changed: make(chan struct{})}}
}

func (f *faults) current() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// SetMode changes the mode. It returns an error of kind Invalid for an unknown mode or a delay out of range.
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
	close(l.faults.active.changed)
	l.faults.active = fault{Control: c, changed: make(chan struct{})}
	return nil
}

func (f fault) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// beforeRead applies the fault to a read: it delays the read or returns an error.
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
