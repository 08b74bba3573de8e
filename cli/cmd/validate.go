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
		summary: "validate a directory without a node, or a file or directory against the running configuration",
		examples: []string{
			"laburnumctl validate --dir examples/falaj",
			"laburnumctl validate --dir examples/falaj --online",
			"laburnumctl validate --team orders --template routes --file routes.json",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags validateFlags
			flags.entityFlags.register(sc)
			sc.String(&flags.file, "f", "file", "content to validate as a publish or amend of the named entity")
			sc.String(&flags.dir, "", "dir", "directory to validate; no node is contacted unless --online is set")
			sc.Bool(&flags.online, "", "online", "validate --dir as a change to the running configuration")
			return flags.validate
		},
	}
}

// localResult is the output of a validation without a node.
type localResult struct {
	Valid    bool `json:"valid"`
	Entities int  `json:"entities"`
	Services int  `json:"services"`
	Routes   int  `json:"routes"`
}

func (f *validateFlags) validate(ctx context.Context, s *session) error {
	if f.dir == "" && f.file == "" {
		return usageError("dir", "missing", "pass --dir, or --file with --template")
	}
	if f.dir != "" && !f.online {
		return f.validateLocally(s)
	}
	files, err := f.loadFiles()
	if err != nil {
		return err
	}
	records, err := changedRecords(ctx, s, files)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return s.print(operator.ValidateResponse{Valid: true}, func(out io.Writer) { fmt.Fprintln(out, "valid: no difference") })
	}
	response, err := s.client.Validate(ctx, records)
	if err != nil {
		return err
	}
	return s.reportValidation(records, response)
}

func (f *validateFlags) validateLocally(s *session) error {
	state, err := renderDirectory(f.dir)
	if err != nil {
		return err
	}
	snapshot := state.Snapshot()
	result := localResult{Valid: true, Entities: len(state.Entities), Services: len(snapshot.Services), Routes: len(snapshot.Routes)}
	return s.print(result, func(out io.Writer) {
		fmt.Fprintf(out, "valid: %d entities render to %d services and %d routes\n", result.Entities, result.Services, result.Routes)
	})
}

// loadFiles returns the files to validate, in an order in which they can be published.
func (f *validateFlags) loadFiles() ([]bundle.File, error) {
	if f.dir != "" {
		files, err := bundle.Read(os.DirFS(f.dir))
		if err != nil {
			return nil, err
		}
		return sortByDependency(files), nil
	}
	entity, err := f.entity()
	if err != nil {
		return nil, err
	}
	payload, err := readPayload(f.file)
	return []bundle.File{{Path: f.file, Entity: entity, Payload: payload}}, err
}

// sortByDependency orders files so that each comes after the files that it depends on. Files that cannot be applied come last.
func sortByDependency(files []bundle.File) []bundle.File {
	_, ordered, _ := bundle.Apply(config.NewState(), files)
	sorted := make(map[string]bool)
	for _, file := range ordered {
		sorted[file.Path] = true
	}
	for _, file := range files {
		if !sorted[file.Path] {
			ordered = append(ordered, file)
		}
	}
	return ordered
}

// changedRecords returns a publish or amend record for each file whose content differs from the current content of its entity.
func changedRecords(ctx context.Context, s *session, files []bundle.File) ([]config.Record, error) {
	var records []config.Record
	for _, file := range files {
		record := config.Record{Verb: config.Publish, Entity: file.Entity, Payload: file.Payload}
		response, err := s.client.Entity(ctx, file.Entity)
		if err != nil && apierror.KindOf(err) != apierror.NotFound {
			return nil, err
		}
		if err == nil {
			current := response.Revisions[len(response.Revisions)-1]
			record.Base = current.Revision
			if !response.Retired {
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

func (s *session) reportValidation(records []config.Record, response operator.ValidateResponse) error {
	err := s.print(response, func(out io.Writer) {
		if response.Valid {
			fmt.Fprintf(out, "valid against version %d; it would change:\n", response.Version)
			writeChanges(out, response.Changes)
		}
	})
	if err != nil || response.Valid {
		return err
	}
	kind := apierror.Invalid
	for i, result := range response.Results {
		if result.Outcome == config.Conflict {
			kind = apierror.Conflict
		}
		for _, e := range result.Errors {
			if !s.json() && i < len(records) {
				fmt.Fprintf(s.stderr, "laburnumctl: %s %s: %s\n", records[i].Verb, records[i].Entity, e.Error())
			}
		}
	}
	return reportedError{kind}
}
