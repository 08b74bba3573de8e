package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// State is the result of replaying the log up to Offset. It is immutable; Apply returns a new State.
type State struct {
	Offset   int64                   // of the last replayed record, whatever its outcome
	Version  int64                   // offset of the last accepted record; 0 before the first
	Entities map[string]*EntityState // keyed by Entity.String()

	recordIDs     idWindow
	sortedKeys    []string             // sorted keys of Entities
	fragments     map[string]*Fragment // rendered fragments of parameters that are not retired, by entity key
	totalBytes    int                  // of all revisions
	currentBytes  int                  // of the current content of all entities
	snapshot      *Snapshot
	contentDigest string // digest of Version and Entities
	digest        func() string
}

// stateWire is the encoded form of a State.
type stateWire struct {
	Offset    int64                   `json:"offset"`
	Version   int64                   `json:"version"`
	Entities  map[string]*EntityState `json:"entities"`
	RecordIDs []string                `json:"record_ids"` // oldest first
}

// NewState returns the state before the first record.
func NewState() *State {
	s := &State{Entities: make(map[string]*EntityState), fragments: make(map[string]*Fragment)}
	s.setSnapshot(newSnapshot())
	s.initDigest()
	return s
}

// initDigest prepares the digest, which is computed on first use. It covers everything that later replay depends on.
func (s *State) initDigest() {
	s.digest = sync.OnceValue(func() string {
		h := newHasher()
		h.writeInt(s.Offset)
		h.writeString(s.contentDigest)
		window := s.recordIDs.hash()
		h.writeBytes(window[:])
		return h.digest()
	})
}

// setSnapshot recomputes contentDigest and sets the snapshot with it. Version, sortedKeys and Entities must be up to date.
func (s *State) setSnapshot(snapshot *Snapshot) {
	h := newHasher()
	h.writeInt(s.Version)
	for _, key := range s.sortedKeys {
		h.writeBytes(s.Entities[key].hash[:])
	}
	s.contentDigest = h.digest()
	snapshot.Version = s.Version
	snapshot.Digest = s.contentDigest
	s.snapshot = snapshot
}

// Digest returns the digest of the complete state. Two nodes with the same offset and different digests have diverged.
func (s *State) Digest() string {
	return s.digest()
}

// Snapshot returns the rendered configuration. It is never nil; before the first accepted record it is empty and has
// Version 0.
func (s *State) Snapshot() *Snapshot {
	return s.snapshot
}

// HasRecordID reports whether the id is among the latest replayed ones, whatever the outcome of its record. At least the last
// 4,096 ids are kept.
func (s *State) HasRecordID(id string) bool {
	return s.recordIDs.contains(id)
}

// Revision returns the latest revision of an entity, including a retired one. It is 0 for an entity that never existed.
func (s *State) Revision(entity Entity) int64 {
	existing, ok := s.Entities[entity.String()]
	if !ok {
		return 0
	}
	return existing.Current().Revision
}

// Encode returns the state as JSON for checkpoints and transfers.
func (s *State) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// MarshalJSON implements json.Marshaler.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateWire{Offset: s.Offset, Version: s.Version, Entities: s.Entities, RecordIDs: s.recordIDs.ids()})
}

// DecodeState restores an encoded state and renders its snapshot. It fails if the digest differs from wantDigest.
func DecodeState(data []byte, wantDigest string) (*State, error) {
	s, err := decodeState(data)
	if err != nil {
		return nil, apierror.New(apierror.Invalid, "configuration state: "+err.Error(), "discard this copy and use another")
	}
	if digest := s.Digest(); digest != wantDigest {
		return nil, apierror.New(apierror.Invalid, "configuration state has digest "+digest+", not "+shorten(wantDigest), "discard this copy and use another")
	}
	if errs := s.renderAll(); len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

func decodeState(data []byte) (*State, error) {
	var wire stateWire
	if err := decodeStrict(data, &wire); err != nil {
		return nil, err
	}
	if wire.Offset < 0 || wire.Version < 0 || wire.Version > wire.Offset {
		return nil, fmt.Errorf("version %d does not match offset %d", wire.Version, wire.Offset)
	}
	if len(wire.RecordIDs) >= minRecordIDs+idsPerChunk {
		return nil, fmt.Errorf("too many record ids: %d", len(wire.RecordIDs))
	}
	s := &State{Offset: wire.Offset, Version: wire.Version, Entities: wire.Entities, recordIDs: newIDWindow(wire.RecordIDs)}
	if s.Entities == nil {
		s.Entities = make(map[string]*EntityState)
	}
	s.sortedKeys = slices.Sorted(maps.Keys(s.Entities))
	for _, key := range s.sortedKeys {
		entity := s.Entities[key]
		if err := entity.restore(key, s.Offset); err != nil {
			return nil, err
		}
		s.totalBytes += entity.totalBytes
		s.currentBytes += entity.currentBytes()
	}
	s.setSnapshot(newSnapshot())
	s.initDigest()
	return s, nil
}

// renderAll parses all entities, renders them and sets the snapshot.
func (s *State) renderAll() apierror.List {
	var errs apierror.List
	for _, key := range s.sortedKeys {
		errs = append(errs, s.Entities[key].parse()...)
	}
	if len(errs) > 0 {
		return errs
	}
	s.fragments = make(map[string]*Fragment)
	for _, key := range s.sortedKeys {
		errs = append(errs, s.renderEntity(key)...)
	}
	if len(errs) > 0 {
		return errs
	}
	snapshot, errs := buildSnapshot(s.ownedFragments(), nil)
	if len(errs) > 0 {
		return errs
	}
	s.setSnapshot(snapshot)
	return nil
}

// renderEntity renders the fragment of parameters, or removes it if they are retired. Templates have no fragment.
func (s *State) renderEntity(key string) apierror.List {
	entity := s.Entities[key]
	if entity.Entity.Kind != KindParameters {
		return nil
	}
	delete(s.fragments, key)
	if entity.Retired() {
		return nil
	}
	team, name := entity.Entity.Split()
	template, ok := s.Entities[TemplateEntity(name).String()]
	if !ok || template.Retired() {
		return apierror.List{apierror.InvalidField(key, "template "+name+" does not exist", "publish the template first")}
	}
	fragment, errs := template.template.Render(team, entity.parameters.Values)
	if len(errs) > 0 {
		return prefixFields(key, errs)
	}
	s.fragments[key] = fragment
	return nil
}

// ownedFragments returns all rendered fragments in the order of their keys.
func (s *State) ownedFragments() []ownedFragment {
	owned := make([]ownedFragment, 0, len(s.fragments))
	for _, key := range s.sortedKeys {
		if fragment, ok := s.fragments[key]; ok {
			owned = append(owned, ownedFragment{Fragment: fragment, owner: key})
		}
	}
	return owned
}

// referrers returns the keys of the parameters for a template, without retired ones.
func (s *State) referrers(template string) []string {
	var keys []string
	for _, key := range s.sortedKeys {
		entity := s.Entities[key]
		if entity.Entity.Kind != KindParameters || entity.Retired() {
			continue
		}
		if _, name := entity.Entity.Split(); name == template {
			keys = append(keys, key)
		}
	}
	return keys
}

// withEntity returns a copy of s with an entity added or replaced. The caller renders it and sets the snapshot.
func (s *State) withEntity(entity *EntityState) *State {
	next := *s
	key := entity.Entity.String()
	next.Entities = maps.Clone(s.Entities)
	next.fragments = maps.Clone(s.fragments)
	if old, exists := s.Entities[key]; exists {
		next.totalBytes -= old.totalBytes
		next.currentBytes -= old.currentBytes()
	} else {
		position, _ := slices.BinarySearch(s.sortedKeys, key)
		next.sortedKeys = slices.Insert(slices.Clone(s.sortedKeys), position, key)
	}
	next.Entities[key] = entity
	next.totalBytes += entity.totalBytes
	next.currentBytes += entity.currentBytes()
	return &next
}
