package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

const (
	fleetReadyLimit = 30 * time.Second
	shownAddresses  = 3
)

// newFleetCmd starts a deployment and leaves it running.
func newFleetCmd() verb {
	deployment, binDir, workDir := "falaj", "", ""
	secure := false
	command := newCommand("fleet", "a deployment on loopback that runs until it is interrupted, to try laburnumctl on")
	command.String(&deployment, "d", "deployment", "falaj or van-der-merwe")
	command.String(&binDir, "b", "bin", "folder with the programs; default: that of this program")
	command.String(&workDir, "w", "work", "folder for settings and process logs; default: a temporary one that is removed")
	command.Bool(&secure, "", "secure", "TLS between nodes and towards operators, and tokens")
	return verb{command, func(ctx context.Context) error {
		selected, err := deploymentNamed(deployment)
		if err != nil {
			return err
		}
		return withFolders(&binDir, &workDir, func() error {
			started, err := fleet.Start(ctx, fleet.Options{Deployment: selected, BinDir: binDir, WorkDir: workDir, Secure: secure})
			if err != nil {
				return err
			}
			defer started.Kill()
			if err := started.WaitReady(ctx, fleetReadyLimit); err != nil {
				return err
			}
			printAccess(started, secure)
			<-ctx.Done()
			return nil
		})
	}}
}

// printAccess prints what an operator and a client need, as lines for a shell.
func printAccess(f *fleet.Fleet, secure bool) {
	addresses := make([]string, 0, shownAddresses)
	for _, n := range f.Nodes[:shownAddresses] {
		addresses = append(addresses, n.APIURL)
	}
	fmt.Printf("export LABURNUM_API=%s\n", strings.Join(addresses, ","))
	if secure {
		fmt.Printf("export LABURNUM_TOKEN_FILE=%s/operator.token  # and --ca-file %s/ca.pem\n", f.Options.WorkDir, f.Options.WorkDir)
	}
	fmt.Printf("# calls: %s\n# interrupt to stop\n", f.Nodes[0].CallURL)
}
