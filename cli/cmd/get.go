package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

func getVerb() verb {
	return verb{
		name:    "get",
		summary: "print the content of a template or of a team's parameters",
		examples: []string{
			"laburnumctl get --template ranks > ranks.json",
			"laburnumctl get --team orders --template routes --revision 12 --output json",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags entityFlags
			var revision int64
			flags.register(sc)
			sc.Int64(&revision, "", "revision", "an earlier revision; default: the current one")
			return func(ctx context.Context, s *session) error {
				return get(ctx, s, flags, revision)
			}
		},
	}
}

func get(ctx context.Context, s *session, flags entityFlags, wanted int64) error {
	entity, err := flags.entity()
	if err != nil {
		return err
	}
	answer, err := s.client.Entity(ctx, entity)
	if err != nil {
		return err
	}
	revision, err := findRevision(answer, wanted)
	if err != nil {
		return err
	}
	return s.print(revision, func(out io.Writer) { writeIndented(out, revision.Payload) })
}

// findRevision returns a kept revision with content; 0 selects the current one.
func findRevision(answer operator.EntityResponse, wanted int64) (config.Revision, error) {
	if len(answer.Revisions) == 0 {
		return config.Revision{}, apierror.New(apierror.NotFound, answer.Entity.String()+" has no revision", "see laburnumctl list")
	}
	if wanted == 0 {
		wanted = answer.Revisions[len(answer.Revisions)-1].Revision
	}
	for _, revision := range answer.Revisions {
		if revision.Revision != wanted {
			continue
		}
		if revision.Payload == nil {
			return revision, apierror.New(apierror.NotFound, answer.Entity.String()+" is retired at revision "+strconv.FormatInt(wanted, 10),
				"choose an earlier one with laburnumctl history "+entityArguments(answer.Entity))
		}
		return revision, nil
	}
	return config.Revision{}, apierror.New(apierror.NotFound, fmt.Sprintf("%s has no revision %d", answer.Entity, wanted),
		"choose one shown by laburnumctl history "+entityArguments(answer.Entity))
}

func writeIndented(out io.Writer, payload json.RawMessage) {
	var indented bytes.Buffer
	if json.Indent(&indented, payload, "", "  ") != nil {
		indented.Reset()
		indented.Write(payload)
	}
	fmt.Fprintln(out, indented.String())
}
