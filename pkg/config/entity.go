package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Limits of the state. The complete state is sent in one message, which is limited to 16 MiB.
const (
	maxRevisionsPerEntity = 10 // for history and rollback
	maxEntities           = 10_000
	maxCurrentBytes       = 8 << 20  // current content of all entities, without history
	maxStateBytes         = 12 << 20 // with history; the oldest revisions are dropped first
	revisionOverheadBytes = 300      // upper estimate of the JSON that encloses a payload
)

// Revision is the content of an entity after one accepted record.
type Revision struct {
	Revision int64           `json:"revision"` // offset of the record
	RecordID string          `json:"record_id"`
	Author   string          `json:"author"`
	Verb     Verb            `json:"verb"`
	Payload  json.RawMessage `json:"payload,omitempty"` // absent after retire
}

func (r *Revision) size() int {
	return len(r.Payload) + revisionOverheadBytes
}

// EntityState is an entity with its latest revisions, oldest first. It is immutable. A retired entity remains as a
// tombstone, so that replaying an old record cannot restore it.
type EntityState struct {
	Entity    Entity     `json:"entity"`
	Revisions []Revision `json:"revisions"`

	revisionHashes [][sha256.Size]byte // one for each of Revisions
	hash           [sha256.Size]byte   // of the entity and all its revisions
	totalBytes     int                 // of all revisions
	template       *Template           // decoded content; nil for parameters and for a retired entity
	parameters     *Parameters         // decoded content; nil for a template and for a retired entity
}

// Current returns the latest revision.
func (e *EntityState) Current() Revision {
	return e.Revisions[len(e.Revisions)-1]
}

// Retired reports whether the latest revision deleted the entity.
func (e *EntityState) Retired() bool {
	return e.Current().Payload == nil
}

// PayloadAt returns the content at a revision. It fails if the revision is no longer kept or has no content.
func (e *EntityState) PayloadAt(revision int64) (json.RawMessage, *apierror.Error) {
	for _, r := range e.Revisions {
		if r.Revision == revision && r.Payload != nil {
			return r.Payload, nil
		}
	}
	return nil, apierror.InvalidField("restore", fmt.Sprintf("%s has no content at revision %d", e.Entity, revision), "choose a revision shown by laburnumctl history")
}

// currentBytes returns the size of the current content.
func (e *EntityState) currentBytes() int {
	return len(e.Current().Payload)
}

// appendRevision returns the entity with a revision added and parses its content. The oldest revision is dropped if there are
// more than maxRevisionsPerEntity. previous is nil for a new entity.
func appendRevision(previous *EntityState, entity Entity, revision Revision) (*EntityState, apierror.List) {
	e := &EntityState{Entity: entity}
	if previous != nil {
		e.Revisions = slices.Clone(previous.Revisions)
		e.revisionHashes = slices.Clone(previous.revisionHashes)
	}
	e.Revisions = append(e.Revisions, revision)
	e.revisionHashes = append(e.revisionHashes, revision.hash())
	if excess := len(e.Revisions) - maxRevisionsPerEntity; excess > 0 {
		e.Revisions = e.Revisions[excess:]
		e.revisionHashes = e.revisionHashes[excess:]
	}
	e.updateHashAndSize()
	return e, e.parse()
}

// withoutOldestRevision returns the entity without its oldest revision.
func (e *EntityState) withoutOldestRevision() *EntityState {
	trimmed := *e
	trimmed.Revisions = e.Revisions[1:]
	trimmed.revisionHashes = e.revisionHashes[1:]
	trimmed.updateHashAndSize()
	return &trimmed
}

// updateHashAndSize recomputes hash and totalBytes.
func (e *EntityState) updateHashAndSize() {
	h := newHasher()
	h.writeString(e.Entity.String())
	e.totalBytes = 0
	for i := range e.Revisions {
		h.writeBytes(e.revisionHashes[i][:])
		e.totalBytes += e.Revisions[i].size()
	}
	e.hash = h.sum()
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
	return prefixFields(e.Entity.String(), errs)
}

// restore validates an entity decoded from a state and computes its hashes and size. The content is not parsed.
func (e *EntityState) restore(key string, offset int64) error {
	if e == nil || e.Entity.String() != key || len(e.Entity.check()) > 0 {
		return fmt.Errorf("entity %s is not valid", quoted(key))
	}
	if len(e.Revisions) == 0 || len(e.Revisions) > maxRevisionsPerEntity {
		return fmt.Errorf("entity %s has %d revisions", quoted(key), len(e.Revisions))
	}
	previous := int64(0)
	for i := range e.Revisions {
		r := &e.Revisions[i]
		if r.Revision <= previous || r.Revision > offset {
			return fmt.Errorf("entity %s has revision %d out of order", quoted(key), r.Revision)
		}
		previous = r.Revision
		if string(r.Payload) == "null" {
			r.Payload = nil
		}
		if (r.Payload == nil) != (r.Verb == Retire) {
			return fmt.Errorf("entity %s has a revision whose content does not match verb %s", quoted(key), quoted(string(r.Verb)))
		}
		if r.Payload != nil {
			payload, err := canonical(r.Payload)
			if err != nil {
				return err
			}
			r.Payload = payload
		}
		e.revisionHashes = append(e.revisionHashes, r.hash())
	}
	e.updateHashAndSize()
	return nil
}
