// Package logstore defines the interface to the log service of the platform, and a client of it over HTTP.
//
// The log service stores append-only streams. It has outages, retains records for a limited time, and its response to an
// append can be lost after the append took effect. All data that must outlive a process is stored in it.
package logstore

import (
	"context"
	"encoding/json"
	"time"
)

// Names of the streams.
const (
	StreamConfig      = "config"      // configuration records
	StreamCheckpoints = "checkpoints" // configuration states at offsets of stream config
	StreamPresence    = "presence"    // announcements of nodes
)

// Entry is one record of a stream.
type Entry struct {
	Offset int64           `json:"offset"`  // position in the stream; the first is 1
	TimeMS int64           `json:"time_ms"` // time of the append by the clock of the log service, Unix ms
	Data   json.RawMessage `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Entries []Entry `json:"entries"`
	First   int64   `json:"first"`   // oldest retained offset; equals Next if the stream is empty
	Next    int64   `json:"next"`    // offset of the next append
	TimeMS  int64   `json:"time_ms"` // time of the read by the clock of the log service, Unix ms
}

// Log is the log service.
type Log interface {
	// Append adds data to the stream. An error of kind Unknown means that the append may have taken effect, or may still
	// take effect, because the response was lost. Callers put an id into data and read the stream to find out. Errors of
	// other kinds mean that this request appended nothing and never will.
	Append(ctx context.Context, stream string, data json.RawMessage) (Entry, error)

	// Read returns up to limit entries with offsets of at least from. It waits up to wait for the first one. A batch
	// without entries is not an error. Offsets below Batch.First have expired.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
