package inbound

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/callctx"
)

// schedulerHarness drives a scheduler on a virtual clock.
type schedulerHarness struct {
	*scheduler
	now time.Time
}

func newSchedulerHarness(slots, initial int) *schedulerHarness {
	return &schedulerHarness{scheduler: newScheduler(newLimiter(slots, initial), 100, simRanks), now: time.Unix(1_800_000_000, 0)}
}

func (b *schedulerHarness) submitCall(rank string, timeout time.Duration) *call {
	c := &call{rank: b.rank(rank), arrivedAt: b.now, deadline: b.now.Add(timeout), decided: make(chan decision, 1)}
	b.submit(b.now, c)
	return c
}

// trainEstimate runs calls of a rank with the given service time, so that its estimate converges.
func (b *schedulerHarness) trainEstimate(rank string, service time.Duration, calls int) {
	for range calls {
		c := b.submitCall(rank, time.Minute)
		b.now = b.now.Add(service)
		b.finish(b.now, c, result{answered: true})
	}
}

// decisionOf returns "granted", "waiting" or the reason of the refusal.
func decisionOf(c *call) string {
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

// Guards against slots that are used for calls that cannot meet their deadline, and against refusals that are later than necessary.
func TestScheduler_RefusesCallsThatCannotMeetDeadline(t *testing.T) {
	b := newSchedulerHarness(1, 1)
	b.trainEstimate("bulk", 100*time.Millisecond, 20)
	running := b.submitCall("bulk", time.Second)
	require.Equal(t, "granted", decisionOf(running))
	waiting := b.submitCall("bulk", time.Second)
	require.Equal(t, "waiting", decisionOf(waiting))
	require.Equal(t, string(callctx.DeadlineUnreachable), decisionOf(b.submitCall("bulk", 150*time.Millisecond)), "150 ms of waiting, 100 ms of service")
	require.Equal(t, string(callctx.DeadlineExpired), decisionOf(b.submitCall("bulk", 0)))
	b.now = b.now.Add(500 * time.Millisecond)
	require.Equal(t, 400*time.Millisecond, b.expire(b.now, waiting).Round(time.Millisecond))
	require.Equal(t, "waiting", decisionOf(waiting))
	b.now = b.now.Add(400 * time.Millisecond)
	b.tick(b.now)
	require.Equal(t, string(callctx.DeadlineUnreachable), decisionOf(waiting), "the running call takes too long")
	b.finish(b.now, running, result{answered: true})
	require.Equal(t, callctx.Load{Limit: 1}, b.load())
}

// Guards against a backend server that gets no more calls because its stale estimate exceeds every deadline.
func TestScheduler_RecoversFromStaleEstimate(t *testing.T) {
	b := newSchedulerHarness(4, 4)
	b.trainEstimate("bulk", 5*time.Second, 20)
	require.Equal(t, "granted", decisionOf(b.submitCall("bulk", time.Second)), "the backend server is idle")
	require.Equal(t, string(callctx.DeadlineUnreachable), decisionOf(b.submitCall("bulk", time.Second)))
	for range 4 {
		b.now = b.now.Add(estimateMaxAge)
		b.tick(b.now)
	}
	require.Equal(t, "granted", decisionOf(b.submitCall("bulk", time.Second)), "the estimate has aged")
}

// Guards against calls that wait in the queue of a backend server that has stopped responding.
func TestScheduler_StalledBackendServer(t *testing.T) {
	b := newSchedulerHarness(1, 1)
	b.trainEstimate("bulk", 10*time.Millisecond, 20)
	b.submitCall("bulk", time.Minute)
	waiting := []*call{b.submitCall("bulk", 5*time.Second), b.submitCall("bulk", 5*time.Second)}
	b.now = b.now.Add(200 * time.Millisecond)
	b.tick(b.now)
	require.Equal(t, "waiting", decisionOf(waiting[0]))
	b.now = b.now.Add(800 * time.Millisecond)
	b.tick(b.now)
	require.Equal(t, string(callctx.RankOverShare), decisionOf(waiting[0]), "a queued call that would miss its target must be refused")
	require.Equal(t, "waiting", decisionOf(waiting[1]), "the last queued call must stay: no other call could use its slot")
	require.Equal(t, string(callctx.DeadlineUnreachable), decisionOf(b.submitCall("bulk", time.Second)), "a call that would miss its deadline behind a queued call must be refused")
}

// Guards against a Retry-After that ignores the length of the queue.
func TestScheduler_RetryAfterFollowsDrainRate(t *testing.T) {
	b := newSchedulerHarness(1, 1)
	b.trainEstimate("bulk", 100*time.Millisecond, 20)
	rank := b.rank("bulk")
	rank.policy.targetLatency = time.Hour
	for range 101 {
		require.NotContains(t, decisionOf(b.submitCall("bulk", time.Hour)), "rank")
	}
	c := b.submitCall("bulk", time.Hour)
	refused := (<-c.decided).refusal
	require.Equal(t, callctx.RankOverShare, refused.reason, "the queue holds 100 calls")
	require.Equal(t, "11", retryAfterSeconds(refused.retryAfter), "100 calls of 100 ms and the running one")
}

// Guards against calls that are lost or assigned to the wrong rank when a new configuration changes the ranks.
func TestScheduler_SetRanksKeepsCalls(t *testing.T) {
	b := newSchedulerHarness(1, 1)
	running := b.submitCall("normal", time.Minute)
	orphan := b.submitCall("bulk", time.Minute)
	b.setRanks([]rankPolicy{{name: "new", minShare: 0.5, targetLatency: time.Second}, simRanks[0]})
	urgent := b.submitCall("urgent", time.Minute)
	unknown := b.submitCall("no such rank", time.Minute)
	require.Equal(t, "new", b.ranks[0].policy.name)
	require.Same(t, b.rank("bulk"), unknown.rank, "an unknown rank counts as the least urgent")
	b.now = b.now.Add(time.Millisecond)
	b.finish(b.now, running, result{answered: true})
	require.Equal(t, "granted", decisionOf(urgent))
	b.finish(b.now, urgent, result{answered: true})
	require.Equal(t, "granted", decisionOf(orphan))
	b.finish(b.now, orphan, result{answered: true})
	require.Equal(t, "granted", decisionOf(unknown))
	b.finish(b.now, unknown, result{answered: true})
	b.setRanks(simRanks[:1])
	require.Len(t, b.ranks, 1)
}

// saturate reports successful calls with the given latency that use the limit fully.
func saturate(l *limiter, now *time.Time, calls int, latency time.Duration, inflation float64) {
	for range calls {
		*now = now.Add(latency / time.Duration(l.current()))
		l.recordSuccess(*now, true, latency, inflation)
	}
}

// Guards against a limit that overloads a cold backend server, exceeds the announced slots or does not recover.
func TestLimiter_AdaptsToBackendServer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := newLimiter(10, 2)
	l.setSlots(10, true)
	saturate(l, &now, 100, 20*time.Millisecond, 1)
	require.Equal(t, 2, l.current(), "warming")
	l.setSlots(10, false)
	saturate(l, &now, 200, 20*time.Millisecond, 1)
	require.Equal(t, 10, l.current())
	saturate(l, &now, 1000, 20*time.Millisecond, 5)
	require.GreaterOrEqual(t, l.current(), 3, "latency alone does not lower the limit further")
	require.Less(t, l.current(), 5)
	saturate(l, &now, 200, 20*time.Millisecond, 1)
	require.Equal(t, 10, l.current())
	l.setSlots(4, false)
	require.Equal(t, 4, l.current(), "the limit must not exceed the announced slots")
	l.setSlots(10, true)
	l.setSlots(10, false)
	require.Equal(t, 2, l.current(), "the limit must be low after a restart of the backend server")
}

// Guards against a limit that probes the level of the last shed again every few service times, with one more shed call each time.
func TestLimiter_RemembersShedLevel(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := newLimiter(10, 2)
	const actualSlots = 4
	shed := 0
	start := now
	for now.Sub(start) < time.Minute {
		now = now.Add(20 * time.Millisecond / time.Duration(l.current()))
		if l.current() > actualSlots {
			l.recordShed(now, l.current())
			shed++
			continue
		}
		l.recordSuccess(now, true, 20*time.Millisecond, 1)
	}
	t.Logf("shed=%d limit=%d", shed, l.current())
	require.LessOrEqual(t, shed, 20)
	require.GreaterOrEqual(t, l.current(), actualSlots-1)
	l.recordShed(now, 1)
	for range 100 {
		now = now.Add(minDecreaseInterval)
		l.recordShed(now, 1)
	}
	require.Equal(t, 1, l.current())
}

// Guards against a decision that is lost between the scheduler and a waiting goroutine.
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
