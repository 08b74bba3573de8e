package membership

import (
	"maps"
	"slices"
	"time"
)

// joinLimiter limits the number of joins served per second.
type joinLimiter struct {
	second  int64
	served  int
	refused int
}

// admit returns zero if another join may be served now, and the retry delay otherwise. The delay grows with each refusal within a
// second, which spreads a join storm over the time needed to serve it.
func (l *joinLimiter) admit(now time.Time, perSecond int) time.Duration {
	if second := now.Unix(); second != l.second {
		*l = joinLimiter{second: second}
	}
	if l.served < perSecond {
		l.served++
		return 0
	}
	l.refused++
	return time.Duration(1+l.refused/perSecond) * time.Second
}

// handleJoin responds with the full table, or with a retry delay.
func (s *system) handleJoin(now time.Time, request joinRequest) joinResponse {
	if !request.Member.valid() || s.superseded || s.leaving {
		return joinResponse{RetryAfterMS: time.Second.Milliseconds()}
	}
	if wait := s.joinLimiter.admit(now, s.timing.JoinsPerSecond); wait > 0 {
		s.hooks.count("membership_join_refused")
		return joinResponse{RetryAfterMS: wait.Milliseconds()}
	}
	s.apply(now, []update{request.Member})
	var response joinResponse
	for _, id := range slices.Sorted(maps.Keys(s.table.entries)) {
		response.Members = append(response.Members, s.table.entries[id].fullUpdate(now))
	}
	return response
}

// handleJoinResponse merges the full table of a peer. The changes of the first one are not gossiped.
func (s *system) handleJoinResponse(now time.Time, response joinResponse, first bool) {
	before := maps.Clone(s.queue)
	s.apply(now, response.Members)
	if first {
		s.queue = before // the other members already know these entries
	}
	s.rebuildRing()
	s.enqueue(s.self)
	s.nextGossip = now
}

// addDirectoryMembers merges the members of a directory and assumes that they are alive. They are not gossiped, since the other
// members read the directory too.
func (s *system) addDirectoryMembers(now time.Time, members []Member) {
	for _, m := range members {
		if m.ID == s.self || m.Incarnation > maxIncarnation {
			continue
		}
		m.Status, m.Endpoint, m.Counter = Alive, nil, 0
		s.table.merge(now, m, 0)
	}
	s.rebuildRing()
}

func (s *system) joinRequest(now time.Time) joinRequest {
	return joinRequest{Member: s.selfEntry().fullUpdate(now)}
}

// alone reports whether no other alive or suspect member is known.
func (s *system) alone() bool {
	for id, e := range s.table.entries {
		if id != s.self && !e.Status.ended() {
			return false
		}
	}
	return true
}

// controlAddresses returns the control addresses of all members that are not dead or left, including self.
func (s *system) controlAddresses() map[string]bool {
	addresses := make(map[string]bool, len(s.table.entries))
	for _, e := range s.table.entries {
		if !e.Status.ended() {
			addresses[e.ControlAddress] = true
		}
	}
	return addresses
}
