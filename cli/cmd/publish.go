package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

func publishVerb() verb {
	return verb{
		name:    "publish",
		summary: "create a template or a team's parameters from a file",
		examples: []string{
			"laburnumctl publish --template ranks --file templates/ranks.json",
			"laburnumctl publish --team orders --template routes --file parameters/orders/routes.json --wait",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			return registerFileChange(sc, config.Publish)
		},
	}
}

// registerFileChange registers the flags of publish and amend, which differ only in the verb of the record.
func registerFileChange(sc *flaggy.Subcommand, recordVerb config.Verb) runFunc {
	var flags changeFlags
	var file string
	flags.register(sc)
	sc.String(&file, "f", "file", "JSON file with the content; - for standard input")
	return func(ctx context.Context, s *session) error {
		if file == "" {
			return usageError("file", "missing", "pass the JSON file with the content")
		}
		return flags.publishRecord(ctx, s, change{verb: recordVerb, file: file})
	}
}
