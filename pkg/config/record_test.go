package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Guards against a record that is refused with only the first of its faults, or accepted with a wrong form.
func TestParseRecordReportsAllErrors(t *testing.T) {
	cases := map[string]struct {
		data   string
		wanted []string
	}{
		"valid":             {`{"id":"a","verb":"publish","entity":{"kind":"template","name":"t"},"payload":{},"author":"n"}`, nil},
		"not JSON":          {`{"id":`, []string{"not JSON"}},
		"empty":             {``, []string{"not JSON"}},
		"second value":      {`{} {}`, []string{"not JSON"}},
		"list":              {`[]`, []string{"not a valid record"}},
		"unknown field":     {`{"id":"a","colour":1}`, []string{"unknown field"}},
		"everything absent": {`{}`, []string{"id:", "verb:", "entity.kind:"}},
		"long values": {`{"id":"` + strings.Repeat("a", 65) + `","verb":"erase","entity":{"kind":"template","name":"a/b"},"base":-1,"author":"` + strings.Repeat("n", 129) + `"}`,
			[]string{"id:", "verb:", "entity.name:", "base:", "author:"}},
		"null payload":      {`{"id":"a","verb":"publish","entity":{"kind":"template","name":"t"},"payload":null}`, []string{"payload:"}},
		"payload of retire": {`{"id":"a","verb":"retire","entity":{"kind":"template","name":"t"},"payload":{}}`, []string{"payload:"}},
		"restore missing":   {`{"id":"a","verb":"rollback","entity":{"kind":"parameters","name":"A/b_"}}`, []string{`"A"`, `"b_"`, "restore:"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseRecord([]byte(c.data))
			requireErrors(t, err, c.wanted...)
		})
	}
}

// Guards against divergence between nodes that read a record from the log and nodes that got it in a message: spaces do
// not count towards the size limit, and characters that encoding/json escapes count in their escaped form.
func TestRecordSizeIndependentOfEncoding(t *testing.T) {
	record := `{"id":"a","verb":"publish","entity":{"kind":"template","name":"t"},"payload":{"description":"DESC"},"author":""}`
	_, err := ParseRecord([]byte(spaces(MaxRecordBytes) + record))
	require.NoError(t, err)
	_, err = ParseRecord([]byte(strings.Replace(record, "DESC", strings.Repeat("<", MaxRecordBytes/4), 1)))
	require.Equal(t, apierror.TooLarge, apierror.KindOf(err))
}
