package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

func retireVerb() verb {
	return verb{
		name:    "retire",
		summary: "delete a template or a team's parameters; rejected while other entities refer to it",
		examples: []string{
			"laburnumctl retire --team orders --template routes --wait",
			"laburnumctl retire --template routes --base 31",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags changeFlags
			flags.register(sc)
			return func(ctx context.Context, s *session) error {
				return flags.publishRecord(ctx, s, change{verb: config.Retire})
			}
		},
	}
}
