package outbound

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/execution"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/inbound"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/presence"
)

// Limits of the resolution of resends.
const (
	maxResolutions = 64 // at the same time on one node
	maxLookups     = 64 // at the same time for one resolution
	lookupTimeout  = time.Second
	// rosterTimeout includes the wait for the log's clock, which may be callctx.MaxClockSkew behind this node's.
	rosterTimeout = callctx.MaxClockSkew + time.Second
	// maxIDLead is how far the time in an id can be ahead of the log's clock when the call is first sent: ClockError that
	// the first node allows, and its own clock error.
	maxIDLead = 2 * callctx.MaxClockSkew
	// minRunTime is the time that must be left for running the call after a wait.
	minRunTime = 200 * time.Millisecond
)

func (h *Handler) lookupRPC(ctx context.Context, address string, params inbound.LookupParams) (execution.LookupResult, error) {
	var result execution.LookupResult
	err := h.options.Client.Call(ctx, address, inbound.LookupMethod, params, &result)
	return result, err
}

// resend resolves a later attempt of a non-idempotent call: it answers with the kept response, runs the call if every
// node that could have run it has recorded a fence, or answers "unknown".
func (h *Handler) resend(ctx context.Context, c *call) *reply {
	s := &resolution{h: h, c: c, ballot: execution.NewBallot(h.now(), h.options.Self.ID), queried: make(map[endpointKey]bool)}
	if !s.acquireSlot() {
		return s.limitReply()
	}
	defer s.releaseSlot()
	if r := s.resolve(ctx); r != nil {
		return r
	}
	return s.run(ctx)
}

// acquireSlot counts the resolution against the limit of the node.
func (s *resolution) acquireSlot() bool {
	select {
	case s.h.resolutionSlots <- struct{}{}:
		s.holdsSlot = true
	default:
	}
	return s.holdsSlot
}

func (s *resolution) releaseSlot() {
	if s.holdsSlot {
		s.holdsSlot = false
		<-s.h.resolutionSlots
	}
}

func (s *resolution) limitReply() *reply {
	return s.h.unresolved(s.c, "limit", "too many resends are being resolved on this node; send the call again after Retry-After with the same id and the next attempt number")
}

func (h *Handler) unresolved(c *call, result, remedy string) *reply {
	h.options.Metrics.Inc("outbound_resolution", "result", result)
	return &reply{outcome: callctx.Unknown, reason: callctx.Unresolved, remedy: remedy, retryAfter: defaultRetryAfter}
}

// resolution is the state of one resend.
type resolution struct {
	h         *Handler
	c         *call
	ballot    execution.Ballot
	queried   map[endpointKey]bool
	fenced    []membership.Member // nodes that recorded the fence
	holdsSlot bool                // it counts against the limit
}

// lookupAnswer is a node to ask.
type lookupAnswer struct {
	member   membership.Member
	state    execution.State // empty: not reachable
	response *execution.Response
}

// resolve returns the reply, or nil if the call may run with the ballot.
func (s *resolution) resolve(ctx context.Context) *reply {
	// The nodes in the membership table are asked first: usually one of them has the response, and the roster may have
	// to wait until the id is old enough.
	tableAnswers := s.lookupAll(ctx, s.h.options.Endpoints(s.c.route.Service))
	if r := s.decide(tableAnswers, false); r != nil {
		return r
	}
	allFenced := len(s.fenced) == len(tableAnswers)
	readAfter := s.c.idTime.Add(callctx.MaxClockSkew)
	if wait := readAfter.Sub(s.h.now()); wait > 0 && allFenced {
		if r := s.waitForRoster(ctx, wait+time.Millisecond); r != nil {
			return r
		}
	}
	unqueried, endedNode, r := s.readRoster(ctx, readAfter)
	if r != nil {
		return r
	}
	rosterAnswers := s.lookupAll(ctx, unqueried)
	if r := s.decide(rosterAnswers, true); r != nil {
		return r
	}
	if r := s.decide(tableAnswers, true); r != nil {
		return r
	}
	if endedNode != "" {
		return s.h.unresolved(s.c, "knowledge_lost", "node "+endedNode+" could have run the call and is gone; find out in the application whether it has run")
	}
	return nil
}

// waitForRoster lets the id become old enough for the roster. A waiting resolution does not count against the limit. If the
// deadline does not allow the wait, the caller is told when to send the call again.
func (s *resolution) waitForRoster(ctx context.Context, wait time.Duration) *reply {
	if s.h.now().Add(wait + minRunTime).After(s.c.deadline) {
		r := s.h.unresolved(s.c, "too_early", "send the call again after Retry-After with the same id and the next attempt number")
		r.retryAfter = wait
		return r
	}
	s.releaseSlot()
	if clock.Sleep(ctx, wait) != nil {
		return &reply{outcome: callctx.Unknown, reason: callctx.CancelledInBackend}
	}
	if !s.acquireSlot() {
		return s.limitReply()
	}
	return nil
}

// readRoster returns the incarnations that were not asked yet. Lost names a node that ended too late for the id: what it
// knew is gone.
func (s *resolution) readRoster(ctx context.Context, readAfter time.Time) (unqueried []membership.Member, endedNode string, r *reply) {
	limited, cancel := context.WithTimeout(ctx, min(rosterTimeout, s.c.deadline.Sub(s.h.now())-minRunTime))
	defer cancel()
	roster, err := s.h.options.Roster(limited, s.c.route.Service, readAfter)
	if err != nil {
		return nil, "", s.h.unresolved(s.c, "no_roster", "the log service cannot be read now; send the call again after Retry-After with the same id and the next attempt number")
	}
	for i := range roster {
		incarnation := &roster[i]
		member := memberOf(incarnation)
		switch {
		case !incarnation.Ended.IsZero() && incarnation.Ended.Before(s.c.idTime.Add(-maxIDLead)):
			continue
		case !incarnation.Ended.IsZero():
			endedNode = incarnation.ID
		case !s.queried[keyOf(&member)]:
			unqueried = append(unqueried, member)
		}
	}
	return unqueried, endedNode, nil
}

func memberOf(i *presence.Incarnation) membership.Member {
	return membership.Member{
		ID: i.ID, Region: i.Region, DataCentre: i.DataCentre, Incarnation: i.Incarnation, Status: membership.Alive,
		ControlAddress: i.ControlAddress, CallAddress: i.CallAddress, APIAddress: i.APIAddress,
	}
}

// lookupAll looks the id up on all members in parallel.
func (s *resolution) lookupAll(ctx context.Context, members []membership.Member) []lookupAnswer {
	limited, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	targets := make([]lookupAnswer, len(members))
	var group errgroup.Group
	group.SetLimit(maxLookups)
	for i := range members {
		targets[i].member = members[i]
		s.queried[keyOf(&members[i])] = true
		group.Go(func() error {
			result, err := s.h.lookup(limited, members[i].ControlAddress, inbound.LookupParams{Member: members[i].ID, RequestID: s.c.id, Ballot: s.ballot})
			if err != nil {
				return nil // not reachable; the outcome stays empty
			}
			targets[i].state, targets[i].response = result.State, result.Response
			if result.State == execution.Done && result.Response != nil {
				cancel() // the other answers are not needed
			}
			return nil
		})
	}
	_ = group.Wait()
	for i := range targets {
		if targets[i].state == execution.Fencing {
			s.fenced = append(s.fenced, targets[i].member)
		}
	}
	return targets
}

// decide returns the reply that follows from the answers, or nil if none does. Final says that no further node will
// be asked, so that a missing answer counts.
func (s *resolution) decide(targets []lookupAnswer, final bool) *reply {
	count := make(map[execution.State]int)
	for i := range targets {
		if targets[i].state == execution.Done && targets[i].response != nil {
			s.h.options.Metrics.Inc("outbound_resolution", "result", "done")
			return storedReply(&targets[i])
		}
		count[targets[i].state]++
	}
	switch {
	case count[execution.Running] > 0:
		return s.unknown(callctx.AlreadyRunning, "running")
	case count[execution.Done] > 0:
		return s.unknown(callctx.AlreadyDone, "done_not_kept")
	case count[execution.Superseded] > 0:
		return s.unknown(callctx.Superseded, "superseded")
	case !final:
		return nil
	case count[execution.Unconfirmed] > 0:
		return s.h.unresolved(s.c, "unconfirmed", "a node that could have run the call cannot tell; find out in the application whether it has run")
	case count[execution.Fencing] != len(targets):
		return s.h.unresolved(s.c, "unreachable", "a node that could have run the call does not answer; send the call again after Retry-After with the same id and the next attempt number, or remove the node with laburnumctl members remove if its VM is gone")
	}
	return nil
}

func (s *resolution) unknown(reason callctx.Reason, result string) *reply {
	s.h.options.Metrics.Inc("outbound_resolution", "result", result)
	r := &reply{outcome: callctx.Unknown, reason: reason}
	if isRetryable(reason) {
		r.retryAfter = defaultRetryAfter
	}
	return r
}

// storedReply is the response that an earlier attempt got. It can be a refusal of an earlier resend.
func storedReply(t *lookupAnswer) *reply {
	header := t.response.Header.Clone()
	outcome := callctx.Outcome(header.Get(callctx.HeaderOutcome))
	if outcome == callctx.NotRun || outcome == callctx.Unknown {
		r := refusalFromHeader(outcome, header)
		r.node = t.member.ID
		return r
	}
	removeHopByHopHeaders(header)
	for _, name := range []string{callctx.HeaderLoad, callctx.HeaderReason, "Content-Length"} {
		header.Del(name)
	}
	r := &reply{outcome: callctx.Answered, status: t.response.Status, header: header, body: t.response.Body, node: t.member.ID}
	r.length = int64(len(r.body))
	if !bodyAllowed(r.status) {
		r.length = -1
	}
	return r
}

// run sends the call with its ballot to one of the fenced nodes. Another one is tried only if the request provably was
// not sent. A "not-run" of the inbound node is final, because that node keeps it for later resends; without such a
// record another resend could still run the call, so that the reply is "unknown".
func (s *resolution) run(ctx context.Context) *reply {
	h, c := s.h, s.c
	h.options.Metrics.Inc("outbound_resolution", "result", "run")
	h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Fenced, Subject: c.id, Cause: "all nodes recorded the fence; the resend runs"})
	tried := make(map[endpointKey]bool, maxAttempts)
	for c.attempts < maxAttempts {
		to := h.pick(c, s.fencedEndpoints(), tried)
		if to == nil {
			break
		}
		tried[keyOf(to.member)] = true
		c.attempts++
		r := h.attempt(ctx, c, to, s.ballot.String())
		if r.outcome == callctx.Answered {
			h.recordAnswer(c, r)
			return r
		}
		if !r.notSent {
			return unknownIfNotRecorded(r)
		}
		if ctx.Err() != nil || !c.canResendBody() {
			break
		}
		h.options.Metrics.Inc("outbound_retry", "reason", reasonLabel(r.reason))
	}
	return h.unresolved(c, "no_endpoint", "no node could be reached to run the call; send it again after Retry-After with the same id and the next attempt number")
}

// unknownIfNotRecorded turns a "not-run" that the inbound node did not record into "unknown". A node without configuration refuses
// before it looks at its table.
func unknownIfNotRecorded(r *reply) *reply {
	if r.outcome == callctx.NotRun && r.reason == callctx.NotReady {
		r.outcome = callctx.Unknown
	}
	return r
}

// fencedEndpoints returns the fenced nodes that serve the service now.
func (s *resolution) fencedEndpoints() []membership.Member {
	fenced := make(map[endpointKey]bool, len(s.fenced))
	for i := range s.fenced {
		fenced[keyOf(&s.fenced[i])] = true
	}
	var ready []membership.Member
	for _, m := range s.h.options.Endpoints(s.c.route.Service) {
		if fenced[keyOf(&m)] {
			ready = append(ready, m)
		}
	}
	return ready
}
