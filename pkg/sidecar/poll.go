package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/clock"
)

// StoreCallTimeout bounds a call to the store, beyond the wait of a long poll. A slow store takes some hundred milliseconds.
const StoreCallTimeout = time.Second

// ErrIncompleteResponse is wrapped by the error of a call whose response did not arrive completely, for example over a link that is full.
var ErrIncompleteResponse = errors.New("incomplete response")

const (
	defaultStoreRecovery = 3 * time.Second
	// recoveryMargin is the part of Bounds.StoreRecovery that is left for reading the store again and relaying what it holds.
	recoveryMargin = 750 * time.Millisecond
	minPollWait    = 500 * time.Millisecond
	maxPollWait    = 3 * time.Second
	// standbyPollWait is the wait of the readers of a data centre other than the first one.
	standbyPollWait = 8 * time.Second
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = time.Second // bounds the delay until a recovered store is read again
)

// poller reads the store again and again. A store may silently drop calls: a pending poll then stays unanswered even after the store has
// recovered. The first reader of a data centre must notice that within Bounds.StoreRecovery, at the latest when a call that was sent just before
// the recovery times out:
//   - The wait of a poll and the timeout together are shorter than StoreRecovery.
//   - As long as the store does not respond, the calls do not wait for the next record, so that they time out sooner.
//   - A call that has timed out is not followed by a pause as well.
type poller struct {
	source     Source
	wait       time.Duration // of the first reader of a data centre
	isStandby  func() bool   // whether another node of the data centre notices sooner that the store drops calls
	backoff    time.Duration // after the next failed call
	responding bool          // the latest call succeeded
}

func newPoller(source Source, recovery time.Duration, isStandby func() bool) *poller {
	if recovery == 0 {
		recovery = defaultStoreRecovery
	}
	return &poller{
		source: source, wait: min(max(recovery-StoreCallTimeout-recoveryMargin, minPollWait), maxPollWait), isStandby: isStandby,
		backoff: minBackoff, responding: true,
	}
}

// next waits for records since the position.
func (p *poller) next(ctx context.Context, position StorePosition) (Published, error) {
	switch {
	case !p.responding:
		return p.source.Next(ctx, position, 0)
	case p.isStandby():
		return p.nextAsStandby(ctx, position)
	}
	return p.source.Next(ctx, position, p.wait)
}

// nextAsStandby waits longer, until this node becomes the first reader of its data centre. The store may have dropped the poll by then, so the
// node reads again.
func (p *poller) nextAsStandby(ctx context.Context, position StorePosition) (Published, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for clock.Sleep(pollCtx, readerCheckInterval) == nil {
			if !p.isStandby() {
				cancel()
			}
		}
	}()
	published, err := p.source.Next(pollCtx, position, standbyPollWait)
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		return p.source.Next(ctx, position, 0)
	}
	return published, err
}

// succeeded records that a call succeeded.
func (p *poller) succeeded() { p.backoff, p.responding = minBackoff, true }

// isTurnedAway reports whether the store does not serve this node, after a call has failed with err. The failure of a single call may have
// another cause. One suffices if another node has asked this one to read, since that node was turned away before.
func (p *poller) isTurnedAway(err error, wasAsked bool) bool {
	hasResponded := apierror.KindOf(err) == apierror.NotFound || errors.Is(err, ErrIncompleteResponse)
	return !hasResponded && (wasAsked || !p.responding)
}

// failed records that a call failed, and waits before the next one. The calls start at random intervals that increase up to 1.5 maxBackoff, or
// when the call before has timed out.
func (p *poller) failed(ctx context.Context, callStarted time.Time) {
	p.responding = false
	interval := p.backoff/2 + time.Duration(rand.Int64N(int64(p.backoff)))
	p.backoff = min(2*p.backoff, maxBackoff)
	// An error means that ctx has ended, which the caller checks.
	_ = clock.Sleep(ctx, interval-time.Since(callStarted))
}
