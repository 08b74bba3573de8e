package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReadObject guards against a decoder that panics, reads past the end of a frame, or accepts truncated frames.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02{}rest"))
	f.Add([]byte("\x00\x00\x00\x02{"))
	f.Add([]byte("\xff\xff\xff\xff{}"))
	f.Add([]byte("\x00"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := bufio.NewReader(bytes.NewReader(data))
		var got json.RawMessage
		err := frameCodec{}.ReadObject(stream, &got)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, len(data), headerBytes+len(got))
		require.True(t, json.Valid(got))
		var out bytes.Buffer
		require.NoError(t, frameCodec{}.WriteObject(&out, got))
		var decoded json.RawMessage
		require.NoError(t, frameCodec{}.ReadObject(bufio.NewReader(&out), &decoded))
		require.JSONEq(t, string(got), string(decoded))
	})
}
