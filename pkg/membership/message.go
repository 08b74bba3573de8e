package membership

import "time"

// Methods of the messages between members.
const (
	methodProbe    = "member.probe"
	methodIndirect = "member.probe_indirect"
	methodJoin     = "member.join"
	methodSync     = "member.sync"
)

// packet is the body of probes, gossip and their acks.
type packet struct {
	From          string   `json:"f"`
	Incarnation   uint64   `json:"n"`
	To            string   `json:"t,omitempty"` // id of the addressed member, on requests
	Deltas        []update `json:"u,omitempty"`
	Digest        uint32   `json:"g"` // of the sender's table
	Version       int64    `json:"v,omitempty"`
	State         string   `json:"s,omitempty"` // state digest of the beat
	SenderUnknown bool     `json:"x,omitempty"` // ack: the addressed member does not know the sender
	DeltasKnown   bool     `json:"k,omitempty"` // ack: the deltas of the request held nothing new
	Failed        bool     `json:"e,omitempty"` // ack of an indirect probe: To did not answer
}

func (p packet) beat() Heartbeat {
	return Heartbeat{Version: p.Version, Digest: p.State}
}

// joinRequest asks for the full table.
type joinRequest struct {
	Member update `json:"m"`
}

// joinResponse carries the full table, or tells when to ask again.
type joinResponse struct {
	Members      []update `json:"m,omitempty"`
	RetryAfterMS int64    `json:"r,omitempty"`
}

// syncRequest is one of the two steps of anti-entropy. The first carries the digests of all buckets, the second the
// sender's differing entries and the ids of those that it wants.
type syncRequest struct {
	From    string   `json:"f"`
	Digests []uint32 `json:"g,omitempty"`
	Want    []string `json:"w,omitempty"`
	Updates []update `json:"u,omitempty"`
}

// syncResponse answers the first step with the versions of the members in differing buckets and the second with the
// wanted entries.
type syncResponse struct {
	Buckets  []int     `json:"b,omitempty"`
	Versions []version `json:"v,omitempty"`
	Updates  []update  `json:"u,omitempty"`
}

type version struct {
	ID      string `json:"i"`
	Version uint32 `json:"v"`
}

// message is one request that the system wants sent.
type message struct {
	method  string
	to      string // member id
	address string // control address
	probe   uint64 // number of the probe that an ack completes; 0 if nothing waits for it
	packet  packet // for methodProbe and methodIndirect
	sync    *syncRequest
	timeout time.Duration
}
