package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const compileLimit = 5 * time.Second // only reached when a test fails

// compileInTime compiles a document and fails the test if that takes longer than compileLimit.
func compileInTime(t *testing.T, d *Document) *Table {
	t.Helper()
	compiled := make(chan *Table, 1)
	go func() {
		table, err := Compile(d)
		assert.NoError(t, err)
		compiled <- table
	}()
	select {
	case table := <-compiled:
		return table
	case <-time.After(compileLimit):
		require.FailNow(t, "the document is not compiled in time")
		return nil
	}
}

func splitDocument(routes int, weights ...int) *Document {
	d := &Document{Version: 1}
	var destinations []Destination
	for i, w := range weights {
		name := fmt.Sprintf("s%d", i)
		d.Services = append(d.Services, Service{Name: name})
		destinations = append(destinations, Destination{Service: name, Weight: w})
	}
	for i := range routes {
		d.Routes = append(d.Routes, route(fmt.Sprintf("r%d", i), "h", fmt.Sprintf("/%d/", i), destinations...))
	}
	return d
}

// Guards against a configuration that is applied many seconds late since the time to compile it grows with the weights of its routes.
func TestCompile_TimeDoesNotDependOnWeights(t *testing.T) {
	for _, weights := range [][]int{{900_000_000, 100_000_000}, {900_000_001, 100_000_000, 7}, {math.MaxInt, 1}} {
		compileInTime(t, splitDocument(1400, weights...))
	}
}

// Guards against a valid configuration that is rejected since the sum of its weights overflows.
func TestCompile_SumOfWeightsOverflows(t *testing.T) {
	table := compileInTime(t, splitDocument(1, math.MaxInt, math.MaxInt, math.MaxInt))
	counts := map[string]int{}
	for range 300 {
		counts[table.Match("h", "/0/").Destination()]++
	}
	for service, n := range counts {
		assert.InDelta(t, 100, n, 1, service)
	}
}

// Guards against shares that are exact only for some weights or only from the first call on.
func TestDestination_ExactSharesOfAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 12), 2, 6).Draw(t, "weights")
		weights[0]++
		total := 0
		for _, w := range weights {
			total += w
		}
		split := newWeightedSplit(splitDocument(1, weights...).Routes[0].Destinations)
		for range rapid.IntRange(0, 200).Draw(t, "earlier calls") {
			split.next()
		}
		counts := make([]int, len(weights))
		for range total {
			counts[split.next()]++
		}
		assert.Equal(t, weights, counts)
	})
}

// Guards against a small destination that gets less than its share while each node has few calls of the route.
func TestDestination_FirstCallsHaveTheirShares(t *testing.T) {
	const nodes, calls = 20_000, 3
	destinations := splitDocument(1, 90, 10).Routes[0].Destinations
	small := [calls]int{}
	for range nodes {
		split := newWeightedSplit(destinations)
		for i := range calls {
			small[i] += split.next()
		}
	}
	for i, n := range small {
		assert.InDelta(t, 0.1, float64(n)/nodes, 0.015, "call %d", i) // 7 standard deviations
	}
}

func BenchmarkCompile_LargeWeights(b *testing.B) {
	d := splitDocument(1400, 900_000_001, 100_000_000)
	for b.Loop() {
		if _, err := Compile(d); err != nil {
			b.Fatal(err)
		}
	}
}
