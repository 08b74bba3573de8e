package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// maxReportedErrors limits the errors of one result. A template of thousands of wrong entries needs no more.
const maxReportedErrors = 100

// Outcome is what replay made of a record.
type Outcome string

// The outcomes of records.
const (
	Accepted  Outcome = "accepted"
	Conflict  Outcome = "conflict"
	Rejected  Outcome = "invalid"
	Duplicate Outcome = "duplicate"
)

// Result is the outcome of one record, the same on every node.
type Result struct {
	Offset   int64         `json:"offset"`
	RecordID string        `json:"record_id,omitempty"`
	Outcome  Outcome       `json:"outcome"`
	Errors   apierror.List `json:"errors,omitempty"`
}

// Apply replays one record. It does not modify s. The offset must be greater than s.Offset; a gap is the caller's to
// exclude. Data that is not a record is skipped with outcome Rejected. A record whose id is well-formed counts as seen
// whatever its outcome, so that one id has one outcome.
func Apply(s *State, offset int64, data json.RawMessage) (*State, Result) {
	result := Result{Offset: offset, Outcome: Rejected}
	record, formErr := ParseRecord(data)
	if record == nil || !recordIDPattern.MatchString(record.ID) {
		result.Errors = limited(asList(formErr))
		return s.skip(offset, ""), result
	}
	result.RecordID = record.ID
	if s.window.contains(record.ID) {
		result.Outcome = Duplicate
		return s.skip(offset, ""), result
	}
	if formErr != nil {
		result.Errors = limited(asList(formErr))
		return s.skip(offset, record.ID), result
	}
	if conflict := s.checkBase(record); conflict != nil {
		result.Outcome, result.Errors = Conflict, apierror.List{conflict}
		return s.skip(offset, record.ID), result
	}
	next, errs := s.change(record, offset)
	if len(errs) > 0 {
		result.Errors = limited(errs)
		return s.skip(offset, record.ID), result
	}
	result.Outcome = Accepted
	return next, result
}

// skip returns s after a record that changed nothing. The id is empty if the record had none or is known.
func (s *State) skip(offset int64, id string) *State {
	next := *s
	next.Offset = offset
	if id != "" {
		next.window = s.window.add(id)
	}
	next.finish()
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
		Remedy:  "get the current revision, apply the change to it and send it again under a new record id",
	}
}

// change returns the state after a record whose base is current, or every reason against it.
func (s *State) change(r *Record, offset int64) (*State, apierror.List) {
	entity := s.Entities[r.Entity.String()]
	revision, err := newRevision(r, entity, offset)
	if err != nil {
		return nil, apierror.List{err}
	}
	if err := s.checkRetire(r); err != nil {
		return nil, apierror.List{err}
	}
	changed, errs := extend(entity, r.Entity, revision)
	if len(errs) > 0 {
		return nil, errs
	}
	next := s.with(changed)
	if err := next.checkSize(); err != nil {
		return nil, apierror.List{err}
	}
	if errs := next.renderChanged(changed); len(errs) > 0 {
		return nil, errs
	}
	snapshot, errs := joinFragments(next.ownedFragments(), s.snapshot)
	if len(errs) > 0 {
		return nil, errs
	}
	next.dropHistory()
	next.Offset, next.Version = offset, offset
	next.window = s.window.add(r.ID)
	next.activate(snapshot)
	next.finish()
	return next, nil
}

// newRevision checks the verb against the entity, which is nil if it never existed.
func newRevision(r *Record, entity *EntityState, offset int64) (Revision, *apierror.Error) {
	live := entity != nil && !entity.Retired()
	revision := Revision{Revision: offset, RecordID: r.ID, Author: r.Author, Verb: r.Verb}
	switch r.Verb {
	case Publish:
		if live {
			return revision, apierror.InvalidField("verb", r.Entity.String()+" exists already", "amend it instead")
		}
		revision.Payload = r.Payload
	case Amend:
		if !live {
			return revision, apierror.InvalidField("verb", r.Entity.String()+" is retired", "publish it again or roll it back")
		}
		revision.Payload = r.Payload
	case Retire:
		if !live {
			return revision, apierror.InvalidField("verb", r.Entity.String()+" is retired already", "nothing is left to do")
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

// checkRetire refuses to retire a template that parameters refer to.
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
		return apierror.New(apierror.TooLarge, fmt.Sprintf("more than %d entities exist, retired ones included", maxEntities), "use the names of retired entities again")
	}
	if s.live > maxLiveBytes {
		return apierror.New(apierror.TooLarge, "the content of all entities exceeds 8 MiB", "retire entities that are not needed")
	}
	return nil
}

// renderChanged renders everything that depends on the changed entity.
func (s *State) renderChanged(changed *EntityState) apierror.List {
	if changed.Entity.Kind == KindParameters {
		return s.renderOne(changed.Entity.String())
	}
	var errs apierror.List
	for _, key := range s.referrers(changed.Entity.Name) {
		errs = append(errs, s.renderOne(key)...)
	}
	return errs
}

// dropHistory drops the oldest revisions that are not current until the state fits.
func (s *State) dropHistory() {
	for s.size > maxStateBytes {
		oldest := ""
		for _, key := range s.order {
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
		shorter := s.Entities[oldest].withoutOldest()
		s.size -= s.Entities[oldest].size - shorter.size
		s.Entities[oldest] = shorter
	}
}

// limited returns the first errors of a long list.
func limited(errs apierror.List) apierror.List {
	if len(errs) <= maxReportedErrors {
		return errs
	}
	rest := len(errs) - maxReportedErrors
	return append(errs[:maxReportedErrors:maxReportedErrors], apierror.New(apierror.Invalid, fmt.Sprintf("%d more errors", rest), "correct the first ones and try again"))
}

func asList(err error) apierror.List {
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
