package rpc

import "net"

// CountBytes wraps a connection to add the bytes received and sent to counters. Unlike the connections between nodes, it
// sets no deadlines.
func CountBytes(conn net.Conn, counters *Counters) net.Conn {
	return &countingConn{Conn: conn, counters: counters}
}

type countingConn struct {
	net.Conn
	counters *Counters
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Add(int64(n))
	return n, err
}
