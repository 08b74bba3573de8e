package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

func rollbackVerb() verb {
	return verb{
		name:    "rollback",
		summary: "publish the content of an earlier revision as a new revision",
		examples: []string{
			"laburnumctl history --template ranks",
			"laburnumctl rollback --template ranks --to 12 --wait",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags changeFlags
			var restore int64
			flags.register(sc)
			sc.Int64(&restore, "", "to", "revision whose content is restored")
			return func(ctx context.Context, s *session) error {
				if restore <= 0 {
					return usageError("to", "missing", "pass a revision shown by laburnumctl history")
				}
				return flags.publishRecord(ctx, s, change{verb: config.Rollback, restore: restore})
			}
		},
	}
}
