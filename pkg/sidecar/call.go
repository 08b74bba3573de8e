package sidecar

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
)

// Headers names the header fields that callers and backend servers use, in canonical form. A platform's adapter sets them.
type Headers struct {
	RequestID        string // of one attempt of a client; echoed by backend servers
	DeadlineMS       string // milliseconds that the sender will wait
	Signature        string // of a backend server's own response
	ExpectedInstance string // id of the only instance that may run the request
	NotExecuted      string // in a response: the request has not run
	Instance         string // in a response: id of the instance
	Caller           string // service of the machine where the request began
}

// Header fields between nodes.
const (
	headerCall  = "Mesh-Call"
	headerReply = "Mesh-Reply"
)

// call is what the outbound node tells the inbound node about a request, beside the request itself.
type call struct {
	service      string
	class        string // route; calls of one class have similar service times
	caller       string // service of the machine where the request began
	node         string // id of the node that is to take it
	rank         int
	idempotent   bool
	returned     bool          // the caller comes back after a refusal
	freeOnly     bool          // it is not to wait for a slot
	targetLeft   time.Duration // until it counts as late; may be negative
	deadlineLeft time.Duration
}

const fieldSeparator = ";"

// encode writes the call as one header value. Names are escaped.
func (c *call) encode() string {
	return strings.Join([]string{
		url.QueryEscape(c.service), url.QueryEscape(c.class), url.QueryEscape(c.caller), url.QueryEscape(c.node),
		strconv.Itoa(c.rank), formatBool(c.idempotent), formatBool(c.returned), formatBool(c.freeOnly),
		strconv.FormatInt(c.targetLeft.Milliseconds(), 10), strconv.FormatInt(c.deadlineLeft.Milliseconds(), 10),
	}, fieldSeparator)
}

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// callFields is the number of fields of an encoded call.
const callFields = 10

func decodeCall(text string) (*call, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != callFields {
		return nil, apierror.InvalidField(headerCall, "does not have 10 fields", "run the same version on all nodes")
	}
	names := [4]string{}
	for i := range names {
		name, err := url.QueryUnescape(fields[i])
		if err != nil {
			return nil, apierror.InvalidField(headerCall, err.Error(), "run the same version on all nodes")
		}
		names[i] = name
	}
	numbers := [6]int64{}
	for i := range numbers {
		n, err := strconv.ParseInt(fields[4+i], 10, 32)
		if err != nil {
			return nil, apierror.InvalidField(headerCall, err.Error(), "run the same version on all nodes")
		}
		numbers[i] = n
	}
	return &call{
		service: names[0], class: names[1], caller: names[2], node: names[3],
		rank: int(numbers[0]), idempotent: numbers[1] == 1, returned: numbers[2] == 1, freeOnly: numbers[3] == 1,
		targetLeft: time.Duration(numbers[4]) * time.Millisecond, deadlineLeft: time.Duration(numbers[5]) * time.Millisecond,
	}, nil
}

// verdict says what became of a call at the inbound node.
type verdict string

const (
	answered verdict = "answered" // the response is the backend server's own
	notRun   verdict = "not-run"  // it has not run and will not run
	unknown  verdict = "unknown"  // it may have run, or may still be running
)

// reason explains a verdict other than answered.
type reason string

const (
	reasonBusy        reason = "busy"      // no slot free, and the call does not wait there
	reasonFull        reason = "full"      // no slot in time
	reasonLink        reason = "link_full" // other long answers go before on the machine's link
	reasonHopeless    reason = "deadline_unreachable"
	reasonDraining    reason = "draining"
	reasonNoBackend   reason = "no_backend"    // no backend server is known
	reasonService     reason = "other_service" // the backend server belongs to another service
	reasonNode        reason = "other_node"    // another node has taken over the address
	reasonStopping    reason = "stopping"      // the node stops
	reasonUnreachable reason = "backend_unreachable"
	reasonShed        reason = "backend_shed"   // the backend server refused it
	reasonInstance    reason = "other_instance" // another instance has the address of the backend server
	reasonDeadline    reason = "deadline"
	reasonCancelled   reason = "cancelled" // the caller has left
	reasonLost        reason = "connection_lost"
	reasonGarbled     reason = "response_garbled"
	reasonTruncated   reason = "response_truncated"
	reasonBody        reason = "body_failed" // the rest of the caller's body did not arrive
	reasonUnsigned    reason = "response_unsigned"
	reasonNoEndpoint  reason = "no_endpoint"
	reasonNotReady    reason = "no_configuration"
	reasonBudget      reason = "retry_budget"
	reasonNodeLost    reason = "node_lost" // the inbound node did not answer
	reasonNoRoute     reason = "unknown_route"
	reasonBodySize    reason = "body_too_large"
	reasonHeaderSize  reason = "header_too_large"
	reasonBodySlow    reason = "body_timeout"
	reasonBadRequest  reason = "bad_request"
)

// reasonOf names the cause of a failed exchange. otherwise stands for a connection that was lost or could not be made.
func reasonOf(f *hop.Failure, otherwise reason) reason {
	switch f.Cause {
	case hop.Cancelled:
		return reasonCancelled
	case hop.Deadline:
		return reasonDeadline
	case hop.Garbled:
		return reasonGarbled
	case hop.Truncated:
		return reasonTruncated
	case hop.BodyFailed:
		return reasonBody
	}
	return otherwise
}

// verdictOf a failed exchange: it has not run if provably nothing was sent.
func verdictOf(f *hop.Failure) verdict {
	if f.Sent {
		return unknown
	}
	return notRun
}

// ruling is the result of a call at the inbound node, without the response itself.
type ruling struct {
	verdict    verdict
	reason     reason
	inner      bool          // the call is made on behalf of admitted work
	arrived    bool          // the request was handed to the backend server, which counts as an arrival even if it refused
	retryAfter time.Duration // 0: unknown
	load       placement.Load
	hasLoad    bool
}

// percent is the unit in which parts of 1 are written.
const percent = 100

// encode writes the ruling as one header value.
func (r *ruling) encode() string {
	fields := []string{
		string(r.verdict), string(r.reason), formatBool(r.inner), formatBool(r.arrived), strconv.FormatInt(r.retryAfter.Milliseconds(), 10),
	}
	if r.hasLoad {
		fields = append(fields, strconv.Itoa(r.load.Running), strconv.Itoa(r.load.Queued), strconv.Itoa(r.load.Limit),
			strconv.FormatInt(r.load.SlotTime.Milliseconds(), 10), strconv.FormatInt(r.load.ClassTime.Milliseconds(), 10),
			strconv.FormatInt(r.load.ClassSpread.Milliseconds(), 10), strconv.Itoa(int(r.load.Answered*percent)),
			strconv.Itoa(int(r.load.Slowness*percent)))
	}
	return strings.Join(fields, fieldSeparator)
}

// Numbers of fields of an encoded ruling, without and with a load.
const (
	rulingFields     = 5
	rulingLoadFields = 13
)

// decodeRuling reads a ruling. It reports false if the header is not one: the response is then not that of a node.
func decodeRuling(header http.Header) (*ruling, bool) {
	fields := strings.Split(header.Get(headerReply), fieldSeparator)
	if len(fields) != rulingFields && len(fields) != rulingLoadFields {
		return nil, false
	}
	r := &ruling{verdict: verdict(fields[0]), reason: reason(fields[1]), inner: fields[2] == "1", arrived: fields[3] == "1"}
	if r.verdict != answered && r.verdict != notRun && r.verdict != unknown {
		return nil, false
	}
	numbers := make([]int, 0, rulingLoadFields)
	for _, field := range fields[4:] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, false
		}
		numbers = append(numbers, n)
	}
	r.retryAfter = time.Duration(numbers[0]) * time.Millisecond
	if r.hasLoad = len(numbers) > 1; r.hasLoad {
		r.load = placement.Load{
			Running: numbers[1], Queued: numbers[2], Limit: numbers[3],
			SlotTime: time.Duration(numbers[4]) * time.Millisecond, ClassTime: time.Duration(numbers[5]) * time.Millisecond,
			ClassSpread: time.Duration(numbers[6]) * time.Millisecond, Answered: float64(numbers[7]) / percent, Slowness: float64(numbers[8]) / percent,
		}
	}
	return r, true
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", headerCall, headerReply,
}

// passedOn returns a copy of the header without what concerns one connection.
func passedOn(header http.Header) http.Header {
	out := make(http.Header, len(header)+2)
	for name, values := range header {
		out[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}
