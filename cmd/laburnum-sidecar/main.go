// Command laburnum-sidecar is the node beside each backend server on the users' platform. It reads its settings, serves, and stops
// gracefully on SIGTERM. SIGHUP checks the settings, which take effect at the next start.
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

const name = "laburnum-sidecar"

// gcPercent keeps the heap small: memory is dearer on these machines than the processor time of the collector.
const gcPercent = 50

const (
	logLines   = 2000                   // buffered for a slow reader of the output; about 0.5 MB
	flushLimit = 100 * time.Millisecond // for the last lines at the end
)

func main() {
	signals := daemon.HandleSignals()
	path, checkOnly := daemon.ParseFlags(name, "node of laburnumcleat beside a backend server on the users' platform", "docs/platform.md")
	loaded, err := sidecar.LoadSettings(path)
	if err != nil {
		daemon.Exit(name, daemon.ExitSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	logger, output, err := logging.NewAsync(os.Stdout, loaded.LogLevel, logLines)
	if err != nil {
		daemon.Exit(name, daemon.ExitSettings, err)
	}
	debug.SetGCPercent(gcPercent)
	n, err := sidecar.New(loaded, platform.New(loaded.Store.Address, logger), logger)
	if err != nil {
		daemon.Exit(name, daemon.ExitFailure, err)
	}
	signals.OnHangup(func() {
		if _, err := sidecar.LoadSettings(path); err != nil {
			logger.Error("settings_not_valid", zap.Error(err))
			return
		}
		logger.Info("settings_checked")
	})
	err = n.Run(signals.Stop)
	output.Flush(flushLimit)
	if err != nil && !errors.Is(err, context.Canceled) {
		daemon.Exit(name, daemon.ExitFailure, err)
	}
}
