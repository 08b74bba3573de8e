package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a template whose faults show only when a team uses it, or one at a time.
func TestParseTemplateReportsAllErrors(t *testing.T) {
	cases := map[string]struct {
		data   string
		wanted []string
	}{
		"valid":           {routeTemplate, nil},
		"not an object":   {`[]`, []string{"not a JSON object"}},
		"no body":         {`{}`, []string{"body: missing"}},
		"unknown fields":  {`{"bodyy":{},"colour":1,"Body":{}}`, []string{"bodyy", "colour", "Body"}},
		"body not object": {`{"body":[1]}`, []string{"body: not a JSON object"}},
		"declarations": {`{"parameters":[{"name":"a} ${b","type":"string","required":true},{"name":"team","type":"string","required":true},{"name":"n","type":"decimal","required":true},{"name":"x","type":"integer"},7],"body":{}}`,
			[]string{"parameters[4]"}},
		"declared values": {`{"parameters":[{"name":"a} ${b","type":"string","required":true},{"name":"team","type":"string","required":true},{"name":"n","type":"decimal","required":true},{"name":"x","type":"integer"},{"name":"y","type":"integer","default":1.5},{"name":"z","type":"boolean","default":true,"min":1},{"name":"e","type":"string","default":"c","enum":["a",{},[]]}],"body":{}}`,
			[]string{"parameters[0].name", "parameters[1].name", "parameters[2].type", "parameters[3]: neither", "parameters[4].default", "parameters[5]: min and max", "enum[1]", "enum[2]", `"c" is not allowed`}},
		"placeholders": {`{"body":{"ranks":[{"name":"${A}-${","target_ms":"${missing}"}],"routes":[{"name":"\u0024{hidden}"}]}}`,
			[]string{"${missing}", "${hidden}", `"${A}"`, `"${"`}},
		"types in the body": {`{"parameters":[{"name":"s","type":"string","required":true}],"body":{"ranks":[{"target_ms":"${s}","shade":1}],"routes":[{"methods":"GET"},7],"lanes":[]}}`,
			[]string{"body.ranks[0].target_ms: string where a whole number", "body.ranks[0].shade: unknown", "body.routes[0].methods: string where a list", "body.routes[1]: not a JSON object", "body.lanes: unknown"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, errs := ParseTemplate(json.RawMessage(c.data))
			requireErrors(t, errs.Err(), c.wanted...)
		})
	}
}

// Guards against values that leave the declared type, range or enum, and against silent typing errors in their names.
func TestRenderChecksValues(t *testing.T) {
	template, errs := ParseTemplate(json.RawMessage(`{"parameters":[
		{"name":"i","type":"integer","min":1,"max":9,"default":3},{"name":"s","type":"string","required":true},
		{"name":"b","type":"boolean","default":false},{"name":"f","type":"number","default":0.5,"enum":[0.5,0.25]}],
		"body":{"ranks":[{"name":"r-${s}-${i}","priority":"${i}","min_share":"${f}","target_ms":10}],
			"routes":[{"name":"x","path_prefix":"/${b}","service":"${s}","rank":"r","timeout_ms":1,"idempotent":"${b}"}]}}`))
	require.Empty(t, errs)
	cases := map[string]struct {
		values string
		wanted []string
	}{
		"defaults":          {`{"s":"a"}`, nil},
		"all wrong":         {`{"i":0,"f":0.3,"b":"yes","j":1}`, []string{"values.i: 0 is below 1", "values.s: missing", "values.f", "values.b", "values.j"}},
		"fraction":          {`{"s":"a","i":1.5}`, []string{"1.5 is not of type integer"}},
		"null":              {`{"s":null}`, []string{"null is not of type string"}},
		"structures":        {`{"s":{"a":1},"b":[true]}`, []string{"an object is not", "a list is not"}},
		"no placeholder":    {`{"s":"${i}"}`, []string{"rank r-${i}-3: invalid name"}},
		"inexact integer":   {`{"s":"a","i":1e300}`, []string{"is not of type integer"}},
		"very long string":  {fmt.Sprintf(`{"s":%q}`, strings.Repeat("a", maxValueBytes+1)), []string{"longer than 1024"}},
		"long but accepted": {fmt.Sprintf(`{"s":%q}`, strings.Repeat("a", 80)), []string{"invalid name"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var values map[string]any
			require.NoError(t, json.Unmarshal([]byte(c.values), &values))
			fragment, errs := template.Render("web", values)
			requireErrors(t, errs.Err(), c.wanted...)
			if len(c.wanted) == 0 {
				require.Equal(t, Rank{Name: "r-a-3", Priority: 3, MinShare: 0.5, TargetMS: 10}, fragment.Ranks[0])
				require.Equal(t, "/false", fragment.Routes[0].PathPrefix)
			}
		})
	}
}

// Guards against a small template that renders to gigabytes and takes every node down.
func TestRenderIsBounded(t *testing.T) {
	body := strings.TrimSuffix(strings.Repeat(`{"name":"${s}${s}${s}${s}${s}${s}${s}${s}"},`, 500), ",")
	template, errs := ParseTemplate(json.RawMessage(`{"parameters":[{"name":"s","type":"string","required":true}],"body":{"ranks":[` + body + `]}}`))
	require.Empty(t, errs)
	_, errs = template.Render("web", map[string]any{"s": strings.Repeat("a", maxValueBytes)})
	requireErrors(t, errs.Err(), "renders to more than 1 MiB")
}
