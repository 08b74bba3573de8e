package experiment

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
	"github.com/laburnumcleat/laburnumcleat/pkg/callerretry"
	"github.com/laburnumcleat/laburnumcleat/pkg/dependency"
	"github.com/laburnumcleat/laburnumcleat/pkg/placement"
	"github.com/laburnumcleat/laburnumcleat/pkg/retry"
)

// node is a node with its backend server.
type node struct {
	fleet      *fleet
	id         string
	dataCentre string
	service    *Service
	speed      float64

	incarnation uint64
	up          bool
	gone        bool      // the others have noticed that it is down
	knowsAt     time.Time // from then on, it knows the endpoints
	coldUntil   time.Time
	draining    bool
	slow        float64 // factor on the work
	shed, fail  float64 // share of the calls
	failFrom    string  // data centre of the callers whose calls fail; empty: all
	answered    float64 // moving average of the share of calls that the backend server answered
	running     []*execution
	ranks       admission.RunningRanks // of the calls of running

	chooser   *placement.Chooser
	shortages *placement.Shortages
	budget    *retry.Budget
	refusals  *callerretry.Tracker
	scheduler *admission.Scheduler
	limited   bool // the backend server names a limit
	ticking   bool // the next grant under that limit is scheduled
	origins   *admission.OriginTracker
	parents   *dependency.Admission
}

// answeredWeight is the weight of one call in the reported share of answered calls.
const answeredWeight = 0.1

func (n *node) number() uint64 {
	h := fnv.New64a()
	h.Write([]byte(n.id))
	return h.Sum64()
}

// startProcess starts the node without knowledge.
func (n *node) startProcess() {
	f := n.fleet
	n.up, n.gone, n.slow, n.answered = true, false, 1, 1
	n.incarnation++
	n.running, n.limited, n.ticking = nil, false, false
	n.chooser = placement.New(placement.Options{
		DataCentre: n.dataCentre, Policy: f.policies.placement, Now: func() time.Time { return f.now }, Random: f.random.IntN,
	})
	n.shortages = placement.NewShortages(f.policies.shortage, func() time.Time { return f.now }, f.random.Float64)
	n.budget = retry.New(f.retryOptions())
	n.refusals = &callerretry.Tracker{}
	n.scheduler = admission.NewScheduler(n.service.Slots, f.policies.admission)
	n.origins = admission.NewOriginTracker()
	n.parents = dependency.New(dependency.Options{
		Policy: f.policies.dependency, Now: func() time.Duration { return f.now.Sub(epoch) }, Random: f.random.Float64,
	})
}

func (n *node) losePower() {
	f := n.fleet
	n.up = false
	for _, e := range slices.Clone(n.running) {
		e.lose()
	}
	lost := n.incarnation
	f.after(detectionTime, func() {
		if n.incarnation == lost {
			n.gone = true
			f.updateEndpoints()
		}
	})
}

func (n *node) restart() {
	f := n.fleet
	n.startProcess()
	n.coldUntil = f.now.Add(milliseconds(n.service.ColdMS))
	n.scheduler.SetColdUntil(n.coldUntil)
	n.knowsAt = f.now.Add(minLearnTime + time.Duration(f.random.Int64N(int64(maxLearnTime-minLearnTime))))
	f.updateEndpoints()
	f.after(milliseconds(n.service.ColdMS), f.updateEndpoints)
}

func (n *node) drain() {
	n.draining = true
	n.scheduler.Close(n.fleet.now)
}

// nameLimit makes the backend server name a limit in requests a second.
func (n *node) nameLimit(rate float64) {
	n.limited = true
	n.scheduler.SetRateLimit(n.fleet.now, rate)
	n.scheduleGrant()
}

func (n *node) liftLimit() {
	n.limited = false
	n.scheduler.LiftRateLimit(n.fleet.now)
}

// scheduleGrant lets the scheduler grant the next call that waits for the limit only.
func (n *node) scheduleGrant() {
	at, ok := n.scheduler.NextGrant(n.fleet.now)
	if !ok || n.ticking {
		return
	}
	n.ticking = true
	scheduler := n.scheduler
	n.fleet.after(at.Sub(n.fleet.now), func() {
		if n.scheduler != scheduler {
			return // the process has ended
		}
		n.ticking = false
		scheduler.Tick(n.fleet.now)
		n.scheduleGrant()
	})
}

// load returns the load report for a class.
func (n *node) load(class string) *placement.Load {
	l := n.scheduler.Load(n.fleet.now, class)
	if n.limited && !n.fleet.policies.has(LimitReports) {
		l.Limit, l.Running, l.SlotTime = n.service.Slots, len(n.running), l.ClassTime
	}
	return &placement.Load{
		Running: l.Running, Queued: l.Queued, Limit: l.Limit, SlotTime: l.SlotTime, ClassTime: l.ClassTime, ClassSpread: l.ClassSpread,
		Slowness: l.Slowness, Answered: n.answered * n.parents.Share(class),
	}
}

func (n *node) observeAnswered(ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	n.answered += (value - n.answered) * answeredWeight
}

// workFactor returns how much longer work takes on the machine now than for a server of speed 1.
func (n *node) workFactor() float64 {
	factor := n.slow / n.speed
	if n.fleet.now.Before(n.coldUntil) {
		factor *= max(1, n.service.ColdFactor)
	}
	if n.fleet.isSlowNow(n) {
		factor *= n.fleet.slowShift.Factor
	}
	return factor
}

// retryShare returns the share of the running calls that a backend server has received before.
func (n *node) retryShare() float64 {
	retries := 0
	for _, e := range n.running {
		if e.isRetry {
			retries++
		}
	}
	return float64(retries) / float64(max(1, len(n.running)))
}
