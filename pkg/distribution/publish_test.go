package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// appendLog counts appends and lets a test act before or instead of them.
type appendLog struct {
	logstore.Log
	mu      sync.Mutex
	appends int
	hook    func(try int, do func() (logstore.Entry, error)) (logstore.Entry, error)
}

func (l *appendLog) Append(ctx context.Context, stream string, data json.RawMessage) (logstore.Entry, error) {
	do := func() (logstore.Entry, error) { return l.Log.Append(ctx, stream, data) }
	if stream != logstore.StreamConfig {
		return do()
	}
	l.mu.Lock()
	l.appends++
	try := l.appends
	l.mu.Unlock()
	return l.hook(try, do)
}

var errLost = apierror.New(apierror.Unknown, "answer lost", "")

// publisher starts one node whose appends pass through the hook.
func publisher(t *testing.T, hook func(try int, do func() (logstore.Entry, error)) (logstore.Entry, error)) (*fleet, *node, *appendLog) {
	f := newFleet(t, logservice.Options{})
	f.timing.PublishTimeout = 2 * time.Second
	m, listener := f.prepare("a1", "a")
	var log *appendLog
	n := f.launch(m, listener, func(o *Options) {
		log = &appendLog{Log: o.Log, hook: hook}
		o.Log = log
	})
	f.ready()
	return f, n, log
}

// Guards against a lost answer being reported as a failure or leading to a second effect.
func TestPublish_ResponseLost(t *testing.T) {
	f, n, log := publisher(t, func(_ int, do func() (logstore.Entry, error)) (logstore.Entry, error) {
		_, _ = do()
		return logstore.Entry{}, errLost
	})
	result := f.publish(n, template("one"))
	require.Equal(t, config.Result{Offset: 1, RecordID: "id-one", Outcome: config.Accepted}, result)
	require.Equal(t, 1, log.appends)
	require.Equal(t, result, f.publish(n, template("one")), "a repeat reports the same outcome")
	require.Equal(t, 1, log.appends)
}

// Guards against giving up when the append was lost on its way: it is repeated with the same id.
func TestPublish_RequestLost(t *testing.T) {
	f, n, log := publisher(t, func(try int, do func() (logstore.Entry, error)) (logstore.Entry, error) {
		if try == 1 {
			return logstore.Entry{}, errLost
		}
		return do()
	})
	require.Equal(t, config.Accepted, f.publish(n, template("one")).Outcome)
	require.Equal(t, 2, log.appends)
}

// Guards against a late first append taking effect a second time, or changing the reported outcome.
func TestPublish_LateAppend(t *testing.T) {
	f, n, _ := publisher(t, func(try int, do func() (logstore.Entry, error)) (logstore.Entry, error) {
		if try == 1 {
			return logstore.Entry{}, errLost
		}
		return do()
	})
	require.Equal(t, int64(1), f.publish(n, template("one")).Offset)
	f.put(template("one"))
	f.eventually("the late append is replayed", func() bool { return n.State().Offset == 2 })
	require.Equal(t, int64(1), n.State().Version)
	require.Equal(t, int64(1), f.publish(n, template("one")).Offset)
}

// Guards against "not appended" being reported while the record may be in the log, and the reverse.
func TestPublish_ErrorKinds(t *testing.T) {
	tests := []struct {
		name string
		hook func(n *node, do func() (logstore.Entry, error)) (logstore.Entry, error)
		want apierror.Kind
	}{
		{"refused before anything was appended", func(*node, func() (logstore.Entry, error)) (logstore.Entry, error) {
			return logstore.Entry{}, errCut
		}, apierror.Unavailable},
		{"answer lost, then cut off", func(n *node, do func() (logstore.Entry, error)) (logstore.Entry, error) {
			_, _ = do()
			n.log.setCut(true)
			return logstore.Entry{}, errLost
		}, apierror.Unknown},
		{"request lost each time", func(*node, func() (logstore.Entry, error)) (logstore.Entry, error) {
			return logstore.Entry{}, errLost
		}, apierror.Unknown},
		{"answered, then cut off", func(n *node, do func() (logstore.Entry, error)) (logstore.Entry, error) {
			entry, err := do()
			n.log.setCut(true)
			return entry, err
		}, apierror.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var n *node
			f, started, _ := publisher(t, func(_ int, do func() (logstore.Entry, error)) (logstore.Entry, error) { return test.hook(n, do) })
			n = started
			_, err := n.Publish(context.Background(), template("one"))
			require.Equal(t, test.want, apierror.KindOf(err), "%v", err)
			require.Contains(t, err.Error(), repeatRemedy)
			n.log.setCut(false)
			if f.tail() == 1 {
				require.Equal(t, int64(1), f.publish(n, template("one")).Offset, "the repeat finds the record")
				require.Equal(t, int64(1), f.tail())
			}
		})
	}
}

// Guards against an outage being reported as unknown although nothing was sent.
func TestPublish_LogServiceDown(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.timing.PublishTimeout = time.Second
	n := f.start("a1", "a")
	f.ready()
	for _, mode := range []logservice.Mode{logservice.Down, logservice.RefuseReads} {
		require.NoError(t, f.log.SetMode(logservice.Control{Mode: mode}))
		_, err := n.Publish(context.Background(), template("one"))
		require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
	}
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Up}))
	require.Equal(t, int64(0), f.tail())
}

// Guards against two winners, or none, when operators race; and against a loser that does not learn who won.
func TestPublish_ConcurrentOperators(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(4, "a")
	f.ready()
	base := f.publish(f.node("a1"), template("one")).Offset
	f.converged(base)
	results := make([]config.Result, 4)
	var group sync.WaitGroup
	for i, n := range f.every() {
		group.Go(func() {
			var err error
			results[i], err = n.Publish(context.Background(), amend("one", base, fmt.Sprintf("racer-%d", i)))
			require.NoError(t, err)
		})
	}
	group.Wait()
	winner := ""
	for _, r := range results {
		if r.Outcome == config.Accepted {
			require.Empty(t, winner)
			winner = r.RecordID
		}
	}
	require.NotEmpty(t, winner)
	for _, r := range results {
		if r.RecordID != winner {
			require.Equal(t, config.Conflict, r.Outcome)
			require.Contains(t, r.Errors.Error(), winner)
		}
	}
}

// Guards against bad records being appended.
func TestPublish_ValidatesBeforeAppend(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	n := f.start("a1", "a")
	f.ready()
	r := template("one")
	r.Payload = json.RawMessage(`{"body":{},"parameters":[{"name":"x","type":"colour"}]}`)
	require.Equal(t, config.Rejected, f.publish(n, r).Outcome)
	r = template("two")
	r.Entity.Name = "Not a name"
	_, err := n.Publish(context.Background(), r)
	require.Equal(t, apierror.Invalid, apierror.KindOf(err))
	require.Equal(t, config.Conflict, f.publish(n, amend("absent", 7, "id")).Outcome)
	require.Equal(t, int64(0), f.tail())
}

// Guards against a repeat after a restart losing the true outcome: the node did not replay the record itself.
func TestPublish_RetryAfterRestart(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.timing.CheckpointRecords = 1
	f.startAll(2, "a")
	f.ready()
	f.publish(f.node("a1"), template("one"))
	lost := f.put(amend("one", 0, "loser"))
	f.converged(1)
	f.eventually("replayed", func() bool { return f.node("a2").State().Offset == lost })
	require.True(t, f.node("a2").reset(t))
	require.Equal(t, config.Result{Offset: 1, RecordID: "id-one", Outcome: config.Accepted}, f.publish(f.node("a2"), template("one")))
	require.Equal(t, config.Conflict, f.publish(f.node("a2"), amend("one", 0, "loser")).Outcome)
	require.Equal(t, lost, f.tail())
}

// reset makes the node forget everything but its state, as after loading a checkpoint.
func (n *node) reset(t *testing.T) bool {
	encoded, err := n.State().Encode()
	require.NoError(t, err)
	state, err := config.DecodeState(encoded, n.State().Digest())
	require.NoError(t, err)
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	n.store.replace(state)
	return true
}

func (f *fleet) tail() int64 {
	batch, err := f.log.Read(context.Background(), logstore.StreamConfig, beyondTail, 1, 0)
	require.NoError(f.t, err)
	return batch.Next - 1
}
