package schedule

import (
	"container/heap"
	"sync"
	"time"
)

// Fake is a Clock for tests, whose time changes only by Advance and Jump.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	seq    uint64
	timers timerHeap
}

// NewFake returns a Fake that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every implements Clock.
func (f *Fake) Every(interval time.Duration, fn func(time.Time)) func() {
	return f.add(interval, interval, fn)
}

// After implements Clock.
func (f *Fake) After(delay time.Duration, fn func(time.Time)) func() {
	return f.add(delay, 0, fn)
}

func (f *Fake) add(delay, interval time.Duration, fn func(time.Time)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	t := &timer{at: f.now.Add(delay), seq: f.seq, interval: interval, fn: fn}
	heap.Push(&f.timers, t)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.cancelled = true
	}
}

// Advance moves the clock forward by d and runs every timer that is due, in order.
func (f *Fake) Advance(d time.Duration) {
	end := f.Now().Add(d)
	for {
		t := f.next(end)
		if t == nil {
			return
		}
		t.fn(t.at)
	}
}

// Jump moves the clock forward by d without running timers, as a suspended process
// sees it.
func (f *Fake) Jump(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// next returns a copy of the next due timer, or sets the clock to end and returns
// nil.
func (f *Fake) next(end time.Time) *timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.timers) > 0 && !f.timers[0].at.After(end) {
		t := f.timers[0]
		if t.cancelled {
			heap.Pop(&f.timers)
			continue
		}
		due := *t
		if t.at.After(f.now) {
			f.now = t.at
		}
		due.at = f.now
		if t.interval == 0 {
			heap.Pop(&f.timers)
			return &due
		}
		t.at = f.now.Add(t.interval)
		heap.Fix(&f.timers, 0)
		return &due
	}
	if end.After(f.now) {
		f.now = end
	}
	return nil
}
