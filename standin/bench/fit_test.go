package bench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a wrong slope or residual, from which the figures in docs/CAPACITY.md are derived.
func TestFit(t *testing.T) {
	exact := fit([]float64{24, 48, 96}, []float64{100 + 2*24, 100 + 2*48, 100 + 2*96})
	require.InDelta(t, 2, exact.slope, 1e-9)
	require.InDelta(t, 100, exact.intercept, 1e-9)
	require.InDelta(t, 0, exact.residual, 1e-9)
	rough := fit([]float64{0, 0, 2, 2}, []float64{1, 3, 5, 7})
	require.InDelta(t, 2, rough.slope, 1e-9)
	require.InDelta(t, 1, rough.residual, 1e-9)
	require.InDelta(t, 5, fit([]float64{24}, []float64{5}).at(100), 1e-9)
}
