package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
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

// rawDigest is a digest before its encoding.
type rawDigest [keyDigestBytes]byte

func digestOf(key string) rawDigest {
	sum := sha256.Sum256([]byte(key))
	return rawDigest(sum[:keyDigestBytes])
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	digest := digestOf(key)
	return KeyDigest(hex.EncodeToString(digest[:]))
}

// decode returns the digest before its encoding. It reports false if DigestKey cannot have returned the text.
func (k KeyDigest) decode() (raw rawDigest, ok bool) {
	if len(k) != hex.EncodedLen(keyDigestBytes) || strings.ToLower(string(k)) != string(k) {
		return raw, false
	}
	_, err := hex.Decode(raw[:], []byte(k))
	return raw, err == nil
}

// Bounds of the teams of a document. At 32 digits for each key, they bound a document's teams to about 15 MB.
const (
	maxTeams         = 20_000
	maxTeamKeys      = 200_000 // of all teams together
	maxTeamNameBytes = 256     // a name travels in a header field
)

// validateTeams returns all errors of the teams. Keys are named by their position only.
func (d *Document) validateTeams() apierror.List {
	var errs apierror.List
	if len(d.Teams) > maxTeams {
		return append(errs, apierror.InvalidField("teams", fmt.Sprintf("too many teams: %d", len(d.Teams)), fmt.Sprintf("use at most %d", maxTeams)))
	}
	keys := 0
	for i := range d.Teams {
		keys += len(d.Teams[i].Keys)
	}
	if keys > maxTeamKeys {
		return append(errs, apierror.InvalidField("teams", fmt.Sprintf("too many keys: %d", keys), fmt.Sprintf("use at most %d", maxTeamKeys)))
	}
	names, holders := make(map[string]bool, len(d.Teams)), make(map[KeyDigest]int, keys)
	for i := range d.Teams {
		team := &d.Teams[i]
		errs = append(errs, team.validate(i)...)
		if names[team.Name] {
			errs = append(errs, apierror.InvalidField(fmt.Sprintf("teams[%d].name", i), fmt.Sprintf("%.40q is the name of another team", team.Name), "give each team a distinct name"))
		}
		names[team.Name] = true
		for j, key := range team.Keys {
			if holder, taken := holders[key]; taken && holder != i {
				errs = append(errs, apierror.InvalidField(fmt.Sprintf("teams[%d].keys[%d]", i, j), fmt.Sprintf("is a key of teams[%d] too", holder), "give each key to one team"))
			}
			holders[key] = i
		}
	}
	return errs
}

// validate returns all errors of the team with the given index.
func (t *Team) validate(index int) apierror.List {
	var errs apierror.List
	fault := func(name, message, remedy string) {
		errs = append(errs, apierror.InvalidField(fmt.Sprintf("teams[%d].%s", index, name), message, remedy))
	}
	switch {
	case t.Name == "":
		fault("name", "missing", "set a name")
	case len(t.Name) > maxTeamNameBytes:
		fault("name", fmt.Sprintf("has %d bytes", len(t.Name)), fmt.Sprintf("use at most %d", maxTeamNameBytes))
	case !isHeaderValue(t.Name):
		fault("name", fmt.Sprintf("%.40q cannot be sent in a header field", t.Name), "use no control characters, and no space at either end")
	}
	if t.Priority != nil && *t.Priority < 0 {
		fault("priority", "negative", "use 0 for the most urgent calls")
	}
	if !isAmount(t.RatePerS) {
		fault("rate_per_s", fmt.Sprintf("%v is no rate", t.RatePerS), "use 0 for no limit, or more")
	}
	if !isAmount(t.Burst) {
		fault("burst", fmt.Sprintf("%v is no number of requests", t.Burst), "use 0 or more")
	}
	for i, key := range t.Keys {
		if _, ok := key.decode(); !ok {
			fault(fmt.Sprintf("keys[%d]", i), "is no digest", "run the same version on all nodes")
		}
	}
	return errs
}

// isAmount reports whether a number is finite and not negative.
func isAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// isHeaderValue reports whether a text arrives unchanged as the value of a header field.
func isHeaderValue(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, isControl)
}

// FormatTeams is the format of documents and changes that state which teams there are.
const FormatTeams = 1

// StatesTeams reports whether the document says which teams there are and which routes are public. One from a build without teams does not:
// it has neither, even if the published configuration has both.
func (d *Document) StatesTeams() bool { return d.Format >= FormatTeams }

func (t *Team) equal(other *Team) bool {
	return t.Name == other.Name && t.RatePerS == other.RatePerS && t.Burst == other.Burst && slices.Equal(t.Keys, other.Keys) &&
		(t.Priority == nil) == (other.Priority == nil) && (t.Priority == nil || *t.Priority == *other.Priority)
}

// hash returns a hash of the content of the team.
func (t *Team) hash() uint64 {
	data, err := json.Marshal(t)
	if err != nil {
		return 0 // cannot happen: every value of a valid team can be encoded as JSON
	}
	return xxhash.Sum64(data)
}

// publicHash returns what the route contributes to the digest of the callers that a document admits.
func (r *Route) publicHash() uint64 {
	if !r.Public {
		return 0
	}
	key := r.key()
	return xxhash.Sum64String("public\x00" + key.Host + "\x00" + key.Prefix)
}

// callersDigest returns the sum of the hashes of the teams and of the public routes. It is apart from the digest of the routes, which builds
// without teams check.
func (d *Document) callersDigest() uint64 {
	if d.hasDigest {
		return d.teamsDigest
	}
	digest := uint64(0)
	for i := range d.Teams {
		digest += d.Teams[i].hash()
	}
	for i := range d.Routes {
		digest += d.Routes[i].publicHash()
	}
	return digest
}

// HasTeams reports whether requests need a key.
func (t *Table) HasTeams() bool { return len(t.Document.Teams) > 0 }

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[digestOf(key)] }

// indexTeams maps the keys of valid teams to them.
func indexTeams(teams []Team) map[rawDigest]*Team {
	index := make(map[rawDigest]*Team, len(teams))
	for i := range teams {
		for _, key := range teams[i].Keys {
			if raw, ok := key.decode(); ok {
				index[raw] = &teams[i]
			}
		}
	}
	return index
}
