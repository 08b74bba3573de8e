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
	f := &fixture{Chooser: New("seeb"), now: time.Unix(1000, 0)}
	f.Chooser.now = func() time.Time { return f.now }
	return f
}

func endpoint(dataCentre string, number int) Endpoint {
	return Endpoint{ID: fmt.Sprintf("%s-%d", dataCentre, number), DataCentre: dataCentre, Slots: 9}
}

// report makes an endpoint known by one call.
func (f *fixture) report(e Endpoint, l Load) {
	choice := f.Pick([]Endpoint{e}, Requirements{Class: "eta", TimeToTarget: time.Second})
	choice.Done(Healthy, &l)
}

func quick(running int) Load {
	return Load{Running: running, Limit: 9, SlotTime: 100 * time.Millisecond, ClassTime: 100 * time.Millisecond, ClassSpread: 20 * time.Millisecond, Answered: 1}
}

// shares picks many times without an end of the calls in between being seen elsewhere.
func (f *fixture) shares(endpoints []Endpoint, left time.Duration) map[string]float64 {
	const picks = 400
	counts := map[string]int{}
	for range picks {
		choice := f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: left})
		counts[choice.ID]++
		choice.Done(Healthy, nil)
	}
	shares := map[string]float64{}
	for id, n := range counts {
		shares[id] = float64(n) / picks
	}
	return shares
}

// Pattern: neighbours take the processor of one machine for some hundred milliseconds. Calls go elsewhere for that time.
func TestPick_AvoidsSlowMachineTemporarily(t *testing.T) {
	f := newFixture()
	endpoints := []Endpoint{endpoint("seeb", 1), endpoint("seeb", 2), endpoint("seeb", 3)}
	for i, e := range endpoints {
		l := quick(2)
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

// Pattern: every endpoint is in time. Bytes between data centres decide.
func TestPick_PrefersOwnDataCentre(t *testing.T) {
	f := newFixture()
	endpoints := []Endpoint{endpoint("nizwa", 1), endpoint("seeb", 1), endpoint("sohar", 1)}
	for _, e := range endpoints {
		f.report(e, quick(2))
	}
	assert.Equal(t, 1.0, f.shares(endpoints, 400*time.Millisecond)["seeb-1"])
}

// Pattern: the backend server of the own data centre is half as fast as the others, so that many calls are late there.
func TestPick_AvoidsSlowLocalBackendServer(t *testing.T) {
	f := newFixture()
	slow, other := endpoint("seeb", 1), endpoint("nizwa", 1)
	f.report(slow, Load{Running: 2, Limit: 9, SlotTime: 350 * time.Millisecond, ClassTime: 350 * time.Millisecond, ClassSpread: 100 * time.Millisecond, Answered: 1})
	f.report(other, quick(2))
	assert.Equal(t, 1.0, f.shares([]Endpoint{slow, other}, 400*time.Millisecond)["nizwa-1"])
	assert.Equal(t, 1.0, f.shares([]Endpoint{slow, other}, 2*time.Second)["seeb-1"], "with enough time it is as good")
}

// Pattern: the own backend server is a little less likely in time. A small call goes elsewhere, a large one is not worth its bytes.
func TestPick_WeighsBytesBetweenDataCentres(t *testing.T) {
	for bytes, want := range map[int]string{500: "nizwa-1", 6000: "seeb-1"} {
		f := newFixture()
		near, far := endpoint("seeb", 1), endpoint("nizwa", 1)
		f.report(near, Load{Running: 1, Limit: 9, SlotTime: 200 * time.Millisecond, ClassTime: 200 * time.Millisecond, ClassSpread: 120 * time.Millisecond, Answered: 1})
		f.report(far, quick(1))
		assert.Equal(t, want, f.Pick([]Endpoint{near, far}, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond, Bytes: bytes}).ID)
	}
}

// Pattern: long answers, and a neighbour on the machine of the own backend server. An answer that may be late is no reason to move
// 90 KB between data centres; one that has no chance is.
func TestPick_KeepsLargeResponsesLocal(t *testing.T) {
	for left, want := range map[time.Duration]string{320 * time.Millisecond: "seeb-1", 150 * time.Millisecond: "nizwa-1"} {
		f := newFixture()
		near, far := endpoint("seeb", 1), endpoint("nizwa", 1)
		slow := quick(1)
		slow.Slowness = 3
		f.report(near, slow)
		f.report(far, quick(1))
		assert.Equal(t, want, f.Pick([]Endpoint{near, far}, Requirements{Class: "eta", TimeToTarget: left, Bytes: 90_000}).ID, left)
	}
}

// Pattern: a surge in one data centre. What does not fit goes to the others.
func TestPick_FullEndpointSpillsOver(t *testing.T) {
	f := newFixture()
	full, other := endpoint("seeb", 1), endpoint("nizwa", 1)
	f.report(full, Load{Running: 9, Queued: 12, Limit: 9, SlotTime: 200 * time.Millisecond, Answered: 1})
	f.report(other, quick(3))
	assert.Equal(t, 1.0, f.shares([]Endpoint{full, other}, 400*time.Millisecond)["nizwa-1"])
}

// Pattern: a burst between two reports. The calls under way count before the next report tells.
func TestPick_CountsOutstandingCalls(t *testing.T) {
	f := newFixture()
	a, b := endpoint("seeb", 1), endpoint("seeb", 2)
	f.report(a, quick(0))
	f.report(b, quick(0))
	counts := map[string]int{}
	for range 18 {
		counts[f.Pick([]Endpoint{a, b}, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond}).ID]++
	}
	assert.InDelta(t, 9, counts["seeb-1"], 1)
}

// Pattern: a grey backend server refuses or fails part of the calls while it is quick and idle.
func TestPick_AvoidsFailingBackendServer(t *testing.T) {
	f := newFixture()
	grey, sound := endpoint("seeb", 1), endpoint("nizwa", 1)
	load := quick(0)
	load.Answered = 0.5
	f.report(grey, load)
	f.report(sound, quick(4))
	assert.Equal(t, 1.0, f.shares([]Endpoint{grey, sound}, 400*time.Millisecond)["nizwa-1"])
}

// Pattern: backend servers join during the day. Each gets calls, also from machines that have never called it.
func TestPick_NewEndpointGetsCalls(t *testing.T) {
	f := newFixture()
	old, joined := endpoint("seeb", 1), endpoint("seeb", 2)
	f.report(old, quick(6))
	assert.Greater(t, f.shares([]Endpoint{old, joined}, 400*time.Millisecond)["seeb-2"], 0.2)
}

// Pattern: a data centre is cut off without a sound. One lost call is enough to doubt its other endpoints.
func TestPick_AvoidsUnresponsiveDataCentre(t *testing.T) {
	f := newFixture()
	cut1, cut2, other := endpoint("nizwa", 1), endpoint("nizwa", 2), endpoint("sohar", 1)
	for _, e := range []Endpoint{cut1, cut2, other} {
		f.report(e, quick(4))
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.Pick([]Endpoint{cut1}, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond}).Done(Unresponsive, nil)
	assert.Equal(t, 1.0, f.shares([]Endpoint{cut1, cut2, other}, 400*time.Millisecond)["sohar-1"])
	assert.Equal(t, 1, f.Ejected())

	f.now = f.now.Add(doubtFor)
	f.report(cut2, quick(0))
	assert.Greater(t, f.shares([]Endpoint{cut2, other}, 400*time.Millisecond)["nizwa-2"], 0.0, "it answers again")
}

// Pattern: loss of a data centre without a sound, while the own one is short of room. A few calls show whether it is back, the others do
// not wait for it; with its first answer all of its endpoints are candidates again.
func TestPick_ProbesPartitionedDataCentre(t *testing.T) {
	full := Load{Running: 9, Queued: 40, Limit: 9, SlotTime: 100 * time.Millisecond, ClassTime: 100 * time.Millisecond, Answered: 1}
	for _, size := range []int{3, 18, 59, 360} { // endpoints of a service in a data centre, of 12, 71, 296 and 1,800 nodes
		f := newFixture()
		endpoints := []Endpoint{endpoint("seeb", 1)}
		for i := range size {
			endpoints = append(endpoints, endpoint("nizwa", i))
		}
		f.report(endpoints[0], full)
		// play returns how many calls of a span went to the other data centre, and how many of them it answered.
		play := func(span time.Duration, cut bool) (sent, answered int) {
			for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
				choice := f.Pick(endpoints, Requirements{Class: "eta", TimeToTarget: 400 * time.Millisecond})
				load := full
				switch {
				case choice.DataCentre == "seeb":
					choice.Done(Healthy, &load)
				case cut:
					sent++
					choice.Done(Unresponsive, nil)
				default:
					sent++
					answered++
					load = quick(0)
					choice.Done(Healthy, &load)
				}
			}
			return sent, answered
		}
		sent, _ := play(5*time.Second, true)
		assert.LessOrEqual(t, sent, lostToCut+int(5*time.Second/trialEvery), size)
		assert.Greater(t, sent, int(4*time.Second/trialEvery), size)
		_, answered := play(2*trialEvery, false)
		assert.Greater(t, answered, 40, "calls go there again, of %d endpoints", size)
		assert.Zero(t, f.Ejected())
	}
}

// Pattern: every endpoint has failed. One of them is still tried.
func TestPick_AllEndpointsEjected(t *testing.T) {
	f := newFixture()
	only := endpoint("seeb", 1)
	for range failuresToEject {
		f.Pick([]Endpoint{only}, Requirements{TimeToTarget: time.Second}).Done(Failed, nil)
	}
	require.Equal(t, 1, f.Ejected())
	require.NotNil(t, f.Pick([]Endpoint{only}, Requirements{TimeToTarget: time.Second}))
	assert.Nil(t, f.Pick([]Endpoint{only}, Requirements{TimeToTarget: time.Second, Excluded: func(*Endpoint) bool { return true }}))
	assert.Nil(t, f.Pick(nil, Requirements{TimeToTarget: time.Second}))
}

func TestEject_BackoffGrowsToMaximum(t *testing.T) {
	s := &state{}
	now := time.Unix(1000, 0)
	var spans []time.Duration
	for range 6 {
		s.eject(now)
		spans = append(spans, s.ejectedUntil.Sub(now))
	}
	assert.Equal(t, []time.Duration{1e9, 2e9, 4e9, 8e9, 8e9, 8e9}, spans)
}

func TestPick_SweepsUnusedEndpoints(t *testing.T) {
	f := newFixture()
	f.report(endpoint("seeb", 1), quick(0))
	f.now = f.now.Add(2 * forgetUnusedFor)
	f.report(endpoint("seeb", 2), quick(0))
	assert.Len(t, f.states, 1)
}
