package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// fingerprintBytes is the length of a fingerprint. Callers must not be able to construct a request with the fingerprint of another one.
const fingerprintBytes = 16

// Fingerprint identifies a request across its attempts: it is the same on all nodes and depends on nothing that differs between attempts.
type Fingerprint [fingerprintBytes]byte

// Request is what identifies a request.
type Request struct {
	Method, Host, Target string
	Caller               string // service of the VM where the request originated
	Body                 []byte // the entire body, or a prefix of a long one
	Length               int64  // of the entire body; -1: unknown
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Caller} {
		writeLength(h, int64(len(part)))
		h.Write([]byte(part))
	}
	writeLength(h, r.Length)
	h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

func writeLength(h hash.Hash, n int64) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != fingerprintBytes {
		return fmt.Errorf("fingerprint %.40q does not have %d hexadecimal digits", text, 2*fingerprintBytes)
	}
	copy(f[:], decoded)
	return nil
}
