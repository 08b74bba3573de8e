package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/demo"
	"github.com/laburnumcleat/laburnumcleat/standin/fleet"
)

// newDemoCmd runs a whole deployment on loopback.
func newDemoCmd() verb {
	deployment, binDir, workDir := "falaj", "", ""
	command := newCommand("demo", "a whole deployment on loopback: publish, amend, load in ranks, one VM killed, one backend server drained")
	command.String(&deployment, "d", "deployment", "falaj or van-der-merwe")
	command.String(&binDir, "b", "bin", "folder with the programs; default: that of this program")
	command.String(&workDir, "w", "work", "folder for settings and process logs; default: a temporary one that is removed")
	return verb{command, func(ctx context.Context) error {
		o := demo.Options{Deployment: fleet.Falaj(), BinDir: binDir, WorkDir: workDir, Out: os.Stdout}
		if deployment == "van-der-merwe" {
			o.Deployment = fleet.VanDerMerwe()
		} else if deployment != "falaj" {
			return eris.Errorf("unknown deployment %q; use falaj or van-der-merwe", deployment)
		}
		return withFolders(&o.BinDir, &o.WorkDir, func() error { return demo.Run(ctx, o) })
	}}
}
