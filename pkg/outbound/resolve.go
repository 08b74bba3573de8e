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

// Limits for the resolution of resends.
const (
	maxResolutions = 64 // concurrent resolutions on one node
	maxLookups     = 64 // concurrent lookups of one resolution
	lookupTimeout  = time.Second
	// rosterTimeout includes the wait for the log service's clock, which may be callctx.MaxClockSkew behind this node's.
	rosterTimeout = callctx.MaxClockSkew + time.Second
	// maxIDLead is how far the time in an id can be ahead of the log service's clock when the call is first sent: the
	// MaxClockSkew that the first node accepts, plus its own clock skew.
	maxIDLead = 2 * callctx.MaxClockSkew
	// minRunTime is the minimum time before the deadline that must remain for running the call.
	minRunTime = 200 * time.Millisecond
)

func (h *Handler) lookupRPC(ctx context.Context, address string, params inbound.LookupParams) (execution.LookupResult, error) {
	var result execution.LookupResult
	err := h.options.Client.Call(ctx, address, inbound.LookupMethod, params, &result)
	return result, err
}

// resend handles a later attempt of a non-idempotent call. It returns the stored response if there is one, runs the call
// if every node that could have run it has recorded a fence, and otherwise returns outcome Unknown.
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

// acquireSlot counts the resolution against maxResolutions. It returns false if the limit is reached.
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
	return s.h.unresolved(s.c, "limit", "this node has reached its limit of concurrent resend resolutions; send the call again after Retry-After with the same id and the next attempt number")
}

func (h *Handler) unresolved(c *call, result, remedy string) *reply {
	h.options.Metrics.Inc("outbound_resolution", "result", result)
	return &reply{outcome: callctx.Unknown, reason: callctx.Unresolved, remedy: remedy, retryAfter: defaultRetryAfter}
}

// resolution is the state of the resolution of one resend.
type resolution struct {
	h         *Handler
	c         *call
	ballot    execution.Ballot
	queried   map[endpointKey]bool
	fenced    []membership.Member // nodes that recorded the fence
	holdsSlot bool                // counted against maxResolutions
}

// lookupResponse is a queried node and its response.
type lookupResponse struct {
	member   membership.Member
	state    execution.State // empty if the node is unreachable
	response *execution.Response
}

// resolve queries the nodes and returns the reply, or nil if the call may run with the ballot.
func (s *resolution) resolve(ctx context.Context) *reply {
	// Query the nodes in the membership table first: usually one of them has the response, and reading the roster may have
	// to wait until the id is old enough.
	tableResponses := s.lookupAll(ctx, s.h.options.Endpoints(s.c.route.Service))
	if r := s.decide(tableResponses, false); r != nil {
		return r
	}
	allFenced := len(s.fenced) == len(tableResponses)
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
	rosterResponses := s.lookupAll(ctx, unqueried)
	if r := s.decide(rosterResponses, true); r != nil {
		return r
	}
	if r := s.decide(tableResponses, true); r != nil {
		return r
	}
	if endedNode != "" {
		return s.h.unresolved(s.c, "knowledge_lost", "node "+endedNode+" could have run the call but no longer exists; check in the application whether the call has run")
	}
	return nil
}

// waitForRoster waits until the id is old enough for the roster. A waiting resolution does not count against
// maxResolutions. If the deadline is too early for the wait, the reply has a matching Retry-After.
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

// readRoster returns the incarnations that have not been queried yet. If an incarnation that could have run the call has
// ended, its execution table is lost, and endedNode is its id.
func (s *resolution) readRoster(ctx context.Context, readAfter time.Time) (unqueried []membership.Member, endedNode string, r *reply) {
	limited, cancel := context.WithTimeout(ctx, min(rosterTimeout, s.c.deadline.Sub(s.h.now())-minRunTime))
	defer cancel()
	roster, err := s.h.options.Roster(limited, s.c.route.Service, readAfter)
	if err != nil {
		return nil, "", s.h.unresolved(s.c, "no_roster", "the log service is unavailable; send the call again after Retry-After with the same id and the next attempt number")
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

// lookupAll looks up the request id on all members in parallel.
func (s *resolution) lookupAll(ctx context.Context, members []membership.Member) []lookupResponse {
	limited, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	responses := make([]lookupResponse, len(members))
	var group errgroup.Group
	group.SetLimit(maxLookups)
	for i := range members {
		responses[i].member = members[i]
		s.queried[keyOf(&members[i])] = true
		group.Go(func() error {
			result, err := s.h.lookup(limited, members[i].ControlAddress, inbound.LookupParams{Member: members[i].ID, RequestID: s.c.id, Ballot: s.ballot})
			if err != nil {
				return nil // unreachable; the state stays empty
			}
			responses[i].state, responses[i].response = result.State, result.Response
			if result.State == execution.Done && result.Response != nil {
				cancel() // the other responses are not needed
			}
			return nil
		})
	}
	_ = group.Wait()
	for i := range responses {
		if responses[i].state == execution.Fencing {
			s.fenced = append(s.fenced, responses[i].member)
		}
	}
	return responses
}

// decide returns the reply that follows from the responses, or nil if they do not determine one. Set final if no
// further nodes will be queried; a missing response then gives outcome Unknown.
func (s *resolution) decide(responses []lookupResponse, final bool) *reply {
	count := make(map[execution.State]int)
	for i := range responses {
		if responses[i].state == execution.Done && responses[i].response != nil {
			s.h.options.Metrics.Inc("outbound_resolution", "result", "done")
			return storedReply(&responses[i])
		}
		count[responses[i].state]++
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
		return s.h.unresolved(s.c, "unconfirmed", "a node that could have run the call cannot determine whether it did; check in the application whether the call has run")
	case count[execution.Fencing] != len(responses):
		return s.h.unresolved(s.c, "unreachable", "a node that could have run the call does not respond; send the call again after Retry-After with the same id and the next attempt number, or remove the node with laburnumctl members remove if its VM is gone")
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

// storedReply returns the stored response of an earlier attempt. It can be the refusal of an earlier resend.
func storedReply(l *lookupResponse) *reply {
	header := l.response.Header.Clone()
	outcome := callctx.Outcome(header.Get(callctx.HeaderOutcome))
	if outcome == callctx.NotRun || outcome == callctx.Unknown {
		r := refusalFromHeader(outcome, header)
		r.node = l.member.ID
		return r
	}
	removeHopByHopHeaders(header)
	for _, name := range []string{callctx.HeaderLoad, callctx.HeaderReason, "Content-Length"} {
		header.Del(name)
	}
	r := &reply{outcome: callctx.Answered, status: l.response.Status, header: header, body: l.response.Body, node: l.member.ID}
	r.length = int64(len(r.body))
	if !bodyAllowed(r.status) {
		r.length = -1
	}
	return r
}

// run sends the call with its ballot to one of the fenced nodes. It retries on another one only if the request provably
// was not sent. A "not-run" of the inbound node is final, because that node stores it for later resends. Without such a
// record another resend could still run the call; the outcome is then Unknown.
func (s *resolution) run(ctx context.Context) *reply {
	h, c := s.h, s.c
	h.options.Metrics.Inc("outbound_resolution", "result", "run")
	h.options.Explain(explain.Event{Time: h.now(), Kind: explain.Fenced, Subject: c.id, Cause: "all nodes recorded the fence; running the resend"})
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
			h.recordResponse(c, r)
			return r
		}
		if !r.notSent {
			return unknownIfNotRecorded(r)
		}
		if ctx.Err() != nil || !c.reclaimBody() {
			break
		}
		h.options.Metrics.Inc("outbound_retry", "reason", reasonLabel(r.reason))
	}
	return h.unresolved(c, "no_endpoint", "no node was reachable to run the call; send it again after Retry-After with the same id and the next attempt number")
}

// unknownIfNotRecorded changes the outcome to Unknown if the inbound node did not record its "not-run". A node without
// configuration refuses calls before it accesses its execution table.
func unknownIfNotRecorded(r *reply) *reply {
	if r.outcome == callctx.NotRun && r.reason == callctx.NotReady {
		r.outcome = callctx.Unknown
	}
	return r
}

// fencedEndpoints returns the fenced nodes that currently serve the service.
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
