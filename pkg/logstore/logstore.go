// Package logstore is the interface to the platform's log service.
//
// The log service keeps append-only streams. It has outages, keeps records for a limited time, and its answer to an
// append can be lost after the append took effect. Everything that must outlive a process is kept in it.
package logstore

import (
	"context"
	"encoding/json"
	"time"
)

// Names of the streams that laburnumcleat uses.
const (
	StreamConfig      = "config"      // configuration records
	StreamCheckpoints = "checkpoints" // configuration states at an offset
	StreamPresence    = "presence"    // announcements of nodes
)

// Entry is one record of a stream.
type Entry struct {
	Offset int64           `json:"offset"`  // position in the stream; the first is 1
	TimeMS int64           `json:"time_ms"` // when the log service accepted it, by its clock, Unix ms
	Data   json.RawMessage `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Entries []Entry `json:"entries"`
	First   int64   `json:"first"`   // oldest retained offset; equals Next if the stream is empty
	Next    int64   `json:"next"`    // offset that the next append will get
	TimeMS  int64   `json:"time_ms"` // clock of the log service, Unix ms
}

// Log is the log service.
type Log interface {
	// Append adds data to the stream. An error does not mean that nothing was appended: the answer may be lost
	// after the append took effect, and then the error is of kind Unknown. Callers put an id into data and read the
	// stream to find out. Errors of other kinds mean that this request appended nothing and never will.
	Append(ctx context.Context, stream string, data json.RawMessage) (Entry, error)

	// Read returns up to limit entries with offsets of at least from. It waits up to wait for the first
	// one. An empty batch is not an error. Offsets below Batch.First have expired.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
