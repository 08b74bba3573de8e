package distribution

import (
	"encoding/json"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/compression"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// maxDecompressedBytes limits the decompressed size of a message field.
const maxDecompressedBytes = 2 * rpc.MaxMessageBytes

// compressed is the compressed content of a message field. Compression saves bytes and also hides records from the JSON-RPC library,
// which decodes and re-encodes parameters and thereby changes the order of their keys. Replay needs identical bytes on
// every node.
type compressed []byte

var compressor compression.Compressor

func compress(data []byte) compressed { return compressor.Compress(data) }

func (c compressed) decompress() ([]byte, error) {
	return compression.Decompress(c, maxDecompressedBytes)
}

func compressEntries(entries []logstore.Entry) (compressed, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return nil, err
	}
	return compress(data), nil
}

func (c compressed) entries() ([]logstore.Entry, error) {
	if len(c) == 0 {
		return nil, nil
	}
	data, err := c.decompress()
	if err != nil {
		return nil, err
	}
	var entries []logstore.Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, apierror.New(apierror.Invalid, "entries: "+err.Error(), "run the same version on all nodes")
	}
	return entries, nil
}
