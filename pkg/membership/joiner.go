package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	contactTimeout = 5 * time.Second // for one read of the contacts or the directory
	maxContacts    = 16              // join attempts per round; each may take Timing.JoinTimeout
)

// runJoiner joins through seeds and contacts until other members are known. It joins again whenever this node is alone or a seed
// is not a member, as after a start during a partition.
func (s *Service) runJoiner(ctx context.Context) {
	backoff := s.timing.JoinBackoff
	reported := false
	for ctx.Err() == nil {
		pause := s.joinOnce(ctx)
		if alone := s.isAlone(); alone != reported {
			reported = alone
			s.reportAlone(alone)
		}
		switch {
		case pause > 0: // members refused the join and gave a retry delay
			backoff = s.timing.JoinBackoff
		case s.lacksTable():
			pause = time.Duration(rand.Int64N(int64(backoff) + 1)) // full jitter
			backoff = min(2*backoff, s.timing.JoinBackoffMaximum)
		default:
			backoff = s.timing.JoinBackoff
			pause = jitter(globalRandom{}, s.timing.ReconnectInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (s *Service) reportAlone(alone bool) {
	if !alone {
		s.options.Logger.Info("member_of_fleet")
		return
	}
	s.options.Metrics.Inc("membership_alone")
	s.options.Logger.Warn("no_other_member_found", zap.Strings("seeds", s.options.Seeds),
		zap.String("remedy", "check the setting seeds, or whether the log service is reachable for contacts; the join is retried"))
}

// globalRandom is the process-wide random source. The joiner's jitter needs no fixed seed.
type globalRandom struct{}

func (globalRandom) Int64N(n int64) int64 { return rand.Int64N(n) }

// joinOnce sends join requests to the addresses that are not members yet until one responds with its table. A request without a
// response does not block the next one. If no member served the join, joinOnce returns the jittered retry delay from the last refusal,
// or zero if no request was refused.
func (s *Service) joinOnce(ctx context.Context) time.Duration {
	addresses := s.joinAddresses(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan joinResult, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	var retryAfter time.Duration
	started, inFlight := 0, 0
	for started < len(addresses) || inFlight > 0 {
		select {
		case <-next.C:
			if started == len(addresses) {
				continue
			}
			address := addresses[started]
			started++
			inFlight++
			s.inFlight.Go(func() { results <- s.requestJoin(ctx, address) })
			next.Reset(s.timing.JoinStagger)
		case result := <-results:
			inFlight--
			if result.err == nil && result.response.RetryAfterMS == 0 {
				s.applyJoinResponse(result.response, result.address)
				return 0
			}
			if result.err != nil {
				s.options.Metrics.Inc("membership_join_failed")
				s.options.Logger.Debug("join_failed", zap.String("address", result.address), zap.Error(result.err))
			} else {
				retryAfter = time.Duration(result.response.RetryAfterMS) * time.Millisecond
			}
			next.Reset(0)
		}
	}
	if retryAfter == 0 {
		return 0
	}
	return jitter(globalRandom{}, retryAfter)
}

// joinResult is the outcome of one join request.
type joinResult struct {
	address  string
	response joinResponse
	err      error
}

func (s *Service) requestJoin(ctx context.Context, address string) joinResult {
	ctx, cancel := context.WithTimeout(ctx, s.timing.JoinTimeout)
	defer cancel()
	s.mu.Lock()
	request := s.system.joinRequest(time.Now())
	s.mu.Unlock()
	result := joinResult{address: address}
	result.err = s.options.Client.Call(ctx, address, methodJoin, request, &result.response)
	return result
}

func (s *Service) applyJoinResponse(response joinResponse, address string) {
	s.mu.Lock()
	s.system.handleJoinResponse(time.Now(), response, !s.joined || s.system.alone())
	s.publish()
	s.mu.Unlock()
	s.joined = true
	s.options.Logger.Info("joined", zap.String("through", address), zap.Int("members", len(response.Members)))
}

// joinAddresses returns the addresses to join through, in random order: the seeds that are not members, and the contacts while this
// node is alone or once per Options.ContactsInterval. With a directory it returns addresses of its members until one has responded.
func (s *Service) joinAddresses(ctx context.Context) []string {
	s.mu.Lock()
	stopped := s.system.superseded || s.system.leaving
	s.mu.Unlock()
	if stopped {
		return nil
	}
	if s.options.Directory != nil {
		return s.directoryAddresses(ctx)
	}
	s.mu.Lock()
	known := s.system.controlAddresses()
	s.mu.Unlock()
	candidates := slices.Clone(s.options.Seeds)
	if s.isAlone() || s.contactsDue(time.Now()) {
		contacts := readContacts(ctx, s, s.options.Contacts)
		rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
		candidates = append(candidates, contacts[:min(len(contacts), maxContacts)]...)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.DeleteFunc(candidates, func(address string) bool { return known[address] })
}

// lacksTable reports whether this node is alone, or uses a directory and has not yet received the table of any member.
func (s *Service) lacksTable() bool {
	return s.isAlone() || s.options.Directory != nil && !s.joined
}

// directoryAddresses merges the members of the directory. While this node lacks a table, it returns up to maxContacts addresses of
// active members, those of the local data centre first and otherwise in random order, which spreads joins over the fleet.
func (s *Service) directoryAddresses(ctx context.Context) []string {
	if !s.lacksTable() && !s.contactsDue(time.Now()) {
		return nil
	}
	members := readContacts(ctx, s, s.options.Directory)
	s.mu.Lock()
	s.system.addDirectoryMembers(time.Now(), members)
	s.publish()
	s.mu.Unlock()
	if !s.lacksTable() {
		return nil
	}
	others := slices.DeleteFunc(s.Members(), func(m Member) bool { return m.ID == s.options.Self.ID || m.Status.ended() })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var local, remote []string
	for _, m := range others {
		if m.DataCentre == s.options.Self.DataCentre {
			local = append(local, m.ControlAddress)
		} else {
			remote = append(remote, m.ControlAddress)
		}
	}
	addresses := append(local, remote...)
	return addresses[:min(len(addresses), maxContacts)]
}

// contactsDue reports whether Options.ContactsInterval has passed since the contacts were last read.
func (s *Service) contactsDue(now time.Time) bool {
	return s.options.ContactsInterval > 0 && now.Sub(s.contactsReadAt) >= s.options.ContactsInterval
}

// readContacts reads the contacts or the directory. On failure it counts and logs the error and returns the partial result.
func readContacts[T any](ctx context.Context, s *Service, read func(context.Context) ([]T, error)) []T {
	if read == nil {
		return nil
	}
	s.contactsReadAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	found, err := read(ctx)
	if err != nil {
		s.options.Metrics.Inc("membership_contacts_failed")
		s.options.Logger.Warn("contacts_unavailable", zap.Error(err))
	}
	return found
}

func (s *Service) isAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.system.alone()
}
