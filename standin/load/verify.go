package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// Verification counts violations of G4, G5 and G6 in a run.
type Verification struct {
	Calls          int `json:"calls"`
	OK             int `json:"ok"`               // answered, complete and its own
	Duplicated     int `json:"doubled"`          // calls of a non-idempotent route that ran more than once, all ids together
	Truncated      int `json:"cut"`              // answered with an incomplete response
	Foreign        int `json:"foreign"`          // answered with the response to another request
	NotRunExecuted int `json:"not_run_executed"` // ids with outcome "not-run" that were executed
	Unexecuted     int `json:"unexecuted"`       // answered ids that no backend server executed, sheds excluded
	Shed           int `json:"shed"`             // answered ids that the backend server itself refused with 503 or 429
	Stray          int `json:"stray"`            // executed ids that no record names
}

// String is one line of key=value pairs.
func (v Verification) String() string {
	return fmt.Sprintf("calls=%d ok=%d doubled=%d cut=%d foreign=%d not_run_executed=%d unexecuted=%d shed=%d stray=%d",
		v.Calls, v.OK, v.Duplicated, v.Truncated, v.Foreign, v.NotRunExecuted, v.Unexecuted, v.Shed, v.Stray)
}

// Clean reports whether no guarantee was violated. Stray executions are not violations: other callers may have used the
// backend servers.
func (v Verification) Clean() bool {
	return v.Duplicated == 0 && v.Truncated == 0 && v.Foreign == 0 && v.NotRunExecuted == 0 && v.Unexecuted == 0
}

// Verify joins records with executions, which counts for each request id how often backend servers began to execute it.
// Add up the counts of all backend servers, and take them only after every call has ended everywhere: a call with
// outcome "unknown" may still be running.
func Verify(records []Record, executions map[string]int) Verification {
	v := Verification{Calls: len(records)}
	known := make(map[string]bool, len(records))
	for i := range records {
		v.add(&records[i], executions, known)
	}
	for id := range executions {
		if !known[id] {
			v.Stray++
		}
	}
	return v
}

func (v *Verification) add(r *Record, executions map[string]int, known map[string]bool) {
	total := 0
	for id, refused := range idsOf(r) {
		known[id] = true
		total += executions[id]
		if refused && executions[id] > 0 {
			v.NotRunExecuted++
		}
	}
	if !r.Idempotent && total > 1 {
		v.Duplicated++
	}
	if r.Outcome != callctx.Answered {
		return
	}
	switch {
	case r.Truncated:
		v.Truncated++
	case r.Foreign:
		v.Foreign++
	default:
		v.OK++
	}
	if executions[r.ID] == 0 {
		v.countUnexecuted(r)
	}
}

// idsOf returns the ids of a call and whether the last word on each was "not-run". A request that was not sent says
// nothing about earlier attempts of its id.
func idsOf(r *Record) map[string]bool {
	ids := make(map[string]bool, 1)
	for _, send := range r.Sends {
		if send.NotSent {
			if _, seen := ids[send.RequestID]; seen {
				continue
			}
		}
		ids[send.RequestID] = send.Outcome == callctx.NotRun
	}
	if r.ID != "" {
		ids[r.ID] = r.Outcome == callctx.NotRun
	}
	return ids
}

// maxRecordBytes limits one line of a record file.
const maxRecordBytes = 1 << 20

// ReadRecords reads what Run wrote to Options.Output. Errors are of kind apierror.Invalid.
func ReadRecords(in io.Reader) ([]Record, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxRecordBytes)
	var records []Record
	for line := 1; scanner.Scan(); line++ {
		var r Record
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, apierror.InvalidField(fmt.Sprintf("line %d", line), err.Error(), "pass a file that the load generator wrote")
		}
		records = append(records, r)
	}
	if err := scanner.Err(); err != nil {
		return nil, apierror.InvalidField("records", err.Error(), "pass a file that the load generator wrote")
	}
	return records, nil
}

// countUnexecuted tells a backend server's own refusal, which it gives without executing, from an answer out of nowhere.
func (v *Verification) countUnexecuted(r *Record) {
	if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
		v.Shed++
		return
	}
	v.Unexecuted++
}
