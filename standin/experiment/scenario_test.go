package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

func TestParse_ReportsAllErrors(t *testing.T) {
	_, err := Parse([]byte(`{
		"name": "x", "seconds": 5, "seeds": 1, "data_centres": ["a"], "retry": {"ratio": 0.2, "slack": 10, "window_s": 10},
		"services": [{"name": "s", "servers": 3, "slots": 0}],
		"classes": [{"name": "c", "service": "t", "work_ms": {"mean": 10}, "target_ms": 20, "deadline_ms": 10}],
		"events": [{"kind": "storm"}, {"kind": "shed", "service": "s", "share": 2}],
		"variants": [{"name": "v", "placement": {"Sample": 3}}, {"name": "w", "placement": {"ReportDecay": 3}}, {"name": "u", "without": ["luck"]}]}`))
	var list apierror.List
	require.ErrorAs(t, err, &list)
	var fields []string
	for _, e := range list {
		fields = append(fields, e.Field)
	}
	assert.Equal(t, []string{
		"services[0].slots", "classes[0].service", "classes[0].deadline_ms", "events[0].kind", "events[1].share", "variants[0]", "variants[1]", "variants[2].without",
	}, fields)
}

func TestParse_RefusesUnknownFields(t *testing.T) {
	_, err := Parse([]byte(`{"name": "x", "speed": 3}`))
	assert.ErrorContains(t, err, "speed")
}

func TestLoad(t *testing.T) {
	for _, name := range Patterns() {
		s, err := Load(name)
		require.NoError(t, err, name)
		assert.Equal(t, name, s.Name)
		assert.NotEmpty(t, s.Pattern, name)
	}
	s, err := Load("steady")
	require.NoError(t, err)
	for _, name := range VariantLists() {
		require.NoError(t, s.LoadVariants(name), name)
	}
	_, err = Load("no such pattern")
	assert.Equal(t, apierror.NotFound, apierror.KindOf(err))
	assert.Equal(t, apierror.NotFound, apierror.KindOf(s.LoadVariants("no such list")))
}
