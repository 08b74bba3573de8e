package placement

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the endpoint that all nodes with the same endpoints choose for a key (rendezvous hashing), as a slice for Pick, or nil if all
// are excluded.
func Rendezvous(endpoints []Endpoint, key string, excluded func(e *Endpoint) bool) []Endpoint {
	best, bestHash := -1, uint64(0)
	for i := range endpoints {
		if excluded(&endpoints[i]) {
			continue
		}
		if hash := xxhash.Sum64String(key + endpoints[i].ID); best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	if best < 0 {
		return nil
	}
	return endpoints[best : best+1]
}
