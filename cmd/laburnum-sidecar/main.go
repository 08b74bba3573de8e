// Command laburnum-sidecar is the node that runs next to each backend server on the users' platform. SIGTERM starts a graceful shutdown.
// SIGHUP validates the settings file without applying it; changed settings take effect at the next start.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/daemon"
	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
	"github.com/laburnumcleat/laburnumcleat/platform"
)

const programName = "laburnum-sidecar"

// gcPercent trades CPU time for a smaller heap, because memory is scarcer than CPU on these VMs.
const gcPercent = 50

const (
	logBufferLines  = 2000                   // buffered while standard output is blocked; about 0.5 MB
	logFlushTimeout = 100 * time.Millisecond // for the last lines at shutdown
)

func main() {
	signals := daemon.HandleSignals()
	path, checkOnly := daemon.ParseFlags(programName, "laburnumcleat node next to a backend server on the users' platform", "docs/platform.md")
	loaded, err := sidecar.LoadSettings(path)
	if err != nil {
		daemon.Exit(programName, daemon.ExitSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	logger, output, err := logging.NewAsync(os.Stdout, loaded.LogLevel, logBufferLines)
	if err != nil {
		daemon.Exit(programName, daemon.ExitSettings, err)
	}
	debug.SetGCPercent(gcPercent)
	n, err := sidecar.New(loaded, platform.New(loaded.Store.Address, logger), logger)
	if err != nil {
		daemon.Exit(programName, daemon.ExitFailure, err)
	}
	signals.OnHangup(func() {
		if _, err := sidecar.LoadSettings(path); err != nil {
			logger.Error("settings_not_valid", zap.Error(err))
			return
		}
		logger.Info("settings_checked")
	})
	err = n.Run(signals.Stop)
	output.Flush(logFlushTimeout)
	if err != nil && !errors.Is(err, context.Canceled) {
		daemon.Exit(programName, daemon.ExitFailure, err)
	}
}
