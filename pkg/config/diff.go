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
	Path   string          `json:"path"`             // for example "routes.arrivals.timeout_ms"
	Before json.RawMessage `json:"before,omitempty"` // absent if the value was added
	After  json.RawMessage `json:"after,omitempty"`  // absent if the value was removed
}

// EntityChange is an entity whose revision differs between two states.
type EntityChange struct {
	Entity  Entity   `json:"entity"`
	Before  int64    `json:"before"`            // revision; 0 if the entity did not exist
	After   int64    `json:"after"`             // revision; 0 if the entity does not exist
	Changes []Change `json:"changes,omitempty"` // differences of the content
}

// Diff returns the differences between two snapshots, ordered by path. Ranks, services and routes are compared by name.
// Version and digest are not compared.
func Diff(before, after *Snapshot) []Change {
	return diffNodes("", before.byName(), after.byName(), nil)
}

// byName returns the snapshot as decoded JSON in which lists are replaced by objects keyed by name.
func (s *Snapshot) byName() map[string]any {
	ranks, services, routes := map[string]any{}, map[string]any{}, map[string]any{}
	for _, rank := range s.Ranks {
		ranks[rank.Name] = toJSONValue(rank)
	}
	for name, service := range s.Services {
		services[name] = toJSONValue(service)
	}
	for _, route := range s.Routes {
		routes[route.Name] = toJSONValue(route)
	}
	return map[string]any{"ranks": ranks, "services": services, "routes": routes}
}

// toJSONValue converts v to the generic form that encoding/json decodes into.
func toJSONValue(v any) any {
	var node any
	encoded, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(encoded, &node)
	}
	if err != nil {
		return err.Error() // unreachable: snapshots hold only encodable types
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
		change.Changes = DiffContent(before.currentPayload(key), after.currentPayload(key))
		changes = append(changes, change)
	}
	return changes
}

func (s *State) currentPayload(key string) json.RawMessage {
	entity, ok := s.Entities[key]
	if !ok {
		return nil
	}
	return entity.Current().Payload
}

// DiffContent returns the differences between two JSON values, ordered by path. An empty value counts as absent.
func DiffContent(before, after json.RawMessage) []Change {
	return diffNodes("", parseValue(before), parseValue(after), nil)
}

// absent stands for a missing value, as opposed to null.
type absent struct{}

// parseValue decodes a JSON value. Invalid JSON is returned as a string.
func parseValue(data json.RawMessage) any {
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
	change := Change{Path: path, Before: encodeValue(before), After: encodeValue(after)}
	if bytes.Equal(change.Before, change.After) {
		return changes
	}
	return append(changes, change)
}

func diffObjects(path string, before, after map[string]any, changes []Change) []Change {
	keys := make(map[string]struct{}, len(before)+len(after))
	for key := range before {
		keys[key] = struct{}{}
	}
	for key := range after {
		keys[key] = struct{}{}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		changes = diffNodes(joinPath(path, key), memberOrAbsent(before, key), memberOrAbsent(after, key), changes)
	}
	return changes
}

func memberOrAbsent(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

func diffLists(path string, before, after []any, changes []Change) []Change {
	for i := range max(len(before), len(after)) {
		changes = diffNodes(path+"["+strconv.Itoa(i)+"]", elementOrAbsent(before, i), elementOrAbsent(after, i), changes)
	}
	return changes
}

func elementOrAbsent(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return absent{}
}

func encodeValue(node any) json.RawMessage {
	if _, missing := node.(absent); missing {
		return nil
	}
	data, err := json.Marshal(node)
	if err != nil {
		return nil
	}
	return data
}
