package gateway

import (
	"sync"

	"vanillalug.example/cmd/router/channel"
)

// idleTimeouts holds the idle timeout estimates by service.
type idleTimeouts struct {
	mu        sync.Mutex
	estimates map[string]*channel.IdleTimeoutEstimate
}

func (t *idleTimeouts) of(service string) *channel.IdleTimeoutEstimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimate, known := t.estimates[service]
	if !known {
		estimate = &channel.IdleTimeoutEstimate{}
		if t.estimates == nil {
			t.estimates = map[string]*channel.IdleTimeoutEstimate{}
		}
		t.estimates[service] = estimate
	}
	return estimate
}
