// Package config defines configuration records, their deterministic replay, and the snapshot that proxies run.
//
// Everything here is pure: the same records in the same order give the same state, digest and snapshot on every node.
package config

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Verb is what a record does to its entity.
type Verb string

// The verbs of records.
const (
	Publish  Verb = "publish"  // creates an entity that does not exist
	Amend    Verb = "amend"    // replaces the content of an existing entity
	Retire   Verb = "retire"   // deletes an entity
	Rollback Verb = "rollback" // replaces the content by that of an earlier revision, as a new revision
)

// EntityKind distinguishes templates from team parameters.
type EntityKind string

// The kinds of entities.
const (
	KindTemplate   EntityKind = "template"
	KindParameters EntityKind = "parameters"
)

// MaxRecordBytes limits one record.
const MaxRecordBytes = 256 << 10

// Entity names what a record changes. The name of parameters is "team/template".
type Entity struct {
	Kind EntityKind `json:"kind"`
	Name string     `json:"name"`
}

// String returns "kind name".
func (e Entity) String() string {
	return string(e.Kind) + " " + e.Name
}

// ParametersEntity returns the entity for the parameters of a team for a template.
func ParametersEntity(team, template string) Entity {
	return Entity{Kind: KindParameters, Name: team + "/" + template}
}

// Record is one change of configuration as it stands in the log.
type Record struct {
	ID      string          `json:"id"` // UUIDv7; a repeated id is ignored
	Verb    Verb            `json:"verb"`
	Entity  Entity          `json:"entity"`
	Base    int64           `json:"base"`              // revision that the author saw; 0 if the entity never existed
	Payload json.RawMessage `json:"payload,omitempty"` // Template or Parameters; absent for retire and rollback
	Restore int64           `json:"restore,omitempty"` // for rollback: the revision whose content returns
	Author  string          `json:"author"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a string can name a template, team, rank, service or route.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

const nameRemedy = "use 1 to 63 lower-case letters, digits and inner hyphens"

// ParseRecord decodes and checks the form of a record. The content is checked on replay.
func ParseRecord(data []byte) (*Record, error) {
	if len(data) > MaxRecordBytes {
		return nil, apierror.New(apierror.TooLarge, "record exceeds 256 KiB", "split the template")
	}
	record := &Record{}
	if err := decodeStrict(data, record); err != nil {
		return nil, apierror.InvalidField("record", "not a valid record: "+err.Error(), "publish through laburnumctl")
	}
	return record, record.checkForm().Err()
}

func (r *Record) checkForm() apierror.List {
	var errs apierror.List
	if r.ID == "" || len(r.ID) > 64 {
		errs = append(errs, apierror.InvalidField("id", "missing or longer than 64 characters", "use a UUIDv7"))
	}
	switch r.Verb {
	case Publish, Amend, Retire, Rollback:
	default:
		errs = append(errs, apierror.InvalidField("verb", "unknown verb "+string(r.Verb), "use publish, amend, retire or rollback"))
	}
	errs = append(errs, r.Entity.check()...)
	if r.Base < 0 {
		errs = append(errs, apierror.InvalidField("base", "negative revision", "use the revision shown by laburnumctl get"))
	}
	needsPayload := r.Verb == Publish || r.Verb == Amend
	if needsPayload != (len(r.Payload) > 0) {
		errs = append(errs, apierror.InvalidField("payload", "publish and amend need a payload, retire and rollback take none", ""))
	}
	return errs
}

func (e Entity) check() apierror.List {
	parts := strings.Split(e.Name, "/")
	wanted := 1
	switch e.Kind {
	case KindTemplate:
	case KindParameters:
		wanted = 2
	default:
		return apierror.List{apierror.InvalidField("entity.kind", "unknown kind "+string(e.Kind), "use template or parameters")}
	}
	if len(parts) != wanted {
		return apierror.List{apierror.InvalidField("entity.name", "wrong form "+e.Name, `use "template" or "team/template"`)}
	}
	var errs apierror.List
	for _, part := range parts {
		if !namePattern.MatchString(part) {
			errs = append(errs, apierror.InvalidField("entity.name", "invalid name "+part, nameRemedy))
		}
	}
	return errs
}

// decodeStrict decodes exactly one JSON value and refuses unknown fields.
func decodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if decoder.More() {
		return apierror.New(apierror.Invalid, "data after the JSON value", "remove it")
	}
	return nil
}
