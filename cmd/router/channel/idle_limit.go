package channel

import (
	"sync"
	"time"
)

const (
	// idleShare is the part of the idle time of a connection that was dropped
	// for which others are still trusted.
	idleShare = 0.5
	// dropMemory is how long a dropped connection is remembered.
	dropMemory = 15 * time.Second
)

// IdleTimeoutEstimate learns for how long the connections to the targets of a service may
// be idle before they are dropped without notice. It is safe for concurrent
// use; the zero value has learnt nothing.
type IdleTimeoutEstimate struct {
	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// ObserveDrop takes in that a connection which was idle for the time turned out to
// be dropped. It reports whether that made the limit shorter.
func (l *IdleTimeoutEstimate) ObserveDrop(idle time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Duration(idleShare * float64(idle))
	known := now.Before(l.until)
	l.until = now.Add(dropMemory)
	if known && limit >= l.limit {
		return false
	}
	l.limit = limit
	return true
}

// At returns the limit, or false while none is known.
func (l *IdleTimeoutEstimate) At(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit, now.Before(l.until)
}
