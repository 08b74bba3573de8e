// Command laburnumd is the node that runs next to each backend server. SIGTERM starts a graceful shutdown. SIGHUP reloads the keys.
package main

import (
	"fmt"
	"os"

	"github.com/laburnumcleat/laburnumcleat/pkg/daemon"
	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/pkg/node"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

const programName = "laburnumd"

func main() {
	signals := daemon.HandleSignals()
	path, checkOnly := daemon.ParseFlags(programName, "laburnumcleat node; one runs next to each backend server", "docs/settings.md")
	loaded, err := settings.Load(path)
	if err != nil {
		daemon.Exit(programName, daemon.ExitSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	logger, err := logging.New(os.Stderr, loaded.LogLevel)
	if err != nil {
		daemon.Exit(programName, daemon.ExitSettings, err)
	}
	n, err := node.New(loaded, logger)
	if err != nil {
		daemon.Exit(programName, daemon.ExitFailure, err)
	}
	signals.OnHangup(func() { _ = n.ReloadKeys() }) // ReloadKeys logs the result
	if err := n.Run(signals.Stop); err != nil {
		daemon.Exit(programName, daemon.ExitFailure, err)
	}
}
