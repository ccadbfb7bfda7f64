package handlers

import (
	"sync"
	"time"
)

// heartbeats sends the heartbeats of all relayed streams.
type heartbeats struct {
	mu    sync.Mutex
	sinks map[*relaySink]bool
}

// add starts the heartbeats of a stream; the returned function ends them.
func (h *heartbeats) add(s *relaySink) (remove func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sinks == nil {
		h.sinks = map[*relaySink]bool{}
	}
	h.sinks[s] = true
	return func() {
		h.mu.Lock()
		delete(h.sinks, s)
		h.mu.Unlock()
		s.finish()
	}
}

// beat sends a heartbeat on every stream. A stream whose peer does not read
// may block, so that each has a goroutine of its own.
func (h *heartbeats) beat(time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sinks {
		if s.quiet() {
			go s.heartbeat()
		}
	}
}
