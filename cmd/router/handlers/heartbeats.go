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

// add starts the heartbeats of a stream; the returned function stops them.
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
		s.stop()
	}
}

// sendAll sends a heartbeat on every idle stream. Each is written in its own
// goroutine, because a write blocks while the peer doesn't read.
func (h *heartbeats) sendAll(time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sinks {
		if s.wasIdle() {
			go s.heartbeat()
		}
	}
}
