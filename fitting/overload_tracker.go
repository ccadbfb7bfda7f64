package fitting

import (
	"sync"
	"time"
)

// overloadGap is how long no request of a service must be rejected for its
// overload to end.
const overloadGap = time.Second

// OverloadTracker records since when each service has been rejecting requests.
// It is safe for concurrent use.
type OverloadTracker struct {
	mu        sync.Mutex
	overloads map[string]overload
}

// overload holds the times of the first and the last rejection.
type overload struct{ first, last time.Time }

// NewOverloadTracker returns a tracker without any overload.
func NewOverloadTracker() *OverloadTracker { return &OverloadTracker{overloads: map[string]overload{}} }

// Rejected records that a request was rejected.
func (t *OverloadTracker) Rejected(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.overloads[service]
	if !ok || now.Sub(current.last) > overloadGap {
		current.first = now
	}
	current.last = now
	t.overloads[service] = current
}

// Duration returns how long requests have been rejected; 0 if the service is not
// overloaded.
func (t *OverloadTracker) Duration(service string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.overloads[service]
	if !ok || now.Sub(current.last) > overloadGap {
		return 0
	}
	return now.Sub(current.first)
}

// RejectedWithin reports whether requests of any service have been rejected within a time.
func (t *OverloadTracker) RejectedWithin(d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.overloads {
		if now.Sub(o.last) <= d {
			return true
		}
	}
	return false
}
