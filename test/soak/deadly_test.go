package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

const (
	deadlyPrefix    = "/read/deadly-"
	deadlyKinds     = 2 // different requests that crash backend servers, per seed
	deadlyPause     = 60 * time.Millisecond
	deadlyDuration  = 18 * time.Second
	deadlyEvents    = 6 // faults of nodes, per seed
	deadlyDownTime  = time.Second
	callersOfDeadly = 2 // per node of the caller's service
)

// deadlyRequest counts what a request that crashes backend servers has done.
type deadlyRequest struct {
	crashes map[string]bool // instances
	third   time.Time       // of the crash that makes deadlyCrashes
	later   int             // arrivals that count after it
}

// crashByRequest crashes the instance that runs a deadly request, and lets another one start after a while.
func (b *backend) crashByRequest(i *instance) {
	b.mu.Lock()
	isCurrent := b.instance == i
	b.mu.Unlock()
	if !isCurrent {
		return
	}
	end := b.checker.beginFault()
	b.crash()
	time.AfterFunc(deadlyDownTime, func() {
		defer end()
		if err := b.start(i.service); err != nil {
			b.checker.addViolation(guaranteeRecovery, "the backend server of %s does not start: %v", b.node.id, err)
		}
	})
}

// checkDeadly counts an arrival of a deadly request. The caller must hold mu.
func (c *checker) checkDeadly(now time.Time, v *arrival, a *attempt) {
	if len(v.path) < len(deadlyPrefix) || v.path[:len(deadlyPrefix)] != deadlyPrefix {
		return
	}
	d := c.deadly[v.path]
	if d == nil {
		d = &deadlyRequest{crashes: make(map[string]bool)}
		c.deadly[v.path] = d
	}
	if !d.third.IsZero() && now.Sub(d.third) > settleTime && c.onTime(a.node) {
		if d.later++; d.later > deadlyRetries {
			c.addViolationLocked(guaranteeDeadlyRequests, "%s reached %s, %d times later than %s after its third crash", v.path, v.instance, d.later, settleTime)
		}
	}
	d.crashes[v.instance] = true
	if d.third.IsZero() && len(d.crashes) == deadlyCrashes {
		d.third = now
	}
}

// sendDeadly sends the same request again and again, as the callers of one service do.
func (c *caller) sendDeadly(path string) {
	defer c.closeConn()
	for !c.stopped() {
		time.Sleep(rand.N(deadlyPause))
		if c.connect() != nil {
			continue
		}
		a := c.newAttempt("read", "/read/", false)
		a.path = path
		c.exchange(a)
	}
}

// Guards against a request that crashes backend server after backend server while nodes are stopped, killed, paused and all restarted.
func TestDeadlyRequests(t *testing.T) {
	forEachSeed(t, runDeadlyRequests, *size)
}

// runDeadlyRequests sends requests that crash backend servers beside others, with faults of nodes, and returns the violations.
func runDeadlyRequests(t *testing.T, program string, seed uint64, size int) []violation {
	random := rand.New(rand.NewPCG(seed, 5))
	cl := newCluster(t, program, size)
	cl.startCallers(1)
	service := services[random.IntN(len(services))]
	for _, n := range cl.nodes {
		if n.service() != service {
			continue
		}
		for i := range callersOfDeadly {
			c := &caller{cluster: cl, node: n, name: fmt.Sprintf("%s-d%d", n.id, i)}
			path := fmt.Sprintf("%s%d", deadlyPrefix, random.IntN(deadlyKinds))
			cl.callers.Go(func() { c.sendDeadly(path) })
		}
	}
	start := time.Now()
	for i := range deadlyEvents {
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * deadlyDuration / (deadlyEvents + 1))))
		n, kind, pause := cl.nodes[random.IntN(size)], random.IntN(4), time.Duration(random.Int64N(int64(maxRestartPause)))
		switch kind {
		case 0:
			cl.restart(n, syscall.SIGTERM, pause)
		case 1:
			end := cl.checker.beginFault()
			cl.restart(n, syscall.SIGKILL, pause)
			end()
		case 2:
			end := cl.checker.beginFault()
			cl.freezeProcess(n, pause)
			end()
		default:
			cl.killAll()
		}
	}
	time.Sleep(time.Until(start.Add(deadlyDuration)))
	return cl.finish(t, seed)
}

// killAll kills all nodes at the same time and starts them again.
func (cl *cluster) killAll() {
	defer cl.checker.beginFault()()
	done := make(chan struct{})
	for _, n := range cl.nodes {
		go func() {
			cl.restart(n, syscall.SIGKILL, restartPause)
			done <- struct{}{}
		}()
	}
	for range cl.nodes {
		<-done
	}
}
