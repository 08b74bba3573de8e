// Package dial opens TCP connections to other nodes and applies address translation between data centres.
package dial

import (
	"context"
	"net"
	"time"
)

// Dialer connects to nodes. The zero value connects to every address as it is given.
type Dialer struct {
	Timeout           time.Duration      // 0: none beyond that of the context
	Overrides         map[string]string  // "ip:port" of a node to the "ip:port" to connect to instead
	DeadPeerDetection *DeadPeerDetection // nil: the system's defaults
}

// DialContext has the signature that net/http and the RPC client use.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if other, ok := d.Overrides[address]; ok {
		address = other
	}
	dialer := net.Dialer{Timeout: d.Timeout}
	if d.DeadPeerDetection != nil {
		d.DeadPeerDetection.apply(&dialer)
	}
	return dialer.DialContext(ctx, network, address)
}
