package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/quarantine"
)

// Backoff between attempts to keep a record in the store.
const (
	minKeepBackoff = 200 * time.Millisecond
	maxKeepBackoff = 5 * time.Second
)

// keep makes Run keep the record of a request in the store, or remove it there, so that it outlasts a restart of all nodes.
func (q *quarantines) keep(request quarantine.Fingerprint) {
	q.mu.Lock()
	q.unkept[request] = true
	q.mu.Unlock()
	q.wake()
}

// keepAll does so with all records, since the store has come back from a copy and may have lost them. One node of the fleet does.
func (q *quarantines) keepAll() {
	if q.relay.indexInFleet() > 0 {
		return
	}
	for _, r := range q.table.Shared(time.Now()) {
		q.keep(r.Request)
	}
}

// wake makes Run look for records to keep.
func (q *quarantines) wake() {
	select {
	case q.changed <- struct{}{}:
	default: // it will look
	}
}

// takeUnkept removes and returns a request whose record is to be kept or removed.
func (q *quarantines) takeUnkept() (request quarantine.Fingerprint, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for request = range q.unkept {
		delete(q.unkept, request)
		return request, true
	}
	return request, false
}

// Run writes records to the store until ctx ends.
func (q *quarantines) Run(ctx context.Context) {
	backoff := minKeepBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		}
		for request, ok := q.takeUnkept(); ok; request, ok = q.takeUnkept() {
			if err := q.write(ctx, request); err == nil {
				backoff = minKeepBackoff
				continue
			}
			if clock.Sleep(ctx, backoff) != nil {
				return
			}
			backoff = min(2*backoff, maxKeepBackoff)
			q.keep(request)
		}
	}
}

// write makes the store hold what the table holds about a request.
func (q *quarantines) write(ctx context.Context, request quarantine.Fingerprint) error {
	record, ok := q.table.Get(time.Now(), request)
	var err error
	if ok && !record.Cleared {
		err = q.source.PutBlocked(ctx, record)
	} else {
		err = q.source.RemoveBlocked(ctx, request)
	}
	if err != nil {
		q.metrics.Inc("quarantine_not_kept")
		q.logger.Info("quarantine_not_kept", zap.Stringer("fingerprint", request), zap.Error(err))
	}
	return err
}

// observeKept applies the records that a starting node has read from the store. Those that have expired are removed there.
func (q *quarantines) observeKept(records []quarantine.Record) {
	q.merge(records, "store")
	for _, r := range records {
		if _, ok := q.table.Get(time.Now(), r.Request); !ok {
			q.keep(r.Request)
		}
	}
}
