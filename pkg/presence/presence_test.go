package presence

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var start = time.UnixMilli(1_700_000_000_000)

// fakeLog is an in-memory log with a controllable clock, failures and lost responses.
type fakeLog struct {
	mu      sync.Mutex
	entries []logstore.Entry
	now     time.Time
	fail    int // number of appends to reject
	lose    int // number of appends that are stored but whose response is lost
	down    bool
	reads   int
	gate    chan struct{} // if set, each read waits for it
	step    time.Duration // the clock advances by this at each read
}

var errDown = errors.New("log is down")

func (l *fakeLog) Append(_ context.Context, _ string, data json.RawMessage) (logstore.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.fail > 0 {
		l.fail--
		return logstore.Entry{}, errDown
	}
	entry := logstore.Entry{Offset: int64(len(l.entries) + 1), TimeMS: l.now.UnixMilli(), Data: data}
	l.entries = append(l.entries, entry)
	if l.lose > 0 {
		l.lose--
		l.now = l.now.Add(time.Second)
		return logstore.Entry{}, errDown
	}
	return entry, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, limit int, _ time.Duration) (logstore.Batch, error) {
	if l.gate != nil {
		select {
		case <-l.gate:
		case <-ctx.Done():
			return logstore.Batch{}, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	l.now = l.now.Add(l.step)
	if l.down {
		return logstore.Batch{}, errDown
	}
	next := int64(len(l.entries) + 1)
	first := min(max(from, 1), next)
	entries := l.entries[first-1:]
	return logstore.Batch{Entries: entries[:min(len(entries), limit)], First: 1, Next: next, TimeMS: l.now.UnixMilli()}, nil
}

func (l *fakeLog) add(t *testing.T, at time.Time, r Record) {
	t.Helper()
	data, err := json.Marshal(r)
	require.NoError(t, err)
	l.addRaw(at, data)
}

func (l *fakeLog) addRaw(at time.Time, data json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, logstore.Entry{Offset: int64(len(l.entries) + 1), TimeMS: at.UnixMilli(), Data: data})
	l.now = at
}

func announce(id string, incarnation uint64, service string) Record {
	return Record{Kind: KindAnnounce, ID: id, Incarnation: incarnation, Service: service, ControlAddress: id + ":1"}
}

func newPresence(log logstore.Log, registry *metrics.Registry) *Presence {
	self := membership.Member{ID: "vm-1", Incarnation: 5, ControlAddress: "vm-1:1"}
	return New(Options{Log: log, Self: self, Retention: time.Hour, Metrics: registry})
}

func run(t *testing.T, p *Presence) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

func waitForWindow(t *testing.T, p *Presence) (time.Time, time.Time) {
	t.Helper()
	require.Eventually(t, func() bool { _, _, ok := p.Window(); return ok }, time.Minute, time.Millisecond)
	established, renewed, _ := p.Window()
	return established, renewed
}

// Guards against a window that starts before the log acknowledges an append: rejected appends and lost responses must delay it.
func TestWindowStartsAtAcknowledgedAppend(t *testing.T) {
	log := &fakeLog{now: start, fail: 1, lose: 1}
	p := newPresence(log, nil)
	_, _, ok := p.Window()
	require.False(t, ok)
	run(t, p)
	p.SetService("tracker")
	established, renewed := waitForWindow(t, p)
	require.Equal(t, start.Add(time.Second), established, "the append with the lost response must not count")
	require.Equal(t, established, renewed)

	roster, err := p.Roster(context.Background(), "tracker", start)
	require.NoError(t, err)
	require.Len(t, roster, 1)
	require.Equal(t, start, roster[0].Announced, "readers use the first record, even if the node did not see its acknowledgement")
}

// Guards against a window that spans a period in which the stream did not contain this node.
func TestWindowRestartsAfterLapse(t *testing.T) {
	p := newPresence(&fakeLog{now: start}, nil)
	p.SetService("tracker")
	p.updateWindow("tracker", start)
	inTime := start.Add(20 * time.Minute)
	p.updateWindow("tracker", inTime)
	established, renewed, _ := p.Window()
	require.Equal(t, start, established)
	require.Equal(t, inTime, renewed)

	late := inTime.Add(time.Hour)
	p.updateWindow("tracker", late)
	established, renewed, _ = p.Window()
	require.Equal(t, late, established)
	require.Equal(t, late, renewed)

	p.SetService("dispatch")
	_, _, ok := p.Window()
	require.False(t, ok, "readers of the new service do not know of this node yet")
}

// Guards against a process that keeps its window open after the stream has ended its incarnation.
func TestWindowClosesAtRemovalAndSuccessor(t *testing.T) {
	for name, record := range map[string]Record{
		"removed":   {Kind: KindRemoved, ID: "vm-1", Incarnation: 5},
		"successor": announce("vm-1", 6, "tracker"),
	} {
		t.Run(name, func(t *testing.T) {
			log := &fakeLog{now: start}
			p := newPresence(log, nil)
			p.SetService("tracker")
			p.announce(context.Background(), "tracker")
			_, _, ok := p.Window()
			require.True(t, ok)
			log.add(t, start.Add(time.Minute), record)
			p.announce(context.Background(), "tracker")
			_, _, ok = p.Window()
			require.False(t, ok)
		})
	}
}

// Guards against wrong end times of incarnations, which would cause a call to be executed twice.
func TestRoster_IncarnationEnds(t *testing.T) {
	log := &fakeLog{}
	at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	log.add(t, at(1), announce("a", 1, "tracker"))
	log.add(t, at(2), announce("a", 1, "tracker"))
	log.add(t, at(3), announce("b", 1, "tracker"))
	log.add(t, at(4), Record{Kind: KindLeft, ID: "b", Incarnation: 1})
	log.add(t, at(5), announce("b", 1, "tracker")) // a late duplicate does not revive it
	log.add(t, at(6), announce("c", 2, "tracker"))
	log.add(t, at(7), announce("c", 1, "tracker")) // late record of the predecessor
	log.add(t, at(8), announce("d", 1, "tracker"))
	log.add(t, at(9), announce("d", 2, "dispatch")) // the successor serves something else
	log.add(t, at(10), Record{Kind: KindRemoved, ID: "a", Incarnation: 2})

	roster, err := newPresence(log, nil).Roster(context.Background(), "tracker", at(10))
	require.NoError(t, err)
	got := make(map[string]time.Time)
	for _, i := range roster {
		got[i.ID+string(rune('0'+i.Record.Incarnation))] = i.Ended
	}
	require.Equal(t, map[string]time.Time{
		"a1": {}, "b1": at(4), "c1": at(6), "c2": {}, "d1": at(9),
	}, got)
	require.Equal(t, at(1), roster[0].Announced)
}

// Guards against invalid records that block the reader of the stream.
func TestInvalidRecordsAreCountedAndSkipped(t *testing.T) {
	log, registry := &fakeLog{}, metrics.New()
	for _, raw := range []string{
		`"text"`, `{`, `{"kind":"announce"}`, `{"kind":"other","id":"a","incarnation":1}`, `null`, `[]`,
		`{"kind":"announce","id":"a","incarnation":-1,"service":"s","control_address":"a:1"}`,
	} {
		log.addRaw(start, json.RawMessage(raw))
	}
	log.add(t, start, announce("a", 1, "tracker"))
	roster, err := newPresence(log, registry).Roster(context.Background(), "tracker", start)
	require.NoError(t, err)
	require.Len(t, roster, 1)
	require.EqualValues(t, 7, registry.Values()["presence_invalid_record"])
}

// Guards against a roster that is staler than the caller allows, and against unnecessary reads.
func TestRoster_ReadsOnlyWhenStale(t *testing.T) {
	log := &fakeLog{step: time.Millisecond}
	log.add(t, start, announce("a", 1, "tracker"))
	p := newPresence(log, nil)
	_, err := p.Roster(context.Background(), "tracker", start)
	require.NoError(t, err)
	_, err = p.Roster(context.Background(), "tracker", start)
	require.NoError(t, err)
	require.Equal(t, 1, log.reads, "the first read must be reused")

	log.add(t, start, announce("b", 1, "tracker"))
	roster, err := p.Roster(context.Background(), "tracker", start.Add(20*time.Millisecond))
	require.NoError(t, err)
	require.Len(t, roster, 2)
	require.False(t, p.roster.tail.Before(start.Add(20*time.Millisecond)), "reads until the log's clock has passed readAfter")

	log.down = true
	_, err = p.Roster(context.Background(), "tracker", start.Add(time.Hour))
	require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
}

// Guards against one read of the log per caller, and against a cancelled caller that fails the others.
func TestRosterSharesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{gate: make(chan struct{})}
		log.add(t, start, announce("a", 1, "tracker"))
		p := newPresence(log, nil)
		cancelled, cancel := context.WithCancel(context.Background())
		results := make(chan error, 20)
		readRoster := func(ctx context.Context) {
			_, err := p.Roster(ctx, "tracker", start)
			results <- err
		}
		go readRoster(cancelled)
		synctest.Wait()
		cancel()
		require.Error(t, <-results, "a cancelled caller must not wait for the read")
		for range cap(results) {
			go readRoster(context.Background())
		}
		synctest.Wait()
		close(log.gate)
		for range cap(results) {
			require.NoError(t, <-results)
		}
		require.Equal(t, 1, log.reads)
	})
}

// Guards against a roster that keeps incarnations forever after their records have expired from the log.
func TestRosterExpires(t *testing.T) {
	log := &fakeLog{}
	log.add(t, start, announce("a", 1, "tracker"))
	p := newPresence(log, nil)
	later := start.Add(time.Hour + time.Second)
	log.now = later
	roster, err := p.Roster(context.Background(), "tracker", later)
	require.NoError(t, err)
	require.Empty(t, roster)
}

// Guards against a leaving process that announces itself again, and against invalid end records.
func TestEndIncarnation(t *testing.T) {
	log := &fakeLog{now: start, lose: 1}
	p := newPresence(log, nil)
	p.SetService("tracker")
	p.announce(context.Background(), "tracker")
	require.NoError(t, p.EndIncarnation(context.Background(), KindLeft, "vm-1", 5))
	service, _ := p.nextAnnouncement(start)
	require.Empty(t, service)
	contacts, err := p.Contacts(context.Background())
	require.NoError(t, err)
	require.Empty(t, contacts)

	require.Equal(t, apierror.Invalid, apierror.KindOf(p.EndIncarnation(context.Background(), KindAnnounce, "vm-1", 5)))
	require.Equal(t, apierror.Invalid, apierror.KindOf(p.EndIncarnation(context.Background(), KindLeft, "vm-1", 0)))
	log.down = true
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, apierror.Unknown, apierror.KindOf(p.EndIncarnation(stopped, KindRemoved, "vm-2", 1)))
}

// Guards against an announcement that expires because it is not renewed, and against a Run that stops retrying during an outage.
func TestRun_RenewsAndRetriesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{now: start, down: true}
		p := newPresence(log, nil)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { p.Run(ctx); close(stopped) }()
		count := func() int {
			synctest.Wait()
			log.mu.Lock()
			defer log.mu.Unlock()
			return len(log.entries)
		}
		p.SetService("tracker")
		time.Sleep(10 * time.Minute)
		require.Zero(t, count())
		log.mu.Lock()
		log.down = false
		log.mu.Unlock()
		time.Sleep(2 * maxAppendBackoff)
		require.Equal(t, 1, count())
		time.Sleep(19 * time.Minute)
		require.Equal(t, 1, count(), "renewed at a third of the retention of one hour, not before")
		time.Sleep(time.Minute)
		require.Equal(t, 2, count())
		cancel()
		<-stopped
	})
}
