// Package config defines configuration records, their deterministic replay, and the snapshot that proxies run.
//
// All functions are pure: the same records in the same order give the same state, digest and snapshot on every node.
package config

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Verb is the operation that a record performs on its entity.
type Verb string

// The verbs of records.
const (
	Publish  Verb = "publish"  // creates an entity that does not exist
	Amend    Verb = "amend"    // replaces the content of an existing entity
	Retire   Verb = "retire"   // deletes an entity
	Rollback Verb = "rollback" // restores the content of an earlier revision as a new revision
)

// EntityKind distinguishes templates from team parameters.
type EntityKind string

// The kinds of entities.
const (
	KindTemplate   EntityKind = "template"
	KindParameters EntityKind = "parameters"
)

// Limits of one record.
const (
	MaxRecordBytes = 256 << 10 // of the JSON without insignificant whitespace
	maxIDBytes     = 64
	maxAuthorBytes = 128
)

// Entity identifies a template or the parameters of a team for a template. The name of parameters is "team/template".
type Entity struct {
	Kind EntityKind `json:"kind"`
	Name string     `json:"name"`
}

// String returns "kind name".
func (e Entity) String() string {
	return string(e.Kind) + " " + e.Name
}

// TemplateEntity returns the entity of a template.
func TemplateEntity(name string) Entity {
	return Entity{Kind: KindTemplate, Name: name}
}

// ParametersEntity returns the entity for the parameters of a team for a template.
func ParametersEntity(team, template string) Entity {
	return Entity{Kind: KindParameters, Name: team + "/" + template}
}

// Split returns the team and the template name of parameters. For a template, the team is empty.
func (e Entity) Split() (team, template string) {
	if e.Kind == KindTemplate {
		return "", e.Name
	}
	team, template, _ = strings.Cut(e.Name, "/")
	return team, template
}

// Record is one configuration change as stored in the log.
type Record struct {
	ID      string          `json:"id"` // UUIDv7; a record with the id of an earlier one is ignored
	Verb    Verb            `json:"verb"`
	Entity  Entity          `json:"entity"`
	Base    int64           `json:"base"`              // revision that the change is based on; 0 if the entity never existed
	Payload json.RawMessage `json:"payload,omitempty"` // Template or Parameters; absent for retire and rollback
	Restore int64           `json:"restore,omitempty"` // for rollback: the revision whose content is restored
	Author  string          `json:"author"`
}

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	recordIDPattern = regexp.MustCompile(`^[0-9A-Za-z._-]{1,64}$`)
)

// ValidName reports whether a string can name a template, team, rank, service or route.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

const nameRemedy = "use 1 to 63 lower-case letters, digits and inner hyphens"

// ParseRecord decodes a record and checks its fields. The payload is checked on replay. The error is an apierror.List or
// an *apierror.Error. A record that can be decoded but has invalid fields is returned together with the error.
func ParseRecord(data []byte) (*Record, error) {
	canonicalData, err := canonical(data)
	if err != nil {
		return nil, apierror.InvalidField("record", "not JSON: "+shorten(err.Error()), "publish through laburnumctl")
	}
	if len(canonicalData) > MaxRecordBytes {
		return nil, apierror.New(apierror.TooLarge, "record exceeds 256 KiB", "split the template")
	}
	record := &Record{}
	if err := decodeStrict(canonicalData, record); err != nil {
		return nil, apierror.InvalidField("record", "not a valid record: "+shorten(err.Error()), "publish through laburnumctl")
	}
	return record, record.checkFields().Err()
}

func (r *Record) checkFields() apierror.List {
	var errs apierror.List
	if !recordIDPattern.MatchString(r.ID) {
		errs = append(errs, apierror.InvalidField("id", "missing, longer than 64 characters, or contains characters other than letters, digits, . _ -", "use a UUIDv7"))
	}
	if len(r.Author) > maxAuthorBytes {
		errs = append(errs, apierror.InvalidField("author", fmt.Sprintf("longer than %d bytes", maxAuthorBytes), "use a short name"))
	}
	if r.Base < 0 {
		errs = append(errs, apierror.InvalidField("base", "negative revision", "use the revision shown by laburnumctl get"))
	}
	errs = append(errs, r.Entity.check()...)
	return append(errs, r.checkVerbFields()...)
}

// checkVerbFields checks that the fields required by the verb are present and no others.
func (r *Record) checkVerbFields() apierror.List {
	var errs apierror.List
	switch r.Verb {
	case Publish, Amend, Retire, Rollback:
	default:
		return apierror.List{apierror.InvalidField("verb", "unknown verb "+quoted(string(r.Verb)), "use publish, amend, retire or rollback")}
	}
	needsPayload := r.Verb == Publish || r.Verb == Amend
	if needsPayload != (len(r.Payload) > 0) {
		errs = append(errs, apierror.InvalidField("payload", "required for publish and amend, not allowed for retire and rollback", "add or remove it"))
	}
	if len(r.Payload) > 0 && r.Payload[0] != '{' {
		errs = append(errs, apierror.InvalidField("payload", "not a JSON object", "use a template or parameters as documented"))
	}
	if (r.Verb == Rollback) != (r.Restore > 0) || r.Restore < 0 {
		errs = append(errs, apierror.InvalidField("restore", "required for rollback, not allowed for other verbs", "choose a revision shown by laburnumctl history"))
	}
	return errs
}

func (e Entity) check() apierror.List {
	parts := strings.Split(e.Name, "/")
	partCount := 1
	switch e.Kind {
	case KindTemplate:
	case KindParameters:
		partCount = 2
	default:
		return apierror.List{apierror.InvalidField("entity.kind", "unknown kind "+quoted(string(e.Kind)), "use template or parameters")}
	}
	if len(parts) != partCount {
		return apierror.List{apierror.InvalidField("entity.name", "malformed name "+quoted(e.Name), `use "template" or "team/template"`)}
	}
	var errs apierror.List
	for _, part := range parts {
		if !namePattern.MatchString(part) {
			errs = append(errs, apierror.InvalidField("entity.name", "invalid name "+quoted(part), nameRemedy))
		}
	}
	return errs
}
