// Command laburnumd is the node that runs beside each backend server. It reads its settings, runs a node and stops
// gracefully on SIGTERM. SIGHUP reloads the keys.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/pkg/node"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

// Exit codes.
const (
	exitSettings = 2 // the settings are wrong
	exitFailure  = 1 // the node failed while it ran
)

func main() {
	var path string
	var checkOnly bool
	flaggy.SetName("laburnumd")
	flaggy.SetDescription("node of laburnumcleat, one beside each backend server")
	flaggy.String(&path, "s", "settings", "path of the JSON settings file; fields are in docs/settings.md")
	flaggy.Bool(&checkOnly, "", "check", "check the settings and exit")
	flaggy.Parse()

	loaded, err := settings.Load(path)
	if err != nil {
		exit(exitSettings, err)
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return
	}
	logger, err := logging.New(os.Stderr, loaded.LogLevel)
	if err != nil {
		exit(exitSettings, err)
	}
	n, err := node.New(loaded, logger)
	if err != nil {
		exit(exitFailure, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnHangup(ctx, n)
	if err := n.Run(ctx); err != nil {
		exit(exitFailure, err)
	}
}

// reloadOnHangup reloads the keys on SIGHUP. The node logs the result.
func reloadOnHangup(ctx context.Context, n *node.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			_ = n.ReloadKeys()
		}
	}
}

func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "laburnumd:", err)
	os.Exit(code)
}
