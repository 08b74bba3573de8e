package inbound

// InFlight returns the number of calls that are waiting for or being served by the backend server.
func (h *Handler) InFlight() int {
	load := h.load()
	return load.InFlight + load.Queued
}
