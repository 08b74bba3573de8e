package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumcleat/laburnumcleat/pkg/graceful"
	"github.com/laburnumcleat/laburnumcleat/pkg/settings"
)

// listeners holds the sockets of a node and the HTTP servers on them.
type listeners struct {
	calls, nodes, api *graceful.Listener
	control           *graceful.Listener

	mu      sync.Mutex
	servers []*graceful.Server
}

func (l *listeners) open(addresses settings.Listen) error {
	for _, socket := range []struct {
		address string
		target  **graceful.Listener
	}{{addresses.Control, &l.control}, {addresses.Calls, &l.calls}, {addresses.Nodes, &l.nodes}, {addresses.API, &l.api}} {
		listener, err := graceful.Listen(socket.address)
		if err != nil {
			l.closeSockets()
			return err
		}
		*socket.target = listener
	}
	return nil
}

// serveHTTP serves a handler on a listener in the background until close. A nil tlsConfig means plain HTTP.
func (l *listeners) serveHTTP(group *errgroup.Group, listener *graceful.Listener, handler http.Handler, tlsConfig *tls.Config) {
	server := graceful.NewServer(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Body limits depend on the route, so handlers set them.
		IdleTimeout: time.Minute, // longer than the idle timeout of clients, so that the client closes first
	}, listener)
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	var wrap func(net.Listener) net.Listener
	if tlsConfig != nil {
		wrap = func(inner net.Listener) net.Listener { return tls.NewListener(inner, tlsConfig) }
	}
	group.Go(func() error { return eris.Wrapf(server.Serve(wrap), "serving %s", listener.Addr()) })
}

// shutdownTimeout bounds the wait for refusals that are still being written, which takes longer on a busy machine. After the
// timeout the remaining connections are closed, and what is not written by then is lost.
const shutdownTimeout = 10 * time.Second

// close stops all servers concurrently and closes the sockets. Requests that were already received are answered. An error says which
// requests may have been cut.
func (l *listeners) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	var stopping errgroup.Group
	for _, server := range servers {
		stopping.Go(func() error { return server.Stop(ctx) })
	}
	err := stopping.Wait()
	l.closeSockets()
	return err
}

func (l *listeners) closeSockets() {
	for _, listener := range []*graceful.Listener{l.control, l.calls, l.nodes, l.api} {
		if listener != nil {
			listener.Close()
		}
	}
}
