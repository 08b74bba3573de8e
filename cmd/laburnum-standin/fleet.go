package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

const (
	fleetReadyTimeout = 30 * time.Second
	printedAddresses  = 3
)

// newFleetCmd returns the command that runs a deployment until it is interrupted.
func newFleetCmd() verb {
	deployment, binDir, workDir := "falaj", "", ""
	secure := false
	command := newCommand("fleet", "deployment on loopback that runs until it is interrupted, for use with laburnumctl")
	command.String(&deployment, "d", "deployment", "falaj or van-der-merwe")
	command.String(&binDir, "b", "bin", "directory of the programs; default: that of this program")
	command.String(&workDir, "w", "work", "directory for settings and process logs; default: a temporary one that is removed at the end")
	command.Bool(&secure, "", "secure", "use TLS between nodes and for operators, and require tokens")
	return verb{command, func(ctx context.Context) error {
		selected, err := parseDeployment(deployment)
		if err != nil {
			return err
		}
		return withDirectories(&binDir, &workDir, func() error {
			running, err := fleet.Start(ctx, fleet.Options{Deployment: selected, BinDir: binDir, WorkDir: workDir, Secure: secure})
			if err != nil {
				return err
			}
			defer running.Kill()
			if err := running.WaitReady(ctx, fleetReadyTimeout); err != nil {
				return err
			}
			printAccess(running, secure)
			<-ctx.Done()
			return nil
		})
	}}
}

// printAccess prints the addresses and credentials for operators and clients, as shell commands and comments.
func printAccess(f *fleet.Fleet, secure bool) {
	addresses := make([]string, 0, printedAddresses)
	for _, n := range f.Nodes[:printedAddresses] {
		addresses = append(addresses, n.APIURL)
	}
	fmt.Printf("export LABURNUM_API=%s\n", strings.Join(addresses, ","))
	if secure {
		fmt.Printf("export LABURNUM_TOKEN_FILE=%s/operator.token  # and --ca-file %s/ca.pem\n", f.Options.WorkDir, f.Options.WorkDir)
	}
	fmt.Printf("# calls: %s\n# interrupt to stop\n", f.Nodes[0].CallURL)
}
