package callctx

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

var sampleContext = Context{
	RequestID: "0190a6f0-0000-7000-8000-000000000001",
	Rank:      "urgent",
	Deadline:  time.UnixMilli(1_800_000_000_123),
	Depth:     3,
	Parent:    "0190a6f0-0000-7000-8000-000000000002",
}

// Guards against calls losing their rank or deadline during a fleet key rotation.
func TestContextSurvivesKeyRotation(t *testing.T) {
	oldKey, newKey := []byte("old"), []byte("new")
	steps := []struct {
		name             string
		signer, verifier *Signer
		kind             apierror.Kind
	}{
		{"same key", NewSigner([][]byte{oldKey}), NewSigner([][]byte{oldKey}), ""},
		{"new key is known but does not sign yet", NewSigner([][]byte{oldKey, newKey}), NewSigner([][]byte{oldKey}), ""},
		{"new key signs, old one verifies", NewSigner([][]byte{newKey, oldKey}), NewSigner([][]byte{oldKey, newKey}), ""},
		{"old key was removed", NewSigner([][]byte{oldKey}), NewSigner([][]byte{newKey}), apierror.Unauthenticated},
		{"verifier has no key", NewSigner([][]byte{oldKey}), NewSigner(nil), apierror.Unauthenticated},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			decoded, err := step.verifier.Decode(step.signer.Encode(sampleContext))
			if step.kind != "" {
				require.Equal(t, step.kind, apierror.KindOf(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, sampleContext, decoded)
		})
	}
}

// Guards against a caller raising its own rank: a change of any single character must be detected.
func TestContextDetectsEveryChangedCharacter(t *testing.T) {
	signer := NewSigner([][]byte{[]byte("key")})
	header := signer.Encode(sampleContext)
	for i := range header {
		changed := []byte(header)
		changed[i] ^= 1
		_, err := signer.Decode(string(changed))
		require.Error(t, err, "position %d", i)
	}
}

// Guards against unbounded processing of headers from callers.
func TestContextSizeLimit(t *testing.T) {
	signer := NewSigner([][]byte{[]byte("key")})
	long := sampleContext
	long.Rank = strings.Repeat("r", MaxContextBytes)
	require.Empty(t, signer.Encode(long))
	_, err := signer.Decode(strings.Repeat("a", MaxContextBytes+1))
	require.Equal(t, apierror.TooLarge, apierror.KindOf(err))
	require.Empty(t, NewSigner([][]byte{{}}).Encode(sampleContext), "an empty key must not sign")
}

func FuzzDecode(f *testing.F) {
	signer := NewSigner([][]byte{[]byte("key")})
	f.Add(signer.Encode(sampleContext))
	f.Add("e30.AAAA")
	f.Add(".")
	f.Fuzz(func(t *testing.T, header string) {
		decoded, err := signer.Decode(header)
		if err != nil {
			return
		}
		again, err := signer.Decode(signer.Encode(decoded))
		require.NoError(t, err)
		require.Equal(t, decoded, again)
	})
}

// Guards against ids with a wrong creation time or several text forms. Both would break the at-most-once guarantee of the
// execution table.
func TestIDTime(t *testing.T) {
	before := time.Now().Truncate(time.Millisecond)
	created, err := IDTime(NewRequestID())
	require.NoError(t, err)
	require.False(t, created.Before(before))
	require.False(t, created.After(time.Now()))
	created, err = IDTime("0190a6f0-0000-7000-8000-000000000001")
	require.NoError(t, err)
	require.Equal(t, int64(0x0190a6f00000), created.UnixMilli())
	for _, bad := range []string{
		"",
		"0190a6f0-0000-4000-8000-000000000001",          // version 4
		"0190a6f0-0000-7000-c000-000000000001",          // other variant
		"0190A6F0-0000-7000-8000-000000000001",          // upper case
		"0190a6f0000070008000000000000001",              // without dashes
		"{0190a6f0-0000-7000-8000-000000000001}",        // braces
		"urn:uuid:0190a6f0-0000-7000-8000-000000000001", // URN
	} {
		_, err := IDTime(bad)
		require.Equal(t, apierror.Invalid, apierror.KindOf(err), bad)
	}
}

// Guards against a load report that changes in a round trip through its text form.
func TestLoadText(t *testing.T) {
	load := Load{InFlight: 3, Limit: 10, Queued: 250}
	parsed, err := ParseLoad(load.String())
	require.NoError(t, err)
	require.Equal(t, load, parsed)
	for _, bad := range []string{"", "1/2", "1/2/3/4", "1/2/-3", "a/b/c", "1/2/3 4"} {
		_, err := ParseLoad(bad)
		require.Error(t, err, bad)
	}
}

// Guards against HTTP statuses that differ from the documented HTTP interface.
func TestStatus(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		reason  Reason
		status  int
	}{
		{NotRun, UnknownRoute, http.StatusNotFound},
		{NotRun, RankOverShare, http.StatusTooManyRequests},
		{NotRun, Draining, http.StatusServiceUnavailable},
		{NotRun, DeadlineUnreachable, http.StatusGatewayTimeout},
		{NotRun, BadRequest, http.StatusBadRequest},
		{NotRun, BodyTooLarge, http.StatusRequestEntityTooLarge},
		{Unknown, AlreadyRunning, http.StatusTooEarly},
		{Unknown, ConnectionLost, http.StatusBadGateway},
		{Unknown, DeadlineInBackend, http.StatusGatewayTimeout},
	} {
		require.Equal(t, c.status, Status(c.outcome, c.reason), c.reason)
	}
}
