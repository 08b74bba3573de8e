package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// digestBytes is the length of a truncated digest. With 16 bytes, an accidental match of diverged states is
// practically impossible.
const digestBytes = 16

// hasher hashes a sequence of values. Strings and byte slices are length-prefixed, so that the encoding is unambiguous.
type hasher struct {
	hash hash.Hash
}

func newHasher() hasher {
	return hasher{hash: sha256.New()}
}

func (h hasher) writeInt(n int64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(n))
	h.hash.Write(buffer[:])
}

func (h hasher) writeBytes(data []byte) {
	h.writeInt(int64(len(data)))
	h.hash.Write(data)
}

func (h hasher) writeString(s string) {
	h.writeBytes([]byte(s))
}

func (h hasher) sum() (sum [sha256.Size]byte) {
	h.hash.Sum(sum[:0])
	return sum
}

// digest returns the truncated hash in hexadecimal.
func (h hasher) digest() string {
	sum := h.sum()
	return hex.EncodeToString(sum[:digestBytes])
}

func hashStrings(texts []string) [sha256.Size]byte {
	h := newHasher()
	for _, text := range texts {
		h.writeString(text)
	}
	return h.sum()
}

func (r *Revision) hash() [sha256.Size]byte {
	h := newHasher()
	h.writeInt(r.Revision)
	h.writeString(r.RecordID)
	h.writeString(r.Author)
	h.writeString(string(r.Verb))
	h.writeBytes(r.Payload)
	return h.sum()
}
