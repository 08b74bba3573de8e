// Package compression compresses data sent between nodes. Uncompressed, a configuration change that adds hundreds of routes takes seconds
// on a slow link.
package compression

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Compress returns data in DEFLATE format. Each call allocates a compressor of about 1 MB; see Compressor for repeated use.
func Compress(data []byte) []byte { return compress(newWriter(), data) }

// Compressor reuses its internal writers, for senders of many messages. The zero value is ready to use. It is safe for concurrent use.
type Compressor struct {
	idle sync.Pool
}

// Compress returns data in DEFLATE format.
func (c *Compressor) Compress(data []byte) []byte {
	w, ok := c.idle.Get().(*flate.Writer)
	if !ok {
		w = newWriter()
	}
	defer c.idle.Put(w)
	return compress(w, data)
}

func newWriter() *flate.Writer {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("flate: " + err.Error()) // unreachable: the level is a valid constant
	}
	return w
}

func compress(w *flate.Writer, data []byte) []byte {
	var buffer bytes.Buffer
	w.Reset(&buffer)
	_, _ = w.Write(data) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return buffer.Bytes()
}

// Decompress returns the original of compressed data. It fails with kind Invalid if data is not valid DEFLATE, and with kind TooLarge if
// the result exceeds limit bytes.
func Decompress(data []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, apierror.New(apierror.Invalid, "compressed data: "+err.Error(), "run the same version on all nodes")
	}
	if int64(len(out)) > limit {
		return nil, apierror.New(apierror.TooLarge, "compressed data expands beyond its limit", "run the same version on all nodes")
	}
	return out, nil
}
