package cmd

import (
	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

func amendVerb() verb {
	return verb{
		name:    "amend",
		summary: "replace the content of a template or of a team's parameters",
		examples: []string{
			"laburnumctl amend --template ranks --file templates/ranks.json",
			"laburnumctl amend --team orders --template routes --file routes.json --base 17 --wait",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			return registerFileChange(sc, config.Amend)
		},
	}
}
