package membership

import "time"

// JSON-RPC methods between members.
const (
	methodProbe    = "member.probe"
	methodIndirect = "member.probe_indirect"
	methodJoin     = "member.join"
	methodSync     = "member.sync"
)

// packet is the body of probes, gossip messages and their acks.
type packet struct {
	From          string   `json:"f"`
	Incarnation   uint64   `json:"n"`
	To            string   `json:"t,omitempty"` // requests: id of the addressed member
	Deltas        []update `json:"u,omitempty"`
	Digest        uint32   `json:"g"` // of the sender's table
	Version       int64    `json:"v,omitempty"`
	State         string   `json:"s,omitempty"` // state digest of the heartbeat
	SenderUnknown bool     `json:"x,omitempty"` // ack: the addressed member does not know the sender
	DeltasKnown   bool     `json:"k,omitempty"` // ack: all deltas of the request were already known
	Failed        bool     `json:"e,omitempty"` // ack of an indirect probe: To did not respond
}

func (p packet) heartbeat() Heartbeat {
	return Heartbeat{Version: p.Version, Digest: p.State}
}

// joinRequest announces the sender and requests the full table.
type joinRequest struct {
	Member update `json:"m"`
}

// joinResponse carries the full table, or a retry delay.
type joinResponse struct {
	Members      []update `json:"m,omitempty"`
	RetryAfterMS int64    `json:"r,omitempty"`
}

// syncRequest is a request of the two-step anti-entropy exchange. The first step carries the digests of all buckets, the second
// the sender's differing entries and the ids of the entries it wants.
type syncRequest struct {
	From    string   `json:"f"`
	Digests []uint32 `json:"g,omitempty"`
	Want    []string `json:"w,omitempty"`
	Updates []update `json:"u,omitempty"`
}

// syncResponse holds the versions of the members in differing buckets (first step) or the wanted entries (second step).
type syncResponse struct {
	Buckets  []int     `json:"b,omitempty"`
	Versions []version `json:"v,omitempty"`
	Updates  []update  `json:"u,omitempty"`
}

type version struct {
	ID      string `json:"i"`
	Version uint32 `json:"v"`
}

// message is an outgoing request of the system.
type message struct {
	method  string
	to      string // member id
	address string // control address
	probe   uint64 // number of the pending probe that an ack completes; 0 if none
	packet  packet // for methodProbe and methodIndirect
	sync    *syncRequest
	timeout time.Duration
}
