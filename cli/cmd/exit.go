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
	ExitFailure     = 1 // any failure without a code of its own
	ExitUsage       = 2 // wrong flags or arguments; nothing was sent
	ExitInvalid     = 3 // the content is invalid; nothing was changed
	ExitConflict    = 4 // another change was first; nothing was changed
	ExitNotFound    = 5
	ExitDenied      = 6 // no valid token, or its role does not allow this
	ExitUnavailable = 7 // no node could do it; nothing was changed
	ExitUnknown     = 8 // the change may have taken effect; repeat with the same record id
	ExitTimeout     = 9 // --wait ended before the change had spread
)

const exitCodeHelp = `
  Exit codes:
    0 done, 1 other failure, 2 wrong usage, 3 invalid content, 4 conflict, 5 not found, 6 denied,
    7 unavailable (nothing changed), 8 outcome unknown (repeat with the same record id),
    9 not spread within --wait`

// Kinds of errors that arise only on the command line.
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

// errReported ends a verb whose output already tells the failure.
type errReported struct{ kind apierror.Kind }

func (e errReported) Error() string { return string(e.kind) }

// fail prints an error, as JSON with --output json, and returns the exit code.
func (s *session) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	var reported errReported
	if errors.As(err, &reported) {
		return exitCode(reported.kind)
	}
	list := asList(err)
	if errors.Is(err, operator.ErrNoAddress) {
		list = apierror.List{usage("api", operator.ErrNoAddress.Message, operator.ErrNoAddress.Remedy)}
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

func asList(err error) apierror.List {
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
