package sidecar

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/dryrun"
	"github.com/laburnumcleat/laburnumcleat/pkg/link"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// reasonUnknownTeam is the refusal of a query for a team that the configuration does not have.
const reasonUnknownTeam reason = "unknown_team"

// serveWhere answers an operator's question where a request would go.
func (n *Node) serveWhere(_ context.Context, params json.RawMessage) (any, error) {
	var q dryrun.Query
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, apierror.New(apierror.Invalid, "the query is not readable: "+err.Error(), "run the same version of laburnumctl and of the nodes")
	}
	if q.Host == "" || q.Path == "" || q.Path[0] != '/' {
		return nil, apierror.New(apierror.Invalid, "host or path is missing", "pass a host and a path that begins with /")
	}
	answer := n.outbound.where(&q)
	answer.Node, answer.DataCentre = n.settings.ID, n.settings.DataCentre
	return answer, nil
}

// where returns where a request would go now, as ServeHTTP would decide. It counts nothing.
func (o *outbound) where(q *dryrun.Query) *dryrun.Answer {
	a := &dryrun.Answer{LinkBacklogMS: o.link.Backlog().Milliseconds()}
	table := o.table()
	if table == nil {
		a.Refusal = string(reasonNotReady)
		return a
	}
	a.Version = table.Document.Version
	route := table.Match(q.Host, q.Path)
	if route == nil {
		a.Refusal = string(reasonUnknownRoute)
		return a
	}
	a.Route, a.Rank, a.Idempotent = route.Name, route.Priority, route.Idempotent
	a.TargetMS, a.TimeoutMS = route.Target().Milliseconds(), route.Timeout().Milliseconds()
	a.ResponseBytes = o.stats.meanResponseBytes(route.Name)
	a.Services, a.Service = destinations(route.Route)
	if q.Service != "" {
		a.Service = q.Service
	}
	if q.Team != "" && !applyTeam(a, table.Document.Teams, q.Team) {
		a.Refusal = string(reasonUnknownTeam)
		return a
	}
	left := route.Target()
	if q.LeftMS > 0 {
		left = time.Duration(q.LeftMS) * time.Millisecond
	}
	a.Candidates = o.explainCandidates(a, left)
	switch {
	case !slices.Contains(a.Services, a.Service):
		a.Refusal, a.Candidates = string(reasonOtherService), nil
	case len(a.Candidates) == 0:
		a.Refusal = string(reasonNoEndpoint)
	}
	return a
}

// destinations returns the services of a route that get requests, and the one that gets most.
func destinations(r *routing.Route) (services []string, most string) {
	weight := -1
	for _, d := range r.Destinations {
		if d.Weight == 0 && len(r.Destinations) > 1 {
			continue
		}
		services = append(services, d.Service)
		if int(d.Weight) > weight {
			weight, most = int(d.Weight), d.Service
		}
	}
	return services, most
}

// applyTeam adds to the answer what follows from the caller's team. It reports false if there is no such team.
func applyTeam(a *dryrun.Answer, teams []routing.Team, name string) bool {
	i := slices.IndexFunc(teams, func(t routing.Team) bool { return t.Name == name })
	if i < 0 {
		return false
	}
	a.Team = name
	if p := teams[i].Priority; p != nil {
		a.Rank = *p
	}
	return true
}

// explainCandidates returns the endpoints of the answer's service, the best first. left is the time until the request's target.
func (o *outbound) explainCandidates(a *dryrun.Answer, left time.Duration) []dryrun.Candidate {
	found := o.chooser.Explain(o.endpoints(a.Service), placement.Requirements{
		Class: a.Route, Bytes: o.stats.callBytes(a.Route), LongResponse: a.ResponseBytes > link.MaxShortBytes,
		TimeToTarget: max(left-o.link.EstimateWait(a.ResponseBytes), time.Millisecond),
	})
	out := make([]dryrun.Candidate, 0, len(found))
	for i := range found {
		c := &found[i]
		candidate := dryrun.Candidate{
			ID: c.ID, DataCentre: c.DataCentre, LeftOut: string(c.LeftOut), Score: c.Score(), InTime: c.InTime, BusyCost: c.BusyCost, RemoteCost: c.RemoteCost,
			Calls: c.Calls, Limit: c.Limit, Answered: c.Answered, ClassMS: c.ClassTime.Milliseconds(), LinkBacklogMS: c.LinkBacklog.Milliseconds(),
			Outstanding: c.Outstanding,
		}
		if c.ReportAge >= 0 {
			age := c.ReportAge.Milliseconds()
			candidate.ReportAgeMS = &age
		}
		out = append(out, candidate)
	}
	return out
}
