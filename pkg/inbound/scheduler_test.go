package inbound

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// bench drives a scheduler on a virtual clock.
type bench struct {
	*scheduler
	now time.Time
}

func newBench(slots, initial int) *bench {
	return &bench{scheduler: newScheduler(newLimiter(slots, initial), 100, simRanks), now: time.Unix(1_800_000_000, 0)}
}

func (b *bench) call(rank string, timeout time.Duration) *call {
	c := &call{rank: b.rank(rank), arrived: b.now, deadline: b.now.Add(timeout), decided: make(chan decision, 1)}
	b.offer(b.now, c)
	return c
}

// train makes the service time of a rank known.
func (b *bench) train(rank string, service time.Duration, calls int) {
	for range calls {
		c := b.call(rank, time.Minute)
		b.now = b.now.Add(service)
		b.finish(b.now, c, result{answered: true})
	}
}

// reason returns the reason of a refusal, "granted" or "waiting".
func reason(c *call) string {
	select {
	case d := <-c.decided:
		if d.refusal == nil {
			return "granted"
		}
		return string(d.refusal.reason)
	default:
		return "waiting"
	}
}

// Guards against slots that are spent on calls that cannot meet their deadline, and against refusals that come late.
func TestScheduler_RefusesCallsThatCannotMeetDeadline(t *testing.T) {
	b := newBench(1, 1)
	b.train("bulk", 100*time.Millisecond, 20)
	running := b.call("bulk", time.Second)
	require.Equal(t, "granted", reason(running))
	waiting := b.call("bulk", time.Second)
	require.Equal(t, "waiting", reason(waiting))
	require.Equal(t, string(callctx.DeadlineUnreachable), reason(b.call("bulk", 150*time.Millisecond)), "150 ms of waiting, 100 ms of service")
	require.Equal(t, string(callctx.DeadlineExpired), reason(b.call("bulk", 0)))
	b.now = b.now.Add(500 * time.Millisecond)
	require.Equal(t, 400*time.Millisecond, b.expire(b.now, waiting).Round(time.Millisecond))
	require.Equal(t, "waiting", reason(waiting))
	b.now = b.now.Add(400 * time.Millisecond)
	b.tick(b.now)
	require.Equal(t, string(callctx.DeadlineUnreachable), reason(waiting), "the running call takes too long")
	b.finish(b.now, running, result{answered: true})
	require.Equal(t, callctx.Load{Limit: 1}, b.load())
}

// Guards against a backend server that never gets a call again, because an outdated estimate makes all look hopeless.
func TestScheduler_RecoversFromStaleEstimate(t *testing.T) {
	b := newBench(4, 4)
	b.train("bulk", 5*time.Second, 20)
	require.Equal(t, "granted", reason(b.call("bulk", time.Second)), "the backend server is idle")
	require.Equal(t, string(callctx.DeadlineUnreachable), reason(b.call("bulk", time.Second)))
	for range 4 {
		b.now = b.now.Add(staleEstimate)
		b.tick(b.now)
	}
	require.Equal(t, "granted", reason(b.call("bulk", time.Second)), "the estimate has aged")
}

// Guards against a queue that keeps callers waiting for a backend server that has stopped to answer.
func TestScheduler_StalledBackendServer(t *testing.T) {
	b := newBench(1, 1)
	b.train("bulk", 10*time.Millisecond, 20)
	b.call("bulk", time.Minute)
	waiting := []*call{b.call("bulk", 5*time.Second), b.call("bulk", 5*time.Second)}
	b.now = b.now.Add(200 * time.Millisecond)
	b.tick(b.now)
	require.Equal(t, "waiting", reason(waiting[0]))
	b.now = b.now.Add(800 * time.Millisecond)
	b.tick(b.now)
	require.Equal(t, string(callctx.RankOverShare), reason(waiting[0]), "it will miss its target")
	require.Equal(t, "waiting", reason(waiting[1]), "nobody else could use its place")
	require.Equal(t, string(callctx.DeadlineUnreachable), reason(b.call("bulk", time.Second)), "behind one call that waits for the stall to end")
}

// Guards against a Retry-After that ignores how long the queue is.
func TestScheduler_RetryAfterFollowsDrainRate(t *testing.T) {
	b := newBench(1, 1)
	b.train("bulk", 100*time.Millisecond, 20)
	rank := b.rank("bulk")
	rank.policy.target = time.Hour
	for range 101 {
		require.NotContains(t, reason(b.call("bulk", time.Hour)), "rank")
	}
	c := b.call("bulk", time.Hour)
	refused := (<-c.decided).refusal
	require.Equal(t, callctx.RankOverShare, refused.reason, "the queue holds 100 calls")
	require.Equal(t, "11", retryAfterSeconds(refused.retryAfter), "100 calls of 100 ms and the running one")
}

// Guards against calls that are lost or misplaced when a new configuration changes the ranks.
func TestScheduler_SetRanksKeepsCalls(t *testing.T) {
	b := newBench(1, 1)
	running := b.call("normal", time.Minute)
	orphan := b.call("bulk", time.Minute)
	b.setRanks([]rankPolicy{{name: "new", share: 0.5, target: time.Second}, simRanks[0]})
	urgent := b.call("urgent", time.Minute)
	unknown := b.call("no such rank", time.Minute)
	require.Equal(t, "new", b.ranks[0].policy.name)
	require.Same(t, b.rank("bulk"), unknown.rank, "an unknown rank counts as the least urgent")
	b.now = b.now.Add(time.Millisecond)
	b.finish(b.now, running, result{answered: true})
	require.Equal(t, "granted", reason(urgent))
	b.finish(b.now, urgent, result{answered: true})
	require.Equal(t, "granted", reason(orphan))
	b.finish(b.now, orphan, result{answered: true})
	require.Equal(t, "granted", reason(unknown))
	b.finish(b.now, unknown, result{answered: true})
	b.setRanks(simRanks[:1])
	require.Len(t, b.ranks, 1)
}

// run keeps the limiter saturated with calls of that latency.
func run(l *limiter, now *time.Time, calls int, latency time.Duration, inflation float64) {
	for range calls {
		*now = now.Add(latency / time.Duration(l.current()))
		l.succeeded(*now, true, latency, inflation)
	}
}

// Guards against a limit that overloads a cold backend server, exceeds the announced slots or never recovers.
func TestLimiter_AdaptsToBackendServer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := newLimiter(10, 2)
	l.setSlots(10, true)
	run(l, &now, 100, 20*time.Millisecond, 1)
	require.Equal(t, 2, l.current(), "warming")
	l.setSlots(10, false)
	run(l, &now, 200, 20*time.Millisecond, 1)
	require.Equal(t, 10, l.current())
	run(l, &now, 1000, 20*time.Millisecond, 5)
	require.GreaterOrEqual(t, l.current(), 3, "latency alone does not stop the work")
	require.Less(t, l.current(), 5)
	run(l, &now, 200, 20*time.Millisecond, 1)
	require.Equal(t, 10, l.current())
	l.setSlots(4, false)
	require.Equal(t, 4, l.current(), "fewer slots announced")
	l.setSlots(10, true)
	l.setSlots(10, false)
	require.Equal(t, 2, l.current(), "it has restarted")
}

// Guards against a sawtooth that sheds a call every few service times because the limit forgets where it was shed.
func TestLimiter_RemembersShedLevel(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := newLimiter(10, 2)
	const true4Slots = 4
	shed := 0
	start := now
	for now.Sub(start) < time.Minute {
		now = now.Add(20 * time.Millisecond / time.Duration(l.current()))
		if l.current() > true4Slots {
			l.shed(now, l.current())
			shed++
			continue
		}
		l.succeeded(now, true, 20*time.Millisecond, 1)
	}
	t.Logf("shed=%d limit=%d", shed, l.current())
	require.LessOrEqual(t, shed, 20)
	require.GreaterOrEqual(t, l.current(), true4Slots-1)
	l.shed(now, 1)
	for range 100 {
		now = now.Add(minLimitInterval)
		l.shed(now, 1)
	}
	require.Equal(t, 1, l.current())
}

// Guards against a decision that is lost between the scheduler and a waiting call, with real goroutines.
func TestAdmission_AcquireUnderContention(t *testing.T) {
	a := newAdmission(newScheduler(newLimiter(3, 3), 1000, simRanks), time.Now)
	ended := make(chan struct{})
	for i := range 200 {
		go func() {
			defer func() { ended <- struct{}{} }()
			ctx, cancel := context.WithCancel(context.Background())
			if i%5 == 0 {
				cancel()
			}
			defer cancel()
			c, refused := a.acquire(ctx, simRanks[i%3].name, time.Now().Add(time.Minute))
			if refused == nil {
				a.release(c, result{answered: true})
			}
		}()
	}
	for range 200 {
		<-ended
	}
	require.Equal(t, callctx.Load{Limit: 3}, a.load())
	a.close(callctx.Draining)
	_, refused := a.acquire(context.Background(), "urgent", time.Now().Add(time.Minute))
	require.Equal(t, callctx.Draining, refused.reason)
	require.Zero(t, a.load().Limit)
}
