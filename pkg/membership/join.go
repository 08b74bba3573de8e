package membership

import (
	"maps"
	"slices"
	"time"
)

// joinBudget bounds the joins that a member serves per second.
type joinBudget struct {
	second  int64
	served  int
	refused int
}

// take returns zero if one more join may be served now, and otherwise after which time to retry. Each refusal moves the
// next one further away, so that a storm of joins is spread over the time it needs.
func (b *joinBudget) take(now time.Time, perSecond int) time.Duration {
	if second := now.Unix(); second != b.second {
		*b = joinBudget{second: second}
	}
	if b.served < perSecond {
		b.served++
		return 0
	}
	b.refused++
	return time.Duration(1+b.refused/perSecond) * time.Second
}

// handleJoin answers with the full table, or with a time to retry.
func (s *system) handleJoin(now time.Time, request joinRequest) joinResponse {
	if !request.Member.valid() || s.superseded || s.leaving {
		return joinResponse{RetryAfterMS: time.Second.Milliseconds()}
	}
	if wait := s.joins.take(now, s.timing.JoinsPerSecond); wait > 0 {
		s.notice.count("membership_join_refused")
		return joinResponse{RetryAfterMS: wait.Milliseconds()}
	}
	s.apply(now, []update{request.Member})
	var response joinResponse
	for _, id := range slices.Sorted(maps.Keys(s.table.entries)) {
		response.Members = append(response.Members, s.table.entries[id].fullUpdate(now))
	}
	return response
}

// handleJoined takes in the full table, the first one or a further one.
func (s *system) handleJoined(now time.Time, response joinResponse, first bool) {
	before := maps.Clone(s.queue)
	s.apply(now, response.Members)
	if first {
		s.queue = before // the others have these members already
	}
	s.rebuildRing()
	s.enqueue(s.self)
	s.nextGossip = now
}

// adopt takes in the members of a directory, which are alive for all it knows. They are not spread, since the others read it too.
func (s *system) adopt(now time.Time, members []Member) {
	for _, m := range members {
		if m.ID == s.self {
			continue
		}
		m.Status, m.Endpoint, m.Counter = Alive, nil, 0
		s.table.merge(now, m, 0)
	}
	s.rebuildRing()
}

func (s *system) joinRequest(now time.Time) joinRequest {
	return joinRequest{Member: s.me().fullUpdate(now)}
}

// alone reports whether no other member is known to take part.
func (s *system) alone() bool {
	for id, e := range s.table.entries {
		if id != s.self && !e.Status.ended() {
			return false
		}
	}
	return true
}

// controlAddresses returns the addresses of this member and of all that take part.
func (s *system) controlAddresses() map[string]bool {
	addresses := make(map[string]bool, len(s.table.entries))
	for _, e := range s.table.entries {
		if !e.Status.ended() {
			addresses[e.ControlAddress] = true
		}
	}
	return addresses
}
