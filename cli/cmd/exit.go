package cmd

import (
	"errors"
	"fmt"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

// Exit codes of laburnumctl.
const (
	ExitOK          = 0
	ExitFailure     = 1 // any failure without a specific code
	ExitUsage       = 2 // invalid flags or arguments; nothing was sent
	ExitInvalid     = 3 // the content is invalid; nothing was changed
	ExitConflict    = 4 // a concurrent change was accepted first; nothing was changed
	ExitNotFound    = 5
	ExitDenied      = 6 // the token is missing or invalid, or lacks the required role
	ExitUnavailable = 7 // no node could serve the request; nothing was changed
	ExitUnknown     = 8 // the change may have taken effect; retry with the same record id
	ExitTimeout     = 9 // --wait timed out before the change or drain was complete
)

const exitCodeHelp = `
  Exit codes:
    0 success, 1 other failure, 2 invalid usage, 3 invalid content, 4 conflict, 5 not found, 6 denied,
    7 unavailable (nothing changed), 8 outcome unknown (retry with the same record id),
    9 --wait timed out`

// Error kinds that occur only in the command line client.
const (
	usageKind   apierror.Kind = "usage"
	timeoutKind apierror.Kind = "timeout"
)

func exitCode(kind apierror.Kind) int {
	switch kind {
	case usageKind:
		return ExitUsage
	case timeoutKind:
		return ExitTimeout
	case apierror.Invalid, apierror.TooLarge:
		return ExitInvalid
	case apierror.Conflict:
		return ExitConflict
	case apierror.NotFound:
		return ExitNotFound
	case apierror.Unauthenticated, apierror.Forbidden:
		return ExitDenied
	case apierror.Unavailable, apierror.Overloaded:
		return ExitUnavailable
	case apierror.Unknown:
		return ExitUnknown
	default:
		return ExitFailure
	}
}

// reportedError is returned by a verb that has already printed the failure. It only determines the exit code.
type reportedError struct{ kind apierror.Kind }

func (e reportedError) Error() string { return string(e.kind) }

// reportError prints the error, as JSON with --output json, and returns the exit code. A nil error is success.
func (s *session) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var reported reportedError
	if errors.As(err, &reported) {
		return exitCode(reported.kind)
	}
	list := errorList(err)
	if errors.Is(err, operator.ErrNoAddress) {
		list = apierror.List{usageError("api", operator.ErrNoAddress.Message, operator.ErrNoAddress.Remedy)}
	}
	if s.json() {
		if err := s.print(operator.ErrorBody{Errors: list}, nil); err != nil {
			return ExitFailure
		}
		return exitCode(list[0].Kind)
	}
	for _, e := range list {
		fmt.Fprintf(s.stderr, "laburnumctl: %s\n", e.Error())
	}
	return exitCode(list[0].Kind)
}

func errorList(err error) apierror.List {
	var list apierror.List
	if errors.As(err, &list) && len(list) > 0 {
		return list
	}
	var single *apierror.Error
	if errors.As(err, &single) {
		return apierror.List{single}
	}
	return apierror.List{apierror.New(apierror.Internal, err.Error(), "")}
}
