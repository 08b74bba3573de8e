package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// digestBytes is the length of digests. 16 bytes make an accidental match of diverged states impossible in practice.
const digestBytes = 16

// hasher hashes a sequence of values. Each value is preceded by its length, so that values cannot run together.
type hasher struct {
	hash hash.Hash
}

func newHasher() hasher {
	return hasher{hash: sha256.New()}
}

func (h hasher) number(n int64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(n))
	h.hash.Write(buffer[:])
}

func (h hasher) bytes(data []byte) {
	h.number(int64(len(data)))
	h.hash.Write(data)
}

func (h hasher) text(s string) {
	h.bytes([]byte(s))
}

func (h hasher) sum() (sum [sha256.Size]byte) {
	h.hash.Sum(sum[:0])
	return sum
}

func (h hasher) digest() string {
	sum := h.sum()
	return hex.EncodeToString(sum[:digestBytes])
}

func hashStrings(texts []string) [sha256.Size]byte {
	h := newHasher()
	for _, text := range texts {
		h.text(text)
	}
	return h.sum()
}

func (r *Revision) hash() [sha256.Size]byte {
	h := newHasher()
	h.number(r.Revision)
	h.text(r.RecordID)
	h.text(r.Author)
	h.text(string(r.Verb))
	h.bytes(r.Payload)
	return h.sum()
}
