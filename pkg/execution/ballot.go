package execution

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// maxBallotBytes limits the text form of a ballot.
const maxBallotBytes = 256

// Ballot orders the look-ups that resolve one request id. Ballots are totally ordered by time, node and nonce, and the nonce
// makes each one unique. The zero Ballot means attempt 1.
type Ballot struct {
	TimeMS int64  // Unix ms on the clock of the resolving node
	Node   string // member id of the resolving node
	Nonce  uint64
}

// NewBallot returns a unique ballot. It panics if the system has no random source.
func NewBallot(now time.Time, node string) Ballot {
	var nonce [8]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		panic(err)
	}
	return Ballot{TimeMS: now.UnixMilli(), Node: node, Nonce: binary.BigEndian.Uint64(nonce[:])}
}

// IsZero reports whether b is the ballot of attempt 1.
func (b Ballot) IsZero() bool {
	return b == Ballot{}
}

// Compare returns a negative number if b is lower than other, 0 if they are equal and a positive number otherwise.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.TimeMS, other.TimeMS),
		cmp.Compare(b.Node, other.Node),
		cmp.Compare(b.Nonce, other.Nonce),
	)
}

// String returns the header form "time/nonce/node". It is empty for the zero ballot.
func (b Ballot) String() string {
	if b.IsZero() {
		return ""
	}
	return fmt.Sprintf("%d/%016x/%s", b.TimeMS, b.Nonce, b.Node)
}

// ParseBallot parses the header form. The empty string is the zero ballot.
func ParseBallot(text string) (Ballot, error) {
	if text == "" {
		return Ballot{}, nil
	}
	parts := strings.SplitN(text, "/", 3)
	if len(text) > maxBallotBytes || len(parts) != 3 || parts[2] == "" {
		return Ballot{}, errBadBallot()
	}
	timeMS, timeErr := strconv.ParseInt(parts[0], 10, 64)
	nonce, nonceErr := strconv.ParseUint(parts[1], 16, 64)
	ballot := Ballot{TimeMS: timeMS, Node: parts[2], Nonce: nonce}
	// Each ballot has exactly one text form, so that no two nodes parse one header differently.
	if timeErr != nil || nonceErr != nil || timeMS <= 0 || ballot.String() != text {
		return Ballot{}, errBadBallot()
	}
	return ballot, nil
}

// MarshalText implements encoding.TextMarshaler with the header form.
func (b Ballot) MarshalText() ([]byte, error) {
	return []byte(b.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Ballot) UnmarshalText(text []byte) error {
	parsed, err := ParseBallot(string(text))
	if err != nil {
		return err
	}
	*b = parsed
	return nil
}

func errBadBallot() error {
	return apierror.InvalidField(callctx.HeaderBallot, "malformed", "send the ballot of the look-up unchanged")
}
