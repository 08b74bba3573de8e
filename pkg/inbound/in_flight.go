package inbound

// InFlight returns the number of calls that are queued or in flight.
func (h *Handler) InFlight() int {
	load := h.load()
	return load.InFlight + load.Queued
}
