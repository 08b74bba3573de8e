package presence

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// readKey is the singleflight key of the shared read.
const readKey = "tail"

// errNoProgress ends a read if the log service reports records before the tail but does not return them, which would otherwise loop
// forever.
var errNoProgress = errors.New("the log service returned no records before the tail")

// Roster returns the incarnations that have served the service, ended ones included. The result includes all records up to
// readAfter (log clock). It reads the presence stream to its tail only if no earlier read covers that time, and concurrent calls
// share one read. An error of kind Unavailable means that the log could not be read; the roster is then unknown.
func (p *Presence) Roster(ctx context.Context, service string, readAfter time.Time) ([]Incarnation, error) {
	for {
		p.mu.Lock()
		lag := readAfter.Sub(p.roster.tail)
		neverRead := p.roster.tail.IsZero()
		var selected []Incarnation
		if lag <= 0 && !neverRead {
			selected = p.roster.forService(service)
		}
		p.mu.Unlock()
		if lag <= 0 && !neverRead {
			return selected, nil
		}
		if err := p.readToTail(ctx); err != nil {
			return nil, err
		}
		if err := p.waitForLogClock(ctx, readAfter); err != nil {
			return nil, err
		}
	}
}

// waitForLogClock sleeps for the time by which the log clock of the latest read is behind readAfter.
func (p *Presence) waitForLogClock(ctx context.Context, readAfter time.Time) error {
	p.mu.Lock()
	lag := readAfter.Sub(p.roster.tail)
	p.mu.Unlock()
	if lag <= 0 {
		return nil
	}
	if err := clock.Sleep(ctx, lag); err != nil {
		return unavailable(err)
	}
	return nil
}

// Contacts reads the presence stream to its tail and returns the control addresses of the incarnations that have not ended.
func (p *Presence) Contacts(ctx context.Context) ([]string, error) {
	if err := p.readToTail(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, i := range p.roster.forService("") {
		if i.Ended.IsZero() && !slices.Contains(addresses, i.ControlAddress) {
			addresses = append(addresses, i.ControlAddress)
		}
	}
	return addresses, nil
}

// readToTail joins the read in flight or starts one. The read itself is independent of the context of a single caller.
func (p *Presence) readToTail(ctx context.Context) error {
	result := p.reads.DoChan(readKey, func() (any, error) {
		shared, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		return nil, p.readBatches(shared)
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return unavailable(ctx.Err())
	}
}

func (p *Presence) readBatches(ctx context.Context) error {
	for {
		p.mu.Lock()
		next := p.roster.next
		p.mu.Unlock()
		batch, err := p.options.Log.Read(ctx, logstore.StreamPresence, next, batchLimit, 0)
		if err != nil {
			p.options.Metrics.Inc("presence_read_failed")
			return unavailable(err)
		}
		p.mu.Lock()
		reached := p.roster.apply(batch)
		progress := p.roster.next != next
		p.mu.Unlock()
		if reached {
			return nil
		}
		if !progress {
			return unavailable(errNoProgress)
		}
	}
}

func unavailable(err error) error {
	return apierror.New(apierror.Unavailable, "presence stream: "+err.Error(), "check the log service and the setting platform.urls")
}
