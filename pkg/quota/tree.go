package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxChildren bounds the nodes that report to one collector. A data centre with more nodes has several collectors.
	maxChildren = 32
	// avoidFor is how long a node that did not respond is not asked again.
	avoidFor = 2 * time.Second
)

// Member is a node of the fleet.
type Member struct {
	ID         string
	DataCentre string
	Address    string
	Alive      bool // as far as the membership knows
}

// Exchange is an exchange of reports that is due.
type Exchange struct {
	To       Member
	Relation Relation // of To, as seen from this node
	Next     time.Duration
}

// Schedule decides with whom a node exchanges reports, and when. It is safe for concurrent use.
type Schedule struct {
	self   string
	ledger *Ledger
	timing Timing
	random func() float64

	mu      sync.Mutex
	version uint64 // of the members that the order was computed from
	order   []orderedMember
	avoided map[string]time.Duration // until when
	uppers  []Exchange               // with whom this node exchanges of its own accord; nil: to be computed again
	latest  map[string]period        // with each upper node
	started bool                     // exchanges were scheduled
}

// period is the time from an exchange to the next one.
type period struct {
	start    time.Duration
	promised time.Duration // length
}

// orderedMember is a member in the order of its hash.
type orderedMember struct {
	Member
	hash uint64
}

// NewSchedule returns the schedule of a node.
func NewSchedule(self string, l *Ledger) *Schedule {
	return &Schedule{
		self: self, ledger: l, timing: l.options.Timing, random: l.options.Random,
		avoided: make(map[string]time.Duration), latest: make(map[string]period),
	}
}

// Due returns the exchanges to start now. It is called at least every Timing.Near. members is called when version has changed.
func (s *Schedule) Due(now time.Duration, version uint64, members func() []Member) []Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := s.ledger.Interval(now)
	if interval == 0 {
		return nil // no team has a limit
	}
	if s.order == nil || version != s.version {
		s.version, s.order, s.uppers = version, ordered(members()), nil
	}
	for id, until := range s.avoided {
		if now > until {
			delete(s.avoided, id)
			s.uppers = nil
		}
	}
	if s.uppers == nil {
		s.uppers = s.findUppers()
	}
	relations := make(map[string]Relation, len(s.uppers))
	var due []Exchange
	for _, e := range s.uppers {
		relations[e.To.ID] = e.Relation
		latest, ok := s.latest[e.To.ID]
		if !ok && !s.started {
			// Nodes that start together report at different times.
			s.latest[e.To.ID] = period{now - time.Duration(s.random()*float64(s.timing.Near)), s.timing.Near}
			continue
		}
		if e.Relation == Peer {
			latest.start = max(latest.start, s.ledger.heard(e.To.ID))
		}
		if ok && now-latest.start < min(interval, latest.promised) {
			continue
		}
		s.latest[e.To.ID] = period{now, interval}
		e.Next = interval
		due = append(due, e)
	}
	s.started = s.started || len(s.uppers) > 0
	for id := range s.latest {
		if _, ok := relations[id]; !ok {
			delete(s.latest, id)
		}
	}
	s.ledger.Retain(now, relations)
	return due
}

// Failed notes that a node did not respond. The next one in order is asked instead at the next call of Due.
func (s *Schedule) Failed(now time.Duration, id string) {
	s.ledger.Lost(now, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[id], s.uppers = now+avoidFor, nil
	delete(s.latest, id)
}

func ordered(members []Member) []orderedMember {
	order := make([]orderedMember, 0, len(members))
	for _, m := range members {
		order = append(order, orderedMember{m, xxhash.Sum64String(m.ID)})
	}
	slices.SortFunc(order, func(a, b orderedMember) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	return order
}

// findUppers returns the nodes that this one exchanges with of its own accord: its parent, or the first nodes of the other data centres.
func (s *Schedule) findUppers() []Exchange {
	var own string
	for i := range s.order {
		if s.order[i].ID == s.self {
			own = s.order[i].DataCentre
		}
	}
	var group []orderedMember
	heads := []Exchange{}
	seen := map[string]bool{own: true}
	nodes := 0
	for _, m := range s.order {
		if m.DataCentre == own {
			nodes++
		}
		if _, avoided := s.avoided[m.ID]; m.ID != s.self && (avoided || !m.Alive) {
			continue
		}
		if m.DataCentre == own {
			group = append(group, m)
		} else if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			heads = append(heads, Exchange{To: m.Member, Relation: Peer})
		}
	}
	if len(group) == 0 || group[0].ID == s.self {
		return heads
	}
	if parent := parentOf(s.self, group, (nodes+maxChildren-1)/maxChildren); parent != nil {
		return []Exchange{{To: *parent, Relation: Parent}}
	}
	return []Exchange{}
}

// parentOf returns the node that a node of a data centre reports to: the first one if it is a collector itself, or one of the collectors.
func parentOf(self string, group []orderedMember, collectors int) *Member {
	collectors = min(collectors, len(group))
	var best *Member
	var weight uint64
	for i := range collectors {
		if group[i].ID == self {
			return &group[0].Member
		}
		if w := xxhash.Sum64String(self + "/" + group[i].ID); best == nil || w > weight {
			best, weight = &group[i].Member, w
		}
	}
	return best
}
