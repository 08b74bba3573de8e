package settings

import "testing"

// Guards against panics on arbitrary settings, and against accepting settings without an id.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":"a","listen":{"calls":"127.0.0.1:1"}}`))
	f.Add([]byte(`{"dial_overrides":{"a":"b"},"unknown":[]}`))
	f.Add([]byte(`{"listen":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data); err == nil && s.ID == "" {
			t.Fatalf("accepted %q", data)
		}
	})
}
