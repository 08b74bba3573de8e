package sidecar

import "sync"

const (
	// headerBytesOfCall is what the headers of a request and its answer take between two nodes.
	headerBytesOfCall = 700
	// answerMemory is the number of answers over which their length is averaged.
	answerMemory = 8
	// maxHistory bounds the routes that are remembered; configurations come and go.
	maxHistory = 4096
)

// history is what this node saw of the answers of each route. It is safe for concurrent use.
type history struct {
	mu     sync.Mutex
	routes map[string]*seen
}

// seen is the record of one route.
type seen struct {
	answerBytes int64 // moving average; 0: no answer yet
	inner       bool  // its calls are made on behalf of admitted work, as the latest inbound node saw it
}

// of returns the record of a route. The caller holds mu.
func (h *history) of(route string) *seen {
	s := h.routes[route]
	if s == nil {
		if h.routes == nil || len(h.routes) >= maxHistory {
			h.routes = make(map[string]*seen)
		}
		s = &seen{}
		h.routes[route] = s
	}
	return s
}

// answered notes the length of an answer; -1: not known.
func (h *history) answered(route string, bytes int64) {
	if bytes < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.of(route)
	if s.answerBytes == 0 {
		s.answerBytes = bytes
		return
	}
	s.answerBytes += (bytes - s.answerBytes) / answerMemory
}

// noteInner notes whether the calls of a route are made on behalf of admitted work.
func (h *history) noteInner(route string, inner bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(route).inner = inner
}

func (h *history) isInner(route string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.of(route).inner
}

// answerLength is how long the answers of a route are on average; 0: none was seen.
func (h *history) answerLength(route string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.of(route).answerBytes
}

// bytes returns what a call takes between two nodes, without the body of the request.
func (h *history) bytes(route string) int {
	return headerBytesOfCall + int(h.answerLength(route))
}
