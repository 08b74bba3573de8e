package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/bundle"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

type validateFlags struct {
	entityFlags
	file   string
	dir    string
	online bool
}

func validateVerb() verb {
	return verb{
		name:    "validate",
		summary: "check a directory without a node, or a file or directory against the running configuration",
		examples: []string{
			"laburnumctl validate --dir examples/falaj",
			"laburnumctl validate --dir examples/falaj --online",
			"laburnumctl validate --team orders --template routes --file routes.json",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags validateFlags
			flags.entityFlags.register(sc)
			sc.String(&flags.file, "f", "file", "content to check as a publish or amend of the named entity")
			sc.String(&flags.dir, "", "dir", "directory to check; no node is asked unless --online is set")
			sc.Bool(&flags.online, "", "online", "check --dir as a change of the running configuration")
			return flags.validate
		},
	}
}

// localAnswer is the output of a check without a node.
type localAnswer struct {
	Valid    bool `json:"valid"`
	Entities int  `json:"entities"`
	Services int  `json:"services"`
	Routes   int  `json:"routes"`
}

func (f *validateFlags) validate(ctx context.Context, s *session) error {
	if f.dir == "" && f.file == "" {
		return usage("dir", "missing", "pass --dir, or --file with --template")
	}
	if f.dir != "" && !f.online {
		return f.validateLocally(s)
	}
	files, err := f.files()
	if err != nil {
		return err
	}
	records, err := recordsFor(ctx, s, files)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return s.print(operator.ValidateResponse{Valid: true}, func(out io.Writer) { fmt.Fprintln(out, "valid: no difference") })
	}
	answer, err := s.client.Validate(ctx, records)
	if err != nil {
		return err
	}
	return s.reportValidation(records, answer)
}

func (f *validateFlags) validateLocally(s *session) error {
	state, err := renderDirectory(f.dir)
	if err != nil {
		return err
	}
	snapshot := state.Snapshot()
	answer := localAnswer{Valid: true, Entities: len(state.Entities), Services: len(snapshot.Services), Routes: len(snapshot.Routes)}
	return s.print(answer, func(out io.Writer) {
		fmt.Fprintf(out, "valid: %d entities render to %d services and %d routes\n", answer.Entities, answer.Services, answer.Routes)
	})
}

// files returns what is to be checked, in an order in which it can be published.
func (f *validateFlags) files() ([]bundle.File, error) {
	if f.dir != "" {
		files, err := bundle.Read(os.DirFS(f.dir))
		if err != nil {
			return nil, err
		}
		return inOrder(files), nil
	}
	entity, err := f.entity()
	if err != nil {
		return nil, err
	}
	payload, err := readPayload(f.file)
	return []bundle.File{{Path: f.file, Entity: entity, Payload: payload}}, err
}

// inOrder puts files that depend on others after them. Files that do not stand on their own come last.
func inOrder(files []bundle.File) []bundle.File {
	_, ordered, _ := bundle.Apply(config.NewState(), files)
	placed := make(map[string]bool)
	for _, file := range ordered {
		placed[file.Path] = true
	}
	for _, file := range files {
		if !placed[file.Path] {
			ordered = append(ordered, file)
		}
	}
	return ordered
}

// recordsFor returns a publish or an amend for each file whose entity does not have this content yet.
func recordsFor(ctx context.Context, s *session, files []bundle.File) ([]config.Record, error) {
	var records []config.Record
	for _, file := range files {
		record := config.Record{Verb: config.Publish, Entity: file.Entity, Payload: file.Payload}
		answer, err := s.client.Entity(ctx, file.Entity)
		if err != nil && apierror.KindOf(err) != apierror.NotFound {
			return nil, err
		}
		if err == nil {
			current := answer.Revisions[len(answer.Revisions)-1]
			record.Base = current.Revision
			if !answer.Retired {
				record.Verb = config.Amend
				if len(config.DiffContent(current.Payload, file.Payload)) == 0 {
					continue
				}
			}
		}
		records = append(records, record)
	}
	return records, nil
}

func (s *session) reportValidation(records []config.Record, answer operator.ValidateResponse) error {
	err := s.print(answer, func(out io.Writer) {
		if answer.Valid {
			fmt.Fprintf(out, "valid against version %d; it would change:\n", answer.Version)
			writeChanges(out, answer.Changes)
		}
	})
	if err != nil || answer.Valid {
		return err
	}
	kind := apierror.Invalid
	for i, result := range answer.Results {
		if result.Outcome == config.Conflict {
			kind = apierror.Conflict
		}
		for _, e := range result.Errors {
			if !s.json() && i < len(records) {
				fmt.Fprintf(s.stderr, "laburnumctl: %s %s: %s\n", records[i].Verb, records[i].Entity, e.Error())
			}
		}
	}
	return errReported{kind}
}
