package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	contactTimeout = 5 * time.Second // for reading contacts
	maxContacts    = 16              // asked in one round; each may take Timing.JoinTimeout
)

// keepJoined joins through seeds and contacts until other members are known, and again whenever this node is alone or a
// seed is not among the members, as after a start during a partition.
func (s *Service) keepJoined(ctx context.Context) {
	backoff := s.timing.JoinBackoff
	reported := false
	for ctx.Err() == nil {
		pause := s.joinOnce(ctx)
		if alone := s.isAlone(); alone != reported {
			reported = alone
			s.reportAlone(alone)
		}
		switch {
		case pause > 0: // told when to retry
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
		zap.String("remedy", "check the setting seeds, or the log service for contacts; joining is tried again"))
}

// globalRandom is the process-wide random source: pauses of the joiner need no fixed seed.
type globalRandom struct{}

func (globalRandom) Int64N(n int64) int64 { return rand.Int64N(n) }

// joinOnce asks the addresses that are not members yet until one answers with its table. One that is silent does not hold up the
// next. It returns the time to wait if all that answered said so.
func (s *Service) joinOnce(ctx context.Context) time.Duration {
	addresses := s.joinAddresses(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan joinAnswer, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	var told time.Duration
	asked, open := 0, 0
	for asked < len(addresses) || open > 0 {
		select {
		case <-next.C:
			if asked == len(addresses) {
				continue
			}
			address := addresses[asked]
			asked++
			open++
			s.sent.Go(func() { answers <- s.askToJoin(ctx, address) })
			next.Reset(s.timing.JoinStagger)
		case a := <-answers:
			open--
			if a.err == nil && a.response.RetryAfterMS == 0 {
				s.acceptJoin(a.response, a.address)
				return 0
			}
			if a.err != nil {
				s.options.Metrics.Inc("membership_join_failed")
				s.options.Logger.Debug("join_failed", zap.String("address", a.address), zap.Error(a.err))
			} else {
				told = time.Duration(a.response.RetryAfterMS) * time.Millisecond
			}
			next.Reset(0)
		}
	}
	if told == 0 {
		return 0
	}
	return jitter(globalRandom{}, told)
}

// joinAnswer is what a member said to a join.
type joinAnswer struct {
	address  string
	response joinResponse
	err      error
}

func (s *Service) askToJoin(ctx context.Context, address string) joinAnswer {
	ctx, cancel := context.WithTimeout(ctx, s.timing.JoinTimeout)
	defer cancel()
	s.mu.Lock()
	request := s.system.joinRequest(time.Now())
	s.mu.Unlock()
	answer := joinAnswer{address: address}
	answer.err = s.options.Client.Call(ctx, address, methodJoin, request, &answer.response)
	return answer
}

func (s *Service) acceptJoin(response joinResponse, address string) {
	s.mu.Lock()
	s.system.handleJoined(time.Now(), response, !s.joined || s.system.alone())
	s.publish()
	s.mu.Unlock()
	s.joined = true
	s.options.Logger.Info("joined", zap.String("through", address), zap.Int("members", len(response.Members)))
}

// joinAddresses returns the addresses to join through: the seeds that are not members, and the contacts while this node is alone or
// always, as the options say, in random order. With a directory they are those of the members in it, until one has answered.
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

// lacksTable reports whether no member has answered with its table yet, although there is a directory, or whether all are gone.
func (s *Service) lacksTable() bool {
	return s.isAlone() || s.options.Directory != nil && !s.joined
}

// directoryAddresses takes in the members of the directory. While this node lacks a table, it returns addresses of some that take
// part, those of its own data centre first and otherwise in random order, so that joins are spread over the fleet.
func (s *Service) directoryAddresses(ctx context.Context) []string {
	if !s.lacksTable() && !s.contactsDue(time.Now()) {
		return nil
	}
	members := readContacts(ctx, s, s.options.Directory)
	s.mu.Lock()
	s.system.adopt(time.Now(), members)
	s.publish()
	s.mu.Unlock()
	if !s.lacksTable() {
		return nil
	}
	others := slices.DeleteFunc(s.Members(), func(m Member) bool { return m.ID == s.options.Self.ID || m.Status.ended() })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var near, far []string
	for _, m := range others {
		if m.DataCentre == s.options.Self.DataCentre {
			near = append(near, m.ControlAddress)
		} else {
			far = append(far, m.ControlAddress)
		}
	}
	addresses := append(near, far...)
	return addresses[:min(len(addresses), maxContacts)]
}

// contactsDue reports whether the contacts are to be read although other members are known.
func (s *Service) contactsDue(now time.Time) bool {
	return s.options.ContactsInterval > 0 && now.Sub(s.contactsRead) >= s.options.ContactsInterval
}

// readContacts reads contacts or the directory. A failure is counted and logged, and leads to what was read before it.
func readContacts[T any](ctx context.Context, s *Service, read func(context.Context) ([]T, error)) []T {
	if read == nil {
		return nil
	}
	s.contactsRead = time.Now()
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
