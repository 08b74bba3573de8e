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
	batchLimit           = 1000 // records per read
	readTimeout          = 10 * time.Second
	defaultRetention     = 24 * time.Hour
	initialAppendBackoff = 200 * time.Millisecond
	maxAppendBackoff     = 5 * time.Second
	// renewalMargin is the time before the expiry of an announcement by which it must be renewed: attempt 1 of a call is accepted
	// up to 30 s after the call was made, and clocks differ by up to 2 s.
	renewalMargin = time.Minute
)

// Options configure a Presence. Log and Self are required.
type Options struct {
	Log       logstore.Log
	Self      membership.Member // id, addresses, region, data centre and incarnation
	Retention time.Duration     // of records in the log; default 24 h
	Metrics   *metrics.Registry // nil: metrics are discarded
	Logger    *zap.Logger       // nil: logs are discarded
}

// Presence announces this node on the presence stream and reads the stream. It is safe for concurrent use.
type Presence struct {
	options Options
	reads   singleflight.Group
	wake    chan struct{} // wakes Run after the service was set or the window changed

	mu     sync.Mutex
	roster *roster
	window window
}

// window is the state of this node's own announcement. Times are on the log clock unless noted.
type window struct {
	service        string // to announce; empty until the backend server announces itself
	announced      string // service to which established and renewed apply
	established    time.Time
	renewed        time.Time
	acknowledgedAt time.Time // local clock of the latest acknowledgement
	ended          bool      // by EndIncarnation, an operator or a successor
}

// New returns a Presence. It does not read the stream yet.
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
	p.roster = newRoster(o.Retention, p.reportInvalid)
	return p
}

func (p *Presence) reportInvalid(offset int64, err error) {
	p.options.Metrics.Inc("presence_invalid_record")
	p.options.Logger.Warn("presence_record_skipped", zap.Int64("offset", offset), zap.Error(err))
}

// SetService sets the service of this node's backend server. Run appends the announcement. A change of the service closes the
// window until the new announcement is acknowledged.
func (p *Presence) SetService(service string) {
	p.mu.Lock()
	changed := service != "" && service != p.window.service
	if changed {
		p.window.service = service
	}
	p.mu.Unlock()
	if changed {
		p.wakeRun()
	}
}

func (p *Presence) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Window returns the log clock of the first and the latest acknowledged announcement without a lapse between them. ok is false before
// the first acknowledgement, during a change of the service, and after the end of this incarnation.
func (p *Presence) Window() (established, renewed time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.window
	if w.ended || w.established.IsZero() || w.announced != w.service {
		return time.Time{}, time.Time{}, false
	}
	return w.established, w.renewed, true
}

// Run appends the announcement after SetService and renews it after each third of the retention, until ctx ends.
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

// nextAnnouncement returns the service to announce and the time until the announcement is due. The service is empty if there is
// nothing to announce.
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
	return w.service, w.acknowledgedAt.Add(p.options.Retention / 3).Sub(now)
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

// announce appends one announcement, retrying while the log is unavailable. A lost response causes a duplicate announcement, whose only
// effect is a later start of the window.
func (p *Presence) announce(ctx context.Context, service string) {
	self := p.options.Self
	record := Record{
		Kind: KindAnnounce, ID: self.ID, Region: self.Region, DataCentre: self.DataCentre, Service: service,
		ControlAddress: self.ControlAddress, CallAddress: self.CallAddress, APIAddress: self.APIAddress,
		Incarnation: self.Incarnation,
	}
	entry, err := p.appendRecord(ctx, record)
	if err != nil {
		return // ctx ended
	}
	p.updateWindow(service, time.UnixMilli(entry.TimeMS))
	if p.readToTail(ctx) == nil {
		p.closeIfEnded()
	}
}

// updateWindow updates the window after an acknowledged announcement. If the previous announcement may have expired before it, a new
// window starts: readers of the stream may not have known of this node in between.
func (p *Presence) updateWindow(service string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.window
	margin := min(renewalMargin, p.options.Retention/4)
	lapsed := at.Sub(w.renewed) > p.options.Retention-margin
	if w.announced != service || w.established.IsZero() || lapsed {
		w.established = at
		w.renewed = at
	}
	w.announced = service
	w.acknowledgedAt = time.Now()
	if at.After(w.renewed) {
		w.renewed = at
	}
}

// closeIfEnded closes the window if, according to the stream, this incarnation has ended.
func (p *Presence) closeIfEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.window.ended || !p.roster.endedOrReplaced(p.options.Self.ID, p.options.Self.Incarnation) {
		return
	}
	p.window.ended = true
	p.options.Metrics.Inc("presence_ended_by_stream")
	p.options.Logger.Error("presence_ended", zap.String("id", p.options.Self.ID),
		zap.String("remedy", "the presence stream contains a successor or a removal of this process; replace the VM"))
}

// appendRecord appends a record, retrying with full jitter until the log accepts it or ctx ends.
func (p *Presence) appendRecord(ctx context.Context, record Record) (logstore.Entry, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return logstore.Entry{}, apierror.New(apierror.Internal, "encoding a presence record: "+err.Error(), "")
	}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval, policy.RandomizationFactor = initialAppendBackoff, maxAppendBackoff, 1
	attempt := func() (logstore.Entry, error) {
		entry, err := p.options.Log.Append(ctx, logstore.StreamPresence, data)
		if err != nil {
			p.options.Metrics.Inc("presence_append_failed")
		}
		return entry, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
}

// EndIncarnation appends a record of kind "left" or "removed" for an incarnation, retrying while the log is unavailable until ctx
// ends. An error of kind Unknown means that the record may have been appended; a retry is harmless.
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
		p.wakeRun()
	}
	if _, err := p.appendRecord(ctx, record); err != nil {
		return apierror.New(apierror.Unknown, "appending presence record "+kind+" of "+id+": "+err.Error(), "retry the command when the log service is available")
	}
	return nil
}
