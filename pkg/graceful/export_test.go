package graceful

// SetBeforeClose sets a hook that is called during Drain when the backlog is empty, before the socket is closed.
func SetBeforeClose(l *Listener, hook func()) { l.beforeClose = hook }

// Draining returns a channel that is closed when Drain starts.
func Draining(l *Listener) <-chan struct{} { return l.draining }
