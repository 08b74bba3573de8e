package presence

import "testing"

// Guards against stream records that crash a reader, or are accepted without an id or incarnation.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"kind":"announce","id":"a","service":"s","control_address":"127.0.0.1:1","incarnation":1}`))
	f.Add([]byte(`{"kind":"left","id":"a","incarnation":1}`))
	f.Add([]byte(`{"kind":1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil && (r.ID == "" || r.Incarnation == 0) {
			t.Fatalf("accepted %q", data)
		}
	})
}
