package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Limits of what is kept. The whole state is sent in one message, which is limited to 16 MiB.
const (
	keptRevisions    = 10 // of each entity, for history and rollback
	maxEntities      = 10_000
	maxLiveBytes     = 8 << 20  // current content of all entities
	maxStateBytes    = 12 << 20 // with history; the oldest history is dropped first
	revisionOverhead = 300      // upper estimate of the JSON around a payload
)

// Revision is the content of an entity as of one accepted record.
type Revision struct {
	Revision int64           `json:"revision"` // offset of the record
	RecordID string          `json:"record_id"`
	Author   string          `json:"author"`
	Verb     Verb            `json:"verb"`
	Payload  json.RawMessage `json:"payload,omitempty"` // absent after retire
}

func (r *Revision) size() int {
	return len(r.Payload) + revisionOverhead
}

// EntityState is an entity with its latest revisions, oldest first. It is immutable. A retired entity stays as a
// tombstone, so that a repeat of an old record cannot restore it.
type EntityState struct {
	Entity    Entity     `json:"entity"`
	Revisions []Revision `json:"revisions"`

	sums       [][sha256.Size]byte // of the revisions
	sum        [sha256.Size]byte   // of everything
	size       int                 // of all revisions, in bytes
	template   *Template           // current content of a live template
	parameters *Parameters         // current content of live parameters
}

// Current returns the latest revision.
func (e *EntityState) Current() Revision {
	return e.Revisions[len(e.Revisions)-1]
}

// Retired reports whether the entity was deleted.
func (e *EntityState) Retired() bool {
	return e.Current().Payload == nil
}

// PayloadAt returns the content as of a kept revision.
func (e *EntityState) PayloadAt(revision int64) (json.RawMessage, *apierror.Error) {
	for _, kept := range e.Revisions {
		if kept.Revision == revision && kept.Payload != nil {
			return kept.Payload, nil
		}
	}
	return nil, apierror.InvalidField("restore", fmt.Sprintf("%s has no content at revision %d", e.Entity, revision), "choose a revision shown by laburnumctl history")
}

// liveSize is the size of the current content in bytes.
func (e *EntityState) liveSize() int {
	return len(e.Current().Payload)
}

// extend returns the entity with one more revision, whose content is parsed. previous is nil for a new entity.
func extend(previous *EntityState, entity Entity, revision Revision) (*EntityState, apierror.List) {
	e := &EntityState{Entity: entity}
	if previous != nil {
		e.Revisions = slices.Clone(previous.Revisions)
		e.sums = slices.Clone(previous.sums)
	}
	e.Revisions = append(e.Revisions, revision)
	e.sums = append(e.sums, revision.hash())
	if surplus := len(e.Revisions) - keptRevisions; surplus > 0 {
		e.Revisions = e.Revisions[surplus:]
		e.sums = e.sums[surplus:]
	}
	e.summarize()
	return e, e.parse()
}

// withoutOldest returns the entity without its oldest revision.
func (e *EntityState) withoutOldest() *EntityState {
	shorter := *e
	shorter.Revisions = e.Revisions[1:]
	shorter.sums = e.sums[1:]
	shorter.summarize()
	return &shorter
}

func (e *EntityState) summarize() {
	h := newHasher()
	h.text(e.Entity.String())
	e.size = 0
	for i := range e.Revisions {
		h.bytes(e.sums[i][:])
		e.size += e.Revisions[i].size()
	}
	e.sum = h.sum()
}

// parse decodes the current content.
func (e *EntityState) parse() apierror.List {
	e.template, e.parameters = nil, nil
	if e.Retired() {
		return nil
	}
	var errs apierror.List
	payload := e.Current().Payload
	if e.Entity.Kind == KindTemplate {
		e.template, errs = ParseTemplate(payload)
	} else {
		e.parameters, errs = ParseParameters(payload)
	}
	return prefixed(e.Entity.String(), errs)
}

// restore checks an entity that was decoded from a state and computes what is not encoded.
func (e *EntityState) restore(key string, offset int64) error {
	if e == nil || e.Entity.String() != key || len(e.Entity.check()) > 0 {
		return fmt.Errorf("entity %s is not valid", quoted(key))
	}
	if len(e.Revisions) == 0 || len(e.Revisions) > keptRevisions {
		return fmt.Errorf("entity %s has %d revisions", quoted(key), len(e.Revisions))
	}
	last := int64(0)
	for i := range e.Revisions {
		r := &e.Revisions[i]
		if r.Revision <= last || r.Revision > offset {
			return fmt.Errorf("entity %s has revision %d out of order", quoted(key), r.Revision)
		}
		last = r.Revision
		if string(r.Payload) == "null" {
			r.Payload = nil
		}
		if (r.Payload == nil) != (r.Verb == Retire) {
			return fmt.Errorf("entity %s has a revision whose content does not fit verb %s", quoted(key), quoted(string(r.Verb)))
		}
		if r.Payload != nil {
			payload, err := canonical(r.Payload)
			if err != nil {
				return err
			}
			r.Payload = payload
		}
		e.sums = append(e.sums, r.hash())
	}
	e.summarize()
	return nil
}
