package sidecar

import "sync"

const (
	// headerBytesPerMessage is the approximate size of the header of a request or response between two nodes.
	headerBytesPerMessage = 350
	// headerBytesPerCall is that of both headers of a call.
	headerBytesPerCall = 2 * headerBytesPerMessage
	// responseAverageWindow is the number of responses over which the moving average of their length extends.
	responseAverageWindow = 8
	// maxRouteStats bounds the number of tracked routes, since configuration changes replace routes. Beyond it, all records are reset.
	maxRouteStats = 4096
)

// routeStats holds response statistics per route, as observed by this node. It is safe for concurrent use.
type routeStats struct {
	mu     sync.Mutex
	routes map[string]*routeStat
}

// routeStat holds the statistics of one route.
type routeStat struct {
	responseBytes int64 // moving average; 0: no response yet
	nested        bool  // calls are nested, according to the latest reply of an inbound node
}

// get returns the record of a route, creating it if necessary. The caller must hold mu.
func (r *routeStats) get(route string) *routeStat {
	s := r.routes[route]
	if s == nil {
		if r.routes == nil || len(r.routes) >= maxRouteStats {
			r.routes = make(map[string]*routeStat)
		}
		s = &routeStat{}
		r.routes[route] = s
	}
	return s
}

// observeResponse records the length of a response. A negative length means unknown and is ignored.
func (r *routeStats) observeResponse(route string, bytes int64) {
	if bytes < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.get(route)
	if s.responseBytes == 0 {
		s.responseBytes = bytes
		return
	}
	s.responseBytes += (bytes - s.responseBytes) / responseAverageWindow
}

// setNested records whether the calls of a route are nested.
func (r *routeStats) setNested(route string, nested bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(route).nested = nested
}

func (r *routeStats) isNested(route string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.get(route).nested
}

// meanResponseBytes returns the moving average of a route's response length, or 0 if no response was observed.
func (r *routeStats) meanResponseBytes(route string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.get(route).responseBytes
}

// callBytes returns the expected number of bytes of a call between two nodes, excluding the request body.
func (r *routeStats) callBytes(route string) int {
	return headerBytesPerCall + int(r.meanResponseBytes(route))
}
