package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/hop"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// suspectRetryAfter is the Retry-After value of a suspect that found another one running for too long.
const suspectRetryAfter = 100 * time.Millisecond

// ward lets an instance run one suspect at a time, so that a crash shows which one caused it.
type ward struct {
	running chan struct{} // holds a token while a suspect runs

	mu     sync.Mutex
	copies map[quarantine.Fingerprint]*copies // of suspects that run or wait
}

// copies counts the calls of one suspect that run or wait in a ward.
type copies struct {
	present int
	several bool // at one time
}

func newWard() *ward {
	return &ward{running: make(chan struct{}, 1), copies: make(map[quarantine.Fingerprint]*copies)}
}

// enter waits until no other suspect runs, for a time at most, and reports whether that is so. The caller must call leave then.
func (w *ward) enter(ctx context.Context, request quarantine.Fingerprint, most time.Duration) bool {
	w.add(request)
	select {
	case w.running <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case w.running <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	w.remove(request)
	return false
}

func (w *ward) leave(request quarantine.Fingerprint) {
	w.remove(request)
	<-w.running
}

func (w *ward) add(request quarantine.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.copies[request]
	if c == nil {
		c = &copies{}
		w.copies[request] = c
	}
	c.present++
	c.several = c.several || c.present > 1
}

func (w *ward) remove(request quarantine.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.copies[request]
	if c.present--; c.present == 0 {
		delete(w.copies, request)
	}
}

// hadSeveral reports whether several calls of a suspect were in the ward at one time since the first of those that are there now entered.
func (w *ward) hadSeveral(request quarantine.Fingerprint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.copies[request]
	return c != nil && c.several
}

// enterWard admits a call to the instance as far as crashes of backend servers are concerned that ran its request. It returns a refusal, or a
// function to call at the end of the call. A call that must not queue does not wait for other suspects either.
func (in *inbound) enterWard(ctx context.Context, i *instance, c *call, r *hop.Request) (leave func(), refused *callReply) {
	verdict, left := in.verdict(c, r)
	switch verdict {
	case quarantine.Blocked:
		return nil, &callReply{verdict: verdictNotRun, reason: reasonRequestBlocked, retryAfter: left}
	case quarantine.Clear:
		return func() {}, nil
	}
	most := c.deadlineRemaining / 2
	if c.noQueue {
		most = 0
	}
	request := c.identify(r)
	if i.ward.enter(ctx, request, most) {
		c.inWard = true
		return func() { i.ward.leave(request) }, nil
	}
	if c.noQueue {
		return nil, &callReply{verdict: verdictNotRun, reason: reasonBusy}
	}
	return nil, &callReply{verdict: verdictNotRun, reason: reasonSuspectWaits, retryAfter: suspectRetryAfter}
}

// verdict returns what may be done with the request of a call, and how long it stays blocked.
func (in *inbound) verdict(c *call, r *hop.Request) (quarantine.Verdict, time.Duration) {
	if in.suspects.IsEmpty() {
		return quarantine.Clear, 0
	}
	return in.suspects.Verdict(time.Now(), c.identify(r))
}

// recordAnswer clears a suspect that the backend server has answered.
func (in *inbound) recordAnswer(i *instance, c *call, r *hop.Request, response *hop.Response) {
	if !showsNoCrash(response) || in.suspects.IsEmpty() {
		return
	}
	request := c.identify(r)
	in.clear(request, !c.inWard || i.ward.hadSeveral(request))
}

// clear clears a suspect that a backend server has answered. If it is frequent, the other nodes are told: they keep it from all endpoints but one.
func (in *inbound) clear(request quarantine.Fingerprint, isFrequent bool) {
	if in.suspects.Answered(time.Now(), request) {
		in.metrics.Inc("suspect_cleared")
		in.onCleared(request, isFrequent)
	}
}

// showsNoCrash reports whether a response, nil if there is none, shows that the request does not crash the backend server that runs it. One that
// gave up at the deadline may not have run the request for long enough.
func showsNoCrash(response *hop.Response) bool {
	return response != nil && response.Status != http.StatusGatewayTimeout
}
