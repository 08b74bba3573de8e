package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type fixture struct {
	*Chooser
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.Chooser = New(Options{DataCentre: "seeb", Policy: DefaultPolicy(), Now: func() time.Time { return f.now }})
	return f
}

func endpoint(dataCentre string, number int) Endpoint {
	return Endpoint{ID: fmt.Sprintf("%s-%d", dataCentre, number), DataCentre: dataCentre, Slots: 9}
}

// report makes one call to the endpoint, which returns the load report.
func (f *fixture) report(e Endpoint, l Load) {
	choice := f.Pick([]Endpoint{e}, Requirements{Class: "eta", TimeToTarget: time.Second})
	choice.Done(Healthy, &l)
}

func fastLoad(running int) Load {
	return Load{Running: running, Limit: 9, SlotTime: 100 * time.Millisecond, ClassTime: 100 * time.Millisecond, ClassSpread: 20 * time.Millisecond, Answered: 1}
}

// shares returns the share of the picks that each endpoint gets over many calls. The calls return no load reports.
func (f *fixture) shares(endpoints []Endpoint, timeToTarget time.Duration) map[string]float64 {
	const picks = 400
	counts := map[string]int{}
	for range picks {
		choice := f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: timeToTarget})
		counts[choice.ID]++
		choice.Done(Healthy, nil)
	}
	shares := map[string]float64{}
	for id, n := range counts {
		shares[id] = float64(n) / picks
	}
	return shares
}

// Guards against calls to a machine whose processor is taken by other processes for some hundred milliseconds. It is avoided for that time
// only.
func TestPick_AvoidsSlowMachineTemporarily(t *testing.T) {
	f := newFixture()
	endpoints := []Endpoint{endpoint("seeb", 1), endpoint("seeb", 2), endpoint("seeb", 3)}
	for i, e := range endpoints {
		l := fastLoad(2)
		l.Slowness = 1
		if i == 0 {
			l.Slowness = 2.5
		}
		f.report(e, l)
	}
	assert.Zero(t, f.shares(endpoints, 250*time.Millisecond)["seeb-1"])
	f.now = f.now.Add(400 * time.Millisecond)
	assert.Greater(t, f.shares(endpoints, 250*time.Millisecond)["seeb-1"], 0.2)
}

// Guards against needless traffic between data centres: if all endpoints are in time, the local one is chosen.
func TestPick_PrefersOwnDataCentre(t *testing.T) {
	f := newFixture()
	endpoints := []Endpoint{endpoint("nizwa", 1), endpoint("seeb", 1), endpoint("sohar", 1)}
	for _, e := range endpoints {
		f.report(e, fastLoad(2))
	}
	assert.Equal(t, 1.0, f.shares(endpoints, 400*time.Millisecond)["seeb-1"])
}

// Guards against late calls at a local backend server that is much slower than those of other data centres.
func TestPick_AvoidsSlowLocalBackendServer(t *testing.T) {
	f := newFixture()
	slow, other := endpoint("seeb", 1), endpoint("nizwa", 1)
	f.report(slow, Load{Running: 2, Limit: 9, SlotTime: 350 * time.Millisecond, ClassTime: 350 * time.Millisecond, ClassSpread: 100 * time.Millisecond, Answered: 1})
	f.report(other, fastLoad(2))
	assert.Equal(t, 1.0, f.shares([]Endpoint{slow, other}, 400*time.Millisecond)["nizwa-1"])
	assert.Equal(t, 1.0, f.shares([]Endpoint{slow, other}, 2*time.Second)["seeb-1"], "a long target makes the slow endpoint good enough")
}

// Guards against a wrong trade-off if the local endpoint is a little less likely in time: small calls leave the data centre, large ones do
// not.
func TestPick_WeighsBytesBetweenDataCentres(t *testing.T) {
	for bytes, want := range map[int]string{500: "nizwa-1", 6000: "seeb-1"} {
		f := newFixture()
		near, far := endpoint("seeb", 1), endpoint("nizwa", 1)
		f.report(near, Load{Running: 1, Limit: 9, SlotTime: 200 * time.Millisecond, ClassTime: 200 * time.Millisecond, ClassSpread: 120 * time.Millisecond, Answered: 1})
		f.report(far, fastLoad(1))
		assert.Equal(t, want, f.Pick([]Endpoint{near, far}, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond, Bytes: bytes}).ID)
	}
}

// Guards against moving 90 KB responses between data centres because they may be late at a local endpoint on a busy machine. They move
// only if the local endpoint has no chance to be in time.
func TestPick_KeepsLargeResponsesLocal(t *testing.T) {
	for timeToTarget, want := range map[time.Duration]string{320 * time.Millisecond: "seeb-1", 150 * time.Millisecond: "nizwa-1"} {
		f := newFixture()
		near, far := endpoint("seeb", 1), endpoint("nizwa", 1)
		slow := fastLoad(1)
		slow.Slowness = 3
		f.report(near, slow)
		f.report(far, fastLoad(1))
		assert.Equal(t, want, f.Pick([]Endpoint{near, far}, Requirements{Class: "eta", TimeToTarget: timeToTarget, Bytes: 90_000}).ID, timeToTarget)
	}
}

// Guards against calls that queue at a full local endpoint during a surge while another data centre has free slots.
func TestPick_FullEndpointSpillsOver(t *testing.T) {
	f := newFixture()
	full, other := endpoint("seeb", 1), endpoint("nizwa", 1)
	f.report(full, Load{Running: 9, Queued: 12, Limit: 9, SlotTime: 200 * time.Millisecond, Answered: 1})
	f.report(other, fastLoad(3))
	assert.Equal(t, 1.0, f.shares([]Endpoint{full, other}, 400*time.Millisecond)["nizwa-1"])
}

// Guards against overloading one endpoint in a burst between two load reports: outstanding calls count.
func TestPick_CountsOutstandingCalls(t *testing.T) {
	f := newFixture()
	a, b := endpoint("seeb", 1), endpoint("seeb", 2)
	f.report(a, fastLoad(0))
	f.report(b, fastLoad(0))
	counts := map[string]int{}
	for range 18 {
		counts[f.Pick([]Endpoint{a, b}, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond}).ID]++
	}
	assert.InDelta(t, 9, counts["seeb-1"], 1)
}

// Guards against preferring a degraded backend server that is fast and idle because it refuses or fails a fraction of its calls.
func TestPick_AvoidsFailingBackendServer(t *testing.T) {
	f := newFixture()
	degraded, healthy := endpoint("seeb", 1), endpoint("nizwa", 1)
	load := fastLoad(0)
	load.Answered = 0.5
	f.report(degraded, load)
	f.report(healthy, fastLoad(4))
	assert.Equal(t, 1.0, f.shares([]Endpoint{degraded, healthy}, 400*time.Millisecond)["nizwa-1"])
}

// Guards against endpoints that join and get no calls because no load report is known.
func TestPick_NewEndpointGetsCalls(t *testing.T) {
	f := newFixture()
	old, joined := endpoint("seeb", 1), endpoint("seeb", 2)
	f.report(old, fastLoad(6))
	assert.Greater(t, f.shares([]Endpoint{old, joined}, 400*time.Millisecond)["seeb-2"], 0.2)
}

// Guards against further lost calls to a data centre that drops packets silently: one unresponsive call lowers the scores of all its
// endpoints.
func TestPick_AvoidsUnresponsiveDataCentre(t *testing.T) {
	f := newFixture()
	first, second, other := endpoint("nizwa", 1), endpoint("nizwa", 2), endpoint("sohar", 1)
	for _, e := range []Endpoint{first, second, other} {
		f.report(e, fastLoad(4))
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.Pick([]Endpoint{first}, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond}).Done(Unresponsive, nil)
	assert.Equal(t, 1.0, f.shares([]Endpoint{first, second, other}, 400*time.Millisecond)["sohar-1"])
	assert.Equal(t, 1, f.Ejected())

	f.now = f.now.Add(DefaultPolicy().LossPenaltyDuration)
	f.report(second, fastLoad(0))
	assert.Greater(t, f.shares([]Endpoint{second, other}, 400*time.Millisecond)["nizwa-2"], 0.0, "the data centre responds again")
}

// Guards against calls that time out at a partitioned data centre while the own one is overloaded. Only a few calls probe it, however many
// endpoints it has. With its first response, all of its endpoints become eligible again.
func TestPick_ProbesPartitionedDataCentre(t *testing.T) {
	full := Load{Running: 9, Queued: 40, Limit: 9, SlotTime: 100 * time.Millisecond, ClassTime: 100 * time.Millisecond, Answered: 1}
	for _, size := range []int{3, 18, 59, 360} { // endpoints of a service in one data centre, in fleets of 12, 71, 296 and 1,800 nodes
		f := newFixture()
		endpoints := []Endpoint{endpoint("seeb", 1)}
		for i := range size {
			endpoints = append(endpoints, endpoint("nizwa", i))
		}
		f.report(endpoints[0], full)
		// run returns how many calls within the span went to the other data centre, and how many of them it answered.
		run := func(span time.Duration, partitioned bool) (sent, answered int) {
			for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
				choice := f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond})
				load := full
				switch {
				case choice.DataCentre == "seeb":
					choice.Done(Healthy, &load)
				case partitioned:
					sent++
					choice.Done(Unresponsive, nil)
				default:
					sent++
					answered++
					load = fastLoad(0)
					choice.Done(Healthy, &load)
				}
			}
			return sent, answered
		}
		sent, _ := run(5*time.Second, true)
		assert.LessOrEqual(t, sent, lossesToPartition+int(5*time.Second/probeInterval), size)
		assert.Greater(t, sent, int(4*time.Second/probeInterval), size)
		_, answered := run(2*probeInterval, false)
		assert.Greater(t, answered, 40, "calls reach the data centre of %d endpoints again", size)
		assert.Zero(t, f.Ejected())
	}
}

// Guards against refusing calls because every endpoint is ejected: one of them still gets the call.
func TestPick_AllEndpointsEjected(t *testing.T) {
	f := newFixture()
	only := endpoint("seeb", 1)
	for range DefaultPolicy().FailuresToEject {
		f.Pick([]Endpoint{only}, Requirements{TimeToTarget: time.Second}).Done(Failed, nil)
	}
	require.Equal(t, 1, f.Ejected())
	require.NotNil(t, f.Pick([]Endpoint{only}, Requirements{TimeToTarget: time.Second}))
	assert.Nil(t, f.Pick([]Endpoint{only}, Requirements{TimeToTarget: time.Second, Excluded: func(*Endpoint) bool { return true }}))
	assert.Nil(t, f.Pick(nil, Requirements{TimeToTarget: time.Second}))
}

func TestEject_BackoffGrowsToMaximum(t *testing.T) {
	f, s := newFixture(), &endpointState{}
	var spans []time.Duration
	for range 6 {
		f.eject(f.now, s)
		spans = append(spans, s.ejectedUntil.Sub(f.now))
	}
	assert.Equal(t, []time.Duration{1e9, 2e9, 4e9, 8e9, 8e9, 8e9}, spans)
}

func TestPick_SweepsUnusedEndpoints(t *testing.T) {
	f := newFixture()
	f.report(endpoint("seeb", 1), fastLoad(0))
	f.now = f.now.Add(2 * stateTTL)
	f.report(endpoint("seeb", 2), fastLoad(0))
	assert.Len(t, f.states, 1)
}

// Guards against an endpoint that joins a service of short calls and gets none, because it is assumed to be slower than those that are known.
func TestPick_ChoosesNewEndpointOfFastService(t *testing.T) {
	f := newFixture()
	known := []Endpoint{endpoint("seeb", 1), endpoint("seeb", 2)}
	for _, e := range known {
		f.report(e, Load{Limit: 9, SlotTime: time.Millisecond, ClassTime: time.Millisecond, ClassSpread: time.Millisecond, Answered: 1})
	}
	joined := endpoint("seeb", 3)
	assert.Greater(t, f.shares(append(known, joined), 10*time.Millisecond)[joined.ID], 0.2)
}

// recoveryTime is the time after a fault within which the users expect service as before.
const recoveryTime = 15 * time.Second

// Pattern: a backend server fails for a while and others have room. Guards against a backend server that is never used again since calls to
// the others leave no report of its recovery.
func TestPick_RecoveredBackendServerIsUsedAgain(t *testing.T) {
	f := newFixture()
	failed, sound := endpoint("seeb", 1), endpoint("seeb", 2)
	load := fastLoad(1)
	load.Answered = 0
	f.report(failed, load)
	failedAt := f.now
	for f.now.Sub(failedAt) < recoveryTime {
		choice := f.Pick([]Endpoint{failed, sound}, Requirements{Class: "eta", TimeToTarget: time.Second})
		load := fastLoad(1)
		choice.Done(Healthy, &load)
		if choice.ID == failed.ID {
			break
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	used := f.now.Sub(failedAt)
	assert.Greater(t, used, time.Second, "one call of each node a second would be too many failures")
	assert.Less(t, used, recoveryTime)
}

// Pattern: all backend servers of a service turn away a part of their calls. Guards against calls to another data centre only because the
// reports from there are older.
func TestPick_ServiceThatShedsStaysLocal(t *testing.T) {
	f := newFixture()
	near, far := endpoint("seeb", 1), endpoint("nizwa", 1)
	shedding := fastLoad(1)
	shedding.Answered = 0.45
	f.report(far, shedding)
	for range 200 {
		choice := f.Pick([]Endpoint{near, far}, Requirements{Class: "eta", TimeToTarget: time.Second})
		choice.Done(Healthy, &shedding)
		f.now = f.now.Add(50 * time.Millisecond)
		assert.Equal(t, near.ID, choice.ID)
	}
}

// Pattern: instances of a new version start cold beside warm ones, and there is room. Guards against a backend server that gets no calls after
// its cold start since its reported times are those of the cold start.
func TestPick_WarmBackendServerIsUsedAfterItsColdStart(t *testing.T) {
	f := newFixture()
	cold, warm := endpoint("seeb", 1), endpoint("seeb", 2)
	cold.Warming = true
	slow := fastLoad(1)
	slow.SlotTime, slow.ClassTime, slow.ClassSpread = 2*slow.SlotTime, 2*slow.ClassTime, 2*slow.ClassSpread
	f.report(cold, slow)
	f.report(warm, fastLoad(1))
	endpoints := []Endpoint{cold, warm}
	assert.Zero(t, f.shares(endpoints, 300*time.Millisecond)[cold.ID])
	endpoints[0].Warming = false
	assert.Greater(t, f.shares(endpoints, 300*time.Millisecond)[cold.ID], 0.2)
}

// Pattern: little load, and an instance whose first responses were slow, such as the only one of a new version. Guards against a backend
// server that gets no calls at all since others seem a little better: nobody would learn how long its calls take now.
func TestPick_SlightlySlowerBackendServerIsStillUsed(t *testing.T) {
	f := newFixture()
	slower, fast := endpoint("seeb", 1), endpoint("seeb", 2)
	l := fastLoad(0)
	l.SlotTime, l.ClassTime, l.ClassSpread = 5*time.Millisecond, 5*time.Millisecond, 2*time.Millisecond
	f.report(fast, l)
	l.SlotTime, l.ClassTime = 40*time.Millisecond, 40*time.Millisecond
	f.report(slower, l)
	assert.Greater(t, f.shares([]Endpoint{slower, fast}, time.Second)[slower.ID], 0.2)
}

// Pattern: a data centre is cut off, and the one endpoint of a service that is left is full, so that each call is refused there. Guards against calls that
// are then sent to endpoints that did not respond, one after the other, instead of being refused at once; and against never trying these again.
func TestPick_RefusedCallsAreNotSentToUnresponsiveEndpoints(t *testing.T) {
	f := newFixture()
	left, cutOff := endpoint("seeb", 1), []Endpoint{endpoint("nizwa", 2), endpoint("sohar", 3)}
	endpoints := append([]Endpoint{left}, cutOff...)
	lost := 0
	const cut, interval = 6 * time.Second, 10 * time.Millisecond
	for range int(cut / interval) {
		f.now = f.now.Add(interval)
		tried := map[string]bool{}
		for {
			choice := f.Pick(endpoints, Requirements{TimeToTarget: 500 * time.Millisecond, Excluded: func(e *Endpoint) bool { return tried[e.ID] }})
			if choice == nil {
				break
			}
			tried[choice.ID] = true
			if choice.ID == left.ID {
				load := fastLoad(30)
				choice.Done(Healthy, &load)
				continue
			}
			lost++
			choice.Done(Unresponsive, nil)
		}
	}
	perEndpoint := 4 // ejected for 1, 2 and 4 s in turn
	assert.LessOrEqual(t, lost, perEndpoint*len(cutOff))
	assert.GreaterOrEqual(t, lost, 2*len(cutOff))
}

// Pattern: downloads on slow links. Guards against sending them to an endpoint whose link is busy for most of their time, against short responses that avoid
// it as well, and against one that is avoided long after its link is idle.
func TestPick_LinkBacklogCountsForLongResponses(t *testing.T) {
	f := newFixture()
	full, idle := endpoint("seeb", 1), endpoint("seeb", 2)
	backlog := fastLoad(0)
	backlog.LinkBacklog = 400 * time.Millisecond
	f.report(full, backlog)
	f.report(idle, fastLoad(0))
	share := func(long bool) float64 {
		chosen := 0
		const picks = 200
		for range picks {
			choice := f.Pick([]Endpoint{full, idle}, Requirements{Class: "eta", TimeToTarget: 300 * time.Millisecond, LongResponse: long})
			if choice.ID == full.ID {
				chosen++
			}
			choice.Done(Healthy, nil)
		}
		return float64(chosen) / picks
	}
	assert.Zero(t, share(true))
	assert.Greater(t, share(false), 0.3)
	f.now = f.now.Add(DefaultPolicy().ReportDecay)
	assert.Greater(t, share(true), 0.3)
}

// Pattern: downloads from a service with one server in each data centre, while demand moves between them. Guards against callers who wait at
// the full server at home since a download is large, and against calls that leave before anybody waits.
func TestPick_DownloadLeavesBeforeItWaits(t *testing.T) {
	for calls, want := range map[int]string{8: "seeb-1", 9: "nizwa-1", 12: "nizwa-1"} { // running and queued at home, of 9 slots
		f := newFixture()
		home, other := endpoint("seeb", 1), endpoint("nizwa", 1)
		load := fastLoad(min(calls, 9))
		load.Queued = calls - load.Running
		f.report(home, load)
		f.report(other, fastLoad(1))
		choice := f.Pick([]Endpoint{home, other}, Requirements{Class: "eta", TimeToTarget: 500 * time.Millisecond, Bytes: 90_000})
		assert.Equal(t, want, choice.ID, "%d calls at home", calls)
	}
}

// Pattern: demand recedes after calls have left. Guards against a choice that alternates between data centres with every report, and against calls
// that stay away from home when it has room.
func TestPick_ReturnsHomeWithoutOscillation(t *testing.T) {
	f := newFixture()
	home, other := endpoint("seeb", 1), endpoint("nizwa", 1)
	changes, last := 0, ""
	for calls := 16; calls >= 6; calls-- {
		load := fastLoad(min(calls, 9))
		load.Queued = calls - load.Running
		f.report(home, load)
		f.report(other, fastLoad(5))
		choice := f.Pick([]Endpoint{home, other}, Requirements{Class: "eta", TimeToTarget: 500 * time.Millisecond, Bytes: 1500})
		if last != "" && choice.ID != last {
			changes++
		}
		last = choice.ID
		choice.Done(Healthy, nil)
	}
	assert.Equal(t, home.ID, last)
	assert.Equal(t, 1, changes)
}

// Guards against calls that leave for a data centre so far away that the way takes longer than the wait at home.
func TestPick_CountsTheMeasuredWay(t *testing.T) {
	for way, want := range map[time.Duration]string{3 * time.Millisecond: "nizwa-1", 70 * time.Millisecond: "seeb-1"} {
		f := newFixture()
		home, other := endpoint("seeb", 1), endpoint("nizwa", 1)
		for _, e := range []Endpoint{home, other} {
			choice := f.Pick([]Endpoint{e}, Requirements{Class: "eta", TimeToTarget: time.Second})
			load := fastLoad(9)
			if e.ID == other.ID {
				f.now = f.now.Add(way)
				load = fastLoad(6)
			} else {
				f.now = f.now.Add(time.Millisecond)
				load.Queued = 3 // 44 ms of waiting
			}
			choice.Done(Healthy, &load)
		}
		choice := f.Pick([]Endpoint{home, other}, Requirements{Class: "eta", TimeToTarget: time.Second, Bytes: 30_000})
		assert.Equal(t, want, choice.ID, way)
	}
}

// Guards against a way that counts as long for ever after the network has changed, and against one unusually short call that is forgotten at once.
func TestDelay_FollowsTheNetwork(t *testing.T) {
	d, start := &delay{since: time.Unix(1000, 0)}, time.Unix(1000, 0)
	d.observe(start, 2*time.Millisecond)
	d.observe(start.Add(delayWindow), 5*time.Millisecond)
	assert.Equal(t, 2*time.Millisecond, d.shortest(start.Add(delayWindow)))
	d.observe(start.Add(2*delayWindow), 5*time.Millisecond)
	assert.Equal(t, 5*time.Millisecond, d.shortest(start.Add(2*delayWindow)))
	assert.Zero(t, d.shortest(start.Add(5*delayWindow)))
	assert.Zero(t, (*delay)(nil).shortest(start))
}

// BenchmarkPick chooses among the endpoints of a service in four data centres, most of them with a report.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{5, 36, 160} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFixture()
			var endpoints []Endpoint
			for i := range size {
				endpoints = append(endpoints, endpoint([]string{"seeb", "nizwa", "sohar", "muscat"}[i%4], i))
				f.report(endpoints[i], fastLoad(i%10))
			}
			load := fastLoad(5)
			b.ReportAllocs()
			for b.Loop() {
				f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond, Bytes: 5000}).Done(Healthy, &load)
			}
		})
	}
}
