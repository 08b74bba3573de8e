package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// maxReadinessMisses is the number of consecutive failed readiness checks after which clients stop using a node.
	maxReadinessMisses = 2
	// exitMargin is the time within the grace period that is reserved for the process to exit.
	exitMargin = 300 * time.Millisecond
	// leaveTimeout bounds the notification of other nodes and of the directory.
	leaveTimeout = 300 * time.Millisecond
)

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	n.serve(group)
	for _, run := range []func(context.Context){n.follower.Run, n.membership.Run, n.expireBackend} {
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
	for _, server := range n.auxiliary {
		group.Go(func() error { return server.Serve(nil) })
	}
	group.Go(func() error { return n.rpcServer.Serve(n.control, nil) })
}

// shutdown performs a graceful shutdown. The node first reports that it is not ready, and keeps serving until its clients use other nodes
// and in-flight requests are answered. Only then does it tell other nodes to stop using its backend server, which may keep running while
// this process is replaced.
func (n *Node) shutdown() {
	start := time.Now()
	n.logger.Info("node_stopping")
	n.stopping.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(time.Duration(n.settings.Bounds.GracePeriod)-exitMargin))
	defer cancel()
	time.Sleep(maxReadinessMisses * time.Duration(n.settings.Bounds.ReadinessInterval))
	n.stopServer(ctx, n.callers, "callers")
	n.leave(ctx)
	n.inbound.stop()
	n.stopServer(ctx, n.nodes, "nodes")
	for _, server := range n.auxiliary {
		n.stopServer(ctx, server, "others")
	}
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
	if err := server.Stop(ctx); err != nil {
		n.logger.Warn("requests_cut", zap.String("server", name), zap.Error(err), zap.String("remedy", "set the grace period above the longest route timeout"))
	}
}
