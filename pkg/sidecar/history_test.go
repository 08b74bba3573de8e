package sidecar

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestHistory(t *testing.T) {
	var h history
	assert.Equal(t, headerBytesOfCall, h.bytes("a"))
	h.answered("a", 1000)
	h.answered("a", 1800)
	assert.Equal(t, headerBytesOfCall+1100, h.bytes("a"))
	for i := range 3 * maxHistory {
		h.answered(strconv.Itoa(i), 1)
	}
	assert.LessOrEqual(t, len(h.routes), maxHistory)
}
