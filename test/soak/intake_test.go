package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/laburnumcleat/laburnumcleat/platform/standin"
	"github.com/laburnumcleat/laburnumcleat/platform/wire"
)

const (
	intakeEvents  = 14 // per seed
	intakePause   = 900 * time.Millisecond
	minNamedLimit = 4 // requests a second
	namedLimits   = 20
	limitDuration = settleTime + limitWindow + 2*time.Second
)

// namedLimit is a limit that an instance names in its responses.
type namedLimit struct {
	rate     int // requests a second
	since    time.Time
	arrivals []time.Time
}

// setIntake says in a response header which requests the instance takes. The drain time begins with the first response that says it is leaving.
func (i *instance) setIntake(header http.Header) {
	if limit := i.limit.Load(); limit > 0 {
		header.Set(wire.LimitHeader, strconv.FormatInt(limit, 10))
		i.backend.checker.recordLimit(i.id, int(limit))
	}
	if i.leaving.Load() {
		header.Set(wire.LeavingHeader, wire.LeavingValue)
		i.drainEnd.CompareAndSwap(0, time.Now().Add(drainBound).UnixNano())
	}
}

// nameLimit makes the running instance name a limit for a while.
func (b *backend) nameLimit(rate int64, d time.Duration) {
	b.mu.Lock()
	i := b.instance
	b.mu.Unlock()
	if i == nil {
		return
	}
	i.limit.Store(rate)
	time.Sleep(d)
	i.limit.Store(0)
	b.checker.liftLimit(i.id)
}

// leaveSilently performs a planned stop of a backend server that announces nothing before it leaves.
func (b *backend) leaveSilently() {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.instance
	if i == nil {
		return
	}
	i.stopHeartbeats()
	i.leaving.Store(true)
	time.Sleep(2 * drainBound)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	// The instance stops even if its departure is not acknowledged.
	_ = standin.Leave(ctx, b.node.settings.Listen.Announcements, i.id)
	i.server.Close()
	b.instance = nil
}

// recordLimit records that an instance names a limit.
func (c *checker) recordLimit(instance string, rate int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.limits[instance]; l == nil || l.rate != rate {
		c.limits[instance] = &namedLimit{rate: rate, since: time.Now()}
	}
}

func (c *checker) liftLimit(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, instance)
}

// checkLimit checks an arrival against the limit of its instance. The caller must hold mu.
func (c *checker) checkLimit(now time.Time, v *arrival, a *attempt) {
	l := c.limits[v.instance]
	if l == nil || now.Sub(l.since) < settleTime || a.node.mayBeUnresponsive() {
		return
	}
	l.arrivals = slices.DeleteFunc(append(l.arrivals, now), func(t time.Time) bool { return now.Sub(t) > limitWindow })
	if allowed := int(limitFactor*limitWindow.Seconds()*float64(l.rate)) + limitSlack; len(l.arrivals) > allowed {
		c.addViolationLocked(guaranteeLimit, "%s names %d requests a second and got %d in %s, allowed %d", v.instance, l.rate, len(l.arrivals), limitWindow, allowed)
		l.arrivals = nil
	}
}

// Guards against backend servers in need that get more requests than they take, and leaving ones that get any, while the nodes beside them are
// stopped, killed and paused.
func TestNamedLimits(t *testing.T) {
	forEachSeed(t, runNamedLimits, *size)
}

// runNamedLimits makes backend servers name limits and leave under load, with faults of nodes, and returns the violations.
func runNamedLimits(t *testing.T, program string, seed uint64, size int) []violation {
	random := rand.New(rand.NewPCG(seed, 4))
	cl := newCluster(t, program, size)
	cl.startCallers(callersPerNode)
	type step struct {
		kind, node int
		limit      int64
		duration   time.Duration
	}
	done := make(chan struct{})
	for i := range intakeEvents {
		s := step{random.IntN(6), random.IntN(size), minNamedLimit + random.Int64N(namedLimits), minFaultDuration + time.Duration(random.Int64N(int64(maxRestartPause)))}
		if i == 0 {
			s.kind = 0 // at least one limit
		}
		go func() {
			defer func() { done <- struct{}{} }()
			n := cl.nodes[s.node]
			switch s.kind {
			case 0, 1:
				n.backend.nameLimit(s.limit, limitDuration)
			case 2:
				cl.replaceBackend(n, n.backend.leaveSilently, s.duration, n.service())
			case 3:
				cl.restart(n, syscall.SIGTERM, s.duration)
			case 4:
				defer cl.checker.beginFault()()
				cl.restart(n, syscall.SIGKILL, s.duration)
			default:
				defer cl.checker.beginFault()()
				cl.freezeProcess(n, s.duration)
			}
		}()
		time.Sleep(intakePause)
	}
	for range intakeEvents {
		<-done
	}
	return cl.finish(t, seed)
}

// startCallers starts callers at each node.
func (cl *cluster) startCallers(perNode int) {
	for _, n := range cl.nodes {
		for i := range perNode {
			c := &caller{cluster: cl, node: n, name: fmt.Sprintf("%s-c%d", n.id, i)}
			cl.callers.Go(c.run)
		}
	}
}

// startProbes starts a caller at each node that checks which versions are in force.
func (cl *cluster) startProbes() {
	for _, n := range cl.nodes {
		p := &caller{cluster: cl, node: n, name: n.id + "-probe"}
		cl.callers.Go(p.probe)
	}
}

// finish stops the callers and returns the violations.
func (cl *cluster) finish(t *testing.T, seed uint64) []violation {
	close(cl.done)
	cl.callers.Wait()
	t.Logf("seed=%d size=%d %s; node logs in %s if it failed", seed, len(cl.nodes), cl.checker.summary(), cl.dir)
	return cl.checker.allViolations()
}
