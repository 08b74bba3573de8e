package routing

import (
	"crypto/sha256"
	"encoding/hex"
)

// Team is a group of callers that share keys, a rank and a limit.
type Team struct {
	Name     string      `json:"name"`
	Keys     []KeyDigest `json:"keys,omitempty"`     // of the keys that its callers present
	Priority *int        `json:"priority,omitempty"` // takes precedence over the priority of a route; nil: that of the route
	// RatePerS and Burst limit the requests of the team that run, over all nodes: in any window, at most RatePerS times its length in seconds,
	// plus Burst. RatePerS 0: no limit.
	RatePerS float64 `json:"rate_per_s,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// KeyDigest stands for a caller's key, in hexadecimal digits. Keys themselves are neither kept nor sent to other nodes.
type KeyDigest string

// keyDigestBytes is the length of a digest before its encoding. It is long enough that nobody finds another key with the same digest.
const keyDigestBytes = 16

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:keyDigestBytes]))
}
