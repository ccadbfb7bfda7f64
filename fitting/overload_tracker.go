package fitting

import (
	"sync"
	"time"
)

// crowdGap is how long no request must be turned away for a crowd to be over.
const crowdGap = time.Second

// Crowd knows since when each service has more work than it can begin in time.
// It is safe for concurrent use.
type OverloadTracker struct {
	mu     sync.Mutex
	crowds map[string]crowd
}

type crowd struct{ first, last time.Time }

// NewCrowd returns a Crowd that has seen nothing yet.
func NewOverloadTracker() *OverloadTracker { return &OverloadTracker{crowds: map[string]crowd{}} }

// TurnedAway takes in that a request was turned away.
func (c *OverloadTracker) Rejected(service string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.crowds[service]
	if !ok || now.Sub(known.last) > crowdGap {
		known.first = now
	}
	known.last = now
	c.crowds[service] = known
}

// Age returns for how long requests have been turned away; 0 is not now.
func (c *OverloadTracker) Duration(service string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.crowds[service]
	if !ok || now.Sub(known.last) > crowdGap {
		return 0
	}
	return now.Sub(known.first)
}
