package logservice

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// PeerStats counts the requests of one peer and the bytes on its connections, including HTTP headers.
type PeerStats struct {
	Appends       int64 `json:"appends"`
	Reads         int64 `json:"reads"`
	BytesReceived int64 `json:"bytes_received"` // by the log service
	BytesSent     int64 `json:"bytes_sent"`     // by the log service
}

type stats struct {
	mu    sync.Mutex
	peers map[string]*PeerStats
}

func newStats() *stats {
	return &stats{peers: make(map[string]*PeerStats)}
}

func (s *stats) snapshot() map[string]PeerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]PeerStats, len(s.peers))
	for name, p := range s.peers {
		values[name] = *p
	}
	return values
}

// countRequest applies count to the peer of the request and attributes the connection to this peer.
func (s *stats) countRequest(r *http.Request, count func(*PeerStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.Header.Get(PeerHeader)
	if name == "" {
		name = hostOf(r.RemoteAddr)
	}
	peer, ok := s.peers[name]
	if !ok {
		peer = &PeerStats{}
		s.peers[name] = peer
	}
	count(peer)
	if conn, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		conn.assign(peer)
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// countedListener counts the bytes of each accepted connection.
type countedListener struct {
	net.Listener
	stats *stats
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, stats: l.stats, peer: &PeerStats{}}, nil
}

// countedConn counts the bytes of a connection for its peer. Until the first request identifies the peer, peer is a
// placeholder that belongs to this connection only.
type countedConn struct {
	net.Conn
	stats *stats
	peer  *PeerStats // guarded by stats.mu
}

// assign attributes the connection to peer, including the bytes counted before the first request. The caller holds
// stats.mu.
func (c *countedConn) assign(peer *PeerStats) {
	if c.peer == peer {
		return
	}
	if c.peer.Appends+c.peer.Reads == 0 {
		peer.BytesReceived += c.peer.BytesReceived
		peer.BytesSent += c.peer.BytesSent
	}
	c.peer = peer
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.mu.Lock()
	c.peer.BytesReceived += int64(n)
	c.stats.mu.Unlock()
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.mu.Lock()
	c.peer.BytesSent += int64(n)
	c.stats.mu.Unlock()
	return n, err
}

type connKey struct{}

func withCountedConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
