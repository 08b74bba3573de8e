package routing

import (
	"math"
	"math/rand/v2"
	"sync"
)

// weightedSplit assigns the calls of a route to its destinations by earliest deadline first: the calls of each destination are due at regular
// intervals of 1/weight, and the next call goes to the destination whose call is due first. The shares are exact over any sequence of calls
// whose length is the sum of the weights. Memory and time depend on the number of destinations only, not on their weights. It is safe for
// concurrent use.
type weightedSplit struct {
	mu    sync.Mutex
	turns []turn // one per destination
}

// turn is the position of a destination in the sequence of calls.
type turn struct {
	weight float64
	phase  float64 // part of an interval before the first call, from 0 to 1
	calls  float64 // number of calls assigned
}

// newWeightedSplit returns a split that starts at a random position. Otherwise the first calls of all nodes would go to the same destination.
// At least one weight must be above 0.
func newWeightedSplit(destinations []Destination) *weightedSplit {
	s := &weightedSplit{turns: make([]turn, len(destinations))}
	for i, d := range destinations {
		s.turns[i] = turn{weight: float64(d.Weight), phase: rand.Float64()}
	}
	// A random point in time would favour the destinations with long intervals; a random call does not.
	s.turns[s.randomDestination()].phase = 0
	return s
}

// randomDestination returns the index of a destination with a probability proportional to its weight.
func (s *weightedSplit) randomDestination() int {
	total := 0.0
	for i := range s.turns {
		total += s.turns[i].weight
	}
	point, last := rand.Float64()*total, 0
	for i := range s.turns {
		if s.turns[i].weight == 0 {
			continue
		}
		if last = i; point < s.turns[i].weight {
			break
		}
		point -= s.turns[i].weight
	}
	return last
}

// next returns the index of the destination of the next call.
func (s *weightedSplit) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, earliest := 0, math.Inf(1)
	for i := range s.turns {
		if due := s.turns[i].due(); due < earliest {
			first, earliest = i, due
		}
	}
	s.turns[first].calls++
	return first
}

// due returns when the next call of the destination is due, in intervals of a destination of weight 1.
func (t *turn) due() float64 {
	if t.weight == 0 {
		return math.Inf(1)
	}
	return (t.phase + t.calls) / t.weight
}
