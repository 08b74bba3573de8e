package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

const (
	pausedStops       = 5 // per seed
	maxStopPause      = 250 * time.Millisecond
	maxStopProgress   = 80 * time.Millisecond  // between two pauses
	stopRestartPause  = 400 * time.Millisecond // longer than a pause, so that the next process is not paused
	pausedStopCallers = 8                      // per node; half of them pause about as long as a stopping node waits for the next request
	longThinkTime     = 400 * time.Millisecond
	servedBetween     = time.Second // between two stops
)

// Guards against requests that are cut in a planned stop because the process loses the processor between two steps of it: each request that
// reached the process or its sockets is answered, and what comes later is refused at the handshake. The process ends within the grace period.
func TestPausedStops(t *testing.T) {
	forEachSeed(t, runPausedStops, len(services))
}

// runPausedStops stops random nodes one after the other, each with its process paused again and again, and returns the violations.
func runPausedStops(t *testing.T, program string, seed uint64, size int) []violation {
	random := rand.New(rand.NewPCG(seed, 2))
	cl := newCluster(t, program, size)
	for _, n := range cl.nodes {
		for i := range pausedStopCallers {
			c := &caller{cluster: cl, node: n, name: fmt.Sprintf("%s-c%d", n.id, i)}
			if i%2 == 0 {
				c.thinkTime = longThinkTime
			}
			cl.callers.Go(c.run)
		}
	}
	for range pausedStops {
		n := cl.nodes[random.IntN(len(cl.nodes))]
		ended := cl.pauseRepeatedly(n, rand.New(rand.NewPCG(random.Uint64(), 0)))
		cl.restart(n, syscall.SIGTERM, stopRestartPause)
		<-ended
		time.Sleep(servedBetween)
	}
	close(cl.done)
	cl.callers.Wait()
	t.Logf("seed=%d %s; node logs in %s if it failed", seed, cl.checker.summary(), cl.dir)
	for _, request := range cl.checker.unanswered() {
		cl.checker.addViolation(guaranteeGracefulStop, "not answered: %s", request)
	}
	return cl.checker.allViolations()
}

// pauseRepeatedly suspends and resumes the process of a node at random times until it has exited. The returned channel is closed then.
func (cl *cluster) pauseRepeatedly(n *node, random *rand.Rand) <-chan struct{} {
	exited, ended := n.process.Done(), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-exited:
				return
			case <-time.After(time.Duration(random.Int64N(int64(maxStopProgress)))):
			}
			// Errors mean that the process has exited.
			_ = n.process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(random.Int64N(int64(maxStopPause))))
			_ = n.process.Signal(syscall.SIGCONT)
		}
	}()
	return ended
}
