package quota

import (
	"math"
	"time"
)

// buckets is the number of buckets in a window. One more is kept, so that the kept ones always cover a whole window.
const buckets = 16

// history counts events over a sliding window. A bucket ends when all of its events are out of the window, so that sums are never too low.
type history struct {
	counts [buckets + 1]float32
	sum    float64
	newest int64 // sequence number of the newest bucket
}

// slot returns the index of a bucket.
func slot(sequence int64) int {
	n := int64(buckets + 1)
	return int(((sequence % n) + n) % n)
}

// advance drops the buckets that are out of the window when the newest bucket is the given one.
func (h *history) advance(newest int64) {
	if newest-h.newest > buckets {
		*h = history{newest: newest}
		return
	}
	for h.newest < newest {
		h.newest++
		i := slot(h.newest)
		h.sum -= float64(h.counts[i])
		h.counts[i] = 0
	}
}

// add counts n events in a bucket, unless it is out of the window.
func (h *history) add(sequence int64, n float64) {
	if sequence > h.newest || h.newest-sequence > buckets {
		return
	}
	h.counts[slot(sequence)] += float32(n)
	h.sum += n
}

// ending returns the sum of the buckets that end within the next n buckets.
func (h *history) ending(n int) float64 {
	sum := 0.0
	for sequence := h.newest - buckets; sequence < h.newest-buckets+int64(n); sequence++ {
		sum += float64(h.counts[slot(sequence)])
	}
	return sum
}

// latest returns the sum of the newest n buckets and the one that is being filled.
func (h *history) latest(n int) float64 {
	sum := 0.0
	for sequence := h.newest - int64(n); sequence <= h.newest; sequence++ {
		sum += float64(h.counts[slot(sequence)])
	}
	return sum
}

// merge adds the events of another history with the same newest bucket.
func (h *history) merge(other *history) {
	for i, n := range other.counts {
		h.counts[i] += n
	}
	h.sum += other.sum
}

// byAge returns the counts of the buckets, newest first.
func (h *history) byAge() []float64 {
	var counts []float64
	for age := range int64(buckets + 1) {
		if n := rounded(float64(h.counts[slot(h.newest-age)])); n != 0 {
			counts = append(counts, make([]float64, int(age)+1-len(counts))...)
			counts[age] = n
		}
	}
	return counts
}

// rounded returns n with two decimals: fractions of a request occur only in estimates.
func rounded(n float64) float64 { return math.Round(n*100) / 100 }

// clockOf divides time into buckets.
type clockOf struct{ bucket time.Duration }

func (c clockOf) sequence(t time.Duration) int64 {
	if t < 0 {
		return -1 - int64((-t-1)/c.bucket)
	}
	return int64(t / c.bucket)
}

// phase returns how long ago the current bucket began.
func (c clockOf) phase(t time.Duration) time.Duration {
	return t - time.Duration(c.sequence(t))*c.bucket
}
