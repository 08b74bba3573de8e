package presence

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// roster is the state replayed from the stream. It is not safe for concurrent use.
type roster struct {
	retention time.Duration
	next      int64     // offset of the next record to read
	tail      time.Time // log clock of the latest read that reached the tail
	known     map[key]*standing
	invalid   func(offset int64, err error) // called for each invalid record
}

// key names an incarnation in one service.
type key struct {
	id          string
	incarnation uint64
	service     string
}

type standing struct {
	Incarnation
	renewed time.Time // log clock of the latest announcement
}

func newRoster(retention time.Duration, invalid func(int64, error)) *roster {
	return &roster{retention: retention, next: 1, known: make(map[key]*standing), invalid: invalid}
}

// apply replays a batch and reports whether it reached the tail.
func (r *roster) apply(batch logstore.Batch) bool {
	if batch.Next < r.next {
		r.next = batch.First // the stream was started anew
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
		r.next = batch.First // expired records are not waited for
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
		r.end(func(s *standing) bool { return s.ID == record.ID && s.Record.Incarnation == record.Incarnation }, at)
		return
	}
	k := key{id: record.ID, incarnation: record.Incarnation, service: record.Service}
	if s, ok := r.known[k]; ok {
		s.Record = record
		if at.After(s.renewed) {
			s.renewed = at
		}
		return
	}
	added := &standing{Incarnation: Incarnation{Record: record, Announced: at}, renewed: at}
	r.known[k] = added
	r.end(func(s *standing) bool { return s.ID == record.ID && s.Record.Incarnation < record.Incarnation }, at)
	added.Ended = r.endOfEarlier(record)
}

func (r *roster) end(matches func(*standing) bool, at time.Time) {
	for _, s := range r.known {
		if matches(s) && s.Ended.IsZero() {
			s.Ended = at
		}
	}
}

// endOfEarlier returns when an incarnation ended whose announcement comes late: after that of a successor, or after its
// own end when the service changed meanwhile. It is zero if the incarnation lasts.
func (r *roster) endOfEarlier(record Record) time.Time {
	var ended time.Time
	for _, s := range r.known {
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
	for k, s := range r.known {
		if now.Sub(s.renewed) > r.retention {
			delete(r.known, k)
		}
	}
}

// of returns the incarnations of a service, ended ones included, sorted by id and incarnation. An empty service selects
// all.
func (r *roster) of(service string) []Incarnation {
	var selected []Incarnation
	for _, s := range r.known {
		if service == "" || s.Service == service {
			selected = append(selected, s.Incarnation)
		}
	}
	slices.SortFunc(selected, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Record.Incarnation, b.Record.Incarnation), cmp.Compare(a.Service, b.Service))
	})
	return selected
}

// endedOrReplaced reports whether the stream ends this incarnation.
func (r *roster) endedOrReplaced(id string, incarnation uint64) bool {
	for _, s := range r.known {
		if s.ID != id {
			continue
		}
		if s.Record.Incarnation > incarnation || (s.Record.Incarnation == incarnation && !s.Ended.IsZero()) {
			return true
		}
	}
	return false
}
