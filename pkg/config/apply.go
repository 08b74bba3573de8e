package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// maxReportedErrors limits the number of errors in one result. A template can hold thousands of invalid entries.
const maxReportedErrors = 100

// Outcome is the result class of replaying a record.
type Outcome string

// The outcomes of records.
const (
	Accepted  Outcome = "accepted"  // the state has changed
	Conflict  Outcome = "conflict"  // the record's base is not the entity's current revision
	Rejected  Outcome = "invalid"   // the record or the state it would produce is invalid
	Duplicate Outcome = "duplicate" // the id is that of an earlier record
)

// Result is the outcome of one record, the same on every node.
type Result struct {
	Offset   int64         `json:"offset"`
	RecordID string        `json:"record_id,omitempty"`
	Outcome  Outcome       `json:"outcome"`
	Errors   apierror.List `json:"errors,omitempty"`
}

// Apply replays one record and returns the new state; it does not modify s. The offset must be greater than s.Offset;
// the caller must ensure that no offset is missed. Data that is not a record is skipped with outcome Rejected. A valid
// record id is remembered whatever the outcome, so that later records with the same id are duplicates.
func Apply(s *State, offset int64, data json.RawMessage) (*State, Result) {
	result := Result{Offset: offset, Outcome: Rejected}
	record, parseErr := ParseRecord(data)
	if record == nil || !recordIDPattern.MatchString(record.ID) {
		result.Errors = truncateErrors(errorList(parseErr))
		return s.skipRecord(offset, ""), result
	}
	result.RecordID = record.ID
	if s.recordIDs.contains(record.ID) {
		result.Outcome = Duplicate
		return s.skipRecord(offset, ""), result
	}
	if parseErr != nil {
		result.Errors = truncateErrors(errorList(parseErr))
		return s.skipRecord(offset, record.ID), result
	}
	if conflict := s.checkBase(record); conflict != nil {
		result.Outcome, result.Errors = Conflict, apierror.List{conflict}
		return s.skipRecord(offset, record.ID), result
	}
	next, errs := s.applyRecord(record, offset)
	if len(errs) > 0 {
		result.Errors = truncateErrors(errs)
		return s.skipRecord(offset, record.ID), result
	}
	result.Outcome = Accepted
	return next, result
}

// skipRecord returns s advanced past a record that changed nothing. The id is empty if it must not be added to the window:
// it is invalid or already there.
func (s *State) skipRecord(offset int64, id string) *State {
	next := *s
	next.Offset = offset
	if id != "" {
		next.recordIDs = s.recordIDs.add(id)
	}
	next.initDigest()
	return &next
}

// checkBase compares the record's base with the entity's revision.
func (s *State) checkBase(r *Record) *apierror.Error {
	entity, exists := s.Entities[r.Entity.String()]
	if !exists {
		if r.Base == 0 && r.Verb == Publish {
			return nil
		}
		return &apierror.Error{Kind: apierror.Conflict, Field: "base", Message: r.Entity.String() + " does not exist", Remedy: "publish it with base 0"}
	}
	current := entity.Current()
	if r.Base == current.Revision {
		return nil
	}
	return &apierror.Error{
		Kind:    apierror.Conflict,
		Field:   "base",
		Message: fmt.Sprintf("%s is at revision %d by %s (%s, record %s), not %d", r.Entity, current.Revision, current.Author, current.Verb, current.RecordID, r.Base),
		Remedy:  "get the current revision, apply the change to it and resubmit it with a new record id",
	}
}

// applyRecord returns the state after a record whose base is current, or all errors that prevent the change.
func (s *State) applyRecord(r *Record, offset int64) (*State, apierror.List) {
	entity := s.Entities[r.Entity.String()]
	revision, err := newRevision(r, entity, offset)
	if err != nil {
		return nil, apierror.List{err}
	}
	if err := s.checkRetire(r); err != nil {
		return nil, apierror.List{err}
	}
	changed, errs := appendRevision(entity, r.Entity, revision)
	if len(errs) > 0 {
		return nil, errs
	}
	next := s.withEntity(changed)
	if err := next.checkSize(); err != nil {
		return nil, apierror.List{err}
	}
	if errs := next.renderChanged(changed); len(errs) > 0 {
		return nil, errs
	}
	snapshot, errs := buildSnapshot(next.ownedFragments(), s.snapshot)
	if len(errs) > 0 {
		return nil, errs
	}
	next.dropHistory()
	next.Offset, next.Version = offset, offset
	next.recordIDs = s.recordIDs.add(r.ID)
	next.setSnapshot(snapshot)
	next.initDigest()
	return next, nil
}

// newRevision checks that the verb is allowed for the entity and returns the resulting revision. The entity is nil if it
// never existed.
func newRevision(r *Record, entity *EntityState, offset int64) (Revision, *apierror.Error) {
	live := entity != nil && !entity.Retired()
	revision := Revision{Revision: offset, RecordID: r.ID, Author: r.Author, Verb: r.Verb}
	switch r.Verb {
	case Publish:
		if live {
			return revision, apierror.InvalidField("verb", r.Entity.String()+" already exists", "amend it instead")
		}
		revision.Payload = r.Payload
	case Amend:
		if !live {
			return revision, apierror.InvalidField("verb", r.Entity.String()+" is retired", "publish it again or roll it back")
		}
		revision.Payload = r.Payload
	case Retire:
		if !live {
			return revision, apierror.InvalidField("verb", r.Entity.String()+" is already retired", "no change is needed")
		}
	case Rollback:
		payload, err := entity.PayloadAt(r.Restore)
		if err != nil {
			return revision, err
		}
		revision.Payload = payload
	}
	return revision, nil
}

// checkRetire rejects the retirement of a template that live parameters refer to.
func (s *State) checkRetire(r *Record) *apierror.Error {
	if r.Verb != Retire || r.Entity.Kind != KindTemplate {
		return nil
	}
	referrers := s.referrers(r.Entity.Name)
	if len(referrers) == 0 {
		return nil
	}
	return apierror.InvalidField("entity", r.Entity.String()+" is referred to by "+strings.Join(referrers, ", "), "retire the referrers first")
}

func (s *State) checkSize() *apierror.Error {
	if len(s.Entities) > maxEntities {
		return apierror.New(apierror.TooLarge, fmt.Sprintf("more than %d entities, including retired ones", maxEntities), "reuse the names of retired entities")
	}
	if s.currentBytes > maxCurrentBytes {
		return apierror.New(apierror.TooLarge, "the content of all entities exceeds 8 MiB", "retire entities that are not needed")
	}
	return nil
}

// renderChanged renders the changed parameters, or all parameters that use the changed template.
func (s *State) renderChanged(changed *EntityState) apierror.List {
	if changed.Entity.Kind == KindParameters {
		return s.renderEntity(changed.Entity.String())
	}
	var errs apierror.List
	for _, key := range s.referrers(changed.Entity.Name) {
		errs = append(errs, s.renderEntity(key)...)
	}
	return errs
}

// dropHistory removes the oldest revisions until the state is within maxStateBytes. Current revisions are never removed.
func (s *State) dropHistory() {
	for s.totalBytes > maxStateBytes {
		oldest := ""
		for _, key := range s.sortedKeys {
			entity := s.Entities[key]
			if len(entity.Revisions) < 2 {
				continue
			}
			if oldest == "" || entity.Revisions[0].Revision < s.Entities[oldest].Revisions[0].Revision {
				oldest = key
			}
		}
		if oldest == "" {
			return
		}
		trimmed := s.Entities[oldest].withoutOldestRevision()
		s.totalBytes -= s.Entities[oldest].totalBytes - trimmed.totalBytes
		s.Entities[oldest] = trimmed
	}
}

// truncateErrors limits a list to maxReportedErrors and replaces the others by one error with their number.
func truncateErrors(errs apierror.List) apierror.List {
	if len(errs) <= maxReportedErrors {
		return errs
	}
	omitted := len(errs) - maxReportedErrors
	return append(errs[:maxReportedErrors:maxReportedErrors], apierror.New(apierror.Invalid, fmt.Sprintf("%d more errors", omitted), "correct the reported ones first"))
}

// errorList converts an error to a list. An untyped error becomes one of kind Invalid.
func errorList(err error) apierror.List {
	var list apierror.List
	if errors.As(err, &list) {
		return list
	}
	var single *apierror.Error
	if errors.As(err, &single) {
		return apierror.List{single}
	}
	return apierror.List{apierror.New(apierror.Invalid, err.Error(), "")}
}
