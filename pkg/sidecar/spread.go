package sidecar

import (
	"math/rand/v2"
	"sync"
)

// sendFunc sends a message to a node, which forwards it to the given addresses.
type sendFunc func(address string, forwardTo []string)

// spread sends a message to all live nodes: to those of the own data centre, and to one node of each other data centre, which forwards it there. It
// returns when the nodes that it sent to have responded.
func (r *relay) spread(send sendFunc) {
	var wg sync.WaitGroup
	for dataCentre, members := range r.peersByDataCentre() {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		var addresses []string
		for _, m := range members {
			addresses = append(addresses, m.ControlAddress)
		}
		if dataCentre == r.dataCentre {
			wg.Go(func() { fanOut(addresses, send) })
		} else {
			wg.Go(func() { send(addresses[0], addresses[1:]) })
		}
	}
	wg.Wait()
}

// fanOut sends a message to up to relayFanout of the addresses, each with a share of the remaining ones to forward to.
func fanOut(addresses []string, send sendFunc) {
	direct := min(relayFanout, len(addresses))
	var wg sync.WaitGroup
	for i := range direct {
		var forwardTo []string
		for j := direct + i; j < len(addresses); j += direct {
			forwardTo = append(forwardTo, addresses[j])
		}
		wg.Go(func() { send(addresses[i], forwardTo) })
	}
	wg.Wait()
}
