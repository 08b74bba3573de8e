package presence

import "testing"

// Guards against a record in the stream that stops a reader or is taken for valid without an id.
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
