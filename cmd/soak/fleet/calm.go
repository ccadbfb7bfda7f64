package fleet

import (
	"sync"
	"time"
)

// FaultTracker remembers when anything was disturbed.
type FaultTracker struct {
	mu     sync.Mutex
	active int
	last   time.Time
	spans  []span
}

// span is the time of one disturbance; its end is zero while it lasts.
type span struct{ begin, end time.Time }

// Begin notes the begin of a disturbance; the function returned notes its end.
func (c *FaultTracker) Begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	n := len(c.spans)
	c.spans = append(c.spans, span{begin: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.active--
		c.last = time.Now()
		c.spans[n].end = c.last
	}
}

// QuietSince returns since when nothing was disturbed, or false during a disturbance.
func (c *FaultTracker) QuietSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.active == 0
}

// held reports whether nothing was disturbed from the first to the second time.
func (c *FaultTracker) held(from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans {
		if s.begin.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return false
		}
	}
	return true
}
