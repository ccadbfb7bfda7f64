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

// quietFrom returns the earliest time from from on after which no fault was active for d.
func (t *FaultTracker) quietFrom(from time.Time, d time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		next := from
		for _, s := range t.spans {
			if s.begin.Before(next.Add(d)) && s.end.After(next) {
				next = s.end
			}
		}
		if next.Equal(from) {
			return next
		}
		from = next
	}
}
