package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Bounds of snapshot fields.
const (
	maxTimeoutMS    = 10 * 60 * 1000
	maxQueueLimit   = 10_000
	maxPriority     = 99
	maxPrefixBytes  = 512
	maxRanks        = 32 // each backend server has one queue for each rank
	maxServices     = 2_000
	maxRoutes       = 20_000
	shareRoundError = 1e-9 // rounding of up to maxRanks additions
)

// methods that a route may name. CONNECT and TRACE are not forwarded.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (r *Rank) validate() apierror.List {
	var errs apierror.List
	field := "rank " + shorten(r.Name)
	if !namePattern.MatchString(r.Name) {
		errs = append(errs, apierror.InvalidField(field, "invalid name "+quoted(r.Name), nameRemedy))
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		errs = append(errs, apierror.InvalidField(field+".priority", "out of range", "use 0 (most urgent) to 99"))
	}
	if !(r.MinShare >= 0 && r.MinShare <= 1) {
		errs = append(errs, apierror.InvalidField(field+".min_share", "out of range", "use 0 to 1"))
	}
	if r.TargetMS < 1 || r.TargetMS > maxTimeoutMS {
		errs = append(errs, apierror.InvalidField(field+".target_ms", "out of range", "use 1 to 600000 milliseconds"))
	}
	return errs
}

func (s *Service) validate() apierror.List {
	var errs apierror.List
	field := "service " + shorten(s.Name)
	if !namePattern.MatchString(s.Name) {
		errs = append(errs, apierror.InvalidField(field, "invalid name "+quoted(s.Name), nameRemedy))
	}
	if s.QueueLimit < 1 || s.QueueLimit > maxQueueLimit {
		errs = append(errs, apierror.InvalidField(field+".queue_limit", "out of range", "use 1 to 10000"))
	}
	if s.InitialLimit < 1 || s.InitialLimit > maxQueueLimit {
		errs = append(errs, apierror.InvalidField(field+".initial_limit", "out of range", "use 1 to 10000"))
	}
	return errs
}

func (r *Route) validate() apierror.List {
	var errs apierror.List
	field := "route " + shorten(r.Name)
	if !namePattern.MatchString(r.Name) {
		errs = append(errs, apierror.InvalidField(field, "invalid name "+quoted(r.Name), nameRemedy))
	}
	if problem := prefixProblem(r.PathPrefix); problem != "" {
		errs = append(errs, apierror.InvalidField(field+".path_prefix", problem+": "+quoted(r.PathPrefix), "use a path such as /v1/orders"))
	}
	for i, method := range r.Methods {
		if !slices.Contains(methods, method) {
			errs = append(errs, apierror.InvalidField(field+".methods", "unknown method "+quoted(method), "use "+strings.Join(methods, ", ")))
		}
		if slices.Contains(r.Methods[:i], method) {
			errs = append(errs, apierror.InvalidField(field+".methods", "method "+quoted(method)+" is named twice", "remove one"))
		}
	}
	if r.TimeoutMS < 1 || r.TimeoutMS > maxTimeoutMS {
		errs = append(errs, apierror.InvalidField(field+".timeout_ms", "out of range", "use 1 to 600000 milliseconds"))
	}
	if r.Hedge && !r.Idempotent {
		errs = append(errs, apierror.InvalidField(field+".hedge", "hedging would execute a non-idempotent call twice", "set idempotent or remove hedge"))
	}
	return errs
}

// prefixProblem returns what is wrong with a path prefix. A prefix that no normalized path starts with would never match.
func prefixProblem(prefix string) string {
	if !strings.HasPrefix(prefix, "/") {
		return "does not start with /"
	}
	if len(prefix) > maxPrefixBytes {
		return fmt.Sprintf("longer than %d bytes", maxPrefixBytes)
	}
	for i := range len(prefix) {
		c := prefix[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`?#%\{}"<>^|`+"`", c) >= 0 {
			return fmt.Sprintf("character %q is not allowed", rune(c))
		}
	}
	segments := strings.Split(prefix[1:], "/")
	for i, segment := range segments {
		if segment == "" && i < len(segments)-1 {
			return "has an empty segment"
		}
		if segment == "." || segment == ".." {
			return "has a . or .. segment"
		}
	}
	return ""
}

// Validate reports every reference that does not resolve and every value out of range, as an apierror.List.
func (s *Snapshot) Validate() error {
	fragment := ownedFragment{Fragment: &Fragment{Ranks: s.Ranks, Routes: s.Routes}}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		fragment.Services = append(fragment.Services, s.Services[name])
	}
	var errs apierror.List
	for i := range fragment.Ranks {
		errs = append(errs, fragment.Ranks[i].validate()...)
	}
	for i := range fragment.Services {
		errs = append(errs, fragment.Services[i].validate()...)
	}
	for i := range fragment.Routes {
		errs = append(errs, fragment.Routes[i].validate()...)
	}
	_, joinErrs := joinFragments([]ownedFragment{fragment}, nil)
	return append(errs, joinErrs...).Err()
}
