// Package operator implements the HTTP API for operators and for the local backend server, and its client.
//
// It accesses the node through small interfaces and keeps no state apart from concurrency limits. Every error response is a
// JSON list of apierror.Error.
package operator

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
)

// NodeView gives the API read access to its node. All methods must be safe for concurrent use and return without blocking. The caller
// may modify the returned slices.
type NodeView interface {
	// Self returns this node.
	Self() Member
	// Members returns all known nodes including this one, with their last known versions. Clients poll the status until a change has
	// reached all nodes, so each call should trigger a refresh of the versions for the next call.
	Members() []Member
	// State returns the applied configuration state. It is never nil.
	State() *config.State
	// Ready returns false and the reason while the node does not accept calls.
	Ready() (bool, string)
	// Events returns the recorded decisions about a subject, oldest first, or all decisions if the subject is empty.
	Events(subject string) []explain.Event
}

// Publisher validates a record against the tail of the log, appends it and reports the outcome that the log determines. The result of
// a record that is rejected before the append has offset 0. Errors are of kind unavailable (nothing was appended) or unknown (retry with
// the same record id).
type Publisher interface {
	Publish(ctx context.Context, r *config.Record) (config.Result, error)
}

// Remover removes an incarnation of a node whose VM no longer exists.
type Remover interface {
	// Remove records that no process of this incarnation is running. It fails with kind not_found for an unknown member, conflict if
	// the member is alive, and unavailable if the removal cannot be appended to the log.
	Remove(ctx context.Context, id string, incarnation uint64) error
}

// Drainer stops new calls on this node.
type Drainer interface {
	// Drain starts a drain unless one is in progress, and returns its progress without waiting.
	Drain() DrainStatus
}

// Backend receives the announcements of the local backend server.
type Backend interface {
	Announce(a Announcement) (AnnouncementResponse, error)
}

// Options configure the API. Node is required. Requests that need a nil Publisher, Remover, Drainer or Backend fail with kind
// unavailable.
type Options struct {
	Node      NodeView
	Publisher Publisher
	Remover   Remover
	Drainer   Drainer
	Backend   Backend
	Metrics   *metrics.Registry // optional
	Logger    *zap.Logger       // optional

	// Tokens are the accepted credentials. If there are none, every request that requires a token is rejected, unless
	// DisableAuthentication is set.
	Tokens                []Token
	DisableAuthentication bool // grants all roles to every request; logged as a warning at startup

	Limits Limits
}

// New returns the handler of the operator API.
func New(o Options) http.Handler {
	return newServer(o)
}
