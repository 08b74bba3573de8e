package dependency

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// step is the simulated time in which a number of calls arrives, each of which makes two nested calls.
const step = 100 * time.Millisecond

// play lets calls arrive for a time, and returns how many succeeded and how many held a slot. room is how many nested calls are served in a step.
func play(a *Admission, now *time.Duration, random *rand.Rand, length time.Duration, arrivals, room int) (succeeded, held int) {
	for end := *now + length; *now < end; *now += step {
		admitted := 0
		for range arrivals {
			if a == nil || a.Admit("parent") {
				admitted++
			}
		}
		held += admitted
		served := min(1, float64(room)/float64(max(1, 2*admitted)))
		for range admitted {
			first, second := random.Float64() < served, random.Float64() < served
			switch {
			case first && second:
				succeeded++
				if a != nil {
					a.Succeeded("parent")
				}
			case a != nil:
				a.Lost("parent")
			}
		}
	}
	return succeeded, held
}

func newAdmission() (a *Admission, now *time.Duration, random *rand.Rand) {
	now, random = new(time.Duration), rand.New(rand.NewPCG(1, 1))
	return New(Options{Policy: DefaultPolicy(), Now: func() time.Duration { return *now }, Random: random.Float64}), now, random
}

// Pattern: a called service has room for a third of the nested calls. Guards against calls that hold slots for nothing, and against nested calls that are served
// for parents whose other calls are refused.
func TestAdmit_CalledServiceShortOfRoom(t *testing.T) {
	a, now, random := newAdmission()
	const arrivals, room = 60, 40
	without, _ := play(nil, now, random, 10*time.Second, arrivals, room)
	*now = 0
	with, held := play(a, now, random, 10*time.Second, arrivals, room)
	assert.Greater(t, float64(with), 1.8*float64(without))
	assert.Less(t, float64(held), 1.6*float64(with))
}

// Guards against a class that is held back after its called service has room again.
func TestAdmit_EndsWithTheShortage(t *testing.T) {
	a, now, random := newAdmission()
	play(a, now, random, 5*time.Second, 60, 10)
	assert.Less(t, a.Share("parent"), 0.5)
	play(a, now, random, 8*time.Second, 60, 200)
	assert.Equal(t, 1.0, a.Share("parent"))
}

// Guards against a class of which no call is admitted, so that nobody finds out when there is room again.
func TestAdmit_SomeCallsFindOut(t *testing.T) {
	a, now, random := newAdmission()
	_, held := play(a, now, random, 10*time.Second, 60, 0)
	assert.Greater(t, held, int(0.08*60*100))
	assert.Less(t, held, int(0.2*60*100))
}

// Guards against classes that are held back for single losses, or for those of others.
func TestAdmit_FewLosses(t *testing.T) {
	a, now, _ := newAdmission()
	for range 100 {
		a.Lost("rare")
		*now += time.Second
	}
	assert.Equal(t, 1.0, a.Share("rare"))
	for range 10 {
		a.Lost("other")
	}
	assert.True(t, a.Admit("rare"))
	assert.Equal(t, 1.0, a.Share("parent"))
}
