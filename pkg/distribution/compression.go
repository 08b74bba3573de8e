package distribution

import (
	"encoding/json"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/compression"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// maxUnpackedBytes limits the decompressed size of a message field.
const maxUnpackedBytes = 2 * rpc.MaxMessageBytes

// packed is compressed data inside a message. Compression saves bytes and also hides records from the JSON-RPC library,
// which decodes and re-encodes parameters and thereby changes the order of their keys. Replay needs identical bytes on
// every node.
type packed []byte

var packer compression.Compressor

func pack(data []byte) packed { return packer.Compress(data) }

func (p packed) unpack() ([]byte, error) { return compression.Decompress(p, maxUnpackedBytes) }

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
