package rpc

import "net"

// CountBytes returns a connection that counts what passes it into bytes. Unlike the connections between nodes it sets
// no deadlines.
func CountBytes(conn net.Conn, bytes *Counters) net.Conn {
	return &countOnlyConn{Conn: conn, bytes: bytes}
}

type countOnlyConn struct {
	net.Conn
	bytes *Counters
}

func (c *countOnlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Received.Add(int64(n))
	return n, err
}

func (c *countOnlyConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Sent.Add(int64(n))
	return n, err
}
