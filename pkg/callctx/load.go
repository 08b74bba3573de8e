package callctx

import (
	"fmt"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Load is the load of a backend server as measured by its own node.
type Load struct {
	InFlight int // forwarded calls that have not finished
	Limit    int // current in-flight limit; 0 if the node accepts no calls
	Queued   int // calls waiting in the queues of all ranks
}

// String returns the header value "inflight/limit/queued".
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d", l.InFlight, l.Limit, l.Queued)
}

// ParseLoad parses the header value that String returns. Errors are of kind Invalid.
func ParseLoad(header string) (Load, error) {
	var l Load
	var rest string
	n, _ := fmt.Sscanf(header+" .", "%d/%d/%d %s", &l.InFlight, &l.Limit, &l.Queued, &rest)
	if n != 4 || rest != "." || l.InFlight < 0 || l.Limit < 0 || l.Queued < 0 {
		return Load{}, apierror.InvalidField(HeaderLoad, "malformed", "send inflight/limit/queued")
	}
	return l, nil
}
