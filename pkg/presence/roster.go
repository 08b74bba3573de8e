package presence

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// roster holds the incarnations replayed from the stream. It is not safe for concurrent use.
type roster struct {
	retention time.Duration
	next      int64     // offset of the next record to read
	tail      time.Time // log clock of the latest read that reached the tail
	entries   map[incarnationKey]*rosterEntry
	invalid   func(offset int64, err error) // called for each invalid record
}

// incarnationKey identifies an incarnation in one service.
type incarnationKey struct {
	id          string
	incarnation uint64
	service     string
}

type rosterEntry struct {
	Incarnation
	renewed time.Time // log clock of the latest announcement
}

func newRoster(retention time.Duration, invalid func(int64, error)) *roster {
	return &roster{retention: retention, next: 1, entries: make(map[incarnationKey]*rosterEntry), invalid: invalid}
}

// apply replays a batch and reports whether it reached the tail.
func (r *roster) apply(batch logstore.Batch) bool {
	if batch.Next < r.next {
		r.next = batch.First // the stream was recreated
	}
	for _, entry := range batch.Entries {
		if entry.Offset < r.next {
			continue
		}
		r.next = entry.Offset + 1
		record, err := decodeRecord(entry.Data)
		if err != nil {
			r.invalid(entry.Offset, err)
			continue
		}
		r.applyRecord(record, time.UnixMilli(entry.TimeMS))
	}
	if len(batch.Entries) == 0 && r.next < batch.First {
		r.next = batch.First // skip expired records
	}
	if r.next < batch.Next {
		return false
	}
	r.tail = time.UnixMilli(batch.TimeMS)
	r.expire(r.tail)
	return true
}

func (r *roster) applyRecord(record Record, at time.Time) {
	if record.Kind != KindAnnounce {
		r.endMatching(func(s *rosterEntry) bool { return s.ID == record.ID && s.Record.Incarnation == record.Incarnation }, at)
		return
	}
	k := incarnationKey{id: record.ID, incarnation: record.Incarnation, service: record.Service}
	if s, ok := r.entries[k]; ok {
		s.Record = record
		if at.After(s.renewed) {
			s.renewed = at
		}
		return
	}
	added := &rosterEntry{Incarnation: Incarnation{Record: record, Announced: at}, renewed: at}
	r.entries[k] = added
	r.endMatching(func(s *rosterEntry) bool { return s.ID == record.ID && s.Record.Incarnation < record.Incarnation }, at)
	added.Ended = r.endOfLateAnnouncement(record)
}

func (r *roster) endMatching(matches func(*rosterEntry) bool, at time.Time) {
	for _, s := range r.entries {
		if matches(s) && s.Ended.IsZero() {
			s.Ended = at
		}
	}
}

// endOfLateAnnouncement returns the end of an incarnation whose announcement arrives late: after that of a successor, or after its own
// end because the service changed in between. It returns zero if the incarnation has not ended.
func (r *roster) endOfLateAnnouncement(record Record) time.Time {
	var ended time.Time
	for _, s := range r.entries {
		if s.ID != record.ID {
			continue
		}
		at := time.Time{}
		switch {
		case s.Record.Incarnation > record.Incarnation:
			at = s.Announced
		case s.Record.Incarnation == record.Incarnation:
			at = s.Ended
		}
		if !at.IsZero() && (ended.IsZero() || at.Before(ended)) {
			ended = at
		}
	}
	return ended
}

// expire drops incarnations whose latest announcement is no longer retained by the log.
func (r *roster) expire(now time.Time) {
	for k, s := range r.entries {
		if now.Sub(s.renewed) > r.retention {
			delete(r.entries, k)
		}
	}
}

// forService returns the incarnations of a service, ended ones included, sorted by id, incarnation and service. An empty service
// selects all.
func (r *roster) forService(service string) []Incarnation {
	var selected []Incarnation
	for _, s := range r.entries {
		if service == "" || s.Service == service {
			selected = append(selected, s.Incarnation)
		}
	}
	slices.SortFunc(selected, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Record.Incarnation, b.Record.Incarnation), cmp.Compare(a.Service, b.Service))
	})
	return selected
}

// endedOrReplaced reports whether the incarnation has ended or has a successor.
func (r *roster) endedOrReplaced(id string, incarnation uint64) bool {
	for _, s := range r.entries {
		if s.ID != id {
			continue
		}
		if s.Record.Incarnation > incarnation || (s.Record.Incarnation == incarnation && !s.Ended.IsZero()) {
			return true
		}
	}
	return false
}
