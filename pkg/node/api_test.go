package node

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an error without a cause: the file was read, but is too long.
func TestReadTokens_RefusesLongFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.json")
	require.NoError(t, os.WriteFile(path, bytes.Repeat([]byte(" "), maxTokensBytes+1), 0o600))
	_, err := readTokens(path)
	require.ErrorContains(t, err, "has 1048577 bytes")
	_, err = readTokens(path + ".missing")
	require.ErrorContains(t, err, "not readable")
	tokens, err := readTokens("")
	require.NoError(t, err)
	require.Empty(t, tokens)
}
