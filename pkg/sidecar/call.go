package sidecar

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// Headers holds the canonical names of the header fields that callers and backend servers use. The platform adapter sets them.
type Headers struct {
	RequestID        string // identifies one client attempt; echoed by backend servers
	DeadlineMS       string // time the sender is willing to wait, in milliseconds
	Signature        string // set on responses that the backend server itself produced
	ExpectedInstance string // ID of the only instance that may execute the request
	NotExecuted      string // response header: the request was not executed
	Instance         string // response header: ID of the instance
	Caller           string // service of the VM where the request originated
	Key              string // request header with the caller's key; not forwarded if the configuration has teams
	Team             string // name of the caller's team; set by nodes only
	Challenge        string // value of WWW-Authenticate in a refusal of a request without a valid key
}

// Header fields between nodes.
const (
	headerCall  = "Mesh-Call"
	headerReply = "Mesh-Reply"
)

// call is the metadata that the outbound node sends to the inbound node along with a request.
type call struct {
	service           string
	class             string // route name; calls of one class have similar service times
	caller            string // service of the VM where the request originated
	node              string // ID of the intended inbound node
	rank              int
	idempotent        bool
	callerRetry       bool          // the caller is retrying after a refusal
	retry             bool          // a backend server has received the call before
	noQueue           bool          // reject the call instead of queueing it if no slot is free
	targetRemaining   time.Duration // time until the call counts as late; may be negative
	deadlineRemaining time.Duration
	mayBeLate         bool // no node can send the response in time; send it when the link has time for late ones

	// Values in the extension of the header, which nodes may leave out.
	lastNode   bool          // if the node refuses the call for lack of capacity, no other is asked
	maxWait    time.Duration // in the queue; 0: not limited
	parentRank int           // most urgent rank that the calling backend server runs, if the call is nested; admission.Nested: unknown

	// Values that are not encoded.
	fingerprint   *quarantine.Fingerprint // of the request, once it was needed
	inWard        bool                    // no other suspect runs at the instance meanwhile
	sentAsSuspect bool                    // it was known as a suspect when it was sent to the backend server
}

const fieldSeparator = ";"

// encode returns the call as a header value. Names are query-escaped.
func (c *call) encode() string {
	return strings.Join([]string{
		url.QueryEscape(c.service), url.QueryEscape(c.class), url.QueryEscape(c.caller), url.QueryEscape(c.node),
		strconv.Itoa(c.rank), formatBool(c.idempotent), formatBool(c.callerRetry), formatBool(c.retry), formatBool(c.noQueue),
		strconv.FormatInt(c.targetRemaining.Milliseconds(), 10), strconv.FormatInt(c.deadlineRemaining.Milliseconds(), 10),
	}, fieldSeparator)
}

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// callFields is the number of fields of an encoded call.
const callFields = 11

func decodeCall(text string) (*call, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != callFields {
		return nil, apierror.InvalidField(headerCall, "does not have 11 fields", "run the same version on all nodes")
	}
	names := [4]string{}
	for i := range names {
		name, err := url.QueryUnescape(fields[i])
		if err != nil {
			return nil, apierror.InvalidField(headerCall, err.Error(), "run the same version on all nodes")
		}
		names[i] = name
	}
	numbers := [7]int64{}
	for i := range numbers {
		n, err := strconv.ParseInt(fields[4+i], 10, 32)
		if err != nil {
			return nil, apierror.InvalidField(headerCall, err.Error(), "run the same version on all nodes")
		}
		numbers[i] = n
	}
	return &call{
		service: names[0], class: names[1], caller: names[2], node: names[3],
		rank: int(numbers[0]), idempotent: numbers[1] == 1, callerRetry: numbers[2] == 1, retry: numbers[3] == 1, noQueue: numbers[4] == 1,
		targetRemaining: time.Duration(numbers[5]) * time.Millisecond, deadlineRemaining: time.Duration(numbers[6]) * time.Millisecond,
	}, nil
}

// Names of optional values in the extension.
const (
	extensionMayBeLate   = "late"
	extensionLinkBacklog = "link" // milliseconds
	extensionLastNode    = "last-node"
	extensionParentRank  = "parent-rank"
	extensionMaxWaitMS   = "max-wait-ms"
)

// extension returns the optional values of the call.
func (c *call) extension() url.Values {
	values := url.Values{}
	if c.mayBeLate {
		values.Set(extensionMayBeLate, formatBool(true))
	}
	if c.lastNode {
		values.Set(extensionLastNode, formatBool(true))
	}
	if c.maxWait > 0 {
		values.Set(extensionMaxWaitMS, strconv.FormatInt(c.maxWait.Milliseconds(), 10))
	}
	if c.parentRank >= 0 {
		values.Set(extensionParentRank, strconv.Itoa(c.parentRank))
	}
	return values
}

// readExtension reads the optional values of the call.
func (c *call) readExtension(values url.Values) {
	c.mayBeLate = values.Get(extensionMayBeLate) == formatBool(true)
	c.lastNode = values.Get(extensionLastNode) == formatBool(true)
	rank, err := strconv.Atoi(values.Get(extensionParentRank))
	if err != nil || rank < 0 {
		rank = admission.Nested
	}
	c.parentRank = rank
	if ms, err := strconv.ParseInt(values.Get(extensionMaxWaitMS), 10, 32); err == nil && ms > 0 {
		c.maxWait = time.Duration(ms) * time.Millisecond
	}
}

// verdict is the execution outcome of a call at the inbound node.
type verdict string

const (
	verdictAnswered verdict = "answered" // the backend server produced the response
	verdictNotRun   verdict = "not-run"  // the request was not executed and will not be
	verdictUnknown  verdict = "unknown"  // the request may have been executed or may still be running
)

// reason explains a verdict other than verdictAnswered.
type reason string

const (
	reasonBusy                reason = "busy"          // no free slot, and the call may not queue
	reasonFull                reason = "full"          // no slot becomes free in time
	reasonHoldsUpOthers       reason = "holds_up"      // more urgent requests behind it on the caller's connection would wait too long for its response
	reasonServiceFull         reason = "service_full"  // other calls of the class were refused by all endpoints lately
	reasonBackendLimit        reason = "backend_limit" // the backend server takes no more requests in time at the rate that it named
	reasonLinkFull            reason = "link_full"     // long responses already queued for the VM's link would make this one late
	reasonCallsNoRoom         reason = "calls_no_room" // calls that the backend server makes for such calls are refused for lack of room
	reasonDeadlineUnreachable reason = "deadline_unreachable"
	reasonDraining            reason = "draining"
	reasonNoBackend           reason = "no_backend"    // no backend server has announced itself
	reasonOtherService        reason = "other_service" // the backend server belongs to another service
	reasonOtherNode           reason = "other_node"    // another node now uses the address
	reasonStopping            reason = "stopping"      // the node is shutting down
	reasonUnreachable         reason = "backend_unreachable"
	reasonBackendShed         reason = "backend_shed"    // the backend server rejected the request without executing it
	reasonBackendFailed       reason = "backend_failed"  // the backend server answered with an error of its own
	reasonVersionHeld         reason = "version_held"    // a roll-out allows the backend server's version no further request
	reasonRequestBlocked      reason = "request_blocked" // backend servers that ran the request crashed
	reasonSuspectWaits        reason = "suspect_waits"   // the request was running when a backend server crashed, and another such request runs
	reasonOtherInstance       reason = "other_instance"  // another instance now uses the backend server's address
	reasonDeadline            reason = "deadline"
	reasonCancelled           reason = "cancelled" // the caller disconnected
	reasonConnectionLost      reason = "connection_lost"
	reasonMalformedResponse   reason = "response_garbled"
	reasonInvalidStatus       reason = "response_status" // not between 100 and 599, or a second interim response
	reasonTruncatedResponse   reason = "response_truncated"
	reasonBodyFailed          reason = "body_failed" // the request body could not be read to its end
	reasonUnsignedResponse    reason = "response_unsigned"
	reasonNoEndpoint          reason = "no_endpoint"
	reasonNotReady            reason = "no_configuration"
	reasonRetryBudget         reason = "retry_budget"
	reasonNodeLost            reason = "node_lost" // the exchange with the inbound node failed
	reasonUnknownRoute        reason = "unknown_route"
	reasonBodyTooLarge        reason = "body_too_large"
	reasonHeaderTooLarge      reason = "header_too_large"
	reasonBodyTimeout         reason = "body_timeout"
	reasonBadRequest          reason = "bad_request"
	reasonTeamLimit           reason = "team_limit"  // the team has used up its limit
	reasonKeyMissing          reason = "key_missing" // the route is not public, and the request presents no key
	reasonKeyUnknown          reason = "key_unknown" // no team holds the key
	reasonBehind              reason = "behind"      // a later configuration, which another node has, may have the route or the key
)

// failureReason maps a failed exchange to a reason. It returns fallback if the connection was lost or could not be established.
func failureReason(f *hop.Failure, fallback reason) reason {
	switch f.Cause {
	case hop.Cancelled:
		return reasonCancelled
	case hop.DeadlineExceeded:
		return reasonDeadline
	case hop.InvalidResponse:
		return reasonMalformedResponse
	case hop.InvalidStatus:
		return reasonInvalidStatus
	case hop.Truncated:
		return reasonTruncatedResponse
	case hop.RequestBodyFailed:
		return reasonBodyFailed
	}
	return fallback
}

// failureVerdict returns the verdict of a failed exchange: verdictNotRun only if provably nothing was sent.
func failureVerdict(f *hop.Failure) verdict {
	if f.Sent {
		return verdictUnknown
	}
	return verdictNotRun
}

// callReply is the metadata that the inbound node returns along with the response.
type callReply struct {
	verdict    verdict
	reason     reason
	nested     bool          // a backend server makes the call while it serves another call
	arrived    bool          // the request was sent to the backend server; true even if the backend server rejected it
	retryAfter time.Duration // 0: unknown
	load       placement.Load
	hasLoad    bool
}

// percent scales fractions, which are encoded as whole percentages.
const percent = 100

// encode returns the reply as a header value.
func (r *callReply) encode() string {
	fields := []string{
		string(r.verdict), string(r.reason), formatBool(r.nested), formatBool(r.arrived), strconv.FormatInt(r.retryAfter.Milliseconds(), 10),
	}
	if r.hasLoad {
		fields = append(fields, strconv.Itoa(r.load.Running), strconv.Itoa(r.load.Queued), strconv.Itoa(r.load.Limit),
			strconv.FormatInt(r.load.SlotTime.Milliseconds(), 10), strconv.FormatInt(r.load.ClassTime.Milliseconds(), 10),
			strconv.FormatInt(r.load.ClassSpread.Milliseconds(), 10), strconv.Itoa(int(r.load.Answered*percent)),
			strconv.Itoa(int(r.load.Slowness*percent)))
	}
	return strings.Join(fields, fieldSeparator)
}

// minToldBacklog is the shortest backlog of a link that is told. A few short responses cause shorter ones, which do not matter for a choice.
const minToldBacklog = 10 * time.Millisecond

// extension returns the optional values of the reply, or nil.
func (r *callReply) extension() url.Values {
	if r.load.LinkBacklog < minToldBacklog {
		return nil
	}
	return url.Values{extensionLinkBacklog: {strconv.FormatInt(r.load.LinkBacklog.Milliseconds(), 10)}}
}

// readExtension reads the optional values of a reply. A value that is not readable counts as absent.
func (r *callReply) readExtension(values url.Values) {
	if ms, err := strconv.ParseInt(values.Get(extensionLinkBacklog), 10, 32); err == nil {
		r.load.LinkBacklog = max(0, time.Duration(ms)*time.Millisecond)
	}
}

// Number of fields of an encoded reply, without and with load.
const (
	replyFields     = 5
	replyLoadFields = 13
)

// decodeReply decodes a reply. It reports false if the header field is missing or malformed, so that the response is not from a node.
func decodeReply(header http.Header) (*callReply, bool) {
	fields := strings.Split(header.Get(headerReply), fieldSeparator)
	if len(fields) != replyFields && len(fields) != replyLoadFields {
		return nil, false
	}
	r := &callReply{verdict: verdict(fields[0]), reason: reason(fields[1]), nested: fields[2] == "1", arrived: fields[3] == "1"}
	if r.verdict != verdictAnswered && r.verdict != verdictNotRun && r.verdict != verdictUnknown {
		return nil, false
	}
	numbers := make([]int, 0, replyLoadFields)
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
		r.readExtension(extensionOf(header))
	}
	return r, true
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", headerCall, headerReply, headerExtension,
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	out := make(http.Header, len(header)+2)
	for name, values := range header {
		out[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
