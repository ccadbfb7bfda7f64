package gateway

import (
	"sync"

	"vanillalug.example/cmd/router/channel"
)

// idleLimits are what is learnt of idle connections, by service.
type idleLimits struct {
	mu     sync.Mutex
	limits map[string]*channel.IdleTimeoutEstimate
}

func (l *idleLimits) of(service string) *channel.IdleTimeoutEstimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, known := l.limits[service]
	if !known {
		limit = &channel.IdleTimeoutEstimate{}
		if l.limits == nil {
			l.limits = map[string]*channel.IdleTimeoutEstimate{}
		}
		l.limits[service] = limit
	}
	return limit
}
