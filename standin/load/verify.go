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

// Verification counts the violations of docs/guarantees.md, G4, G5 and G6, in a run: a call of a non-idempotent route is
// executed at most once, a response is complete and belongs to its request, and a call reported as "not-run" was not executed.
type Verification struct {
	Calls          int `json:"calls"`
	OK             int `json:"ok"`               // answered with the complete response to this request
	Duplicated     int `json:"doubled"`          // calls of a non-idempotent route with more than one execution over all ids
	Truncated      int `json:"cut"`              // answered with an incomplete response
	Foreign        int `json:"foreign"`          // answered with the response to another request
	NotRunExecuted int `json:"not_run_executed"` // ids with outcome "not-run" that were executed
	Unexecuted     int `json:"unexecuted"`       // answered ids that no backend server executed, except Shed
	Shed           int `json:"shed"`             // answered ids that the backend server rejected with 503 or 429 without executing them
	Stray          int `json:"stray"`            // executed ids that occur in no record
}

// String returns one line of key=value pairs.
func (v Verification) String() string {
	return fmt.Sprintf("calls=%d ok=%d doubled=%d cut=%d foreign=%d not_run_executed=%d unexecuted=%d shed=%d stray=%d",
		v.Calls, v.OK, v.Duplicated, v.Truncated, v.Foreign, v.NotRunExecuted, v.Unexecuted, v.Shed, v.Stray)
}

// Clean reports whether no guarantee was violated. Stray executions are not violations, because other callers may use the
// same backend servers.
func (v Verification) Clean() bool {
	return v.Duplicated == 0 && v.Truncated == 0 && v.Foreign == 0 && v.NotRunExecuted == 0 && v.Unexecuted == 0
}

// Verify compares records with executions, which maps each request id to the number of executions that were started,
// summed over all backend servers. The counts must be taken after all calls have ended on the backend servers as well: a
// call with outcome "unknown" may still be running there.
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
	for id, refused := range requestIDs(r) {
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

// requestIDs returns the request ids of a call and whether the last outcome of each was "not-run". An attempt that was not
// sent does not change the outcome of earlier attempts with the same id.
func requestIDs(r *Record) map[string]bool {
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

// maxRecordBytes is the maximum length of a line in a record file.
const maxRecordBytes = 1 << 20

// ReadRecords reads the records that Run wrote to Options.Output. Errors are of kind apierror.Invalid.
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

// countUnexecuted counts an answered id without an execution. Status 503 or 429 means that the backend server rejected the
// request without executing it, which is no violation.
func (v *Verification) countUnexecuted(r *Record) {
	if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
		v.Shed++
		return
	}
	v.Unexecuted++
}
