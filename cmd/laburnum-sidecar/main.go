// Command laburnum-sidecar is the node beside each backend server on the users' platform. It reads its settings, serves, and stops
// gracefully on SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/pkg/sidecar"
	"github.com/laburnumcleat/laburnumcleat/platform"
)

// Exit codes.
const (
	exitSettings = 2 // the settings are wrong
	exitFailure  = 1 // the node failed while it ran
)

// gcPercent keeps the heap small: memory is dearer on these machines than the processor time of the collector.
const gcPercent = 50

const (
	logLines   = 2000                   // buffered for a slow reader of the output; about 0.5 MB
	flushLimit = 100 * time.Millisecond // for the last lines at the end
)

func main() {
	// First of all: a signal that nobody has asked for ends the process, also one that comes while it starts.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)

	var path string
	var checkOnly bool
	flaggy.SetName("laburnum-sidecar")
	flaggy.SetDescription("node of laburnumcleat beside a backend server on the users' platform")
	flaggy.String(&path, "s", "settings", "path of the JSON settings file; fields are in docs/platform.md")
	flaggy.Bool(&checkOnly, "", "check", "check the settings and exit")
	flaggy.Parse()

	loaded, err := sidecar.LoadSettings(path)
	if err != nil {
		exit(exitSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	logger, output, err := logging.NewBounded(os.Stdout, loaded.LogLevel, logLines)
	if err != nil {
		exit(exitSettings, err)
	}
	debug.SetGCPercent(gcPercent)
	n, err := sidecar.New(loaded, platform.New(loaded.Store.Address, logger), logger)
	if err != nil {
		exit(exitFailure, err)
	}
	go reloadOnHangup(ctx, hangup, path, logger)
	err = n.Run(ctx)
	output.Flush(flushLimit)
	if err != nil && !errors.Is(err, context.Canceled) {
		exit(exitFailure, err)
	}
}

// reloadOnHangup checks the settings on SIGHUP and says that they take effect at the next start.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, path string, logger *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			if _, err := sidecar.LoadSettings(path); err != nil {
				logger.Error("settings_not_valid", zap.Error(err))
				continue
			}
			logger.Info("settings_checked")
		}
	}
}

func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "laburnum-sidecar:", err)
	os.Exit(code)
}
