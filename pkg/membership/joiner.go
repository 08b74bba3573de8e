package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

const contactTimeout = 5 * time.Second // for reading contacts

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
		case s.isAlone():
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

// joinOnce asks the addresses that are not members yet, in random order, until one answers with its table. It returns
// the time to wait if one of them said so.
func (s *Service) joinOnce(ctx context.Context) time.Duration {
	var told time.Duration
	for _, address := range s.joinAddresses(ctx) {
		response, err := s.askToJoin(ctx, address)
		if err != nil {
			s.options.Metrics.Inc("membership_join_failed")
			s.options.Logger.Debug("join_failed", zap.String("address", address), zap.Error(err))
			continue
		}
		if response.RetryAfterMS == 0 {
			s.acceptJoin(response, address)
			return 0
		}
		told = time.Duration(response.RetryAfterMS) * time.Millisecond
	}
	if told == 0 {
		return 0
	}
	return jitter(globalRandom{}, told)
}

func (s *Service) askToJoin(ctx context.Context, address string) (joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.JoinTimeout)
	defer cancel()
	s.mu.Lock()
	request := s.system.joinRequest(time.Now())
	s.mu.Unlock()
	var response joinResponse
	err := s.options.Client.Call(ctx, address, methodJoin, request, &response)
	return response, err
}

func (s *Service) acceptJoin(response joinResponse, address string) {
	s.mu.Lock()
	s.system.handleJoined(time.Now(), response)
	s.publish()
	s.mu.Unlock()
	s.options.Logger.Info("joined", zap.String("through", address), zap.Int("members", len(response.Members)))
}

// joinAddresses returns the seeds that are not members, and the contacts while this node is alone or always, as the options say, in
// random order.
func (s *Service) joinAddresses(ctx context.Context) []string {
	s.mu.Lock()
	known := s.system.controlAddresses()
	stopped := s.system.superseded || s.system.leaving
	s.mu.Unlock()
	if stopped {
		return nil
	}
	candidates := slices.Clone(s.options.Seeds)
	if s.isAlone() || s.contactsDue(time.Now()) {
		candidates = append(candidates, s.readContacts(ctx)...)
	}
	if !s.options.ContactsInOrder {
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	return slices.DeleteFunc(candidates, func(address string) bool { return known[address] })
}

// contactsDue reports whether the contacts are to be read although other members are known.
func (s *Service) contactsDue(now time.Time) bool {
	return s.options.ContactsInterval > 0 && now.Sub(s.contactsRead) >= s.options.ContactsInterval
}

func (s *Service) readContacts(ctx context.Context) []string {
	if s.options.Contacts == nil {
		return nil
	}
	s.contactsRead = time.Now()
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	contacts, err := s.options.Contacts(ctx)
	if err != nil {
		s.options.Metrics.Inc("membership_contacts_failed")
		s.options.Logger.Warn("contacts_unavailable", zap.Error(err))
		return nil
	}
	if s.options.ContactsInOrder {
		return contacts
	}
	const maxContacts = 16 // each may take Timing.JoinTimeout
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts[:min(len(contacts), maxContacts)]
}

func (s *Service) isAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.system.alone()
}
