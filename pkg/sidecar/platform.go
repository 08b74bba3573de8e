package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/announce"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
	"github.com/laburnumcleat/laburnumcleat/pkg/rollout"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// Platform is the interface to the platform that the sidecar runs on. Adapters translate names, formats and calls, and contain no policy.
type Platform interface {
	Source
	Directory

	// Headers returns the names of the header fields that callers and backend servers use.
	Headers() Headers
	// Key returns the key that a request presents. ok is false if there is none.
	Key(header http.Header) (key string, ok bool)
	// Report decodes the load report in a response header. ok is false if there is none. err is non-nil if the report is malformed.
	Report(header http.Header) (report LoadReport, ok bool, err error)
	// Intake decodes what a response header says about the requests that the backend server takes. err is non-nil if the limit is malformed;
	// the rest of the result is valid then.
	Intake(header http.Header) (Intake, error)
	// AnnouncementHandler receives the announcements of the backend server.
	AnnouncementHandler(Announcer) http.Handler
	// ReadinessHandler answers readiness checks: whether clients may send requests to this node.
	ReadinessHandler(ready func() bool) http.Handler
}

// LoadReport is the load that a backend server reports about itself.
type LoadReport struct {
	Running, Waiting, Slots int
	Slowness                float64 // current service time relative to an average VM; 0: not reported
}

// hasFreeSlot reports whether the backend server could have started another call.
func (r LoadReport) hasFreeSlot() bool { return r.Waiting == 0 && r.Running < r.Slots }

// Intake is what a backend server says in a response about the requests that it takes.
type Intake struct {
	Limited bool
	Limit   float64 // requests a second from all nodes together, if Limited
	Leaving bool    // it is shutting down
}

// Published is a configuration and its position in the source.
type Published struct {
	Document *routing.Document // nil: nothing has been published, or the published configuration is malformed
	Orders   []rollout.Order   // of roll-outs, each with its position; an order without a target withdraws the earlier one
	Position StorePosition     // to pass to Next
}

// Source is where operators publish full configurations, and where nodes keep a compressed copy of the newest for starting nodes: on a
// low-bandwidth link the published one takes half a second. Errors are of type *apierror.Error.
type Source interface {
	// SetGenerations sets what checks the generation of the store in each response before its result is used. It is called before any call.
	SetGenerations(g *Generations)

	// Newest returns the newest configuration.
	Newest(ctx context.Context) (Published, error)
	// Next waits at most the duration wait for configurations published since position and returns the newest of them. Its Document is nil if there is
	// none. An error of kind NotFound means that the position is no longer kept; call Newest instead.
	Next(ctx context.Context, position StorePosition, wait time.Duration) (Published, error)

	// Copy returns what nodes keep at the source.
	Copy(ctx context.Context) (Copy, error)
	// PutCopy replaces the copy. The copy may have been replaced even if an error is returned.
	PutCopy(ctx context.Context, data []byte) error

	// PutRollout replaces the state of the service's roll-out if nothing was put since a Copy whose End is given. It returns the epoch of
	// the state. An error of kind Conflict means that something was put; after any other error the state may have been replaced.
	PutRollout(ctx context.Context, state rollout.State, end StorePosition) (epoch int64, err error)
	// PutBlocked keeps the record of a request that crashes backend servers, in place of an earlier one.
	PutBlocked(ctx context.Context, record quarantine.Record) error
	// RemoveBlocked removes the record of a request.
	RemoveBlocked(ctx context.Context, request quarantine.Fingerprint) error

	// PutRolloutStatus tells the operators the phase of a roll-out.
	PutRolloutStatus(ctx context.Context, order rollout.Order, phase rollout.Phase) error
}

// Copy is what nodes keep at the source.
type Copy struct {
	Document  []byte              // that any node last passed to PutCopy, or nil
	IsEarlier bool                // the document was written to an earlier generation of the store; newer ones may be lost
	Rollouts  []rollout.State     // of all services that had one
	Blocked   []quarantine.Record // requests that crash backend servers
	End       StorePosition       // to pass to PutRollout
}

// Contact is a node's entry in the directory.
type Contact struct {
	ID          string `json:"id"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	Control     string `json:"control"`     // "ip:port" of the JSON-RPC interface
	Nodes       string `json:"nodes"`       // "ip:port" for forwarded requests
	Incarnation uint64 `json:"incarnation"` // start time of the process, Unix ms
}

// hasAddressesOf reports whether both contacts are of the same node at the same addresses. Their processes may differ.
func (c Contact) hasAddressesOf(other Contact) bool {
	c.Incarnation, other.Incarnation = 0, 0
	return c == other
}

// Directory stores the addresses of nodes, so that starting nodes find them.
type Directory interface {
	// Register adds or replaces the contact of this node. It may have been registered even if an error is returned.
	Register(ctx context.Context, c Contact) error
	// Remove removes a contact.
	Remove(ctx context.Context, id string) error
	// Contacts returns all contacts.
	Contacts(ctx context.Context) ([]Contact, error)
}

// Announcer receives the announcements of the backend server on this VM. When a method returns, the change has taken effect on this node.
type Announcer interface {
	// Announce reports the state of an instance.
	Announce(a announce.Announcement) announce.Verdict
	// Leave reports that an instance is leaving. The connection is that over which it said so, as in announce.Announcement.
	Leave(id string, connection int64)
}
