package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Change is one difference between two values.
type Change struct {
	Path   string          `json:"path"`             // "routes.arrivals.timeout_ms"
	Before json.RawMessage `json:"before,omitempty"` // absent: added
	After  json.RawMessage `json:"after,omitempty"`  // absent: removed
}

// EntityChange is an entity whose revision differs between two states.
type EntityChange struct {
	Entity  Entity   `json:"entity"`
	Before  int64    `json:"before"` // revision; 0 if the entity did not exist
	After   int64    `json:"after"`
	Changes []Change `json:"changes,omitempty"` // of the content
}

// Diff returns the differences between two snapshots, ordered by path. Ranks, services and routes are compared by name.
// The version and the digest are left out.
func Diff(before, after *Snapshot) []Change {
	return diffNodes("", before.byName(), after.byName(), nil)
}

// byName returns the snapshot as decoded JSON with objects in place of lists.
func (s *Snapshot) byName() map[string]any {
	ranks, services, routes := map[string]any{}, map[string]any{}, map[string]any{}
	for _, rank := range s.Ranks {
		ranks[rank.Name] = decoded(rank)
	}
	for name, service := range s.Services {
		services[name] = decoded(service)
	}
	for _, route := range s.Routes {
		routes[route.Name] = decoded(route)
	}
	return map[string]any{"ranks": ranks, "services": services, "routes": routes}
}

func decoded(v any) any {
	var node any
	encoded, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(encoded, &node)
	}
	if err != nil {
		return err.Error() // not reached: snapshots hold only encodable types
	}
	return node
}

// DiffStates returns the entities whose revisions differ, ordered by key.
func DiffStates(before, after *State) []EntityChange {
	keys := make(map[string]Entity)
	for key, entity := range before.Entities {
		keys[key] = entity.Entity
	}
	for key, entity := range after.Entities {
		keys[key] = entity.Entity
	}
	var changes []EntityChange
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		change := EntityChange{Entity: keys[key], Before: before.Revision(keys[key]), After: after.Revision(keys[key])}
		if change.Before == change.After {
			continue
		}
		change.Changes = DiffContent(before.payload(key), after.payload(key))
		changes = append(changes, change)
	}
	return changes
}

func (s *State) payload(key string) json.RawMessage {
	entity, ok := s.Entities[key]
	if !ok {
		return nil
	}
	return entity.Current().Payload
}

// DiffContent returns the differences between two JSON values, ordered by path. An empty value counts as absent.
func DiffContent(before, after json.RawMessage) []Change {
	return diffNodes("", parsed(before), parsed(after), nil)
}

// absent marks a value that is not there, as opposed to null.
type absent struct{}

func parsed(data json.RawMessage) any {
	var node any
	if len(data) == 0 {
		return absent{}
	}
	if err := json.Unmarshal(data, &node); err != nil {
		return string(data)
	}
	return node
}

func diffNodes(path string, before, after any, changes []Change) []Change {
	beforeObject, isObject := before.(map[string]any)
	afterObject, bothObjects := after.(map[string]any)
	if isObject && bothObjects {
		return diffObjects(path, beforeObject, afterObject, changes)
	}
	beforeList, isList := before.([]any)
	afterList, bothLists := after.([]any)
	if isList && bothLists {
		return diffLists(path, beforeList, afterList, changes)
	}
	change := Change{Path: path, Before: encoded(before), After: encoded(after)}
	if bytes.Equal(change.Before, change.After) {
		return changes
	}
	return append(changes, change)
}

func diffObjects(path string, before, after map[string]any, changes []Change) []Change {
	union := make(map[string]struct{}, len(before)+len(after))
	for key := range before {
		union[key] = struct{}{}
	}
	for key := range after {
		union[key] = struct{}{}
	}
	for _, key := range slices.Sorted(maps.Keys(union)) {
		changes = diffNodes(join(path, key), member(before, key), member(after, key), changes)
	}
	return changes
}

func member(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

func diffLists(path string, before, after []any, changes []Change) []Change {
	for i := range max(len(before), len(after)) {
		changes = diffNodes(path+"["+strconv.Itoa(i)+"]", element(before, i), element(after, i), changes)
	}
	return changes
}

func element(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return absent{}
}

func encoded(node any) json.RawMessage {
	if _, missing := node.(absent); missing {
		return nil
	}
	data, err := json.Marshal(node)
	if err != nil {
		return nil
	}
	return data
}
