package placement

import (
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against nodes that choose different endpoints for a key, all keys on one endpoint, and keys that move when another endpoint goes away.
func TestRendezvous(t *testing.T) {
	var endpoints []Endpoint
	for i := range 5 {
		endpoints = append(endpoints, Endpoint{ID: "e" + strconv.Itoa(i)})
	}
	reversed := slices.Clone(endpoints)
	slices.Reverse(reversed)
	none := func(*Endpoint) bool { return false }
	counts := make(map[string]int)
	for i := range 1000 {
		key := strconv.Itoa(i)
		chosen := Rendezvous(endpoints, key, none)[0].ID
		counts[chosen]++
		assert.Equal(t, chosen, Rendezvous(reversed, key, none)[0].ID)
		rest := Rendezvous(endpoints, key, func(e *Endpoint) bool { return e.ID == "e0" })[0].ID
		if chosen != "e0" {
			assert.Equal(t, chosen, rest)
		} else {
			assert.NotEqual(t, "e0", rest)
		}
	}
	for _, e := range endpoints {
		assert.InDelta(t, 200, counts[e.ID], 60)
	}
	assert.Nil(t, Rendezvous(endpoints, "k", func(*Endpoint) bool { return true }))
}
