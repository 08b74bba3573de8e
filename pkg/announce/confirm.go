package announce

import "time"

// Liveness is what a liveness check shows about the process that an announcement names.
type Liveness string

// Results of a liveness check.
const (
	Serving    Liveness = "serving"
	NotServing Liveness = "not serving" // it is leaving, it considers itself unhealthy, or another process answers
	Unknown    Liveness = "unknown"     // no answer, or the check was not executed
)

// IsConfirmed reports whether an announcement is taken that arrives when this process has run for uptime, and whose sender started before it. The
// previous process may have acknowledged that the sender leaves, and any number of announcements from before that may still be under way:
// their order shows only that some are later than others. Only a liveness check, or an arrival after the longest delay, shows that one was sent after
// the start of this process. If the check says nothing, usualDelay has to do, since a server in use must not be lost for long.
func IsConfirmed(l Liveness, uptime, usualDelay time.Duration) bool {
	switch l {
	case Serving:
		return true
	case NotServing:
		return uptime >= MaxDelay
	}
	return uptime >= min(usualDelay, MaxDelay)
}
