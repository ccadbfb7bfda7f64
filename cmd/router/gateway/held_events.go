package gateway

import "vanillalug.example/reception"

// noMemoryError says that a stream broke off as the router had no memory for an event.
type noMemoryError struct{}

func (noMemoryError) Error() string { return "no memory for an event" }

// heldEvents charges what the buffer of a stream's events has grown by.
type heldEvents struct {
	t     *transaction
	bytes int
}

// cover charges what isn't charged yet. It returns false if there is no room.
func (h *heldEvents) cover(events *eventBuffer) bool {
	more := len(events.data) - eventBufferSize - h.bytes
	if more == 0 {
		return true
	}
	if !reception.HoldResponse(h.t.r, more) {
		return false
	}
	h.bytes += more
	return true
}

func (h *heldEvents) release() { reception.ReleaseResponse(h.t.r, h.bytes) }
