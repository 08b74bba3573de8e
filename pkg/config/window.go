package config

import (
	"crypto/sha256"
	"slices"
)

const (
	minRecordIDs = 4096 // minimum kept; a duplicate of an older record has a stale base and is a conflict
	idsPerChunk  = 256
)

// idWindow holds the ids of the latest records. It is immutable. Ids are stored in chunks: windows share full chunks and
// their hashes, so that adding an id copies at most one chunk. The oldest chunk is dropped entirely, so that the chunk
// boundaries depend only on the sequence of ids.
type idWindow struct {
	full []*idChunk
	open []string // the latest ids, fewer than idsPerChunk
}

// idChunk is a chunk of idsPerChunk ids.
type idChunk struct {
	ids  []string
	set  map[string]struct{}
	hash [sha256.Size]byte
}

func newIDChunk(ids []string) *idChunk {
	c := &idChunk{ids: ids, set: make(map[string]struct{}, len(ids)), hash: hashStrings(ids)}
	for _, id := range ids {
		c.set[id] = struct{}{}
	}
	return c
}

func (w idWindow) contains(id string) bool {
	if slices.Contains(w.open, id) {
		return true
	}
	for _, c := range w.full {
		if _, ok := c.set[id]; ok {
			return true
		}
	}
	return false
}

// add returns the window with an id added. It drops the oldest chunk if at least minRecordIDs remain.
func (w idWindow) add(id string) idWindow {
	open := make([]string, len(w.open)+1)
	copy(open, w.open)
	open[len(w.open)] = id
	if len(open) < idsPerChunk {
		return idWindow{full: w.full, open: open}
	}
	full := append(slices.Clone(w.full), newIDChunk(open))
	if len(full)*idsPerChunk >= minRecordIDs+idsPerChunk {
		full = full[1:]
	}
	return idWindow{full: full}
}

// ids returns all ids, oldest first.
func (w idWindow) ids() []string {
	all := make([]string, 0, len(w.full)*idsPerChunk+len(w.open))
	for _, c := range w.full {
		all = append(all, c.ids...)
	}
	return append(all, w.open...)
}

// newIDWindow builds a window from ids, oldest first.
func newIDWindow(ids []string) idWindow {
	var w idWindow
	for len(ids) >= idsPerChunk {
		w.full = append(w.full, newIDChunk(slices.Clone(ids[:idsPerChunk])))
		ids = ids[idsPerChunk:]
	}
	w.open = slices.Clone(ids)
	return w
}

func (w idWindow) hash() [sha256.Size]byte {
	h := newHasher()
	for _, c := range w.full {
		h.writeBytes(c.hash[:])
	}
	open := hashStrings(w.open)
	h.writeBytes(open[:])
	return h.sum()
}
