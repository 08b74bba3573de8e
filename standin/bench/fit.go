package bench

import (
	"fmt"
	"math"
	"strings"
)

// samples holds the values of several quantities at several fleet sizes, in insertion order.
type samples struct {
	names  []string
	sizes  map[string][]float64
	values map[string][]float64
}

func newSamples() *samples {
	return &samples{sizes: make(map[string][]float64), values: make(map[string][]float64)}
}

func (s *samples) add(name string, size, value float64) {
	if s.values[name] == nil {
		s.names = append(s.names, name)
	}
	s.sizes[name] = append(s.sizes[name], size)
	s.values[name] = append(s.values[name], value)
}

// at returns the values at one size as key=value pairs.
func (s *samples) at(size float64) string {
	var pairs []string
	for _, name := range s.names {
		for i, x := range s.sizes[name] {
			if x == size {
				pairs = append(pairs, fmt.Sprintf("%s=%.4g", name, s.values[name][i]))
			}
		}
	}
	return strings.Join(pairs, " ")
}

// line is the linear function value = intercept + slope * size.
type line struct {
	intercept, slope float64
	residual         float64 // root mean square of the residuals
}

func (l line) at(size float64) float64 { return l.intercept + l.slope*size }

// fit returns the least-squares line. With fewer than two distinct sizes its slope is 0.
func fit(sizes, values []float64) line {
	var l line
	n := float64(len(sizes))
	meanSize, meanValue := mean(sizes), mean(values)
	var products, squares float64
	for i := range sizes {
		products += (sizes[i] - meanSize) * (values[i] - meanValue)
		squares += (sizes[i] - meanSize) * (sizes[i] - meanSize)
	}
	if squares > 0 {
		l.slope = products / squares
	}
	l.intercept = meanValue - l.slope*meanSize
	var errors float64
	for i := range sizes {
		difference := values[i] - l.at(sizes[i])
		errors += difference * difference
	}
	l.residual = math.Sqrt(errors / n)
	return l
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
