package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

// listeners holds the sockets of a node and the HTTP servers on them.
type listeners struct {
	calls, nodes, control, api net.Listener

	mu       sync.Mutex
	servers  []*http.Server
	draining []*drainingListener // of the servers
}

func (l *listeners) open(addresses settings.Listen) error {
	wanted := []struct {
		address string
		target  *net.Listener
	}{{addresses.Calls, &l.calls}, {addresses.Nodes, &l.nodes}, {addresses.Control, &l.control}, {addresses.API, &l.api}}
	for _, w := range wanted {
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			l.closeSockets()
			return eris.Wrapf(err, "listening on %s; free the port or change the setting", w.address)
		}
		*w.target = newDrainingListener(listener.(*net.TCPListener))
	}
	return nil
}

// serveHTTP serves a handler on a listener until close. A nil tlsConfig means plain HTTP.
func (l *listeners) serveHTTP(group *errgroup.Group, listener net.Listener, handler http.Handler, tlsConfig *tls.Config) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Handlers set the limits for bodies, which depend on the route.
		IdleTimeout: time.Minute, // longer than clients keep idle connections, so that the client closes first
	}
	l.mu.Lock()
	l.servers = append(l.servers, server)
	if d, ok := listener.(*drainingListener); ok {
		l.draining = append(l.draining, d)
	}
	l.mu.Unlock()
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	group.Go(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return eris.Wrapf(err, "serving %s", listener.Addr())
		}
		return nil
	})
}

// shutdownLimit bounds the wait for refusals that are still being written. A busy machine needs more than the moment that
// they take otherwise, and what is not written by then is cut off.
const shutdownLimit = 10 * time.Second

// backlogLimit bounds the wait for a server to accept the connections in its backlog, in case it has ended by itself.
const backlogLimit = time.Second

// close stops accepting without resetting connections that wait in a backlog, shuts the HTTP servers down after their last
// request and closes the sockets.
func (l *listeners) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	l.mu.Lock()
	servers := l.servers
	draining := l.draining
	l.mu.Unlock()
	for _, d := range draining {
		d.Drain(backlogLimit)
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	}
	l.closeSockets()
}

func (l *listeners) closeSockets() {
	for _, listener := range []net.Listener{l.calls, l.nodes, l.control, l.api} {
		if listener != nil {
			listener.Close()
		}
	}
}
