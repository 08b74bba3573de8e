// Package daemon provides flags, signal handling and exit codes for the programs that run beside a backend server.
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
	ExitSettings = 2 // the settings are invalid
	ExitFailure  = 1 // the node failed at run time
)

// Signals delivers the signals that the process handles.
type Signals struct {
	Stop   context.Context // cancelled by SIGTERM or SIGINT
	hangup chan os.Signal
}

// HandleSignals installs the handlers for SIGTERM, SIGINT and SIGHUP. Call it first in main: a signal that arrives during startup
// without a handler terminates the process.
func HandleSignals() *Signals {
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // in force until the process ends
	s := &Signals{Stop: stop, hangup: make(chan os.Signal, 1)}
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// OnHangup calls reload for each SIGHUP until Stop is cancelled. It returns immediately.
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

// ParseFlags parses the command line. It returns the path of the settings file, and whether to only check that file. settingsDoc is the
// document that describes the fields of the file.
func ParseFlags(name, description, settingsDoc string) (settings string, checkOnly bool) {
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.String(&settings, "s", "settings", "path of the JSON settings file; fields are in "+settingsDoc)
	flaggy.Bool(&checkOnly, "", "check", "check the settings and exit")
	flaggy.Parse()
	return settings, checkOnly
}

// Exit prints err to standard error and ends the process with an exit code.
func Exit(name string, code int, err error) {
	fmt.Fprintln(os.Stderr, name+":", err)
	os.Exit(code)
}
