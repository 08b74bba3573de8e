// Package presence writes and reads the presence stream in the log: which processes (incarnations of members) have served which
// service, and until when.
//
// The stream determines which nodes are queried before a call is executed again, so all its times are on the log clock, never on a
// node's clock. A node announces itself before it accepts non-idempotent calls and renews the announcement before it expires.
package presence

import (
	"encoding/json"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Kinds of records.
const (
	KindAnnounce = "announce" // the incarnation serves the service
	KindLeft     = "left"     // the incarnation ended by a graceful shutdown
	KindRemoved  = "removed"  // an operator confirmed that its VM is gone
)

// maxRecordBytes is the size limit of one record, which holds a few short names and addresses.
const maxRecordBytes = 4 << 10

// Record is one record of the presence stream. Records of kind "left" and "removed" need only id and incarnation.
type Record struct {
	Kind           string `json:"kind"`
	ID             string `json:"id"`
	Region         string `json:"region,omitempty"`
	DataCentre     string `json:"data_centre,omitempty"`
	Service        string `json:"service,omitempty"`
	ControlAddress string `json:"control_address,omitempty"`
	CallAddress    string `json:"call_address,omitempty"`
	APIAddress     string `json:"api_address,omitempty"`
	Incarnation    uint64 `json:"incarnation"`
}

// Incarnation is one process of a member that has announced itself for a service.
type Incarnation struct {
	Record
	Announced time.Time // log clock of its earliest known announcement
	Ended     time.Time // log clock; zero if it has not ended. A successor ends its predecessor.
}

func decodeRecord(data json.RawMessage) (Record, error) {
	var r Record
	if len(data) > maxRecordBytes {
		return r, apierror.New(apierror.TooLarge, "presence record is too large", "write presence records with laburnumd only")
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, apierror.New(apierror.Invalid, "presence record is not valid JSON: "+err.Error(), "")
	}
	return r, r.validate()
}

func (r Record) validate() error {
	var faults apierror.List
	switch r.Kind {
	case KindAnnounce:
		if r.Service == "" {
			faults = append(faults, apierror.InvalidField("service", "is empty", "name the service"))
		}
		if r.ControlAddress == "" {
			faults = append(faults, apierror.InvalidField("control_address", "is empty", "give the node's control address"))
		}
	case KindLeft, KindRemoved:
	default:
		faults = append(faults, apierror.InvalidField("kind", "unknown kind "+r.Kind, "use announce, left or removed"))
	}
	if r.ID == "" {
		faults = append(faults, apierror.InvalidField("id", "is empty", "give the member id"))
	}
	if r.Incarnation == 0 {
		faults = append(faults, apierror.InvalidField("incarnation", "is zero", "give the incarnation shown by laburnumctl members"))
	}
	return faults.Err()
}
