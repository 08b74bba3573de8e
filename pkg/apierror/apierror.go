// Package apierror defines the typed errors that laburnumcleat returns to operators, callers and other nodes.
//
// Every error has a kind that programs can switch on and a remedy that tells a person what to do next.
package apierror

import (
	"errors"
	"net/http"
	"strings"
)

// Kind classifies an error. The string values are part of the HTTP and RPC interfaces.
type Kind string

// The kinds of errors.
const (
	Invalid         Kind = "invalid"         // the input is wrong; sending it again cannot succeed
	Conflict        Kind = "conflict"        // the input was based on a state that has changed
	NotFound        Kind = "not_found"       // the named entity does not exist
	Unavailable     Kind = "unavailable"     // nothing was changed; sending it again may succeed
	Unknown         Kind = "unknown"         // the change may or may not have taken effect
	Unauthenticated Kind = "unauthenticated" // no valid credentials
	Forbidden       Kind = "forbidden"       // the credentials do not allow this
	TooLarge        Kind = "too_large"       // a size limit was exceeded
	Overloaded      Kind = "overloaded"      // refused to protect the server; retry after the stated time
	Internal        Kind = "internal"        // a bug or an internal failure in laburnumcleat
)

// Error is an error with a kind, the invalid field if any, and a remedy.
type Error struct {
	Kind    Kind   `json:"kind"`
	Field   string `json:"field,omitempty"` // path of the invalid field, e.g. "routes[2].service"
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// New returns an Error without a field.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// InvalidField returns an Error of kind Invalid for the named field.
func InvalidField(field, message, remedy string) *Error {
	return &Error{Kind: Invalid, Field: field, Message: message, Remedy: remedy}
}

// Error implements error: "field: message; remedy".
func (e *Error) Error() string {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// List is several errors found in one input, reported together.
type List []*Error

// Error implements error with one line per entry.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// KindOf returns the kind of err, or Internal if err carries none. The kind of a List is that of its first entry.
func KindOf(err error) Kind {
	var single *Error
	if errors.As(err, &single) {
		return single.Kind
	}
	var list List
	if errors.As(err, &list) && len(list) > 0 {
		return list[0].Kind
	}
	return Internal
}

// HTTPStatus maps a kind to the HTTP status of the operators' interface.
func HTTPStatus(kind Kind) int {
	switch kind {
	case Invalid:
		return http.StatusUnprocessableEntity
	case Conflict:
		return http.StatusConflict
	case NotFound:
		return http.StatusNotFound
	case Unavailable, Overloaded:
		return http.StatusServiceUnavailable
	case Unknown:
		return http.StatusGatewayTimeout
	case Unauthenticated:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusInternalServerError
	}
}
