package sidecar

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRouteStats(t *testing.T) {
	var stats routeStats
	assert.Equal(t, headerBytesPerCall, stats.callBytes("a"))
	stats.observeResponse("a", 1000)
	stats.observeResponse("a", 1800)
	assert.Equal(t, headerBytesPerCall+1100, stats.callBytes("a"))
	for i := range 3 * maxRouteStats {
		stats.observeResponse(strconv.Itoa(i), 1)
	}
	assert.LessOrEqual(t, len(stats.routes), maxRouteStats)
}
