package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a panic, or a different result for a relayed copy, on any data in the log.
func FuzzParseRecord(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `{}`, `[1]`, `{"id":"a"}`,
		`{"id":"a","verb":"publish","entity":{"kind":"template","name":"t"},"payload":{"body":{"ranks":[{"name":"${team}"}]}},"author":"n"}`,
		`{"id":"b","verb":"publish","entity":{"kind":"template","name":"t"},"payload":{"parameters":[{"name":"x","type":"integer","enum":[[],{}],"default":1e400}],"body":"${x}"}}`,
		`{"id":"c","verb":"amend","entity":{"kind":"parameters","name":"core/service"},"base":5,"payload":{"values":{"service":"\u003cx"}}}`,
		`{"id":"d","verb":"rollback","entity":{"kind":"parameters","name":"core/service"},"base":5,"restore":5}`,
		`{"id":"e","verb":"retire","entity":{"kind":"template","name":"route"},"base":3}`,
	} {
		f.Add([]byte(seed))
	}
	start := startState(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		next, result := Apply(start, start.Offset+1, data)
		require.NoError(t, next.Snapshot().Validate())
		relayed, err := json.Marshal(json.RawMessage(data))
		if err != nil {
			return
		}
		other, otherResult := Apply(start, start.Offset+1, relayed)
		require.Equal(t, result, otherResult)
		require.Equal(t, next.Digest(), other.Digest())
	})
}

// Guards against a panic on a damaged checkpoint, and against a state that does not survive its own encoding.
func FuzzDecodeState(f *testing.F) {
	start := startState(f)
	valid, err := start.Encode()
	require.NoError(f, err)
	for _, seed := range []string{
		string(valid), `{}`, `null`, `{"entities":null,"record_ids":null}`, `{"entities":{"template t":null}}`,
		`{"offset":1,"version":1,"entities":{"template t":{"entity":{"kind":"template","name":"t"},"revisions":[{"revision":1,"verb":"publish","payload":7}]}}}`,
		`{"offset":1,"entities":{"parameters a/b":{"entity":{"kind":"parameters","name":"a/b"},"revisions":[{"revision":1,"verb":"publish","payload":{"values":null}}]}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		unchecked, err := decodeState(data)
		if err != nil {
			return
		}
		s, err := DecodeState(data, unchecked.Digest())
		if err != nil {
			return
		}
		require.NoError(t, s.Snapshot().Validate())
		again, err := s.Encode()
		require.NoError(t, err)
		_, err = DecodeState(again, s.Digest())
		require.NoError(t, err)
	})
}
