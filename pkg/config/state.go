package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// State is the result of replaying the log up to Offset. It is immutable; Apply returns a new one.
type State struct {
	Offset   int64                   // last record read, whatever its outcome
	Version  int64                   // last record accepted
	Entities map[string]*EntityState // by Entity.String()

	window    idWindow
	order     []string             // sorted keys of Entities
	fragments map[string]*Fragment // rendered for each live parameters, by key
	size      int                  // of all revisions, in bytes
	live      int                  // of the current content, in bytes
	snapshot  *Snapshot
	contents  string // digest of Version and Entities
	digest    func() string
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
	s.activate(newSnapshot())
	s.finish()
	return s
}

// finish sets the lazily computed digest. The digest covers everything that later replay depends on.
func (s *State) finish() {
	s.digest = sync.OnceValue(func() string {
		h := newHasher()
		h.number(s.Offset)
		h.text(s.contents)
		window := s.window.hash()
		h.bytes(window[:])
		return h.digest()
	})
}

// activate sets the snapshot of a changed set of entities.
func (s *State) activate(snapshot *Snapshot) {
	h := newHasher()
	h.number(s.Version)
	for _, key := range s.order {
		h.bytes(s.Entities[key].sum[:])
	}
	s.contents = h.digest()
	snapshot.Version = s.Version
	snapshot.Digest = s.contents
	s.snapshot = snapshot
}

// Digest identifies the whole state. Two nodes with the same offset and different digests have diverged.
func (s *State) Digest() string {
	return s.digest()
}

// Snapshot returns the configuration to run. It is never nil; before the first accepted record it is empty and has
// Version 0.
func (s *State) Snapshot() *Snapshot {
	return s.snapshot
}

// HasRecordID reports whether the id is one of the last 4,096 replayed, whatever the outcome of its record.
func (s *State) HasRecordID(id string) bool {
	return s.window.contains(id)
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

// MarshalJSON implements json.Marshaler.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateWire{Offset: s.Offset, Version: s.Version, Entities: s.Entities, RecordIDs: s.window.ids()})
}

// DecodeState restores a state and renders its snapshot. It fails if the digest is not the wanted one.
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
		return nil, fmt.Errorf("version %d does not fit offset %d", wire.Version, wire.Offset)
	}
	if len(wire.RecordIDs) >= keptRecordIDs+chunkIDs {
		return nil, fmt.Errorf("%d record ids are too many", len(wire.RecordIDs))
	}
	s := &State{Offset: wire.Offset, Version: wire.Version, Entities: wire.Entities, window: newIDWindow(wire.RecordIDs)}
	if s.Entities == nil {
		s.Entities = make(map[string]*EntityState)
	}
	s.order = slices.Sorted(maps.Keys(s.Entities))
	for _, key := range s.order {
		entity := s.Entities[key]
		if err := entity.restore(key, s.Offset); err != nil {
			return nil, err
		}
		s.size += entity.size
		s.live += entity.liveSize()
	}
	s.activate(newSnapshot())
	s.finish()
	return s, nil
}

// renderAll parses and renders every entity.
func (s *State) renderAll() apierror.List {
	var errs apierror.List
	for _, key := range s.order {
		errs = append(errs, s.Entities[key].parse()...)
	}
	if len(errs) > 0 {
		return errs
	}
	s.fragments = make(map[string]*Fragment)
	for _, key := range s.order {
		errs = append(errs, s.renderOne(key)...)
	}
	if len(errs) > 0 {
		return errs
	}
	snapshot, errs := joinFragments(s.ownedFragments(), nil)
	if len(errs) > 0 {
		return errs
	}
	s.activate(snapshot)
	return nil
}

// renderOne renders the fragment of live parameters and drops that of retired ones. Templates have none.
func (s *State) renderOne(key string) apierror.List {
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
		return prefixed(key, errs)
	}
	s.fragments[key] = fragment
	return nil
}

func (s *State) ownedFragments() []ownedFragment {
	owned := make([]ownedFragment, 0, len(s.fragments))
	for _, key := range s.order {
		if fragment, ok := s.fragments[key]; ok {
			owned = append(owned, ownedFragment{Fragment: fragment, owner: key})
		}
	}
	return owned
}

// referrers returns the keys of the live parameters for a template.
func (s *State) referrers(template string) []string {
	var keys []string
	for _, key := range s.order {
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

// with returns a copy of s in which an entity is replaced. Its snapshot is not rendered yet.
func (s *State) with(entity *EntityState) *State {
	next := *s
	key := entity.Entity.String()
	next.Entities = maps.Clone(s.Entities)
	next.fragments = maps.Clone(s.fragments)
	if old, exists := s.Entities[key]; exists {
		next.size -= old.size
		next.live -= old.liveSize()
	} else {
		position, _ := slices.BinarySearch(s.order, key)
		next.order = slices.Insert(slices.Clone(s.order), position, key)
	}
	next.Entities[key] = entity
	next.size += entity.size
	next.live += entity.liveSize()
	return &next
}
