package sidecar

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
)

// behindRetryAfter is the Retry-After value of a node that knows of a later configuration: it pulls that after peerDelay.
const behindRetryAfter = peerDelay + 100*time.Millisecond

// identify decides which team a request belongs to, before its body is read. It returns a refusal for a request that may not run. Calls of
// backend servers carry no key and are told from those of clients by nothing: both need a key unless their route is public.
func (o *outbound) identify(q *request, table *routing.Table) *result {
	if !table.HasTeams() {
		return nil
	}
	q.hidesKey = true
	key, ok := o.key(q.Header)
	if ok {
		q.team = table.Team(key)
	}
	switch {
	case q.team != nil:
		if q.team.Priority != nil {
			q.rank = *q.team.Priority
		}
		return nil
	case q.route.Public:
		return nil
	case !ok:
		return o.refuseForGood(http.StatusUnauthorized, reasonKeyMissing)
	}
	return o.refuseForGood(http.StatusUnauthorized, reasonKeyUnknown)
}

// refuseForGood returns a refusal after which clients do not retry. A node that knows of a later configuration cannot tell: that may have the route
// or the key, or may make the route public.
func (o *outbound) refuseForGood(status int, cause reason) *result {
	if !o.isBehind() {
		return refuse(status, cause)
	}
	res := refuse(http.StatusServiceUnavailable, reasonBehind)
	res.retryAfter = behindRetryAfter
	return res
}

// setTeamHeader removes from a header to forward what concerns only nodes, and states the team.
func (o *outbound) setTeamHeader(q *request, header http.Header) {
	delete(header, o.headers.Team)
	if q.hidesKey {
		delete(header, o.headers.Key)
	}
	if q.team != nil {
		header.Set(o.headers.Team, q.team.Name)
	}
}

const (
	// maxTeamLabels bounds the teams that metrics name: those with the most requests.
	maxTeamLabels = 20
	// maxTrackedTeams bounds the teams whose requests are counted, since configuration changes replace teams. Further ones count as other.
	maxTrackedTeams = 4096
	otherTeams      = "other"
)

// teamStats counts the requests of teams by verdict. It is safe for concurrent use.
type teamStats struct {
	mu    sync.Mutex
	teams map[string]*teamStat
	other teamStat // of teams that are not tracked
}

type teamStat struct{ answered, notRun, unknown int64 }

func (s *teamStat) total() int64 { return s.answered + s.notRun + s.unknown }

func (s *teamStat) add(other *teamStat) {
	s.answered, s.notRun, s.unknown = s.answered+other.answered, s.notRun+other.notRun, s.unknown+other.unknown
}

// observe counts a request.
func (t *teamStats) observe(team string, v verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.teams[team]
	switch {
	case s != nil:
	case len(t.teams) >= maxTrackedTeams:
		s = &t.other
	default:
		if t.teams == nil {
			t.teams = make(map[string]*teamStat)
		}
		s = &teamStat{}
		t.teams[team] = s
	}
	switch v {
	case verdictAnswered:
		s.answered++
	case verdictNotRun:
		s.notRun++
	default:
		s.unknown++
	}
}

// collect reports the counts of the teams with the most requests, and those of all others together.
func (t *teamStats) collect(report func(value int64, base string, labels ...string)) {
	type named struct {
		name string
		teamStat
	}
	t.mu.Lock()
	all, other := make([]named, 0, len(t.teams)), t.other
	for name, s := range t.teams {
		all = append(all, named{name, *s})
	}
	t.mu.Unlock()
	slices.SortFunc(all, func(a, b named) int { return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.name, b.name)) })
	for i := range all {
		if i >= maxTeamLabels {
			other.add(&all[i].teamStat)
		}
	}
	all = append(all[:min(len(all), maxTeamLabels)], named{otherTeams, other})
	for _, s := range all {
		report(s.answered, "team_requests", "team", s.name, "verdict", string(verdictAnswered))
		report(s.notRun, "team_requests", "team", s.name, "verdict", string(verdictNotRun))
		report(s.unknown, "team_requests", "team", s.name, "verdict", string(verdictUnknown))
	}
}
