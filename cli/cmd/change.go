package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// baseUnset is the value of --base if the flag is not given; the base revision is then fetched from a node.
const baseUnset = -1

// entityFlags select an entity: a template, or a team's parameters for a template.
type entityFlags struct {
	template string
	team     string
}

func (f *entityFlags) register(sc *flaggy.Subcommand) {
	sc.String(&f.template, "", "template", "name of the template")
	sc.String(&f.team, "", "team", "name of the team; selects the team's parameters for the template")
}

func (f *entityFlags) entity() (config.Entity, error) {
	if f.template == "" {
		return config.Entity{}, usageError("template", "missing", "pass the name of the template; add --team to select a team's parameters for it")
	}
	if !config.ValidName(f.template) {
		return config.Entity{}, usageError("template", "invalid name "+strconv.Quote(f.template), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
	if f.team == "" {
		return config.Entity{Kind: config.KindTemplate, Name: f.template}, nil
	}
	if !config.ValidName(f.team) {
		return config.Entity{}, usageError("team", "invalid name "+strconv.Quote(f.team), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
	return config.ParametersEntity(f.team, f.template), nil
}

func entityFlagString(e config.Entity) string {
	if e.Kind == config.KindTemplate {
		return "--template " + e.Name
	}
	team, template, _ := strings.Cut(e.Name, "/")
	return "--team " + team + " --template " + template
}

// changeFlags are the flags of the verbs that publish a record.
type changeFlags struct {
	entityFlags
	base     int64
	recordID string
	author   string
	waitFor  waitFlags
}

func (f *changeFlags) register(sc *flaggy.Subcommand) {
	f.base = baseUnset
	f.entityFlags.register(sc)
	sc.Int64(&f.base, "", "base", "revision that the change is based on; default: the current one")
	sc.String(&f.recordID, "", "record-id", "id of the record; to retry an earlier attempt, pass its id; default: a new id")
	sc.String(&f.author, "", "author", "author of the record if authentication is disabled on the node; default: the user's name")
	f.waitFor.register(sc)
}

// change describes the record to publish.
type change struct {
	verb    config.Verb
	file    string // source of the payload; empty for retire and rollback
	restore int64
}

// publishRecord builds the record, publishes it, prints its outcome and waits for its propagation if --wait is set.
func (f *changeFlags) publishRecord(ctx context.Context, s *session, c change) error {
	record, err := f.buildRecord(ctx, s, c)
	if err != nil {
		return err
	}
	result, err := s.client.Publish(ctx, record)
	if err != nil {
		return withRetryCommand(err, s, record, c)
	}
	if result.Outcome == config.Duplicate {
		if result, err = s.duplicateOutcome(ctx, record, result); err != nil {
			return err
		}
	}
	if err := s.reportResult(record, result); err != nil {
		return err
	}
	return f.waitFor.wait(ctx, s, result.Offset)
}

func (f *changeFlags) buildRecord(ctx context.Context, s *session, c change) (*config.Record, error) {
	entity, err := f.entity()
	if err != nil {
		return nil, err
	}
	record := &config.Record{ID: f.recordID, Verb: c.verb, Entity: entity, Restore: c.restore, Author: f.authorName()}
	if c.file != "" {
		payload, err := readPayload(c.file)
		if err != nil {
			return nil, err
		}
		record.Payload = payload
	}
	if record.Base, err = f.baseRevision(ctx, s, entity); err != nil {
		return nil, err
	}
	if record.ID == "" {
		record.ID = uuid.Must(uuid.NewV7()).String()
	}
	return record, nil
}

// baseRevision fetches the current revision unless --base is given. A retry, which passes --record-id, must use the base of the first
// attempt.
func (f *changeFlags) baseRevision(ctx context.Context, s *session, entity config.Entity) (int64, error) {
	if f.base != baseUnset {
		return f.base, nil
	}
	if f.recordID != "" {
		return 0, usageError("base", "missing", "pass the base of the first attempt together with --record-id")
	}
	current, err := s.client.Entity(ctx, entity)
	if apierror.KindOf(err) == apierror.NotFound && err != nil {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return current.Revisions[len(current.Revisions)-1].Revision, nil
}

func (f *changeFlags) authorName() string {
	if f.author != "" {
		return f.author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return os.Getenv("USER")
}

// withRetryCommand adds the command that retries the record to an error of kind unknown. It returns other errors unchanged.
func withRetryCommand(err error, s *session, record *config.Record, c change) error {
	if apierror.KindOf(err) != apierror.Unknown {
		return err
	}
	command := fmt.Sprintf("laburnumctl %s %s", c.verb, entityFlagString(record.Entity))
	if c.file != "" {
		command += " --file " + shellQuoted(c.file)
	}
	if c.restore != 0 {
		command += " --to " + strconv.FormatInt(c.restore, 10)
	}
	command += fmt.Sprintf(" --base %d --record-id %s", record.Base, record.ID)
	if s.api != "" {
		command += " --api " + shellQuoted(s.api)
	}
	if s.tokenFile != "" {
		command += " --token-file " + shellQuoted(s.tokenFile)
	}
	return apierror.New(apierror.Unknown, "the change may have taken effect ("+err.Error()+")", "it is safe to retry with: "+command)
}

// shellQuoted quotes a word for a POSIX shell if it contains special characters.
func shellQuoted(word string) string {
	plain := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./:,@%+=", r)
	}
	if word != "" && strings.IndexFunc(word, func(r rune) bool { return !plain(r) }) < 0 {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}

// duplicateOutcome determines the outcome of the first attempt of a record that was reported as a duplicate.
func (s *session) duplicateOutcome(ctx context.Context, record *config.Record, result config.Result) (config.Result, error) {
	response, err := s.client.Entity(ctx, record.Entity)
	if err != nil && apierror.KindOf(err) != apierror.NotFound {
		return result, err
	}
	for _, revision := range response.Revisions {
		if revision.RecordID == record.ID {
			result.Outcome, result.Offset = config.Accepted, revision.Revision
			return result, nil
		}
	}
	return result, apierror.New(apierror.Conflict, "record "+record.ID+" is a duplicate and is not among the retained revisions of "+record.Entity.String(),
		"the first attempt was rejected, or its revision was superseded; see laburnumctl history "+entityFlagString(record.Entity))
}

// reportResult prints the outcome of a record. Any outcome other than accepted is returned as a reportedError.
func (s *session) reportResult(record *config.Record, result config.Result) error {
	printErr := s.print(result, func(out io.Writer) {
		fmt.Fprintf(out, "%s %s: %s", record.Verb, record.Entity, result.Outcome)
		if result.Offset > 0 {
			fmt.Fprintf(out, ", revision %d", result.Offset)
		}
		fmt.Fprintf(out, ", record %s\n", record.ID)
	})
	if printErr != nil {
		return printErr
	}
	if !s.json() {
		for _, e := range result.Errors {
			fmt.Fprintf(s.stderr, "laburnumctl: %s\n", e.Error())
		}
	}
	switch result.Outcome {
	case config.Accepted:
		return nil
	case config.Conflict:
		return reportedError{apierror.Conflict}
	default:
		return reportedError{apierror.Invalid}
	}
}

func readPayload(path string) ([]byte, error) {
	data, err := readFile(path, config.MaxRecordBytes)
	if err != nil {
		return nil, usageError("file", err.Error(), "pass a readable JSON file of up to 256 KiB, or - for standard input")
	}
	return data, nil
}
