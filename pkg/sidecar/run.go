package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// missesUntilOut is how many questions for readiness in a row without a yes take a node out of use for clients.
	missesUntilOut = 2
	// stopMargin is left of the grace period for the process to end.
	stopMargin = 300 * time.Millisecond
	// leaveTimeout bounds the messages that tell other nodes of the stop.
	leaveTimeout = 300 * time.Millisecond
)

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	n.serve(group)
	for _, run := range []func(context.Context){n.follower.Run, n.membership.Run, n.tick} {
		group.Go(func() error { run(groupCtx); return nil })
	}
	n.logger.Info("node_started", zap.String("callers", n.settings.Listen.Callers), zap.String("service", n.settings.Backend.Service))
	select {
	case <-ctx.Done():
		n.shutdown()
	case <-groupCtx.Done():
	}
	cancel()
	n.rpcServer.Close()
	n.rpcClient.Close()
	err := group.Wait()
	n.logger.Info("node_stopped")
	return err
}

func (n *Node) serve(group *errgroup.Group) {
	group.Go(func() error { return n.callers.server.Serve(n.callers.listener) })
	group.Go(func() error { return n.nodes.Serve(nil) })
	for _, server := range n.others {
		group.Go(func() error { return server.Serve(nil) })
	}
	group.Go(func() error { return n.rpcServer.Serve(n.control, nil) })
}

// shutdown performs a planned stop. The node first says that it is not ready, and serves on until its clients have turned to
// others and are answered. Only then the others turn away from its backend server, which may go on while this process is replaced.
func (n *Node) shutdown() {
	begun := time.Now()
	n.logger.Info("node_stopping")
	n.stopping.Store(true)
	end, cancel := context.WithDeadline(context.Background(), begun.Add(time.Duration(n.settings.Bounds.GracePeriod)-stopMargin))
	defer cancel()
	time.Sleep(missesUntilOut * time.Duration(n.settings.Bounds.ReadinessInterval))
	n.stopServer(end, n.callers, "callers")
	n.leave(end)
	n.inbound.stop()
	n.stopServer(end, n.nodes, "nodes")
	for _, server := range n.others {
		n.stopServer(end, server, "others")
	}
}

// leave tells the other nodes that the backend server is not to be reached through this node any more.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.mu.Lock()
	if current := n.tracker.Current(); current != nil {
		n.adopt(current, "the node stops")
	}
	n.mu.Unlock()
	n.membership.Leave(ctx)
	if err := n.platform.Remove(ctx, n.settings.ID); err != nil {
		n.logger.Info("directory_not_left", zap.Error(err))
	}
}

// stopper is a server that answers what it has received.
type stopper interface {
	Stop(ctx context.Context) error
}

func (n *Node) stopServer(ctx context.Context, server stopper, name string) {
	if err := server.Stop(ctx); err != nil {
		n.logger.Warn("requests_cut", zap.String("server", name), zap.Error(err), zap.String("remedy", "raise the grace period above the longest timeout of a route"))
	}
}
