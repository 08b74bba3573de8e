// Package membership maintains the table of the fleet's members and their endpoints.
//
// Every node probes one member per round, spreads changes by gossip, and repairs differences between tables by anti-entropy.
// The package has three layers: Table merges updates, an internal system decides in each tick which messages to send,
// and Service connects that system to the network. The first two are deterministic in their state, the given time and the random source.
package membership

import (
	"github.com/cespare/xxhash/v2"
)

// EndpointState is the state of a backend server as announced by its node.
type EndpointState string

// The states of an endpoint.
const (
	EndpointWarming  EndpointState = "warming"
	EndpointReady    EndpointState = "ready"
	EndpointHeld     EndpointState = "held" // a roll-out allows its version no request
	EndpointDraining EndpointState = "draining"
	EndpointGone     EndpointState = "gone"
)

// Endpoint is the backend server behind a member.
type Endpoint struct {
	Service     string        `json:"service"`
	Address     string        `json:"address"` // "ip:port"; only its own node uses it
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	State       EndpointState `json:"state"`
	Sequence    uint64        `json:"sequence"` // incremented by the node at each change
}

// sameAnnouncement reports whether both endpoints are equal apart from their sequence.
func (e Endpoint) sameAnnouncement(other Endpoint) bool {
	e.Sequence, other.Sequence = 0, 0
	return e == other
}

// Status is the state of a member as other members see it.
type Status string

// The states of a member, in ascending order of precedence within one counter.
const (
	Alive   Status = "alive"
	Suspect Status = "suspect"
	Dead    Status = "dead"
	Left    Status = "left"
)

var statusOrder = [...]Status{Alive, Suspect, Dead, Left}

func (s Status) precedence() int {
	for i, status := range statusOrder {
		if s == status {
			return i
		}
	}
	return 0
}

// ended reports whether the member is dead or has left.
func (s Status) ended() bool {
	return s == Dead || s == Left
}

// Member is one node of the fleet.
type Member struct {
	ID             string    `json:"id"`
	Region         string    `json:"region"`
	DataCentre     string    `json:"data_centre"`
	ControlAddress string    `json:"control_address"` // jsonrpc2
	CallAddress    string    `json:"call_address"`    // HTTP between nodes
	APIAddress     string    `json:"api_address"`     // HTTP for operators
	Incarnation    uint64    `json:"incarnation"`     // start time of the process, Unix ms
	Counter        uint64    `json:"counter"`         // incremented by the member to refute a suspicion and to leave
	Status         Status    `json:"status"`
	Endpoint       *Endpoint `json:"endpoint,omitempty"` // nil until the backend server announces itself
}

// Heartbeat is the configuration state of a node: applied version and state digest. Every probe and ack carries it.
type Heartbeat struct {
	Version int64
	Digest  string
}

// update is the wire form of a member, with short keys because updates are most of the control traffic. A status update
// has no addresses; the receiver keeps the ones it knows.
type update struct {
	ID          string        `json:"i"`
	Incarnation uint64        `json:"n"`
	Counter     uint64        `json:"c,omitempty"`
	Status      int           `json:"s,omitempty"` // index into statusOrder
	AgeMS       int64         `json:"a,omitempty"` // ms since the member died or left
	Region      string        `json:"r,omitempty"`
	DataCentre  string        `json:"d,omitempty"`
	Control     string        `json:"t,omitempty"`
	Call        string        `json:"l,omitempty"`
	API         string        `json:"p,omitempty"`
	Endpoint    *wireEndpoint `json:"e,omitempty"`
}

type wireEndpoint struct {
	Service     string        `json:"v"`
	Address     string        `json:"a,omitempty"`
	Slots       int           `json:"s,omitempty"`
	Connections int           `json:"c,omitempty"`
	State       EndpointState `json:"t"`
	Sequence    uint64        `json:"q"`
}

func (u update) valid() bool {
	return u.ID != "" && u.Status >= 0 && u.Status < len(statusOrder) && u.AgeMS >= 0 && u.Incarnation <= 2*maxIncarnation
}

func (u update) member() Member {
	m := Member{
		ID: u.ID, Region: u.Region, DataCentre: u.DataCentre,
		ControlAddress: u.Control, CallAddress: u.Call, APIAddress: u.API,
		Incarnation: u.Incarnation, Counter: u.Counter, Status: statusOrder[u.Status],
	}
	if e := u.Endpoint; e != nil {
		m.Endpoint = &Endpoint{
			Service: e.Service, Address: e.Address, Slots: e.Slots, Connections: e.Connections,
			State: e.State, Sequence: e.Sequence,
		}
	}
	return m
}

// fullUpdate returns an update with all fields of a member.
func fullUpdate(m Member) update {
	u := statusUpdate(m)
	u.Region, u.DataCentre = m.Region, m.DataCentre
	u.Control, u.Call, u.API = m.ControlAddress, m.CallAddress, m.APIAddress
	if e := m.Endpoint; e != nil {
		u.Endpoint = &wireEndpoint{
			Service: e.Service, Address: e.Address, Slots: e.Slots, Connections: e.Connections,
			State: e.State, Sequence: e.Sequence,
		}
	}
	return u
}

// statusUpdate returns an update with only the id, incarnation, counter and status of a member.
func statusUpdate(m Member) update {
	return update{ID: m.ID, Incarnation: m.Incarnation, Counter: m.Counter, Status: m.Status.precedence()}
}

// size returns an upper bound on the JSON size of the update in bytes.
func (u update) size() int {
	const keysAndNumbers = 70
	n := keysAndNumbers + len(u.ID)
	if u.Control == "" {
		return n
	}
	const addressKeys = 40
	n += addressKeys + len(u.Region) + len(u.DataCentre) + len(u.Control) + len(u.Call) + len(u.API)
	if u.Endpoint != nil {
		const endpointKeys = 75
		n += endpointKeys + len(u.Endpoint.Service) + len(u.Endpoint.Address)
	}
	return n
}

// hashID returns the hash that determines a member's position in the probe ring and its digest bucket.
func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}

// maxIncarnation bounds the incarnations in a directory, which are times in ms. Those of members may be higher: a member raises its own above that
// of an earlier process.
const maxIncarnation = 1 << 53
