package cmd

import (
	"context"
	"encoding/json"
	"io"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

type diffFlags struct {
	entityFlags
	from, to int64
	file     string
	dir      string
}

func diffVerb() verb {
	return verb{
		name:    "diff",
		summary: "compare two revisions, a file with the current revision, or a directory with the running configuration",
		examples: []string{
			"laburnumctl diff --template ranks",
			"laburnumctl diff --template ranks --from 12 --to 31",
			"laburnumctl diff --template ranks --file ranks.json",
			"laburnumctl diff --dir examples/falaj",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var flags diffFlags
			flags.entityFlags.register(sc)
			sc.Int64(&flags.from, "", "from", "older revision; default: the one before --to")
			sc.Int64(&flags.to, "", "to", "newer revision; default: the current one")
			sc.String(&flags.file, "f", "file", "compare the current revision with this file")
			sc.String(&flags.dir, "", "dir", "compare the running configuration with the one that this directory renders to")
			return flags.diff
		},
	}
}

func (f *diffFlags) diff(ctx context.Context, s *session) error {
	changes, err := f.changes(ctx, s)
	if err != nil {
		return err
	}
	if changes == nil {
		changes = []config.Change{}
	}
	return s.print(changes, func(out io.Writer) { writeChanges(out, changes) })
}

func (f *diffFlags) changes(ctx context.Context, s *session) ([]config.Change, error) {
	if f.dir != "" {
		return f.directoryChanges(ctx, s)
	}
	entity, err := f.entity()
	if err != nil {
		return nil, err
	}
	answer, err := s.client.Entity(ctx, entity)
	if err != nil {
		return nil, err
	}
	newer, err := findRevision(answer, f.to)
	if err != nil {
		return nil, err
	}
	if f.file != "" {
		payload, err := readPayload(f.file)
		if err != nil {
			return nil, err
		}
		return config.DiffContent(newer.Payload, payload), nil
	}
	older, err := f.olderPayload(answer, newer.Revision)
	if err != nil {
		return nil, err
	}
	return config.DiffContent(older, newer.Payload), nil
}

// olderPayload returns the content of --from, or of the revision before newer. It is empty before the first revision
// and after a retire.
func (f *diffFlags) olderPayload(answer operator.EntityResponse, newer int64) (json.RawMessage, error) {
	if f.from != 0 {
		revision, err := findRevision(answer, f.from)
		return revision.Payload, err
	}
	var payload json.RawMessage
	for _, revision := range answer.Revisions {
		if revision.Revision == newer {
			break
		}
		payload = revision.Payload
	}
	return payload, nil
}

func (f *diffFlags) directoryChanges(ctx context.Context, s *session) ([]config.Change, error) {
	state, err := renderDirectory(f.dir)
	if err != nil {
		return nil, err
	}
	running, err := s.client.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	return config.Diff(running, state.Snapshot()), nil
}
