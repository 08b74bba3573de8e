package operator

import (
	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// Member is one node as the answering node sees it.
type Member struct {
	ID             string    `json:"id"`
	Region         string    `json:"region,omitempty"`
	DataCentre     string    `json:"data_centre,omitempty"`
	ControlAddress string    `json:"control_address,omitempty"`
	CallAddress    string    `json:"call_address,omitempty"`
	APIAddress     string    `json:"api_address,omitempty"`
	Incarnation    uint64    `json:"incarnation"`        // start time of the process, Unix ms
	Status         string    `json:"status"`             // alive, suspect, dead or left
	Endpoint       *Endpoint `json:"endpoint,omitempty"` // nil until the backend server announces itself
	Version        int64     `json:"version,omitempty"`  // last known applied version; 0 if none was heard
	Digest         string    `json:"digest,omitempty"`   // state digest at that version
	AgeMS          int64     `json:"heard_ms,omitempty"` // age of this knowledge in milliseconds
}

// Endpoint is the backend server beside a node.
type Endpoint struct {
	Service     string `json:"service"`
	Address     string `json:"address"` // "ip:port"
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // warming, ready, draining or gone
}

// Announcement is the body of POST /v1/backend. The backend server repeats it every second.
type Announcement = Endpoint

// AnnouncementResponse tells the backend server when to announce itself again.
type AnnouncementResponse struct {
	RenewMS  int64 `json:"renew_ms"`  // interval of announcements in milliseconds
	ExpireMS int64 `json:"expire_ms"` // without an announcement for this long the endpoint is withdrawn
}

// Status is the answer to GET /v1/status.
type Status struct {
	Node    Member   `json:"node"`
	Ready   bool     `json:"ready"`
	Reason  string   `json:"reason,omitempty"` // why the node is not ready
	Offset  int64    `json:"offset"`           // last record read
	Version int64    `json:"version"`          // last record accepted
	Digest  string   `json:"digest"`
	Fleet   Fleet    `json:"fleet"`
	Lagging []string `json:"lagging,omitempty"` // ids of up to 20 live members below the wanted version
}

// Fleet counts the members that the answering node knows.
type Fleet struct {
	Alive   int   `json:"alive"`
	Suspect int   `json:"suspect"`
	Dead    int   `json:"dead"`
	Wanted  int64 `json:"wanted"`  // version that Reached refers to
	Reached int   `json:"reached"` // alive members at or above the wanted version
}

// EntitySummary is one row of GET /v1/entities.
type EntitySummary struct {
	Entity   config.Entity `json:"entity"`
	Revision int64         `json:"revision"`
	Verb     config.Verb   `json:"verb"`
	Author   string        `json:"author"`
	RecordID string        `json:"record_id"`
	Retired  bool          `json:"retired,omitempty"`
}

// EntityList is the answer to GET /v1/entities.
type EntityList struct {
	Version  int64           `json:"version"`
	Entities []EntitySummary `json:"entities"`
}

// EntityResponse is the answer to GET /v1/entities/{kind}/{name...}: the kept revisions, oldest first.
type EntityResponse struct {
	Version   int64             `json:"version"`
	Entity    config.Entity     `json:"entity"`
	Retired   bool              `json:"retired,omitempty"`
	Revisions []config.Revision `json:"revisions"`
}

// MemberList is the answer to GET /v1/members.
type MemberList struct {
	Members []Member `json:"members"`
}

// EventList is the answer to GET /v1/explain.
type EventList struct {
	Node   string          `json:"node"`
	Events []explain.Event `json:"events"`
}

// ValidateRequest is the body of POST /v1/validate. The records are applied in order to the current state of the
// node; nothing is published. A record without an id gets one.
type ValidateRequest struct {
	Records []config.Record `json:"records"`
}

// ValidateResponse is the answer to POST /v1/validate.
type ValidateResponse struct {
	Version int64           `json:"version"` // of the state that the records were applied to
	Valid   bool            `json:"valid"`   // every record would be accepted
	Results []config.Result `json:"results"` // one for each record
	Changes []config.Change `json:"changes"` // what the accepted ones change in the snapshot
}

// DrainState is the progress of a drain.
type DrainState string

// The states of a drain.
const (
	DrainRunning DrainState = "draining" // calls are still in flight
	DrainDone    DrainState = "drained"  // no call is in flight
)

// DrainStatus is the answer to POST /v1/drain. Repeating the request returns the progress.
type DrainStatus struct {
	Node     string     `json:"node"`
	State    DrainState `json:"state"`
	InFlight int        `json:"in_flight"`
}

// ErrorBody is the body of every response with an error status, except that of POST /v1/records, which is a
// config.Result when the record reached the log.
type ErrorBody struct {
	Errors apierror.List `json:"errors"`
}
