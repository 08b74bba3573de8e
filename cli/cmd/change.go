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

// noBase means that the base revision is fetched from a node.
const noBase = -1

// entityFlags select an entity: a template, or the parameters of a team for a template.
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
		return config.Entity{}, usage("template", "missing", "name the template, and with --team the team whose parameters are meant")
	}
	if !config.ValidName(f.template) {
		return config.Entity{}, usage("template", "invalid name "+strconv.Quote(f.template), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
	if f.team == "" {
		return config.Entity{Kind: config.KindTemplate, Name: f.template}, nil
	}
	if !config.ValidName(f.team) {
		return config.Entity{}, usage("team", "invalid name "+strconv.Quote(f.team), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
	return config.ParametersEntity(f.team, f.template), nil
}

func entityArguments(e config.Entity) string {
	if e.Kind == config.KindTemplate {
		return "--template " + e.Name
	}
	team, template, _ := strings.Cut(e.Name, "/")
	return "--team " + team + " --template " + template
}

// changeFlags are common to the verbs that send a record.
type changeFlags struct {
	entityFlags
	base     int64
	recordID string
	author   string
	waitFor  waitFlags
}

func (f *changeFlags) register(sc *flaggy.Subcommand) {
	f.base = noBase
	f.entityFlags.register(sc)
	sc.Int64(&f.base, "", "base", "revision that the change is based on; default: the current one")
	sc.String(&f.recordID, "", "record-id", "id of the record; pass the id of an earlier try to repeat it; default: a new one")
	sc.String(&f.author, "", "author", "author of the record where the node does not check tokens; default: the user's name")
	f.waitFor.register(sc)
}

// change is one record to send.
type change struct {
	verb    config.Verb
	file    string // source of the payload; empty for retire and rollback
	restore int64
}

// send builds the record, sends it and reports its outcome.
func (f *changeFlags) send(ctx context.Context, s *session, c change) error {
	record, err := f.build(ctx, s, c)
	if err != nil {
		return err
	}
	result, err := s.client.Publish(ctx, record)
	if err != nil {
		return explainUnknown(err, s, record, c)
	}
	if result.Outcome == config.Duplicate {
		if result, err = s.earlierOutcome(ctx, record, result); err != nil {
			return err
		}
	}
	if err := s.reportResult(record, result); err != nil {
		return err
	}
	return f.waitFor.wait(ctx, s, result.Offset)
}

func (f *changeFlags) build(ctx context.Context, s *session, c change) (*config.Record, error) {
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

// baseRevision fetches the current revision unless one is given. A repeated record must keep the base of its first try.
func (f *changeFlags) baseRevision(ctx context.Context, s *session, entity config.Entity) (int64, error) {
	if f.base != noBase {
		return f.base, nil
	}
	if f.recordID != "" {
		return 0, usage("base", "missing", "pass the base of the first try together with --record-id")
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

// explainUnknown names the command that repeats the record when its outcome is not known.
func explainUnknown(err error, s *session, record *config.Record, c change) error {
	if apierror.KindOf(err) != apierror.Unknown {
		return err
	}
	command := fmt.Sprintf("laburnumctl %s %s", c.verb, entityArguments(record.Entity))
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
	return apierror.New(apierror.Unknown, "the change may have taken effect ("+err.Error()+")", "repeat it safely with: "+command)
}

// shellQuoted quotes a word for a shell unless it is plain.
func shellQuoted(word string) string {
	plain := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./:,@%+=", r)
	}
	if word != "" && strings.IndexFunc(word, func(r rune) bool { return !plain(r) }) < 0 {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}

// earlierOutcome finds out what became of a record whose id was seen before.
func (s *session) earlierOutcome(ctx context.Context, record *config.Record, result config.Result) (config.Result, error) {
	answer, err := s.client.Entity(ctx, record.Entity)
	if err != nil && apierror.KindOf(err) != apierror.NotFound {
		return result, err
	}
	for _, revision := range answer.Revisions {
		if revision.RecordID == record.ID {
			result.Outcome, result.Offset = config.Accepted, revision.Revision
			return result, nil
		}
	}
	return result, apierror.New(apierror.Conflict, "record "+record.ID+" was seen earlier and is not among the kept revisions of "+record.Entity.String(),
		"it was refused, or replaced since; see laburnumctl history "+entityArguments(record.Entity))
}

// reportResult prints the outcome of a record. Outcomes other than accepted end the verb with their exit code.
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
		return errReported{apierror.Conflict}
	default:
		return errReported{apierror.Invalid}
	}
}

func readPayload(path string) ([]byte, error) {
	data, err := readFile(path, config.MaxRecordBytes)
	if err != nil {
		return nil, usage("file", err.Error(), "name a readable JSON file of up to 256 KiB, or - for standard input")
	}
	return data, nil
}
