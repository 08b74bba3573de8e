package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pacedLoad offers calls to a rate-limited scheduler in simulated time and records the times of the grants.
type pacedLoad struct {
	*Scheduler
	now     time.Time
	grants  []time.Time
	byRank  map[int]int
	refused map[Reason]int
	running []*Ticket
	ends    []time.Time
}

func newPacedLoad(slots int) *pacedLoad {
	return &pacedLoad{Scheduler: NewScheduler(slots, DefaultPolicy()), now: time.Unix(1000, 0), byRank: make(map[int]int), refused: make(map[Reason]int)}
}

func (p *pacedLoad) offer(c Call, work time.Duration) {
	ticket := &Ticket{Call: c}
	ticket.Decide = func(r *Refusal) {
		if r != nil {
			p.refused[r.Reason]++
			return
		}
		p.grants = append(p.grants, p.now)
		p.byRank[c.Rank]++
		p.running, p.ends = append(p.running, ticket), append(p.ends, p.now.Add(work))
	}
	p.Offer(p.now, ticket)
}

// advance moves the time forward, and ends and grants calls on the way.
func (p *pacedLoad) advance(d time.Duration) {
	const step = time.Millisecond
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(step) {
		for i := 0; i < len(p.running); {
			if p.now.Before(p.ends[i]) {
				i++
				continue
			}
			ended := p.running[i]
			p.running, p.ends = append(p.running[:i], p.running[i+1:]...), append(p.ends[:i], p.ends[i+1:]...)
			p.Finish(p.now, ended, Answered)
		}
		if at, ok := p.NextGrant(p.now); ok && !at.After(p.now) {
			p.Tick(p.now)
		}
	}
}

// call returns a call with half a second to its target.
func (p *pacedLoad) call(rank int) Call {
	return Call{Class: "c", Rank: rank, Target: p.now.Add(500 * time.Millisecond), Deadline: p.now.Add(time.Second)}
}

// Guards against more grants than the rate limit allows in any window, and against a limit that is not used, for rates far below and far above
// what the slots allow.
func TestRateLimit_HoldsInEveryWindow(t *testing.T) {
	const window, length = 4 * time.Second, 20 * time.Second
	for _, rate := range []float64{0.5, 3, 18.5, 60, 400} {
		p := newPacedLoad(16)
		random := rand.New(rand.NewPCG(1, uint64(rate)))
		p.SetRateLimit(p.now, rate)
		for begin := p.now; p.now.Sub(begin) < length; {
			p.offer(p.call(random.IntN(3)), 20*time.Millisecond)
			p.advance(time.Duration(random.ExpFloat64() * float64(time.Second) / (2*rate + 5)))
		}
		allowed := rate*window.Seconds() + max(1, rate*DefaultPolicy().RateBurst.Seconds())
		first := 0
		for last, at := range p.grants {
			for at.Sub(p.grants[first]) > window {
				first++
			}
			require.LessOrEqual(t, float64(last-first+1), allowed+1, "rate %g", rate)
		}
		assert.GreaterOrEqual(t, float64(len(p.grants)), 0.8*rate*length.Seconds(), "rate %g", rate)
		assert.Positive(t, p.refused[RateLimited], "rate %g", rate)
	}
}

// Guards against a rate limit that is shared without regard to ranks: nested calls and urgent ones go first, and a less urgent rank keeps a part.
func TestRateLimit_RanksKeepTheirOrder(t *testing.T) {
	p := newPacedLoad(16)
	p.SetRateLimit(p.now, 20)
	offered := 0
	for begin := p.now; p.now.Sub(begin) < 20*time.Second; offered++ {
		for rank := Nested; rank <= 1; rank++ {
			p.offer(p.call(rank), 20*time.Millisecond)
		}
		p.advance(100 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, p.byRank[Nested], offered*95/100)
	assert.Greater(t, p.byRank[0], p.byRank[1])
	assert.GreaterOrEqual(t, p.byRank[1], offered/10, "the least urgent rank is not starved")
}

// Guards against callers that see free slots at a backend server that may get no call now, and against calls that hold capacity of the limit without
// reaching the backend server.
func TestRateLimit_LoadReportAndUnsentCalls(t *testing.T) {
	p := newPacedLoad(8)
	p.offer(p.call(0), 100*time.Millisecond)
	p.advance(200 * time.Millisecond)
	assert.Equal(t, 8, p.Load(p.now, "c").Limit)
	p.SetRateLimit(p.now, 10)
	l := p.Load(p.now, "c")
	assert.GreaterOrEqual(t, l.Running, l.Limit, "no call may be granted now")
	assert.InDelta(t, 10, float64(l.Limit)/l.SlotTime.Seconds(), 0.01, "the reported queue moves at the rate of the limit")

	p.advance(100 * time.Millisecond)
	busy := p.call(0)
	busy.NoQueue = true
	p.offer(busy, 0)
	p.offer(busy, 0)
	assert.Equal(t, 1, p.refused[Busy], "the second one found no capacity")
	unsent := p.running[len(p.running)-1]
	p.Finish(p.now, unsent, NotSent)
	p.running, p.ends = nil, nil
	p.offer(busy, 0)
	assert.Equal(t, 1, p.refused[Busy], "the unsent call has given its capacity back")

	p.LiftRateLimit(p.now)
	assert.Equal(t, 8, p.Load(p.now, "c").Limit)
}

// Guards against a queued call that is not granted when the rate limit allows it, because nothing else happens at that time.
func TestController_GrantsAtTheRateWithoutOtherEvents(t *testing.T) {
	c := New(8)
	c.SetRateLimit(50)
	begin := time.Now()
	for range 5 {
		now := time.Now()
		grant, refused := c.Acquire(t.Context(), Call{Class: "c", Target: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second)})
		require.Nil(t, refused)
		grant.Release(Answered)
	}
	assert.GreaterOrEqual(t, time.Since(begin), 80*time.Millisecond)
	assert.Less(t, time.Since(begin), 5*time.Second)
}
