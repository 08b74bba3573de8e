package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// exports and views are calls of one rank that differ in length and urgency.
func exports(rate func(time.Duration) float64) class {
	return class{name: "exports", rank: 1, rate: rate, service: 440 * time.Millisecond, target: 2500 * time.Millisecond, deadline: 8 * time.Second, retries: true, patient: true, lastNode: true}
}

func views(rate float64) class {
	return class{name: "views", rank: 1, rate: constantRate(rate), service: 70 * time.Millisecond, target: 250 * time.Millisecond, deadline: 800 * time.Millisecond, retries: true, lastNode: true}
}

// playWith simulates a backend server of half the usual speed under a changed policy.
func playWith(change func(*Policy), length time.Duration, classes ...class) map[string]*classResult {
	s := newSimulation(testSlots, func(time.Duration) float64 { return 0.5 }, 2*time.Second)
	change(&s.scheduler.policy)
	return s.run(length, classes...)
}

// Pattern: exports that hold slots for long beside short urgent views of the same rank. Guards against exports in all slots, so that a view finds
// none in time, and against room that costs exports more than views gain.
func TestRoom_ShortViewsBesideExports(t *testing.T) {
	const exportRate, viewRate = 16, 6
	without := playWith(func(p *Policy) { p.MaxRoomShare = 0 }, 60*time.Second, exports(constantRate(exportRate)), views(viewRate))
	with := playWith(func(*Policy) {}, 60*time.Second, exports(constantRate(exportRate)), views(viewRate))
	t.Logf("views in time %.3f, without room %.3f; exports served %.3f, without room %.3f", with["views"].inTimeShare(), without["views"].inTimeShare(), with["exports"].servedShare(), without["exports"].servedShare())
	gained := viewRate * (with["views"].inTimeShare() - without["views"].inTimeShare())
	lost := exportRate * (without["exports"].servedShare() - with["exports"].servedShare())
	assert.Greater(t, with["views"].inTimeShare(), 0.85)
	assert.Greater(t, gained, lost, "calls a second")
}

// Guards against slots that are kept for classes that do not call, or that calls of the same length are expected to free soon enough.
func TestRoom_IsGivenBack(t *testing.T) {
	s := NewScheduler(testSlots, DefaultPolicy())
	now := time.Unix(1000, 0)
	offer := func(c class) *Ticket {
		ticket := &Ticket{Call: Call{Class: c.name, Rank: c.rank, Target: now.Add(c.target), Deadline: now.Add(c.deadline)}, Decide: func(*Refusal) {}}
		s.Offer(now, ticket)
		return ticket
	}
	export, view := exports(nil), views(0)
	for range 30 {
		e, v := offer(export), offer(view)
		w := offer(view)
		now = now.Add(140 * time.Millisecond)
		s.Finish(now, v, Answered)
		s.Finish(now, w, Answered)
		now = now.Add(740 * time.Millisecond)
		s.Finish(now, e, Answered)
	}
	for range 2 * testSlots {
		offer(export)
	}
	assert.Less(t, s.running, testSlots, "room is kept for views")
	assert.Equal(t, decided, offer(view).state, "and a view gets it")
	now = now.Add(10 * demandWindow)
	s.dispatch(now)
	assert.Equal(t, testSlots, s.running, "it is given back")
}

// Pattern: a burst of exports beyond all slots for some seconds. Guards against callers who come back after a refusal and are refused for good, though
// slots become free before their deadline, and against late calls that take the slots of others.
func TestLate_ExportsFinishLateRatherThanNotAtAll(t *testing.T) {
	load := []class{exports(burstRate(6, 18, 5*time.Second, 8*time.Second)), views(3)}
	without := playWith(func(p *Policy) { p.LatePerSlot = 0 }, 20*time.Second, load...)
	with := playWith(func(*Policy) {}, 20*time.Second, load...)
	t.Logf("exports served %.3f, late %d; without %.3f, late %d; views in time %.3f, without %.3f", with["exports"].servedShare(), with["exports"].late,
		without["exports"].servedShare(), without["exports"].late, with["views"].inTimeShare(), without["views"].inTimeShare())
	assert.Greater(t, with["exports"].servedShare(), without["exports"].servedShare())
	assert.GreaterOrEqual(t, with["exports"].inTimeShare(), without["exports"].inTimeShare()-0.02)
	assert.GreaterOrEqual(t, with["views"].inTimeShare(), without["views"].inTimeShare()-0.02)
}

// Pattern: a lasting overload. Guards against calls that wait beyond their target until their deadline passes, instead of being refused at once.
func TestLate_LastingOverloadIsRefusedAtOnce(t *testing.T) {
	s := newSimulation(testSlots, normalSpeed, 5*time.Second)
	s.run(30*time.Second, exports(constantRate(60)))
	assert.Less(t, float64(s.refusedWaiting), 0.02*float64(s.results["exports"].refused), "refused after they waited beyond the target")
}

// Pattern: nested calls of less urgent parents exceed all slots. Guards against look-ups that crowd out more urgent callers.
func TestNested_DoNotCrowdOutMoreUrgentCallers(t *testing.T) {
	lookups := class{name: "lookups", rank: 2, nested: true, rate: constantRate(400), service: 30 * time.Millisecond, target: 200 * time.Millisecond, deadline: 500 * time.Millisecond}
	got := simulate(testSlots, 20*time.Second, normalSpeed, 2*time.Second, lookups, class{name: "orders", rank: 1, rate: constantRate(8), service: 100 * time.Millisecond, target: 400 * time.Millisecond, deadline: time.Second})
	assert.Greater(t, got["orders"].inTimeShare(), 0.9)
	assert.Greater(t, got["lookups"].servedShare(), 0.5)
}

// Pattern: one team surges to many times its usual. Guards against small teams that wait behind its calls.
func TestShares_SurgeOfOneTeamDoesNotStarveSmallOnes(t *testing.T) {
	load := []class{}
	for i := range 8 {
		load = append(load, class{name: fmt.Sprint("small-", i), kind: "browse", team: fmt.Sprint("small-", i), rank: 1, rate: constantRate(3), service: 170 * time.Millisecond, target: 500 * time.Millisecond, deadline: 1500 * time.Millisecond, retries: true})
	}
	load = append(load, class{name: "large", kind: "browse", team: "large", rank: 1, rate: burstRate(10, 90, 30*time.Second, 45*time.Second), service: 170 * time.Millisecond, target: 500 * time.Millisecond, deadline: 1500 * time.Millisecond, retries: true})
	run := func(allowance float64) (small, large float64) {
		s := newSimulation(testSlots, normalSpeed, 30*time.Second)
		s.scheduler.policy.TeamAllowance = allowance
		for name, got := range s.run(45*time.Second, load...) {
			if name == "large" {
				large = got.inTimeShare()
				continue
			}
			small += got.inTimeShare() / 8
		}
		return small, large
	}
	const never = 1e9
	smallWithout, largeWithout := run(never)
	small, large := run(DefaultPolicy().TeamAllowance)
	t.Logf("small teams in time %.3f, without shares %.3f; large one %.3f, without %.3f", small, smallWithout, large, largeWithout)
	assert.Greater(t, small, smallWithout+0.2)
	assert.Greater(t, large, 0.1, "it is not starved either")
}

// Guards against memory that grows with the number of teams, and against forgetting the teams that use the slots.
func TestShares_StateIsBounded(t *testing.T) {
	var shares teamShares
	now := time.Unix(1000, 0)
	shares.add(now, "busy", 10*time.Second)
	for i := range 3 * maxTeams {
		shares.add(now, fmt.Sprint(i), time.Millisecond)
	}
	assert.Len(t, shares.teams, maxTeams)
	assert.Contains(t, shares.teams, "busy")
}

// Guards, under any sequence of calls, against calls that are decided twice or never, more running calls than slots, and a free slot beside a waiting
// call that may have it.
func TestScheduler_QueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 10).Draw(t, "slots")
		s := NewScheduler(slots, DefaultPolicy())
		now := time.Unix(1000, 0)
		var running, open []*Ticket
		decisions := map[*Ticket]int{}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				target := time.Duration(rapid.IntRange(-100, 2500).Draw(t, "target")) * time.Millisecond
				ticket := &Ticket{Call: Call{
					Class: rapid.SampledFrom([]string{"view", "export"}).Draw(t, "class"), Rank: rapid.IntRange(-1, 2).Draw(t, "rank"), Nested: rapid.Bool().Draw(t, "nested"),
					Team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"), Target: now.Add(target), Deadline: now.Add(target + time.Duration(rapid.IntRange(1, 3000).Draw(t, "patience"))*time.Millisecond),
					IsRetry: rapid.Bool().Draw(t, "retry"), LastNode: rapid.Bool().Draw(t, "last"), NoQueue: rapid.IntRange(0, 4).Draw(t, "no queue") == 0,
				}}
				ticket.Decide = func(r *Refusal) {
					decisions[ticket]++
					if r == nil {
						running = append(running, ticket)
					}
				}
				open = append(open, ticket)
				s.Offer(now, ticket)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("none runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				ended := running[i]
				running = append(running[:i], running[i+1:]...)
				s.Finish(now, ended, rapid.SampledFrom([]Result{Answered, Shed, Inconclusive, NotSent}).Draw(t, "result"))
			},
			"withdraw": func(t *rapid.T) {
				if len(open) > 0 {
					s.Withdraw(now, rapid.SampledFrom(open).Draw(t, "which"), Cancelled)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
				s.dispatch(now) // any later event
			},
			"": func(t *rapid.T) {
				waiting := map[*Ticket]bool{}
				for _, c := range append(append([]*Ticket{}, s.queue...), s.late.calls...) {
					require.False(t, waiting[c], "queued twice")
					waiting[c] = true
					require.False(t, s.canGrantTo(now, c), "a slot is free for a waiting call")
				}
				for _, c := range open {
					require.LessOrEqual(t, decisions[c], 1)
					require.Equal(t, waiting[c], decisions[c] == 0, "either waiting or decided")
				}
				require.Len(t, running, s.running)
				require.LessOrEqual(t, s.running, slots)
				require.LessOrEqual(t, len(s.late.calls), s.policy.LatePerSlot*slots)
			},
		})
		s.Close(now)
		for _, c := range open {
			require.Equal(t, 1, decisions[c])
		}
	})
}

// Pattern: exports and views of one caller share a connection, on which responses keep the order of the requests. Guards against an export that waits in a
// queue while the responses of the views behind it become late.
func TestHoldUp_ACallThatOthersWaitForDoesNotQueueForLong(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewScheduler(1, DefaultPolicy())
	var refusal *Refusal
	offer := func(maxWait time.Duration) *Ticket {
		ticket := &Ticket{Call: Call{Class: "export", Target: now.Add(2500 * time.Millisecond), Deadline: now.Add(8 * time.Second), MaxWait: maxWait}, Decide: func(r *Refusal) { refusal = r }}
		s.Offer(now, ticket)
		return ticket
	}
	first := offer(0)
	now = now.Add(440 * time.Millisecond)
	s.Finish(now, first, Answered)
	offer(0)
	assert.Equal(t, queued, offer(0).state, "no call waits for this one")
	offer(WaitBeforeOthers(250 * time.Millisecond))
	require.NotNil(t, refusal)
	assert.Equal(t, HoldsUpOthers, refusal.Reason)
	assert.Greater(t, refusal.RetryAfter, 440*time.Millisecond, "its caller returns when the calls ahead have ended")
}

// Guards against a nested call whose parent's rank is lost, or outlives the parent.
func TestRunningRanks(t *testing.T) {
	var r RunningRanks
	assert.Equal(t, Nested, r.MostUrgent())
	r.Add(2, 1)
	r.Add(Nested, 1)
	r.Add(1000, 1)
	assert.Equal(t, 2, r.MostUrgent())
	r.Add(2, -1)
	assert.Equal(t, maxCountedRank, r.MostUrgent())
}
