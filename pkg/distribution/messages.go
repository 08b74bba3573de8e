package distribution

// RPC methods between nodes.
const (
	methodPush  = "config.push"
	methodPull  = "config.pull"
	methodFloor = "config.floor"
)

const (
	maxMessageEntries = 256
	maxMessageBytes   = 1 << 20 // size of the entries in one message; the receiver pulls the remaining ones
)

// position is the position of a node in the log.
type position struct {
	Offset int64  `json:"offset"`
	Digest string `json:"digest,omitempty"` // digest of the state at Offset
}

// sender identifies the process that sent a message. A position sent by an earlier incarnation of a member does not show
// what the restarted member holds.
type sender struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// pushRequest carries new entries from a relay parent. Entries is empty if the parent no longer retains them.
type pushRequest struct {
	Address string     `json:"address"` // control address of the sender, used for a pull
	Entries compressed `json:"entries,omitempty"`
	sender
	position
}

// pushResponse carries the position of the receiver after the push.
type pushResponse struct {
	sender
	position
}

// pullRequest requests the entries after an offset.
type pullRequest struct {
	After  int64 `json:"after"`
	WaitMS int64 `json:"wait_ms,omitempty"` // maximum wait for the first entry; 0: respond immediately
	State  bool  `json:"state,omitempty"`   // request the full state, regardless of After
}

// pullResponse carries the entries after the requested offset, or the full state if they are no longer retained, or a
// retry delay.
type pullResponse struct {
	Entries      compressed `json:"entries,omitempty"`
	State        compressed `json:"state,omitempty"`
	RetryAfterMS int        `json:"retry_after_ms,omitempty"`
	sender
	position
}

// floorRequest queries the version floor. It also tells the peer that earlier incarnations of the sender have ended.
type floorRequest struct {
	sender
}

// floorResponse is the response to config.floor.
type floorResponse struct {
	position
	Floor int64 `json:"floor"` // highest offset that the peer holds or has received from other members
	Ready bool  `json:"ready"`
}
