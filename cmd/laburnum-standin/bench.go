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

// newBenchCmd returns the command of a benchmark that runs at several fleet sizes.
func newBenchCmd(name, description, sizes string, run func(context.Context, bench.Options) error) verb {
	binDir, workDir := "", ""
	command := newCommand(name, description)
	command.String(&sizes, "n", "nodes", "fleet sizes, separated by commas")
	command.String(&binDir, "b", "bin", "directory of the programs; default: that of this program")
	command.String(&workDir, "w", "work", "directory for settings and process logs; default: a temporary one that is removed at the end")
	return verb{command, func(ctx context.Context) error {
		o := bench.Options{Out: os.Stdout, BinDir: binDir, WorkDir: workDir}
		for _, text := range strings.Split(sizes, ",") {
			size, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil || size < 3 || size > 300 {
				return eris.Errorf("fleet size %q; use integers from 3 to 300", text)
			}
			o.Sizes = append(o.Sizes, size)
		}
		return withDirectories(&o.BinDir, &o.WorkDir, func() error { return run(ctx, o) })
	}}
}

// withDirectories sets the default directories, calls run, and removes the work directory afterwards if it is a temporary one.
func withDirectories(binDir, workDir *string, run func() error) error {
	if *binDir == "" {
		executable, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "locating the programs; pass their directory with --bin")
		}
		*binDir = filepath.Dir(executable)
	}
	if *workDir == "" {
		tempDir, err := os.MkdirTemp("", "laburnum-")
		if err != nil {
			return eris.Wrap(err, "creating a work directory")
		}
		defer os.RemoveAll(tempDir)
		*workDir = tempDir
	}
	return run()
}

// newBenchCallsCmd returns the command of the call benchmark.
func newBenchCallsCmd() verb {
	o := bench.Options{Out: os.Stdout}
	command := newCommand("bench-calls", "added latency, and goodput per rank under surges, for both example deployments")
	command.String(&o.BinDir, "b", "bin", "directory of the programs; default: that of this program")
	command.String(&o.WorkDir, "w", "work", "directory for settings and process logs; default: a temporary one that is removed at the end")
	command.String(&o.Deployment, "d", "deployment", `only "falaj" or "van-der-merwe"; default: both`)
	command.String(&o.Part, "p", "part", `only "latency" or "surges"; default: both`)
	return verb{command, func(ctx context.Context) error {
		return withDirectories(&o.BinDir, &o.WorkDir, func() error { return bench.Calls(ctx, o) })
	}}
}

func benchCommands() []verb {
	return []verb{
		newBenchCallsCmd(),
		newBenchCmd("bench-config", "convergence and control bytes at several fleet sizes", "12,48,96,192", bench.Config),
		newBenchCmd("bench-fleet", "cost per node of an idle fleet, changes, calls and state, with least-squares fits over the fleet size", "24,48,96,192", bench.Fleet),
	}
}
