// Package daemon is the frame of the programs that run beside a backend server: flags, signals and exit codes.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	ExitSettings = 2 // the settings are wrong
	ExitFailure  = 1 // the node failed while it ran
)

// Signals are those that the process handles.
type Signals struct {
	Stop   context.Context // ends with SIGTERM and SIGINT
	hangup chan os.Signal
}

// HandleSignals takes over the signals. It is called first of all: a signal that nobody has asked for ends the process, also one that comes
// while it starts.
func HandleSignals() *Signals {
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // until the process ends
	s := &Signals{Stop: stop, hangup: make(chan os.Signal, 1)}
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// OnHangup calls reload for each SIGHUP until Stop ends.
func (s *Signals) OnHangup(reload func()) {
	go func() {
		for {
			select {
			case <-s.Stop.Done():
				return
			case <-s.hangup:
				reload()
			}
		}
	}()
}

// ParseFlags reads the command line: the settings file, and whether it is only to be checked. page is where its fields are described.
func ParseFlags(name, description, page string) (settings string, checkOnly bool) {
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.String(&settings, "s", "settings", "path of the JSON settings file; fields are in "+page)
	flaggy.Bool(&checkOnly, "", "check", "check the settings and exit")
	flaggy.Parse()
	return settings, checkOnly
}

// Exit ends the process with a failure.
func Exit(name string, code int, err error) {
	fmt.Fprintln(os.Stderr, name+":", err)
	os.Exit(code)
}
