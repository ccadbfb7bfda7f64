package gateway

import (
	"sync"

	"vanillalug.example/cmd/router/channel"
)

// idleLimits are what is learnt of idle connections, by service.
type idleLimits struct {
	mu     sync.Mutex
	limits map[string]*channel.IdleLimit
}

func (l *idleLimits) of(service string) *channel.IdleLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, known := l.limits[service]
	if !known {
		limit = &channel.IdleLimit{}
		if l.limits == nil {
			l.limits = map[string]*channel.IdleLimit{}
		}
		l.limits[service] = limit
	}
	return limit
}
