package cmd

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

type rolloutsOptions struct {
	logs    string
	service string
}

func rolloutsVerb() verb {
	return verb{
		name:    "rollouts",
		summary: "show from log files how roll-outs of service versions went: phases, comparison of the versions, exposure",
		examples: []string{
			"laburnumctl rollouts --logs seeb-1.log,seeb-2.log",
			"laburnumctl rollouts --logs all.log --service dispatch",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var o rolloutsOptions
			sc.String(&o.logs, "", "logs", "log files of nodes, separated by commas")
			sc.String(&o.service, "", "service", "only roll-outs of this service")
			return func(_ context.Context, s *session) error { return o.run(s) }
		},
	}
}

func (o *rolloutsOptions) validate() error {
	if o.logs == "" {
		return apierror.New(usageKind, "--logs: no log file is given", "pass the log files of the nodes, separated by commas")
	}
	return nil
}

func (o *rolloutsOptions) run(s *session) error {
	if err := o.validate(); err != nil {
		return err
	}
	readers, closeAll, err := openFiles("--logs", o.logs)
	if err != nil {
		return err
	}
	defer closeAll()
	steps, err := explain.FindRollouts(o.service, readers...)
	if err != nil {
		return apierror.New(apierror.Invalid, "reading the logs: "+err.Error(), "pass log files that nodes have written")
	}
	if len(steps) == 0 {
		fmt.Fprintln(s.stdout, "no roll-outs in the logs; pass those of the nodes that read the store, which decide")
		return nil
	}
	rows := [][]string{{"TIME", "SERVICE", "TARGET", "PHASE", "NODE", "COMPARISON", "ANSWERED", "BAD", "BASE RATE", "GRANTED", "CAUSE"}}
	for _, step := range steps {
		rows = append(rows, []string{
			step.Time.Format("15:04:05.0"), step.Service, step.Target, step.Phase, step.Node, step.Comparison, step.Answered, step.Bad, step.BaseRate, step.Granted, step.Cause,
		})
	}
	writeTable(s.stdout, rows)
	return nil
}
