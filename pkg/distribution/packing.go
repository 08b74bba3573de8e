package distribution

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// maxUnpackedBytes bounds what a compressed message may expand to.
const maxUnpackedBytes = 2 * rpc.MaxMessageBytes

// packed is compressed data inside a message. Besides saving bytes it keeps records out of reach of the JSON-RPC
// library, which decodes and encodes parameters again and thereby changes the order of their keys: replay must see the
// same bytes on every node.
type packed []byte

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("flate: " + err.Error()) // the level is a constant in range
	}
	return w
}}

func pack(data []byte) packed {
	var buffer bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buffer)
	_, _ = w.Write(data) // a bytes.Buffer takes everything
	_ = w.Close()
	return buffer.Bytes()
}

func (p packed) unpack() ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(p))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, apierror.New(apierror.Invalid, "compressed data: "+err.Error(), "run the same version on all nodes")
	}
	if len(data) > maxUnpackedBytes {
		return nil, apierror.New(apierror.TooLarge, "compressed data expands beyond its limit", "run the same version on all nodes")
	}
	return data, nil
}

func packEntries(entries []logstore.Entry) (packed, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return nil, err
	}
	return pack(data), nil
}

func (p packed) entries() ([]logstore.Entry, error) {
	if len(p) == 0 {
		return nil, nil
	}
	data, err := p.unpack()
	if err != nil {
		return nil, err
	}
	var entries []logstore.Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, apierror.New(apierror.Invalid, "entries: "+err.Error(), "run the same version on all nodes")
	}
	return entries, nil
}
