// Package operator is the HTTP interface for operators and for the local backend server.
//
// It reads the node through small interfaces and holds no state of its own, apart from limits. Every error is a list
// of apierror.Error as JSON.
package operator

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
)

// NodeView is what the interface reads from its node. All methods are safe for concurrent use and return promptly. The
// slices that they return belong to the caller.
type NodeView interface {
	// Self returns this node.
	Self() Member
	// Members returns all known nodes including this one, with the versions that the node last heard of. A status is
	// requested repeatedly until a change has spread, so these are to be brought up to date between two calls.
	Members() []Member
	// State returns the applied configuration state. It is never nil.
	State() *config.State
	// Ready returns false and the reason while the node does not take calls.
	Ready() (bool, string)
	// Events returns the recorded decisions about a subject, oldest first; all of them if the subject is empty.
	Events(subject string) []explain.Event
}

// Publisher validates a record against the tail of the log, appends it and reports its true outcome. The result of a
// record that is refused before the append has offset 0. Errors are of kind unavailable (nothing was appended) or
// unknown (repeat with the same record id).
type Publisher interface {
	Publish(ctx context.Context, r *config.Record) (config.Result, error)
}

// Remover ends an incarnation of a node whose VM is gone.
type Remover interface {
	// Remove asserts that no process of this incarnation runs any more. It fails with kind not_found for an unknown
	// member, conflict when the member is alive, and unavailable when the log cannot record the removal.
	Remove(ctx context.Context, id string, incarnation uint64) error
}

// Drainer stops new calls on this node.
type Drainer interface {
	// Drain starts a drain unless one is running, and returns its progress at once.
	Drain() DrainStatus
}

// Backend receives the announcements of the local backend server.
type Backend interface {
	Announce(a Announcement) (AnnouncementResponse, error)
}

// Options configure the interface. Node is required. A nil Publisher, Remover, Drainer or Backend makes its paths
// answer unavailable.
type Options struct {
	Node      NodeView
	Publisher Publisher
	Remover   Remover
	Drainer   Drainer
	Backend   Backend
	Metrics   *metrics.Registry // optional
	Logger    *zap.Logger       // optional

	// Tokens are the credentials that are accepted. Without tokens every request that needs one is refused, unless
	// DisableAuthentication is set.
	Tokens                []Token
	DisableAuthentication bool // every request has all roles; logged once at the start

	Limits Limits // zero values: defaults
}

// New returns the handler of the operators' interface.
func New(o Options) http.Handler {
	return newServer(o)
}
