package distribution

// Methods between nodes.
const (
	methodPush  = "config.push"
	methodPull  = "config.pull"
	methodFloor = "config.floor"
)

const (
	maxMessageEntries = 256
	maxMessageBytes   = 1 << 20 // of entries in one message; a receiver asks for the rest
)

// position is where a node stands in the log.
type position struct {
	Offset int64  `json:"offset"`
	Digest string `json:"digest,omitempty"` // of the state at Offset
}

// sender names the process that stated a position. What an earlier incarnation of a restarted member stated is no
// evidence of what the member holds.
type sender struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// pushRequest carries new entries from a relay parent. Entries may be empty if the parent no longer keeps them.
type pushRequest struct {
	Address string `json:"address"` // control address of the sender, for a pull
	Entries packed `json:"entries,omitempty"`
	sender
	position
}

// pushResponse is the receiver's position after the push.
type pushResponse struct {
	sender
	position
}

// pullRequest asks for the entries after an offset.
type pullRequest struct {
	After  int64 `json:"after"`
	WaitMS int64 `json:"wait_ms,omitempty"` // wait this long for the first entry
	State  bool  `json:"state,omitempty"`   // ask for the full state whatever After is
}

// pullResponse has entries that extend the position asked for, or the full state if they are no longer kept, or a
// time after which to ask again.
type pullResponse struct {
	Entries      packed `json:"entries,omitempty"`
	State        packed `json:"state,omitempty"`
	RetryAfterMS int    `json:"retry_after_ms,omitempty"`
	sender
	position
}

// floorRequest tells the peer that earlier incarnations of the asking member have ended.
type floorRequest struct {
	sender
}

// floorResponse answers config.floor.
type floorResponse struct {
	position
	Floor int64 `json:"floor"` // highest position that the peer holds or has heard of
	Ready bool  `json:"ready"`
}
