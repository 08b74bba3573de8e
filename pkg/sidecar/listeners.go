package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
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
	listen := func(address string) (*net.TCPListener, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrapf(err, "listening on %s; free the port or change the setting", address)
		}
		open = append(open, listener)
		return listener.(*net.TCPListener), nil
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
	n.callers = &callerServer{graceful.NewListener(callers), pipeline.New(n.outbound, n.callerLimits, n.onPanic)}
	for _, spec := range []struct {
		address string
		handler http.Handler
		target  **graceful.Server
	}{
		{l.Nodes, &nodeHandler{id: n.settings.ID, inbound: n.inbound, link: n.link}, &n.nodes},
		{l.Announcements, n.platform.AnnouncementHandler(n), nil},
		{l.Readiness, n.platform.ReadinessHandler(n.isReady), nil},
		{l.Metrics, n.metricsHandler(), nil},
	} {
		listener, err := listen(spec.address)
		if err != nil {
			return fail(err)
		}
		server := &http.Server{Handler: spec.handler, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: nodeIdleTimeout, ReadHeaderTimeout: nodeIdleTimeout}
		s := graceful.NewServer(server, graceful.NewListener(listener))
		if spec.target != nil {
			*spec.target = s
		} else {
			n.auxiliary = append(n.auxiliary, s)
		}
	}
	return nil
}

// callerServer serves clients and the backend server on this VM.
type callerServer struct {
	listener *graceful.Listener
	server   *pipeline.Server
}

// backlogDrainTimeout bounds the wait until the accept loop has accepted the connections in the backlog.
const backlogDrainTimeout = time.Second

// Stop answers the requests that have been received, and closes the connections. ctx bounds the wait.
func (c *callerServer) Stop(ctx context.Context) error {
	c.server.CloseAfterResponses()
	c.listener.Drain(backlogDrainTimeout)
	return c.server.Wait(ctx)
}

func (n *Node) onPanic(value any) {
	n.metrics.Inc("panics")
	n.logger.Error("panic", zap.Any("value", value), zap.String("remedy", "report it; the connection was closed"))
}
