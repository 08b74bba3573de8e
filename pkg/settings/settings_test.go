package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

func validSettings(t *testing.T) string {
	t.Helper()
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, make([]byte, 32), 0o600))
	return `{"id":"seeb-tracker-1","region":"muscat","data_centre":"seeb",
		"listen":{"calls":"127.0.0.1:1","nodes":"127.0.0.1:2","control":"127.0.0.1:3","api":"127.0.0.1:4"},
		"platform":{"urls":["http://127.0.0.1:5"],"retention_s":3600},
		"keys":{"context_files":["` + key + `"],"allow_plain":true},
		"operators":{"allow_anonymous":true}}`
}

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings(t)))
	require.NoError(t, err)
	assert.Equal(t, "info", s.LogLevel)
	assert.Equal(t, 60.0, s.DrainTimeoutS)
}

// Guards against reporting only the first fault, which makes an operator correct a file one error at a time.
func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]byte(`{"id":"Bad Name","data_center":"x","listen":{"calls":"nowhere","cals":1},"seeds":["a"],"log_level":"loud","drain_timeout_s":-1}`))
	var errs apierror.List
	require.ErrorAs(t, err, &errs)
	fields := make(map[string]bool)
	for _, e := range errs {
		fields[e.Field] = true
		assert.NotEmpty(t, e.Remedy, e.Field)
	}
	for _, field := range []string{"id", "region", "data_centre", "data_center", "listen.cals", "listen.calls", "listen.nodes", "listen.control",
		"listen.api", "seeds[0]", "platform.urls", "platform.retention_s", "keys.context_files", "keys.tls_cert_file", "operators.tokens_file",
		"drain_timeout_s", "log_level"} {
		assert.True(t, fields[field], field)
	}
}

func TestParseRejectsWrongTypesAndNonJSON(t *testing.T) {
	for _, input := range []string{`{`, `[]`, `{"id":1}`, `null x`} {
		_, err := Parse([]byte(input))
		assert.Error(t, err, input)
	}
}

// Guards against a settings page that no longer matches the code. LABURNUM_UPDATE=1 rewrites the page.
func TestReferencePageIsCurrent(t *testing.T) {
	const page = "../../docs/settings.md"
	if os.Getenv("LABURNUM_UPDATE") == "1" {
		require.NoError(t, os.WriteFile(page, []byte(Reference()), 0o644))
	}
	stored, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, Reference(), string(stored))
}
