package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
	"github.com/laburnumcleat/laburnumcleat/pkg/pipeline"
)

// callerLimits returns the connection limits of the configuration in force, with defaults for those it does not set.
func (n *Node) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{IdleTimeout: defaultIdleTimeout, HeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	t := n.follower.Table()
	if t == nil {
		return limits
	}
	if ms := t.Document.Limits.IdleTimeoutMS; ms > 0 {
		limits.IdleTimeout = time.Duration(ms) * time.Millisecond
	}
	if ms := t.Document.Limits.HeaderTimeoutMS; ms > 0 {
		limits.HeaderTimeout = time.Duration(ms) * time.Millisecond
	}
	if bytes := t.Document.Limits.HeaderBytes; bytes > 0 {
		limits.MaxHeaderBytes = bytes
	}
	return limits
}

// listen opens all listeners. If one fails, it closes those already open.
func (n *Node) listen() error {
	l := n.settings.Listen
	var open []net.Listener
	fail := func(err error) error {
		for _, listener := range open {
			listener.Close()
		}
		return err
	}
	listen := func(address string) (*graceful.Listener, error) {
		listener, err := graceful.Listen(address)
		if err == nil {
			open = append(open, listener)
		}
		return listener, err
	}
	control, err := listen(l.Control)
	if err != nil {
		return fail(err)
	}
	n.control = control
	callers, err := listen(l.Callers)
	if err != nil {
		return fail(err)
	}
	n.callers = &pipelineServer{callers, pipeline.New(n.outbound, n.callerLimits, n.onPanic)}
	nodes, err := listen(l.Nodes)
	if err != nil {
		return fail(err)
	}
	n.nodes = &pipelineServer{nodes, pipeline.New(&nodeHandler{id: n.settings.ID, inbound: n.inbound, link: n.link}, nodeLimits, n.onPanic)}
	for _, spec := range []struct {
		address string
		handler http.Handler
	}{
		{l.Announcements, n.platform.AnnouncementHandler(n)},
		{l.Readiness, n.platform.ReadinessHandler(n.isReady)},
		{l.Metrics, n.metricsHandler()},
	} {
		listener, err := listen(spec.address)
		if err != nil {
			return fail(err)
		}
		server := &http.Server{
			Handler: spec.handler, ConnContext: NumberConnections(), MaxHeaderBytes: maxHeaderBytes, IdleTimeout: nodeIdleTimeout, ReadHeaderTimeout: nodeIdleTimeout,
		}
		n.auxiliary = append(n.auxiliary, graceful.NewServer(server, listener))
	}
	return nil
}

// nodeLimits returns the limits of connections of other nodes.
func nodeLimits() pipeline.Limits {
	return pipeline.Limits{IdleTimeout: nodeIdleTimeout, HeaderTimeout: nodeIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// pipelineServer serves callers, which are clients and the backend server on this VM, or other nodes.
type pipelineServer struct {
	listener *graceful.Listener
	server   *pipeline.Server
}

// Stop answers the requests that have been received, and closes the connections. ctx bounds the wait. The error is as for graceful.Server.
func (c *pipelineServer) Stop(ctx context.Context) error {
	c.server.CloseAfterResponses()
	drainErr := c.listener.Drain(graceful.DrainTimeout(ctx))
	if err := c.server.Wait(ctx); err != nil {
		return err
	}
	return drainErr
}

func (c *pipelineServer) serve() error { return c.server.Serve(c.listener) }

func (n *Node) onPanic(value any) {
	n.metrics.Inc("panics")
	n.logger.Error("panic", zap.Any("value", value), zap.String("remedy", "report it; the connection was closed"))
}

// connectionNumberKey is the context key of a connection's number.
type connectionNumberKey struct{}

// NumberConnections returns a value for http.Server.ConnContext that numbers connections from 1 in the order in which they are accepted.
func NumberConnections() func(context.Context, net.Conn) context.Context {
	var accepted atomic.Int64
	return func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionNumberKey{}, accepted.Add(1))
	}
}

// ConnectionNumber returns the number of the connection over which a request arrived, or 0 if it has none.
func ConnectionNumber(r *http.Request) int64 {
	number, _ := r.Context().Value(connectionNumberKey{}).(int64)
	return number
}
