package distribution

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

const (
	readersPerDataCentre = 2
	relayFanOut          = 4
	checkpointWriters    = 2 // the second one writes only when the first one is late
)

// roles are the roles of a node, computed from its own view of the members. While views differ between nodes, records may be
// sent twice, or be missed and pulled after a heartbeat.
type roles struct {
	order         []membership.Member // members of the data centre in rendezvous order, including self
	selfIndex     int                 // index of this node in order
	remoteReaders []membership.Member // readers of the other data centres
	peerCount     int                 // alive members other than this node
	writerRank    int                 // 0: writes checkpoints; 1: writes them when rank 0 is late; -1: does not write checkpoints
}

// assignRoles computes the roles of self. Only alive members have roles: a suspect member may be frozen, and a frozen reader
// would delay records.
func assignRoles(self membership.Member, members []membership.Member) roles {
	byDataCentre := map[string][]membership.Member{self.DataCentre: {self}}
	alive := []membership.Member{self}
	for _, m := range members {
		if m.ID == self.ID || m.Status != membership.Alive {
			continue
		}
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		alive = append(alive, m)
	}
	r := roles{peerCount: len(alive) - 1, writerRank: -1}
	for centre, local := range byDataCentre {
		rendezvousOrder("reader/"+centre, local)
		if centre == self.DataCentre {
			r.order, r.selfIndex = local, indexOf(local, self.ID)
			continue
		}
		r.remoteReaders = append(r.remoteReaders, local[:min(readersPerDataCentre, len(local))]...)
	}
	sort.Slice(r.remoteReaders, func(i, j int) bool { return r.remoteReaders[i].ID < r.remoteReaders[j].ID })
	rendezvousOrder("checkpoint", alive)
	if rank := indexOf(alive, self.ID); rank < checkpointWriters {
		r.writerRank = rank
	}
	return r
}

// rendezvousOrder sorts members by the hash of key and member id, highest first. A member that joins or leaves does not
// change the relative order of the others.
func rendezvousOrder(key string, members []membership.Member) {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.ID] = xxhash.Sum64String(key + "\x00" + m.ID)
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i].ID, members[j].ID
		if scores[a] != scores[b] {
			return scores[a] > scores[b]
		}
		return a < b
	})
}

// indexOf returns the index of the member with the id, or len(members).
func indexOf(members []membership.Member, id string) int {
	for i, m := range members {
		if m.ID == id {
			return i
		}
	}
	return len(members)
}

// isReader reports whether this node reads the log for its data centre.
func (r *roles) isReader() bool {
	return len(r.order) > 0 && r.selfIndex < readersPerDataCentre
}

// children returns the members to which this node relays new entries. Both readers relay to each other and to the same
// relayFanOut members, the roots of the relay tree, so that a frozen reader delays no other member.
func (r *roles) children() []membership.Member {
	if len(r.order) == 0 {
		return nil
	}
	first := relayFanOut*(r.selfIndex-readersPerDataCentre) + relayFanOut + readersPerDataCentre
	if r.isReader() {
		first = readersPerDataCentre
	}
	var targets []membership.Member
	for i := first; i < first+relayFanOut && i < len(r.order); i++ {
		targets = append(targets, r.order[i])
	}
	if r.isReader() && len(r.order) > 1 {
		targets = append(targets, r.order[1-r.selfIndex])
	}
	return targets
}
