package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// Platform is what a sidecar needs of the platform that it runs on. An adapter translates names, formats and calls, and decides
// nothing.
type Platform interface {
	Source
	Directory

	// Headers returns the names of the header fields that callers and backend servers use.
	Headers() Headers
	// Report reads what a backend server says about its load in the header of a response. The error of a header that cannot be read
	// says why; ok is false if there is none.
	Report(header http.Header) (report LoadReport, ok bool, err error)
	// AnnouncementHandler serves what the backend server says about itself.
	AnnouncementHandler(Announcer) http.Handler
	// ReadinessHandler serves the question whether clients may send requests to this node.
	ReadinessHandler(ready func() bool) http.Handler
}

// LoadReport is what a backend server says about its load.
type LoadReport struct {
	Running, Waiting, Slots int
	Slowness                float64 // how long work takes there now, relative to an average machine; 0: not said
}

// hasRoom reports whether the backend server could have begun one more call.
func (r LoadReport) hasRoom() bool { return r.Waiting == 0 && r.Running < r.Slots }

// Published is a configuration and where it was read.
type Published struct {
	Document *routing.Document // nil: the operators have not published anything, or what they published cannot be read
	Position int64             // to read on from
}

// Source is where operators publish whole configurations, and where nodes keep a compressed copy of the newest for those that start:
// on a thin link the operators' own takes half a second. Errors are of type *apierror.Error.
type Source interface {
	// Newest returns the newest configuration.
	Newest(ctx context.Context) (Published, error)
	// Next waits up to wait for configurations published from position on and returns the newest of them. Its Document is
	// nil if there is none. An error of kind NotFound means that the position is no longer kept: read Newest.
	Next(ctx context.Context, position int64, wait time.Duration) (Published, error)

	// Copy returns what was last passed to PutCopy by any node, or nil.
	Copy(ctx context.Context) ([]byte, error)
	// PutCopy replaces the copy. An error does not mean that it was not replaced.
	PutCopy(ctx context.Context, data []byte) error
}

// Contact is what a node leaves in the directory about itself.
type Contact struct {
	ID          string `json:"id"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	Control     string `json:"control"`     // "ip:port" of the JSON-RPC interface
	Nodes       string `json:"nodes"`       // "ip:port" for forwarded requests
	Incarnation uint64 `json:"incarnation"` // start of the process, Unix ms
}

// Directory is where nodes leave their addresses for those that start later.
type Directory interface {
	// Register adds or replaces the contact of this node. An error does not mean that it was not entered.
	Register(ctx context.Context, c Contact) error
	// Remove removes a contact.
	Remove(ctx context.Context, id string) error
	// Contacts returns all contacts.
	Contacts(ctx context.Context) ([]Contact, error)
}

// Announcer takes in what the backend server beside the node says. When a method has returned, the node acts on it.
type Announcer interface {
	// Announce takes in the state of an instance.
	Announce(a announce.Announcement) announce.Verdict
	// Leave takes in that an instance leaves.
	Leave(id string)
}
