package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/demo"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

// newDemoCmd returns the command that demonstrates a complete deployment on loopback.
func newDemoCmd() verb {
	deployment, binDir, workDir := "falaj", "", ""
	command := newCommand("demo", "complete deployment on loopback: publish, amend, load in several ranks, one VM killed, one backend server drained")
	command.String(&deployment, "d", "deployment", "falaj or van-der-merwe")
	command.String(&binDir, "b", "bin", "directory of the programs; default: that of this program")
	command.String(&workDir, "w", "work", "directory for settings and process logs; default: a temporary one that is removed at the end")
	return verb{command, func(ctx context.Context) error {
		selected, err := parseDeployment(deployment)
		if err != nil {
			return err
		}
		o := demo.Options{Deployment: selected, BinDir: binDir, WorkDir: workDir, Out: os.Stdout}
		return withDirectories(&o.BinDir, &o.WorkDir, func() error { return demo.Run(ctx, o) })
	}}
}

func parseDeployment(name string) (fleet.Deployment, error) {
	switch name {
	case "falaj":
		return fleet.Falaj(), nil
	case "van-der-merwe":
		return fleet.VanDerMerwe(), nil
	default:
		return fleet.Deployment{}, eris.Errorf("unknown deployment %q; use falaj or van-der-merwe", name)
	}
}
