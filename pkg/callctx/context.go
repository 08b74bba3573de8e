package callctx

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// MaxContextBytes is the maximum length of the Laburnum-Context header.
const MaxContextBytes = 1024

// Context is propagated from a call to the calls made on its behalf.
type Context struct {
	RequestID string    // request id of this call
	Rank      string    // name of a rank in the snapshot
	Deadline  time.Time // has a resolution of 1 ms
	Depth     int       // 1 for a call from a client, incremented for each nested call
	Parent    string    // request id of the call on whose behalf this one is made; empty at depth 1
}

// wireContext is the signed JSON payload. Short keys keep the header small.
type wireContext struct {
	RequestID  string `json:"i"`
	Rank       string `json:"r"`
	DeadlineMS int64  `json:"t"` // Unix ms
	Depth      int    `json:"d"`
	Parent     string `json:"p,omitempty"`
}

// Signer signs and verifies contexts. It is safe for concurrent use.
type Signer struct {
	keys atomic.Pointer[[][]byte]
}

// NewSigner returns a Signer. The first key signs; all keys verify. To rotate keys, append the new key on all nodes, then
// move it to the front, then remove the old key. Without keys, verification always fails.
func NewSigner(keys [][]byte) *Signer {
	s := &Signer{}
	s.SetKeys(keys)
	return s
}

// SetKeys replaces the keys. The order has the same meaning as in NewSigner.
func (s *Signer) SetKeys(keys [][]byte) {
	copied := make([][]byte, 0, len(keys))
	for _, key := range keys {
		if len(key) > 0 {
			copied = append(copied, append([]byte(nil), key...))
		}
	}
	s.keys.Store(&copied)
}

// Encode returns the header value: base64url(JSON) "." base64url(HMAC-SHA256). It returns an empty string if the signer
// has no key or the value would exceed MaxContextBytes.
func (s *Signer) Encode(c Context) string {
	keys := *s.keys.Load()
	if len(keys) == 0 {
		return ""
	}
	wire := wireContext{RequestID: c.RequestID, Rank: c.Rank, DeadlineMS: c.Deadline.UnixMilli(), Depth: c.Depth, Parent: c.Parent}
	payload, err := json.Marshal(wire)
	if err != nil {
		return ""
	}
	encodedPayload := base64.RawURLEncoding.EncodeToString(payload)
	header := encodedPayload + "." + base64.RawURLEncoding.EncodeToString(computeMAC(keys[0], encodedPayload))
	if len(header) > MaxContextBytes {
		return ""
	}
	return header
}

// Decode verifies and parses a header value. Errors are of kind Invalid, TooLarge or Unauthenticated.
func (s *Signer) Decode(header string) (Context, error) {
	if len(header) > MaxContextBytes {
		return Context{}, apierror.New(apierror.TooLarge, HeaderContext+" exceeds its size limit", "forward the header unchanged")
	}
	encodedPayload, encodedMAC, found := strings.Cut(header, ".")
	receivedMAC, err := base64.RawURLEncoding.Strict().DecodeString(encodedMAC)
	if !found || err != nil {
		return Context{}, errMalformed()
	}
	if !s.verifyMAC(encodedPayload, receivedMAC) {
		return Context{}, apierror.New(apierror.Unauthenticated, HeaderContext+" has an invalid signature", "forward the header unchanged; check the fleet keys of the nodes")
	}
	return decodePayload(encodedPayload)
}

func (s *Signer) verifyMAC(encodedPayload string, receivedMAC []byte) bool {
	for _, key := range *s.keys.Load() {
		if hmac.Equal(computeMAC(key, encodedPayload), receivedMAC) {
			return true
		}
	}
	return false
}

func decodePayload(encodedPayload string) (Context, error) {
	payload, err := base64.RawURLEncoding.Strict().DecodeString(encodedPayload)
	if err != nil {
		return Context{}, errMalformed()
	}
	var wire wireContext
	if err := json.Unmarshal(payload, &wire); err != nil {
		return Context{}, errMalformed()
	}
	if wire.Depth < 1 {
		return Context{}, errMalformed()
	}
	return Context{
		RequestID: wire.RequestID,
		Rank:      wire.Rank,
		Deadline:  time.UnixMilli(wire.DeadlineMS),
		Depth:     wire.Depth,
		Parent:    wire.Parent,
	}, nil
}

func computeMAC(key []byte, encodedPayload string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(encodedPayload))
	return h.Sum(nil)
}

func errMalformed() error {
	return apierror.InvalidField(HeaderContext, "malformed", "forward the header unchanged")
}
