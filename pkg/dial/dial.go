// Package dial opens TCP connections to other nodes and applies address translation between data centres.
package dial

import (
	"context"
	"net"
	"time"
)

// Dialer connects to nodes. The zero value connects to every address unchanged.
type Dialer struct {
	Timeout           time.Duration      // 0: only the deadline of the context applies
	Overrides         map[string]string  // "ip:port" of a node to the "ip:port" to connect to instead
	DeadPeerDetection *DeadPeerDetection // nil: system defaults
}

// DialContext connects to the address, or to its override. It has the signature of net.Dialer.DialContext.
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
