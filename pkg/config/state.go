package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const (
	keptRecordIDs = 4096 // an older repeat has a stale base and is a conflict
	keptRevisions = 10   // of each entity, for history and rollback
)

// Revision is the content of an entity as of one accepted record.
type Revision struct {
	Revision int64           `json:"revision"` // offset of the record
	RecordID string          `json:"record_id"`
	Author   string          `json:"author"`
	Verb     Verb            `json:"verb"`
	Payload  json.RawMessage `json:"payload,omitempty"` // absent after retire
}

// EntityState is an entity with its latest revisions, oldest first. A retired entity stays as a tombstone, so that a
// repeat of an old record cannot revive it.
type EntityState struct {
	Entity    Entity     `json:"entity"`
	Revisions []Revision `json:"revisions"`
}

// Current returns the latest revision.
func (e *EntityState) Current() Revision {
	return e.Revisions[len(e.Revisions)-1]
}

// Retired reports whether the entity was deleted.
func (e *EntityState) Retired() bool {
	return e.Current().Payload == nil
}

// State is the result of replaying the log up to Offset. It is immutable; Apply returns a new one.
type State struct {
	Offset    int64                   `json:"offset"`  // last record read, whatever its outcome
	Version   int64                   `json:"version"` // last record accepted
	Entities  map[string]*EntityState `json:"entities"`
	RecordIDs []string                `json:"record_ids"` // ids of the last records, oldest first

	snapshot *Snapshot
	ids      map[string]struct{}
	digest   func() string
}

// Outcome is what replay made of a record.
type Outcome string

// The outcomes of records.
const (
	Accepted  Outcome = "accepted"
	Conflicts Outcome = "conflict"
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

// NewState returns the state before the first record.
func NewState() *State {
	s := &State{Entities: make(map[string]*EntityState), ids: make(map[string]struct{})}
	s.snapshot, _ = newSnapshot(nil)
	s.finish()
	return s
}

// finish sets the lazily computed digest. The digest covers everything that later replay depends on.
func (s *State) finish() {
	s.digest = sync.OnceValue(func() string {
		encoded, err := json.Marshal(s)
		if err != nil {
			panic("encoding configuration state: " + err.Error()) // State holds only encodable types
		}
		sum := sha256.Sum256(encoded)
		return hex.EncodeToString(sum[:16])
	})
}

// Digest identifies the whole state. Two nodes with the same offset and different digests have diverged.
func (s *State) Digest() string {
	return s.digest()
}

// Snapshot returns the configuration to run. It is nil only if Version is 0 and nothing was published.
func (s *State) Snapshot() *Snapshot {
	return s.snapshot
}

// Revision returns the latest revision of an entity, also if it is retired. It is 0 for an entity that never existed.
func (s *State) Revision(entity Entity) int64 {
	known, ok := s.Entities[entity.String()]
	if !ok {
		return 0
	}
	return known.Current().Revision
}

// Encode returns the state as JSON for checkpoints and transfers.
func (s *State) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// DecodeState restores a state and renders its snapshot. It fails if the digest is not the wanted one.
func DecodeState(data []byte, wantDigest string) (*State, error) {
	s := &State{}
	if err := decodeStrict(data, s); err != nil {
		return nil, apierror.New(apierror.Invalid, "configuration state: "+err.Error(), "discard this copy and use another")
	}
	if s.Entities == nil {
		s.Entities = make(map[string]*EntityState)
	}
	s.ids = make(map[string]struct{}, len(s.RecordIDs))
	for _, id := range s.RecordIDs {
		s.ids[id] = struct{}{}
	}
	s.finish()
	if digest := s.Digest(); digest != wantDigest {
		return nil, apierror.New(apierror.Invalid, "configuration state has digest "+digest+", not "+wantDigest, "discard this copy and use another")
	}
	snapshot, errs := render(s.Entities)
	if len(errs) > 0 {
		return nil, errs
	}
	s.setSnapshot(snapshot)
	return s, nil
}

func (s *State) setSnapshot(snapshot *Snapshot) {
	snapshot.Version = s.Version
	snapshot.Digest = s.Digest()
	s.snapshot = snapshot
}

// Apply replays one record. It does not modify s. The offset must be greater than s.Offset; a gap is the caller's to
// exclude. Data that is not a record is skipped with outcome Rejected.
func Apply(s *State, offset int64, data json.RawMessage) (*State, Result) {
	next := s.shallowCopy(offset)
	record, err := ParseRecord(data)
	if err != nil {
		return next, Result{Offset: offset, Outcome: Rejected, Errors: asList(err)}
	}
	result := Result{Offset: offset, RecordID: record.ID}
	if _, seen := s.ids[record.ID]; seen {
		result.Outcome = Duplicate
		return next, result
	}
	next.remember(record.ID)
	if conflict := s.checkBase(record); conflict != nil {
		result.Outcome, result.Errors = Conflicts, apierror.List{conflict}
		return next, result
	}
	snapshot, errs := next.change(record, offset)
	if len(errs) > 0 {
		result.Outcome, result.Errors = Rejected, errs
		next.Entities = s.Entities
		return next, result
	}
	next.Version = offset
	next.setSnapshot(snapshot)
	result.Outcome = Accepted
	return next, result
}

func (s *State) shallowCopy(offset int64) *State {
	next := &State{Offset: offset, Version: s.Version, Entities: s.Entities, RecordIDs: s.RecordIDs, snapshot: s.snapshot, ids: s.ids}
	next.finish()
	return next
}

// remember adds an id to the window of known ids.
func (s *State) remember(id string) {
	ids := append(slices.Clone(s.RecordIDs), id)
	if len(ids) > keptRecordIDs {
		ids = ids[len(ids)-keptRecordIDs:]
	}
	s.RecordIDs = ids
	s.ids = make(map[string]struct{}, len(ids))
	for _, known := range ids {
		s.ids[known] = struct{}{}
	}
}

// checkBase compares the record's base with the entity's revision.
func (s *State) checkBase(r *Record) *apierror.Error {
	entity, exists := s.Entities[r.Entity.String()]
	if !exists {
		if r.Base == 0 && r.Verb == Publish {
			return nil
		}
		return &apierror.Error{Kind: apierror.Conflict, Field: "base", Message: r.Entity.String() + " does not exist", Remedy: "publish it first"}
	}
	current := entity.Current()
	if r.Base != current.Revision {
		return &apierror.Error{
			Kind:    apierror.Conflict,
			Field:   "base",
			Message: fmt.Sprintf("%s is at revision %d by %s (record %s), not %d", r.Entity, current.Revision, current.Author, current.RecordID, r.Base),
			Remedy:  "get the current revision, apply the change to it and send it again",
		}
	}
	return nil
}

// change applies the record to the entities of s and renders the result.
func (s *State) change(r *Record, offset int64) (*Snapshot, apierror.List) {
	entity, exists := s.Entities[r.Entity.String()]
	live := exists && !entity.Retired()
	if r.Verb == Publish && live {
		return nil, apierror.List{apierror.InvalidField("verb", r.Entity.String()+" exists already", "amend it instead")}
	}
	if (r.Verb == Amend || r.Verb == Retire) && !live {
		return nil, apierror.List{apierror.InvalidField("verb", r.Entity.String()+" is retired", "publish it again or roll it back")}
	}
	revision := Revision{Revision: offset, RecordID: r.ID, Author: r.Author, Verb: r.Verb, Payload: r.Payload}
	if r.Verb == Rollback {
		payload, err := entity.payloadAt(r.Restore)
		if err != nil {
			return nil, apierror.List{err}
		}
		revision.Payload = payload
	}
	changed := &EntityState{Entity: r.Entity}
	if exists {
		changed.Revisions = slices.Clone(entity.Revisions)
	}
	changed.Revisions = append(changed.Revisions, revision)
	if len(changed.Revisions) > keptRevisions {
		changed.Revisions = changed.Revisions[len(changed.Revisions)-keptRevisions:]
	}
	s.Entities = maps.Clone(s.Entities)
	s.Entities[r.Entity.String()] = changed
	return render(s.Entities)
}

func (e *EntityState) payloadAt(revision int64) (json.RawMessage, *apierror.Error) {
	for _, kept := range e.Revisions {
		if kept.Revision == revision && kept.Payload != nil {
			return kept.Payload, nil
		}
	}
	return nil, apierror.InvalidField("restore", fmt.Sprintf("%s has no content at revision %d", e.Entity, revision), "choose a revision shown by laburnumctl history")
}

func asList(err error) apierror.List {
	switch e := err.(type) {
	case apierror.List:
		return e
	case *apierror.Error:
		return apierror.List{e}
	default:
		return apierror.List{apierror.New(apierror.Invalid, err.Error(), "")}
	}
}
