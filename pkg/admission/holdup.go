package admission

import "time"

// heldUpShare is the part of the target of a more urgent call that may be lost in the queue time of one ahead of it on its connection. The rest is
// for the work of both.
const heldUpShare = 0.5

// WaitBeforeOthers returns how long a call may wait in a queue if calls with the given shorter target follow it on the same connection, so that
// their responses wait for its response. A caller that is refused early returns later, and meanwhile gets the responses of the others.
func WaitBeforeOthers(target time.Duration) time.Duration { return scale(target, heldUpShare) }
