// Package callctx defines the metadata of a call: request ids, call headers, outcomes, refusal reasons and the signed
// call context.
package callctx

import (
	"net/http"
	"time"
)

// Request headers that are used on every hop.
const (
	HeaderRequestID = "Laburnum-Request-Id" // UUIDv7
	HeaderAttempt   = "Laburnum-Attempt"    // attempt number of the request id, starting at 1
	HeaderTimeoutMS = "Laburnum-Timeout-Ms" // remaining time for the call, in milliseconds
	HeaderContext   = "Laburnum-Context"    // signed Context
)

// Request headers that are used only between nodes.
const (
	HeaderService     = "Laburnum-Service"     // service that the route selected
	HeaderIncarnation = "Laburnum-Incarnation" // incarnation of the addressed inbound node, decimal Unix ms
	HeaderIdempotent  = "Laburnum-Idempotent"  // "true" or "false"
	HeaderBallot      = "Laburnum-Ballot"      // text form of execution.Ballot, on resends only
)

// Response headers.
const (
	HeaderOutcome    = "Laburnum-Outcome"
	HeaderReason     = "Laburnum-Reason"
	HeaderNode       = "Laburnum-Node"     // member id of the inbound node
	HeaderLoad       = "Laburnum-Load"     // text form of Load
	HeaderNoRetry    = "Laburnum-No-Retry" // "true": callers earlier in the chain must not retry
	HeaderRetryAfter = "Retry-After"       // seconds, at least 1
)

// Limits that apply to all calls.
const (
	MaxDepth = 10 // longest accepted call chain; a call from a client has depth 1

	// MaxClockSkew is the assumed maximum clock skew between nodes and the log service.
	MaxClockSkew = 2 * time.Second
	// MaxFirstAttemptAge is the age from which a request id is refused as attempt 1.
	MaxFirstAttemptAge = 30 * time.Second
	// ExecutionEntryTTL is how long an inbound node keeps the execution table entry of a request id.
	ExecutionEntryTTL = 10 * time.Minute
	// MaxBufferedResponse is the largest response, in bytes, that is buffered and verified before it is forwarded. Longer
	// responses are streamed.
	MaxBufferedResponse = 1 << 20

	// ConnectionIdleTimeout is how long callers keep an idle connection to a node. It is shorter than DrainLinger, so
	// that callers do not reuse a connection that a draining node is about to close.
	ConnectionIdleTimeout = 4 * time.Second
	// DrainLinger is how long a draining node keeps refusing calls with NotRun before it closes its sockets.
	DrainLinger = 5 * time.Second
)

// Outcome is the result of a call. The values are part of the HTTP interface.
type Outcome string

// Outcomes of a call.
const (
	Answered Outcome = "answered" // the complete response of the backend server
	NotRun   Outcome = "not-run"  // no backend server has received this request id or will receive it
	Unknown  Outcome = "unknown"  // the request may have run
)

// Reason is the cause of an outcome other than Answered. The values are part of the HTTP interface.
type Reason string

// Reasons with outcome NotRun.
const (
	UnknownRoute           Reason = "unknown_route"
	UnknownService         Reason = "unknown_service"      // this node has no backend server of the service
	NotReady               Reason = "not_ready"            // the node has no configuration yet
	RankOverShare          Reason = "rank_over_share"      // the queue of the rank is full
	Overloaded             Reason = "overloaded"           // the backend server shed the load, or the node is at its limit
	Draining               Reason = "draining"             // the node or its backend server is shutting down
	NoEndpoint             Reason = "no_endpoint"          // no backend server of the service is known
	BackendUnreachable     Reason = "backend_unreachable"  // connecting to the backend server failed
	DeadlineUnreachable    Reason = "deadline_unreachable" // the call cannot finish within its deadline
	DeadlineExpired        Reason = "deadline_expired"     // the deadline had passed before the call was forwarded
	CancelledBeforeForward Reason = "cancelled_before_forward"
	BadRequest             Reason = "bad_request"
	BodyTooLarge           Reason = "body_too_large"
	TooDeep                Reason = "too_deep"             // deeper than MaxDepth
	RetryBudget            Reason = "retry_budget"         // refused by another node, and the retry budget is exhausted
	WrongIncarnation       Reason = "wrong_incarnation"    // the call is addressed to another incarnation of the node
	PresenceUnconfirmed    Reason = "presence_unconfirmed" // the presence record of the node is not acknowledged yet
	IDBeforePresence       Reason = "id_before_presence"   // the id may be older than the node's presence record
	IDTooOld               Reason = "id_too_old"           // older than MaxFirstAttemptAge
	IDInFuture             Reason = "id_in_future"         // more than MaxClockSkew ahead of the clock
	PresenceExpiring       Reason = "presence_expiring"    // the presence record could expire before the execution table entry
	TableFull              Reason = "table_full"           // the execution table of the node is full
)

// Reasons with outcome Unknown.
const (
	AlreadyRunning     Reason = "already_running"     // an earlier attempt of this id is running
	AlreadyDone        Reason = "already_done"        // an earlier attempt finished and its response was not kept
	Fenced             Reason = "fenced"              // the id is being resolved by a resend
	Superseded         Reason = "superseded"          // another resend of this id has a higher ballot
	Unresolved         Reason = "unresolved"          // it could not be determined whether an earlier attempt ran
	ConnectionLost     Reason = "connection_lost"     // the connection broke after the call may have been forwarded
	ResponseTruncated  Reason = "response_truncated"  // the response is shorter than declared
	ResponseUnchecked  Reason = "response_unchecked"  // the response has no length, so that its completeness cannot be verified
	ResponseStatus     Reason = "response_status"     // the status is not between 100 and 599, or a second interim response
	ResponseMismatch   Reason = "response_mismatch"   // the response belongs to another request id
	DeadlineInBackend  Reason = "deadline_in_backend" // the deadline passed after the call may have been forwarded
	CancelledInBackend Reason = "cancelled_in_backend"
)

// Status returns the HTTP status for an outcome and reason set by a node. It does not apply to Answered.
func Status(outcome Outcome, reason Reason) int {
	if outcome == Unknown {
		switch reason {
		case AlreadyRunning, Fenced, Superseded, Unresolved:
			return http.StatusTooEarly
		case DeadlineInBackend, CancelledInBackend:
			return http.StatusGatewayTimeout
		default:
			return http.StatusBadGateway
		}
	}
	switch reason {
	case UnknownRoute:
		return http.StatusNotFound
	case RankOverShare:
		return http.StatusTooManyRequests
	case DeadlineUnreachable, DeadlineExpired:
		return http.StatusGatewayTimeout
	case BadRequest, TooDeep, IDTooOld, IDInFuture:
		return http.StatusBadRequest
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
