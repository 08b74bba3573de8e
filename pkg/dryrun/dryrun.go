// Package dryrun holds the messages with which an operator asks a node where it would send a request. Nothing is sent or counted for it.
package dryrun

// Method is the RPC method of a node's control address.
const Method = "sidecar.where"

// Query describes a request. It never contains a caller's key: the team is named.
type Query struct {
	Host    string `json:"host"`
	Path    string `json:"path"`
	Team    string `json:"team,omitempty"`    // name
	Service string `json:"service,omitempty"` // if the route has several; default: that with the highest weight
	// LeftMS is the time left until the target; 0: a new request.
	LeftMS int `json:"left_ms,omitempty"`
}

// Answer is what the node would do now. Times are in milliseconds.
type Answer struct {
	Node          string      `json:"node"`
	DataCentre    string      `json:"data_centre"`
	Version       uint64      `json:"version"`           // of the configuration
	Refusal       string      `json:"refusal,omitempty"` // why the request would be refused without being sent
	Route         string      `json:"route,omitempty"`
	Services      []string    `json:"services,omitempty"` // of the route, with weights above 0
	Service       string      `json:"service,omitempty"`  // for which the candidates are
	Team          string      `json:"team,omitempty"`
	LimitLeft     *float64    `json:"limit_left,omitempty"` // requests that the team may still send from this node now; absent: no limit, or not known
	Rank          int         `json:"rank"`
	Idempotent    bool        `json:"idempotent"`
	TargetMS      int64       `json:"target_ms"`
	TimeoutMS     int64       `json:"timeout_ms"`
	ResponseBytes int64       `json:"response_bytes"`       // usual length of the response; 0: not known
	LinkBacklogMS int64       `json:"link_backlog_ms"`      // of this node's link
	Candidates    []Candidate `json:"candidates,omitempty"` // best first
}

// Candidate is an endpoint of the service, as the node sees it. The node compares a random sample of the candidates, so that it may send a request to
// another one than the first.
type Candidate struct {
	ID            string  `json:"id"`
	DataCentre    string  `json:"data_centre"`
	LeftOut       string  `json:"left_out,omitempty"` // why it would not be chosen while there are others
	Score         float64 `json:"score"`              // InTime less the costs
	InTime        float64 `json:"in_time"`            // probability that the response is in time
	BusyCost      float64 `json:"busy_cost"`          // for slots in use and for delay
	RemoteCost    float64 `json:"remote_cost"`        // for another data centre
	Calls         float64 `json:"calls"`              // estimate of running and queued calls
	Limit         float64 `json:"limit"`
	Answered      float64 `json:"answered"` // estimated share of the calls that it answers
	ClassMS       int64   `json:"class_ms"` // time for which such a call holds a slot
	LinkBacklogMS int64   `json:"link_backlog_ms"`
	Outstanding   int     `json:"outstanding"`             // calls of this node
	ReportAgeMS   *int64  `json:"report_age_ms,omitempty"` // absent: there was no report
}
