// Package packing compresses what is passed between nodes: a configuration that grows by hundreds of routes takes seconds on a thin
// link otherwise.
package packing

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Compress compresses data. A compressor takes about a megabyte, which is free again afterwards.
func Compress(data []byte) []byte { return compress(newCompressor(), data) }

// Compressor keeps its compressors, for senders of many messages. The zero value is ready for use, also by several goroutines.
type Compressor struct {
	idle sync.Pool
}

// Compress compresses data.
func (p *Compressor) Compress(data []byte) []byte {
	w, ok := p.idle.Get().(*flate.Writer)
	if !ok {
		w = newCompressor()
	}
	defer p.idle.Put(w)
	return compress(w, data)
}

func newCompressor() *flate.Writer {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("flate: " + err.Error()) // the level is a constant in range
	}
	return w
}

func compress(w *flate.Writer, data []byte) []byte {
	var buffer bytes.Buffer
	w.Reset(&buffer)
	_, _ = w.Write(data) // a bytes.Buffer takes everything
	_ = w.Close()
	return buffer.Bytes()
}

// Decompress returns what was packed. It fails with kind Invalid for other data, and with kind TooLarge if there is more than limit bytes.
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
