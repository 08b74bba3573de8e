package presence

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
)

const (
	batchLimit       = 1000 // records per read
	readTimeout      = 10 * time.Second
	defaultRetention = 24 * time.Hour
	minimumRetry     = 200 * time.Millisecond
	maximumRetry     = 5 * time.Second
	// lapseMargin is how long before its expiry an announcement no longer counts as renewed in time: attempt 1 of a
	// call is taken up to 30 s after the call was made, and clocks differ by up to 2 s.
	lapseMargin = time.Minute
)

// Options configure a Presence. Log and Self are required.
type Options struct {
	Log       logstore.Log
	Self      membership.Member // id, addresses, region, data centre and incarnation
	Retention time.Duration     // how long the log keeps a record; default 24 h
	Metrics   *metrics.Registry // nil: not counted
	Logger    *zap.Logger       // nil: no log
}

// Presence announces this node on the presence stream and reads the stream. It is safe for concurrent use.
type Presence struct {
	options Options
	reads   singleflight.Group
	wake    chan struct{} // the service was set or the window changed

	mu     sync.Mutex
	roster *roster
	window window
}

// window is the state of this node's own announcement.
type window struct {
	service     string // to be announced; empty until the backend server announces itself
	announced   string // the service of established and renewed
	established time.Time
	renewed     time.Time
	answered    time.Time // local clock of the latest acknowledgement
	ended       bool      // by End, an operator or a successor
}

// New returns a Presence that has read nothing yet.
func New(o Options) *Presence {
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	p := &Presence{options: o, wake: make(chan struct{}, 1)}
	p.roster = newRoster(o.Retention, p.skipInvalid)
	return p
}

func (p *Presence) skipInvalid(offset int64, err error) {
	p.options.Metrics.Inc("presence_invalid_record")
	p.options.Logger.Warn("presence_record_skipped", zap.Int64("offset", offset), zap.Error(err))
}

// SetService names the service of this node's backend server. The announcement is appended by Run. A change of the
// service closes the window until the new announcement is acknowledged.
func (p *Presence) SetService(service string) {
	p.mu.Lock()
	changed := service != "" && service != p.window.service
	if changed {
		p.window.service = service
	}
	p.mu.Unlock()
	if changed {
		p.notify()
	}
}

func (p *Presence) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Window returns the log clock of the first and the latest acknowledged announcement. It is not ok before the first one
// and after the end of this incarnation.
func (p *Presence) Window() (established, renewed time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.window
	if w.ended || w.established.IsZero() || w.announced != w.service {
		return time.Time{}, time.Time{}, false
	}
	return w.established, w.renewed, true
}

// Run appends the announcement after SetService and renews it at a third of the retention, until ctx ends.
func (p *Presence) Run(ctx context.Context) {
	for ctx.Err() == nil {
		service, due := p.nextAnnouncement(time.Now())
		if service != "" && due <= 0 {
			p.announce(ctx, service)
			continue
		}
		p.sleep(ctx, due)
	}
}

// nextAnnouncement returns the service to announce and the time until then. An empty service means nothing to announce.
func (p *Presence) nextAnnouncement(now time.Time) (string, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.window
	if w.service == "" || w.ended {
		return "", p.options.Retention
	}
	if w.announced != w.service {
		return w.service, 0
	}
	return w.service, w.answered.Add(p.options.Retention / 3).Sub(now)
}

func (p *Presence) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-p.wake:
	case <-timer.C:
	}
}

// announce appends one announcement, retrying while the log is unavailable. A lost answer leads to a second
// announcement, which only makes the window start later.
func (p *Presence) announce(ctx context.Context, service string) {
	self := p.options.Self
	record := Record{
		Kind: KindAnnounce, ID: self.ID, Region: self.Region, DataCentre: self.DataCentre, Service: service,
		ControlAddress: self.ControlAddress, CallAddress: self.CallAddress, APIAddress: self.APIAddress,
		Incarnation: self.Incarnation,
	}
	entry, err := p.append(ctx, record)
	if err != nil {
		return // ctx ended
	}
	p.acknowledged(service, time.UnixMilli(entry.TimeMS))
	if p.readToTail(ctx) == nil {
		p.closeIfEnded()
	}
}

// acknowledged moves the window. An announcement that comes after the one before it may have expired starts a new
// window: in between, readers of the stream could not know of this node.
func (p *Presence) acknowledged(service string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.window
	margin := min(lapseMargin, p.options.Retention/4)
	lapsed := at.Sub(w.renewed) > p.options.Retention-margin
	if w.announced != service || w.established.IsZero() || lapsed {
		w.established = at
		w.renewed = at
	}
	w.announced = service
	w.answered = time.Now()
	if at.After(w.renewed) {
		w.renewed = at
	}
}

// closeIfEnded closes the window when the stream says that this incarnation has ended.
func (p *Presence) closeIfEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.window.ended || !p.roster.endedOrReplaced(p.options.Self.ID, p.options.Self.Incarnation) {
		return
	}
	p.window.ended = true
	p.options.Metrics.Inc("presence_ended_by_stream")
	p.options.Logger.Error("presence_ended", zap.String("id", p.options.Self.ID),
		zap.String("remedy", "the stream names a successor or a removal of this process; replace the VM"))
}

// append retries with full jitter until the log accepts the record or ctx ends.
func (p *Presence) append(ctx context.Context, record Record) (logstore.Entry, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return logstore.Entry{}, apierror.New(apierror.Internal, "encoding a presence record: "+err.Error(), "")
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval, pauses.RandomizationFactor = minimumRetry, maximumRetry, 1
	try := func() (logstore.Entry, error) {
		entry, err := p.options.Log.Append(ctx, logstore.StreamPresence, data)
		if err != nil {
			p.options.Metrics.Inc("presence_append_failed")
		}
		return entry, err
	}
	return backoff.Retry(ctx, try, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0))
}

// EndIncarnation appends a record of kind "left" or "removed" for an incarnation, retrying while the log is unavailable until ctx
// ends. An error of kind Unknown means that the record may have been appended; repeating it does no harm.
func (p *Presence) EndIncarnation(ctx context.Context, kind, id string, incarnation uint64) error {
	record := Record{Kind: kind, ID: id, Incarnation: incarnation}
	if kind == KindAnnounce {
		return apierror.InvalidField("kind", "announce does not end an incarnation", "use left or removed")
	}
	if err := record.validate(); err != nil {
		return err
	}
	if id == p.options.Self.ID && incarnation == p.options.Self.Incarnation {
		p.mu.Lock()
		p.window.ended = true
		p.mu.Unlock()
		p.notify()
	}
	if _, err := p.append(ctx, record); err != nil {
		return apierror.New(apierror.Unknown, "presence record "+kind+" of "+id+": "+err.Error(), "repeat the command when the log service is available")
	}
	return nil
}
