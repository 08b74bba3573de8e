// Package callctx defines what travels with a call: request ids, call headers, outcomes, refusal reasons and the signed
// call context.
package callctx

import (
	"net/http"
	"time"
)

// Headers on requests, on any hop.
const (
	HeaderRequestID = "Laburnum-Request-Id" // UUIDv7
	HeaderAttempt   = "Laburnum-Attempt"    // 1 for the first attempt of an id
	HeaderTimeoutMS = "Laburnum-Timeout-Ms" // remaining time for the call, in milliseconds
	HeaderContext   = "Laburnum-Context"    // signed Context
)

// Headers on requests between nodes.
const (
	HeaderService     = "Laburnum-Service"     // service that the route selected
	HeaderIncarnation = "Laburnum-Incarnation" // incarnation of the addressed inbound node, decimal Unix ms
	HeaderIdempotent  = "Laburnum-Idempotent"  // "true" or "false"
	HeaderBallot      = "Laburnum-Ballot"      // text form of execution.Ballot, on resends only
)

// Headers on responses.
const (
	HeaderOutcome    = "Laburnum-Outcome"
	HeaderReason     = "Laburnum-Reason"
	HeaderNode       = "Laburnum-Node"     // member id of the inbound node
	HeaderLoad       = "Laburnum-Load"     // text form of Load
	HeaderNoRetry    = "Laburnum-No-Retry" // "true": callers earlier in the chain must not retry
	HeaderRetryAfter = "Retry-After"       // seconds, at least 1
)

// Limits of calls.
const (
	MaxDepth = 10 // a call from a client has depth 1; a call deeper than this is refused

	// MaxClockSkew is the assumed bound of the clock error between nodes and the log service.
	MaxClockSkew = 2 * time.Second
	// MaxFirstAttemptAge is the age at which an id is too old for attempt 1.
	MaxFirstAttemptAge = 30 * time.Second
	// ExecutionEntryTTL is how long an inbound node keeps the entry of a request id.
	ExecutionEntryTTL = 10 * time.Minute
	// MaxBufferedResponse is the largest response, in bytes, that is checked before its first byte is sent on.
	MaxBufferedResponse = 1 << 20

	// ConnectionIdleTimeout is how long callers keep an idle connection to a node. It is shorter than DrainLinger, so
	// that no request is sent on a connection which a stopping node is about to close.
	ConnectionIdleTimeout = 4 * time.Second
	// DrainLinger is how long a stopping node goes on answering "not run".
	DrainLinger = 5 * time.Second
)

// Outcome states what became of a call. The values are part of the HTTP interface.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered" // the complete response of the backend server
	NotRun   Outcome = "not-run"  // no backend server was handed this request id and none will be
	Unknown  Outcome = "unknown"  // the request may have run
)

// Reason states why a call was not answered. The values are part of the HTTP interface.
type Reason string

// Reasons with outcome NotRun.
const (
	UnknownRoute           Reason = "unknown_route"
	UnknownService         Reason = "unknown_service"      // this node has no backend server of the service
	NotReady               Reason = "not_ready"            // the node has no configuration yet
	RankOverShare          Reason = "rank_over_share"      // the queue of the rank is full
	Overloaded             Reason = "overloaded"           // the backend server shed the call, or the node has no room
	Draining               Reason = "draining"             // the node or its backend server is leaving
	NoEndpoint             Reason = "no_endpoint"          // no backend server of the service is known
	BackendUnreachable     Reason = "backend_unreachable"  // no connection to the backend server could be made
	DeadlineUnreachable    Reason = "deadline_unreachable" // the call cannot finish within its deadline
	DeadlineExpired        Reason = "deadline_expired"     // the deadline had passed before the call was forwarded
	CancelledBeforeForward Reason = "cancelled_before_forward"
	BadRequest             Reason = "bad_request"
	BodyTooLarge           Reason = "body_too_large"
	TooDeep                Reason = "too_deep"             // deeper than MaxDepth
	RetryBudget            Reason = "retry_budget"         // refused elsewhere, and the retry budget is exhausted
	WrongIncarnation       Reason = "wrong_incarnation"    // the call names another incarnation of the node
	PresenceUnconfirmed    Reason = "presence_unconfirmed" // the presence record of the node is not acknowledged yet
	IDBeforePresence       Reason = "id_before_presence"   // the id may stem from before the node's presence record
	IDTooOld               Reason = "id_too_old"           // older than MaxFirstAttemptAge
	IDInFuture             Reason = "id_in_future"         // more than MaxClockSkew ahead of the clock
	PresenceExpiring       Reason = "presence_expiring"    // the presence record could expire before the entry does
	TableFull              Reason = "table_full"           // the node cannot remember another request id
)

// Reasons with outcome Unknown.
const (
	AlreadyRunning     Reason = "already_running"     // an earlier attempt of this id is running
	AlreadyDone        Reason = "already_done"        // an earlier attempt finished and its response was not kept
	Fenced             Reason = "fenced"              // the id is being resolved by a resend
	Superseded         Reason = "superseded"          // another resend of this id has a higher ballot
	Unresolved         Reason = "unresolved"          // a node that could have run the id does not answer
	ConnectionLost     Reason = "connection_lost"     // lost after the call may have been forwarded
	ResponseTruncated  Reason = "response_truncated"  // the response ended early
	ResponseUnchecked  Reason = "response_unchecked"  // the response has no length and cannot be checked
	ResponseMismatch   Reason = "response_mismatch"   // the response belongs to another request id
	DeadlineInBackend  Reason = "deadline_in_backend" // the deadline passed while the backend server worked
	CancelledInBackend Reason = "cancelled_in_backend"
)

// Status returns the HTTP status that goes with an outcome and reason of a node. It does not apply to Answered.
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
