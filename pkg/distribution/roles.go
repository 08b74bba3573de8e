package distribution

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

const (
	readersPerDataCentre = 2
	relayFanOut          = 4
	checkpointWriters    = 2 // the second writes only when the first is late
)

// roles is what a node does according to its own view of the members. Views differ between nodes for a while; then
// records travel twice or a heartbeat leads to a pull.
type roles struct {
	order         []membership.Member // members of the data centre in rendezvous order, including self
	selfIndex     int                 // index in order
	remoteReaders []membership.Member // readers of the other data centres
	peerCount     int                 // alive members other than this node
	writerRank    int                 // 0: writes checkpoints; 1: writes them when rank 0 is late; -1: neither
}

// assignRoles computes the roles of self. Suspect members keep no role, because a frozen reader would delay records.
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

// rendezvousOrder sorts members by their hash with the key, highest first. A member that joins or leaves moves no
// other pair of members relative to each other.
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

// children returns the members to which this node relays new entries. Each reader relays to the other one and to the
// same four members, the roots of the tree below, so that a frozen reader delays nobody.
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
