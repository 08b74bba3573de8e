package config

import (
	"crypto/sha256"
	"slices"
)

const (
	keptRecordIDs = 4096 // at least so many; an older repeat has a stale base and is a conflict
	chunkIDs      = 256
)

// idWindow holds the ids of the latest records. It is immutable. Ids are kept in chunks: full chunks are shared between
// versions of the window with their hash, so that adding an id copies one chunk at most. The oldest chunk is dropped as
// a whole, so that the chunks depend on the sequence of ids only.
type idWindow struct {
	full []*idChunk
	open []string // fewer than chunkIDs
}

type idChunk struct {
	ids   []string
	known map[string]struct{}
	sum   [sha256.Size]byte
}

func newIDChunk(ids []string) *idChunk {
	c := &idChunk{ids: ids, known: make(map[string]struct{}, len(ids)), sum: hashStrings(ids)}
	for _, id := range ids {
		c.known[id] = struct{}{}
	}
	return c
}

func (w idWindow) contains(id string) bool {
	if slices.Contains(w.open, id) {
		return true
	}
	for _, c := range w.full {
		if _, ok := c.known[id]; ok {
			return true
		}
	}
	return false
}

// add returns the window with one more id.
func (w idWindow) add(id string) idWindow {
	open := make([]string, len(w.open)+1)
	copy(open, w.open)
	open[len(w.open)] = id
	if len(open) < chunkIDs {
		return idWindow{full: w.full, open: open}
	}
	full := append(slices.Clone(w.full), newIDChunk(open))
	if len(full)*chunkIDs >= keptRecordIDs+chunkIDs {
		full = full[1:]
	}
	return idWindow{full: full}
}

// ids returns all ids, oldest first.
func (w idWindow) ids() []string {
	all := make([]string, 0, len(w.full)*chunkIDs+len(w.open))
	for _, c := range w.full {
		all = append(all, c.ids...)
	}
	return append(all, w.open...)
}

func newIDWindow(ids []string) idWindow {
	var w idWindow
	for len(ids) >= chunkIDs {
		w.full = append(w.full, newIDChunk(slices.Clone(ids[:chunkIDs])))
		ids = ids[chunkIDs:]
	}
	w.open = slices.Clone(ids)
	return w
}

func (w idWindow) hash() [sha256.Size]byte {
	h := newHasher()
	for _, c := range w.full {
		h.bytes(c.sum[:])
	}
	open := hashStrings(w.open)
	h.bytes(open[:])
	return h.sum()
}
