package channel

import (
	"sync"
	"time"
)

const (
	// safetyFactor is the fraction of a dropped connection's idle time for which
	// other connections are still reused.
	safetyFactor = 0.5
	// estimateTTL is how long an observed drop limits reuse.
	estimateTTL = 15 * time.Second
)

// IdleTimeoutEstimate estimates how long connections to the targets of a service
// may be idle before they are dropped without notice. It is safe for concurrent
// use; the zero value has no estimate.
type IdleTimeoutEstimate struct {
	mu      sync.Mutex
	limit   time.Duration
	expires time.Time
}

// ObserveDrop records that a connection turned out to be dropped after it was
// idle for that time. It reports whether that lowered the limit.
func (e *IdleTimeoutEstimate) ObserveDrop(idle time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Duration(safetyFactor * float64(idle))
	known := now.Before(e.expires)
	e.expires = now.Add(estimateTTL)
	if known && limit >= e.limit {
		return false
	}
	e.limit = limit
	return true
}

// At returns the limit, or false if there is no estimate at that time.
func (e *IdleTimeoutEstimate) At(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit, now.Before(e.expires)
}
