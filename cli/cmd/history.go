package cmd

import (
	"context"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

func historyVerb() verb {
	return verb{
		name:    "history",
		summary: "list the last revisions of a template or of a team's parameters",
		examples: []string{
			"laburnumctl history --template ranks",
			"laburnumctl history --team orders --template routes --output json",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags entityFlags
			flags.register(sc)
			return func(ctx context.Context, s *session) error {
				entity, err := flags.entity()
				if err != nil {
					return err
				}
				answer, err := s.client.Entity(ctx, entity)
				if err != nil {
					return err
				}
				return s.print(answer, func(out io.Writer) { writeHistory(out, answer) })
			}
		},
	}
}

func writeHistory(out io.Writer, answer operator.EntityResponse) {
	rows := [][]string{{"REVISION", "CHANGE", "AUTHOR", "RECORD", "BYTES"}}
	for _, r := range answer.Revisions {
		rows = append(rows, []string{strconv.FormatInt(r.Revision, 10), string(r.Verb), r.Author, r.RecordID, strconv.Itoa(len(r.Payload))})
	}
	writeTable(out, rows)
}
