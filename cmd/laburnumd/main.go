// Command laburnumd is the node that runs beside each backend server. It reads its settings, runs a node and stops
// gracefully on SIGTERM. SIGHUP reloads the keys.
package main

import (
	"fmt"
	"os"

	"github.com/laburnumcleat/laburnumcleat/pkg/daemon"
	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/pkg/node"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

const name = "laburnumd"

func main() {
	signals := daemon.HandleSignals()
	path, checkOnly := daemon.ParseFlags(name, "node of laburnumcleat, one beside each backend server", "docs/settings.md")
	loaded, err := settings.Load(path)
	if err != nil {
		daemon.Exit(name, daemon.ExitSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	logger, err := logging.New(os.Stderr, loaded.LogLevel)
	if err != nil {
		daemon.Exit(name, daemon.ExitSettings, err)
	}
	n, err := node.New(loaded, logger)
	if err != nil {
		daemon.Exit(name, daemon.ExitFailure, err)
	}
	signals.OnHangup(func() { _ = n.ReloadKeys() }) // the node logs the result
	if err := n.Run(signals.Stop); err != nil {
		daemon.Exit(name, daemon.ExitFailure, err)
	}
}
