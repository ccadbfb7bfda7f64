package fleet

import (
	"sync"
	"time"
)

// FaultTracker records when faults were active.
type FaultTracker struct {
	mu      sync.Mutex
	active  int
	lastEnd time.Time
	spans   []span
}

// span is the time of one fault; its end is zero while the fault is active.
type span struct{ begin, end time.Time }

// Begin records the start of a fault; the returned function records its end.
func (t *FaultTracker) Begin() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	n := len(t.spans)
	t.spans = append(t.spans, span{begin: time.Now()})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.active--
		t.lastEnd = time.Now()
		t.spans[n].end = t.lastEnd
	}
}

// QuietSince returns the end of the last fault, or false while one is active.
func (t *FaultTracker) QuietSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEnd, t.active == 0
}

// quietBetween reports whether no fault was active between the two times.
func (t *FaultTracker) quietBetween(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if s.begin.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return false
		}
	}
	return true
}
