package sidecar

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestHistory(t *testing.T) {
	var h history
	assert.Zero(t, h.elapsed("a", time.Second), "the first caller defines how long callers wait")
	assert.Equal(t, 300*time.Millisecond, h.elapsed("a", 700*time.Millisecond))
	assert.Zero(t, h.elapsed("a", 2*time.Second))
	assert.Zero(t, h.elapsed("b", time.Millisecond))
	h.elapsed("a", time.Hour)
	assert.Zero(t, h.elapsed("a", time.Second), "a caller with more time does not make others late")
	assert.Equal(t, headerBytesOfCall, h.bytes("a"))
	h.answered("a", 1000)
	h.answered("a", 1800)
	assert.Equal(t, headerBytesOfCall+1100, h.bytes("a"))
	for i := range 3 * maxHistory {
		h.answered(strconv.Itoa(i), 1)
	}
	assert.LessOrEqual(t, len(h.routes), maxHistory)
}
