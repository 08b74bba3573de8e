// Command laburnum-standin runs stand-ins for the platform in tests, benchmarks and demos: the log service, backend servers, clients,
// and a complete deployment on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// verb is one subcommand.
type verb struct {
	command *flaggy.Subcommand
	run     func(ctx context.Context) error
}

func main() {
	flaggy.SetName("laburnum-standin")
	flaggy.SetDescription("stand-ins for the log service, backend servers and clients, and experiments")
	verbs := append([]verb{newLogCmd(), newBackendCmd(), newLoadCmd(), newFleetCmd(), newDemoCmd(), newExperimentCmd()}, benchCommands()...)
	for _, v := range verbs {
		flaggy.AttachSubcommand(v.command, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, v := range verbs {
		if !v.command.Used {
			continue
		}
		if err := v.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "laburnum-standin:", err)
			os.Exit(1)
		}
		return
	}
	flaggy.ShowHelpAndExit("missing subcommand")
}

func newCommand(name, description string) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	return command
}
