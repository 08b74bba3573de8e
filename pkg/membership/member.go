// Package membership keeps the table of the fleet's members and of the endpoints behind them.
//
// Every node probes one member in each round, spreads changes by gossip, and compares table digests with its peers.
// The package has three layers: Table merges updates, an internal system decides in each tick which messages to send,
// and Service connects that system to the network. The first two are pure in (state, now, random source).
package membership

import (
	"github.com/cespare/xxhash/v2"
)

// EndpointState is the state of a backend server as its node announces it.
type EndpointState string

// The states of an endpoint.
const (
	EndpointWarming  EndpointState = "warming"
	EndpointReady    EndpointState = "ready"
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
	Sequence    uint64        `json:"sequence"` // raised by the node at each change
}

// sameAnnouncement reports whether both announce the same, whatever their sequence.
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

// ended reports whether the member takes no more part.
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
	Counter        uint64    `json:"counter"`         // raised by the member to refute suspicion and to publish changes
	Status         Status    `json:"status"`
	Endpoint       *Endpoint `json:"endpoint,omitempty"` // nil until the backend server announces itself
}

// Heartbeat is the configuration state of a node: applied version and state digest. Every probe and ack carries it.
type Heartbeat struct {
	Version int64
	Digest  string
}

// update is the wire form of a member, with short keys because it is the bulk of the control bytes. A status update
// has no addresses; its receiver keeps those that it knows.
type update struct {
	ID          string        `json:"i"`
	Incarnation uint64        `json:"n"`
	Counter     uint64        `json:"c,omitempty"`
	Status      int           `json:"s,omitempty"` // index into statusOrder
	AgeMS       int64         `json:"a,omitempty"` // since when a dead or left member has been so
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
	return u.ID != "" && u.Status >= 0 && u.Status < len(statusOrder) && u.AgeMS >= 0
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

// fullUpdate carries everything about a member.
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

// statusUpdate carries only the status of a member.
func statusUpdate(m Member) update {
	return update{ID: m.ID, Incarnation: m.Incarnation, Counter: m.Counter, Status: m.Status.precedence()}
}

// size estimates the bytes of the update in JSON, from above.
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

// hashID places a member in the probe ring and in a digest bucket.
func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}
