package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

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

func (o *rolloutsOptions) run(s *session) error {
	var steps []explain.RolloutStep
	err := readLogs(o.logs, func(logs []io.Reader) (err error) {
		steps, err = explain.FindRollouts(o.service, logs...)
		return err
	})
	if err != nil {
		return err
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
