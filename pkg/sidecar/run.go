package sidecar

import (
	"bytes"
	"context"
	"errors"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
)

const (
	// maxReadinessMisses is the number of consecutive failed readiness checks after which clients stop using a node.
	maxReadinessMisses = 2
	// leaveTimeout bounds the notification of other nodes and of the directory.
	leaveTimeout = 300 * time.Millisecond
)

// Margins before the end of the grace period, at which the process is killed.
const (
	overdueMargin = 500 * time.Millisecond // an unfinished shutdown reports what it waits for
	cutMargin     = 300 * time.Millisecond // requests in flight are cut, and the remaining steps do not wait
	exitMargin    = 200 * time.Millisecond // Run returns whatever still runs, so that the last log lines are written
)

// maxStackBytes bounds the goroutine stacks in a log line.
const maxStackBytes = 16 << 10

// errShutdownOverdue is returned by Run if the shutdown did not finish within the grace period.
var errShutdownOverdue = eris.New("the shutdown did not finish within the grace period; see the log line shutdown_overdue")

// Run serves until ctx ends, then shuts down gracefully. It returns before the end of the grace period even if a step of the shutdown
// does not end; the process must exit then.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	n.serve(group)
	for _, run := range []func(context.Context){n.follower.Run, n.rollouts.Run, n.quarantine.Run, n.limits.Run, n.membership.Run, n.expireBackend, n.runStart, n.findBackend, n.learnRollouts, n.learnQuarantine} {
		group.Go(func() error { run(groupCtx); return nil })
	}
	n.logger.Info("node_started", zap.String("callers", n.settings.Listen.Callers), zap.String("service", n.settings.Backend.Service))
	closeAll := func() error {
		cancel()
		n.rpcServer.Close()
		n.rpcClient.Close()
		return group.Wait()
	}
	select {
	case <-groupCtx.Done():
		return closeAll()
	case <-ctx.Done():
	}
	end := time.Now().Add(time.Duration(n.settings.Bounds.GracePeriod))
	report := time.AfterFunc(time.Until(end.Add(-overdueMargin)), n.reportOverdue)
	defer report.Stop()
	finished := make(chan error, 1)
	go func() {
		n.shutdown(end.Add(-cutMargin))
		n.shutdownStep.Store("background tasks")
		finished <- closeAll()
	}()
	select {
	case err := <-finished:
		n.logger.Info("node_stopped")
		return err
	case <-time.After(time.Until(end.Add(-exitMargin))):
		return errShutdownOverdue
	}
}

// reportOverdue logs what an unfinished shutdown waits for.
func (n *Node) reportOverdue() {
	var stacks bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&stacks, 1); err != nil {
		n.logger.Warn("stacks_not_written", zap.Error(err))
	}
	n.logger.Warn("shutdown_overdue", zap.Any("step", n.shutdownStep.Load()), zap.ByteString("stacks", stacks.Bytes()[:min(stacks.Len(), maxStackBytes)]),
		zap.String("remedy", "set the grace period above the longest route timeout; if the step is no server, report the stacks"))
}

// runStart wakes the requests that wait for what this process learns at its start.
func (n *Node) runStart(ctx context.Context) {
	n.outbound.starting.run(ctx, func() uint64 { return n.membership.Version() + n.follower.version() })
}

// learnQuarantine learns which requests crash backend servers. When the whole fleet starts for the first time, nothing is known.
func (n *Node) learnQuarantine(ctx context.Context) {
	if !n.settings.FirstStart {
		n.quarantine.learn(ctx)
	}
}

func (n *Node) serve(group *errgroup.Group) {
	group.Go(n.callers.serve)
	group.Go(n.nodes.serve)
	for _, server := range n.auxiliary {
		group.Go(func() error { return server.Serve(nil) })
	}
	group.Go(func() error { return n.rpcServer.Serve(n.control, nil) })
}

// shutdown performs a graceful shutdown until the deadline. The node first reports that it is not ready, and keeps serving until its
// clients use other nodes and in-flight requests are answered. Only then does it tell other nodes to stop using its backend server, which
// may keep running while this process is replaced; but early enough for the requests that they have sent to be answered before the deadline.
func (n *Node) shutdown(deadline time.Time) {
	n.logger.Info("node_stopping")
	n.stopping.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.shutdownStep.Store("clients to use other nodes")
	time.Sleep(maxReadinessMisses * time.Duration(n.settings.Bounds.ReadinessInterval))
	n.shutdownStep.Store("requests of callers")
	n.outbound.refuseBeyond(deadline)
	callersServed := make(chan struct{})
	go func() {
		defer close(callersServed)
		n.stopServer(ctx, n.callers, "callers")
	}()
	select {
	case <-callersServed:
	case <-time.After(time.Until(deadline.Add(-n.longestTimeout()))):
	}
	n.shutdownStep.Store("leave")
	n.leave(ctx)
	n.inbound.stop()
	n.shutdownStep.Store("requests of other nodes")
	var stopping sync.WaitGroup
	stopping.Go(func() { n.stopServer(ctx, n.nodes, "nodes") })
	for _, server := range n.auxiliary {
		stopping.Go(func() { n.stopServer(ctx, server, "others") })
	}
	stopping.Wait()
	n.shutdownStep.Store("requests of callers")
	<-callersServed
}

// leave tells the other nodes that the backend server is no longer reachable through this node, and removes the node from the directory.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.mu.Lock()
	if current := n.tracker.Current(); current != nil {
		n.publishBackend(current, "the node is shutting down")
	}
	n.mu.Unlock()
	n.membership.Leave(ctx)
	if err := n.platform.Remove(ctx, n.settings.ID); err != nil {
		n.logger.Info("directory_not_left", zap.Error(err))
	}
}

// stopper is a server that can stop gracefully: Stop answers the requests received so far.
type stopper interface {
	Stop(ctx context.Context) error
}

func (n *Node) stopServer(ctx context.Context, server stopper, name string) {
	err := server.Stop(ctx)
	switch {
	case errors.Is(err, graceful.ErrHandshakesNotBlocked):
		n.logger.Info("backlog_not_blocked", zap.String("server", name), zap.Error(err))
	case err != nil:
		n.logger.Warn("requests_cut", zap.String("server", name), zap.Error(err), zap.String("remedy", "set the grace period above the longest route timeout"))
	}
}
