package main

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/bench"
)

// newBenchCmd returns the command of one benchmark.
func newBenchCmd(name, description, sizes string, measure func(context.Context, bench.Options) error) verb {
	binDir, workDir := "", ""
	command := newCommand(name, description)
	command.String(&sizes, "n", "nodes", "fleet sizes, separated by commas")
	command.String(&binDir, "b", "bin", "folder with the programs; default: that of this program")
	command.String(&workDir, "w", "work", "folder for settings and process logs; default: a temporary one that is removed")
	return verb{command, func(ctx context.Context) error {
		o := bench.Options{Out: os.Stdout, BinDir: binDir, WorkDir: workDir}
		for _, text := range strings.Split(sizes, ",") {
			size, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil || size < 3 || size > 300 {
				return eris.Errorf("fleet size %q; use whole numbers from 3 to 300", text)
			}
			o.Sizes = append(o.Sizes, size)
		}
		return withFolders(&o.BinDir, &o.WorkDir, func() error { return measure(ctx, o) })
	}}
}

// withFolders fills in the default folders and removes a temporary work folder afterwards.
func withFolders(binDir, workDir *string, run func() error) error {
	if *binDir == "" {
		own, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "finding the programs; name their folder with --bin")
		}
		*binDir = filepath.Dir(own)
	}
	if *workDir == "" {
		temporary, err := os.MkdirTemp("", "laburnum-")
		if err != nil {
			return eris.Wrap(err, "creating a work folder")
		}
		defer os.RemoveAll(temporary)
		*workDir = temporary
	}
	return run()
}

// newBenchCallsCmd returns the command that measures calls.
func newBenchCallsCmd() verb {
	o := bench.Options{Out: os.Stdout}
	command := newCommand("bench-calls", "added latency, and goodput of each rank under surges, for both example deployments")
	command.String(&o.BinDir, "b", "bin", "folder with the programs; default: that of this program")
	command.String(&o.WorkDir, "w", "work", "folder for settings and process logs; default: a temporary one that is removed")
	command.String(&o.Deployment, "d", "deployment", `only "falaj" or "van-der-merwe"; default: both`)
	command.String(&o.Part, "p", "part", `only "latency" or "surges"; default: both`)
	return verb{command, func(ctx context.Context) error {
		return withFolders(&o.BinDir, &o.WorkDir, func() error { return bench.Calls(ctx, o) })
	}}
}

func benchCommands() []verb {
	return []verb{
		newBenchCallsCmd(),
		newBenchCmd("bench-config", "convergence and control bytes at several fleet sizes", "12,48,96,192", bench.Config),
		newBenchCmd("bench-fleet", "cost per node of an idle fleet, changes, calls and state, with least-squares fits over the fleet size", "24,48,96,192", bench.Fleet),
	}
}
