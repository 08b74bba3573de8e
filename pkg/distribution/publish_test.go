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

// appendLog counts appends to stream config and passes them to a hook, which may replace them.
type appendLog struct {
	logstore.Log
	mu      sync.Mutex
	appends int
	hook    func(attempt int, do func() (logstore.Entry, error)) (logstore.Entry, error)
}

func (l *appendLog) Append(ctx context.Context, stream string, data json.RawMessage) (logstore.Entry, error) {
	do := func() (logstore.Entry, error) { return l.Log.Append(ctx, stream, data) }
	if stream != logstore.StreamConfig {
		return do()
	}
	l.mu.Lock()
	l.appends++
	attempt := l.appends
	l.mu.Unlock()
	return l.hook(attempt, do)
}

var errResponseLost = apierror.New(apierror.Unknown, "response lost", "")

// startPublisher starts one node whose appends pass through the hook.
func startPublisher(t *testing.T, hook func(attempt int, do func() (logstore.Entry, error)) (logstore.Entry, error)) (*fleet, *node, *appendLog) {
	f := newFleet(t, logservice.Options{})
	f.timing.PublishTimeout = 2 * time.Second
	m, listener := f.addMember("a1", "a")
	var log *appendLog
	n := f.launch(m, listener, func(o *Options) {
		log = &appendLog{Log: o.Log, hook: hook}
		o.Log = log
	})
	f.waitReady()
	return f, n, log
}

// Guards against a lost response being reported as a failure or causing a second append.
func TestPublish_ResponseLost(t *testing.T) {
	f, n, log := startPublisher(t, func(_ int, do func() (logstore.Entry, error)) (logstore.Entry, error) {
		_, _ = do()
		return logstore.Entry{}, errResponseLost
	})
	result := f.publish(n, template("one"))
	require.Equal(t, config.Result{Offset: 1, RecordID: "id-one", Outcome: config.Accepted}, result)
	require.Equal(t, 1, log.appends)
	require.Equal(t, result, f.publish(n, template("one")), "a retry returns the same result")
	require.Equal(t, 1, log.appends)
}

// Guards against a publish failing because the append request was lost: it is retried with the same record id.
func TestPublish_RequestLost(t *testing.T) {
	f, n, log := startPublisher(t, func(attempt int, do func() (logstore.Entry, error)) (logstore.Entry, error) {
		if attempt == 1 {
			return logstore.Entry{}, errResponseLost
		}
		return do()
	})
	require.Equal(t, config.Accepted, f.publish(n, template("one")).Outcome)
	require.Equal(t, 2, log.appends)
}

// Guards against a delayed first append, arriving after its retry, taking effect again or changing the reported result.
func TestPublish_LateAppend(t *testing.T) {
	f, n, _ := startPublisher(t, func(attempt int, do func() (logstore.Entry, error)) (logstore.Entry, error) {
		if attempt == 1 {
			return logstore.Entry{}, errResponseLost
		}
		return do()
	})
	require.Equal(t, int64(1), f.publish(n, template("one")).Offset)
	f.appendRecord(template("one"))
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
		{"refused before the append", func(*node, func() (logstore.Entry, error)) (logstore.Entry, error) {
			return logstore.Entry{}, errDisconnected
		}, apierror.Unavailable},
		{"response lost, then disconnected", func(n *node, do func() (logstore.Entry, error)) (logstore.Entry, error) {
			_, _ = do()
			n.log.setDisconnected(true)
			return logstore.Entry{}, errResponseLost
		}, apierror.Unknown},
		{"request lost each time", func(*node, func() (logstore.Entry, error)) (logstore.Entry, error) {
			return logstore.Entry{}, errResponseLost
		}, apierror.Unknown},
		{"acknowledged, then disconnected", func(n *node, do func() (logstore.Entry, error)) (logstore.Entry, error) {
			entry, err := do()
			n.log.setDisconnected(true)
			return entry, err
		}, apierror.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var n *node
			f, started, _ := startPublisher(t, func(_ int, do func() (logstore.Entry, error)) (logstore.Entry, error) { return test.hook(n, do) })
			n = started
			_, err := n.Publish(context.Background(), template("one"))
			require.Equal(t, test.want, apierror.KindOf(err), "%v", err)
			require.Contains(t, err.Error(), retryRemedy)
			n.log.setDisconnected(false)
			if f.tail() == 1 {
				require.Equal(t, int64(1), f.publish(n, template("one")).Offset, "the retry finds the record")
				require.Equal(t, int64(1), f.tail())
			}
		})
	}
}

// Guards against reporting the outcome as unknown when an outage prevented the append.
func TestPublish_LogServiceDown(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.timing.PublishTimeout = time.Second
	n := f.start("a1", "a")
	f.waitReady()
	for _, mode := range []logservice.Mode{logservice.Down, logservice.RefuseReads} {
		require.NoError(t, f.log.SetMode(logservice.Control{Mode: mode}))
		_, err := n.Publish(context.Background(), template("one"))
		require.Equal(t, apierror.Unavailable, apierror.KindOf(err))
	}
	require.NoError(t, f.log.SetMode(logservice.Control{Mode: logservice.Up}))
	require.Equal(t, int64(0), f.tail())
}

// Guards against concurrent amendments of one revision of which none or more than one is accepted, and against a conflict
// that does not name the accepted record.
func TestPublish_ConcurrentOperators(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.startAll(4, "a")
	f.waitReady()
	base := f.publish(f.node("a1"), template("one")).Offset
	f.waitConverged(base)
	results := make([]config.Result, 4)
	var group sync.WaitGroup
	for i, n := range f.runningNodes() {
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

// Guards against invalid records being appended.
func TestPublish_ValidatesBeforeAppend(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	n := f.start("a1", "a")
	f.waitReady()
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

// Guards against a retry after a restart returning a wrong outcome when the node did not replay the record itself.
func TestPublish_RetryAfterRestart(t *testing.T) {
	f := newFleet(t, logservice.Options{})
	f.timing.CheckpointRecords = 1
	f.startAll(2, "a")
	f.waitReady()
	f.publish(f.node("a1"), template("one"))
	lost := f.appendRecord(amend("one", 0, "loser"))
	f.waitConverged(1)
	f.eventually("replayed", func() bool { return f.node("a2").State().Offset == lost })
	require.True(t, f.node("a2").forgetResults(t))
	require.Equal(t, config.Result{Offset: 1, RecordID: "id-one", Outcome: config.Accepted}, f.publish(f.node("a2"), template("one")))
	require.Equal(t, config.Conflict, f.publish(f.node("a2"), amend("one", 0, "loser")).Outcome)
	require.Equal(t, lost, f.tail())
}

// forgetResults drops everything but the state of the node, as loading a checkpoint does.
func (n *node) forgetResults(t *testing.T) bool {
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
