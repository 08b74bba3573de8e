package operator

import (
	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

// Member is one node as seen by the responding node.
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
	Version        int64     `json:"version,omitempty"`  // last known applied version; 0 if unknown
	Digest         string    `json:"digest,omitempty"`   // state digest at that version
	AgeMS          int64     `json:"heard_ms,omitempty"` // age of Version and Digest in milliseconds
}

// Endpoint is the backend server next to a node.
type Endpoint struct {
	Service     string `json:"service"`
	Address     string `json:"address"` // "ip:port"
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // warming, ready, draining or gone
}

// Announcement is the body of POST /v1/backend. The backend server sends it every second.
type Announcement = Endpoint

// AnnouncementResponse gives the backend server the timing of its announcements.
type AnnouncementResponse struct {
	RenewMS  int64 `json:"renew_ms"`  // interval of announcements in milliseconds
	ExpireMS int64 `json:"expire_ms"` // the endpoint is withdrawn after this time without an announcement
}

// Status is the response to GET /v1/status.
type Status struct {
	Node    Member   `json:"node"`
	Ready   bool     `json:"ready"`
	Reason  string   `json:"reason,omitempty"` // why the node is not ready
	Offset  int64    `json:"offset"`           // offset of the last record read
	Version int64    `json:"version"`          // offset of the last record accepted
	Digest  string   `json:"digest"`
	Fleet   Fleet    `json:"fleet"`
	Lagging []string `json:"lagging,omitempty"` // ids of up to 20 live members below the wanted version
}

// Fleet counts the members known to the responding node.
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

// EntityList is the response to GET /v1/entities.
type EntityList struct {
	Version  int64           `json:"version"`
	Entities []EntitySummary `json:"entities"`
}

// EntityResponse is the response to GET /v1/entities/{kind}/{name...}: the retained revisions, oldest first.
type EntityResponse struct {
	Version   int64             `json:"version"`
	Entity    config.Entity     `json:"entity"`
	Retired   bool              `json:"retired,omitempty"`
	Revisions []config.Revision `json:"revisions"`
}

// MemberList is the response to GET /v1/members.
type MemberList struct {
	Members []Member `json:"members"`
}

// EventList is the response to GET /v1/explain.
type EventList struct {
	Node   string          `json:"node"`
	Events []explain.Event `json:"events"`
}

// ValidateRequest is the body of POST /v1/validate. The records are applied in order to the current state of the node; nothing is
// published. A record without an id is given one.
type ValidateRequest struct {
	Records []config.Record `json:"records"`
}

// ValidateResponse is the response to POST /v1/validate.
type ValidateResponse struct {
	Version int64           `json:"version"` // version of the state that the records were applied to
	Valid   bool            `json:"valid"`   // whether every record would be accepted
	Results []config.Result `json:"results"` // one per record
	Changes []config.Change `json:"changes"` // changes of the accepted records to the snapshot
}

// DrainState is the progress of a drain.
type DrainState string

// The states of a drain.
const (
	DrainRunning DrainState = "draining" // calls are still in flight
	DrainDone    DrainState = "drained"  // no call is in flight
)

// DrainStatus is the response to POST /v1/drain. Further requests return the progress.
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
